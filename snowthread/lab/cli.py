"""``snowthread lab``: plan, run, replay and report scenarios of the fleet lab."""

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
    """Run several nodes with emulated surroundings and faults between them, on loopback."""


@lab.command()
@SCENARIO
def plan(scenario: Path) -> None:
    """Print the plan a scenario makes with its seed, one JSON line a step."""
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
    help="The folder for the nodes, logs, summary and report of the run; a new one where not given.",
)
@click.option(
    "--lab-cores",
    type=click.IntRange(1),
    default=DEFAULT_LAB_CORES,
    show_default=True,
    help="Cores that the lab and its emulators share; the nodes have the others.",
)
def run(scenario: Path, output: Path | None, lab_cores: int) -> None:
    """Run a scenario; the last line printed is its summary as one JSON object."""
    click.echo(json.dumps(_run(scenario, output, lab_cores)))


@lab.command()
@SUMMARY
@click.option("-o", "--output", type=click.Path(file_okay=False, path_type=Path))
def replay(summary: Path, output: Path | None) -> None:
    """Run the scenario of an earlier summary again with its seed; its plan must be the same."""
    click.echo(json.dumps(_run(_scenario_with_same_plan(summary), output, DEFAULT_LAB_CORES)))


@lab.command()
@SUMMARY
@click.option("-o", "--output", required=True, type=click.Path(dir_okay=False, path_type=Path))
def report(summary: Path, output: Path) -> None:
    """Write the HTML report of a run's summary."""
    from snowthread.lab.report import render_report

    output.write_text(render_report(json.loads(summary.read_text())), encoding="utf-8")
    click.echo(str(output))


def _scenario_with_same_plan(summary: Path) -> Path:
    from snowthread.lab.scenario import plan_lines
    from snowthread.lab.scenario_file import read_scenario

    before = json.loads(summary.read_text())
    scenario = Path(before["file"])
    if plan_lines(read_scenario(scenario)) != before["plan"]:
        raise ConfigError(f"{scenario} makes another plan now than the one of {summary}")
    return scenario


def _run(path: Path, output: Path | None, lab_cores: int) -> dict[str, object]:
    """Run a scenario, write its summary and report into its folder, and return the summary."""
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
    click.echo(f"{report_file} and {summary_file}", err=True)
    return summary
