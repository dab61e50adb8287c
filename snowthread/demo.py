"""The command ``snowthread demo``: runs a small fleet with faults on loopback and writes an incident report.

Three nodes with emulated peers serve moderate traffic. The database becomes slow, a rolling deploy replaces
the nodes one by one, and one of them is killed; their clocks differ by up to a second. The console and the
report show only what is in the nodes' records. The fleet, its timeline and the display are modules of
:mod:`snowthread.lab`.
"""

from __future__ import annotations

import tempfile
import time
from contextlib import ExitStack, closing
from pathlib import Path

import click

from snowthread.config import ConfigError
from snowthread.lab.processes import StartError, require_repository

RECORD_WRITERS_EXIT_S = 0.5  # wait for the record-writing processes, which exit shortly after their nodes


@click.command()
@click.option(
    "-o",
    "--output",
    default="demo-report.html",
    type=click.Path(dir_okay=False, path_type=Path),
    show_default=True,
    help="The file to write the report to.",
)
@click.option(
    "--seconds",
    default=40.0,
    type=click.FloatRange(24.0, 600.0),
    show_default=True,
    help="The duration of the traffic.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Keep the records in this folder.",
)
def demo(output: Path, seconds: float, keep: Path | None) -> None:
    """Run three nodes on loopback with a slow database, a rolling deploy and a crash; write a report."""
    require_repository("demo")
    with ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        _write_report(_run_demo(folder, seconds), output)


def _run_demo(folder: Path, seconds: float) -> Path:
    """Run the demo in a folder and return the folder with its records.

    Raises:
        ConfigError: the fleet did not start.
    """
    try:
        return _run_fleet(folder, seconds)
    except StartError as error:
        raise ConfigError(str(error)) from error


def _run_fleet(folder: Path, seconds: float) -> Path:
    from snowthread.lab.demo_display import open_display
    from snowthread.lab.demo_fleet import DemoFleet
    from snowthread.lab.demo_timeline import run_demo
    from snowthread.net.clock import Clock
    from snowthread.net.loop import EventLoop

    click.echo("starting three nodes and their emulated peers...", err=True)
    with closing(DemoFleet(folder, EventLoop(Clock()))) as fleet:
        fleet.start()
        with open_display(fleet.records) as view:
            run_demo(fleet, seconds, view)
    time.sleep(RECORD_WRITERS_EXIT_S)
    return fleet.records


def _write_report(records: Path, output: Path) -> None:
    from snowthread.incident.report import Report

    report = Report([records])
    output.write_text(report.html(), encoding="utf-8")
    output.with_suffix(".json").write_bytes(report.json())
    click.echo("\nWhat the records show:")
    for sentence in report.timeline.sentences:
        click.echo(f"- {sentence.text}")
    click.echo(f"The report with charts is in {output}.")
