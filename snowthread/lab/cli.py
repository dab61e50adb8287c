"""``snowthread lab``: plan, run, replay and report scenarios of the fleet lab."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import click

SCENARIO = click.argument("scenario", type=click.Path(exists=True, dir_okay=False, path_type=Path))


@click.group()
def lab() -> None:
    """The fleet lab: several nodes, stand-ins beside them, faults between them, on loopback."""


@lab.command()
@SCENARIO
def plan(scenario: Path) -> None:
    """Print the plan a scenario makes with its seed, one JSON line a step."""
    from snowthread.lab.plan import lines, read_scenario

    for line in lines(read_scenario(scenario)):
        click.echo(line)


def _play(scenario: Path, folder: Path | None, lab_cores: int = 2) -> dict[str, object]:
    from snowthread.lab.plan import read_scenario
    from snowthread.lab.report import page
    from snowthread.lab.runner import Lab

    read = read_scenario(scenario)
    place = folder or Path(tempfile.mkdtemp(prefix=f"lab-{read.name}-"))
    summary = Lab(read, place, lab_cores).play() | {"file": str(scenario)}
    (place / "summary.json").write_text(json.dumps(summary))
    (place / "report.html").write_text(page(summary), encoding="utf-8")
    click.echo(f"{place / 'report.html'} and {place / 'summary.json'}", err=True)
    return summary


@lab.command()
@SCENARIO
@click.option(
    "-o",
    "--output",
    type=click.Path(file_okay=False, path_type=Path),
    help="The folder for the play's nodes, logs, summary and report; a new one where not given.",
)
@click.option(
    "--lab-cores",
    type=click.IntRange(1),
    default=2,
    show_default=True,
    help="Cores that the lab and its stand-ins share; the nodes have the others.",
)
def run(scenario: Path, output: Path | None, lab_cores: int) -> None:
    """Play a scenario; the last line printed is its summary as one JSON object."""
    click.echo(json.dumps(_play(scenario, output, lab_cores)))


@lab.command()
@click.argument("summary", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("-o", "--output", type=click.Path(file_okay=False, path_type=Path))
def replay(summary: Path, output: Path | None) -> None:
    """Play the scenario of an earlier summary again with its seed; its plan must be the same."""
    from snowthread.config import ConfigError
    from snowthread.lab.plan import lines, read_scenario

    before = json.loads(summary.read_text())
    scenario = Path(before["file"])
    if lines(read_scenario(scenario)) != before["plan"]:
        raise ConfigError(f"{scenario} makes another plan now than the one of {summary}")
    click.echo(json.dumps(_play(scenario, output)))


@lab.command()
@click.argument("summary", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("-o", "--output", required=True, type=click.Path(dir_okay=False, path_type=Path))
def report(summary: Path, output: Path) -> None:
    """Write the HTML report of a play's summary."""
    from snowthread.lab.report import page

    output.write_text(page(json.loads(summary.read_text())), encoding="utf-8")
    click.echo(str(output))
