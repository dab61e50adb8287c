"""The command ``snowthread console``: show a fleet on the terminal."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from snowthread.console.sorting import SortOrder


@click.command()
@click.argument("places", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option(
    "--sort",
    type=click.Choice([order.value for order in SortOrder]),
    default=SortOrder.NODE.value,
    help="Sort nodes by this value.",
)
@click.option(
    "--only", default="", help="Show only nodes whose name contains this text, or that have this state."
)
@click.option(
    "--replay",
    "speed",
    type=click.FloatRange(0.1, 1000.0),
    default=None,
    metavar="SPEED",
    help="Replay the records at this multiple of the recorded speed.",
)
@click.option(
    "--once", is_flag=True, help="Print the present state once and exit; the default if the output is piped."
)
def console(places: tuple[Path, ...], sort: str, only: str, speed: float | None, once: bool) -> None:
    """Show the state, request counts, calls and events of a fleet from the records of its nodes."""
    from snowthread.console.model import Fleet
    from snowthread.console.screen import ViewOptions, render_text
    from snowthread.records.reader import Findings, merge_records

    fleet = Fleet()
    view_options = ViewOptions(sort, only)
    if once or not sys.stdout.isatty():
        for record in merge_records(places, Findings()):
            fleet.add(record)
        click.echo(render_text(fleet, view_options), nl=False)
        return

    from snowthread.console.live import RecordSource, run
    from snowthread.console.replay import Replay
    from snowthread.console.tail import Tail

    source: RecordSource
    source = Tail(places) if speed is None else Replay(merge_records(places, Findings()), speed)
    run(source, fleet, view_options)
