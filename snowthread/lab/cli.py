"""``snowthread lab``: commands that plan, run, replay and report scenarios of the fleet lab."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import click

from snowthread.config import ConfigError

DEFAULT_LAB_CORES = 2
SCENARIO = click.argument("scenario", type=click.Path(exists=True, dir_okay=False, path_type=Path))
SUMMARY = click.argument("summary", type=click.Path(exists=True, dir_okay=False, path_type=Path))


@click.group()
def lab() -> None:
    """Run several nodes on loopback, with emulated services around them and faults between them."""


@lab.command()
@SCENARIO
def plan(scenario: Path) -> None:
    """Print the plan that a scenario gives with its seed, as one JSON line per step."""
    from snowthread.lab.scenario import plan_lines
    from snowthread.lab.scenario_file import read_scenario

    for line in plan_lines(read_scenario(scenario)):
        click.echo(line)


@lab.command()
@SCENARIO
@click.option(
    "-o",
    "--output",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for the nodes, logs, summary and report of the run; by default a new temporary folder.",
)
@click.option(
    "--lab-cores",
    type=click.IntRange(1),
    default=DEFAULT_LAB_CORES,
    show_default=True,
    help="Number of cores that the lab and its emulators share; the nodes use the others.",
)
def run(scenario: Path, output: Path | None, lab_cores: int) -> None:
    """Run a scenario; the last line of the output is the summary as one JSON object."""
    click.echo(json.dumps(_run(scenario, output, lab_cores)))


@lab.command()
@SUMMARY
@click.option("-o", "--output", type=click.Path(file_okay=False, path_type=Path))
def replay(summary: Path, output: Path | None) -> None:
    """Run the scenario of an earlier summary again; fails if its seed no longer gives the same plan."""
    click.echo(json.dumps(_run(_scenario_with_same_plan(summary), output, DEFAULT_LAB_CORES)))


@lab.command()
@SUMMARY
@click.option("-o", "--output", required=True, type=click.Path(dir_okay=False, path_type=Path))
def report(summary: Path, output: Path) -> None:
    """Render the summary of a run as an HTML report."""
    from snowthread.lab.report import render_report

    output.write_text(render_report(json.loads(summary.read_text())), encoding="utf-8")
    click.echo(str(output))


def _scenario_with_same_plan(summary: Path) -> Path:
    from snowthread.lab.scenario import plan_lines
    from snowthread.lab.scenario_file import read_scenario

    before = json.loads(summary.read_text())
    scenario = Path(before["file"])
    if plan_lines(read_scenario(scenario)) != before["plan"]:
        raise ConfigError(f"{scenario} now gives a different plan than the one recorded in {summary}")
    return scenario


def _run(path: Path, output: Path | None, lab_cores: int) -> dict[str, object]:
    """Run a scenario, write its summary and report to its folder, and return the summary."""
    from snowthread.lab.report import render_report
    from snowthread.lab.runner import ScenarioRunner
    from snowthread.lab.scenario_file import read_scenario

    scenario = read_scenario(path)
    folder = output or Path(tempfile.mkdtemp(prefix=f"lab-{scenario.name}-"))
    summary = ScenarioRunner(scenario, folder, lab_cores).run() | {"file": str(path)}
    summary_file = folder / "summary.json"
    report_file = folder / "report.html"
    summary_file.write_text(json.dumps(summary))
    report_file.write_text(render_report(summary), encoding="utf-8")
    click.echo(f"wrote {report_file} and {summary_file}", err=True)
    return summary
