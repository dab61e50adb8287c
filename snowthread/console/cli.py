"""The command ``snowthread console``: a fleet on the terminal."""

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
    help="The order of nodes.",
)
@click.option("--only", default="", help="Only nodes with this in their name, or of this state.")
@click.option(
    "--replay",
    "speed",
    type=click.FloatRange(0.1, 1000.0),
    default=None,
    metavar="SPEED",
    help="Play what is recorded again, so many times as fast.",
)
@click.option("--once", is_flag=True, help="Print the picture as it is now, and exit; so also where piped.")
def console(places: tuple[Path, ...], sort: str, only: str, speed: float | None, once: bool) -> None:
    """Show a fleet from its nodes' records: state, service, refusals, calls, and the course of things."""
    from snowthread.console.model import Fleet
    from snowthread.console.screen import ViewOptions, render_text
    from snowthread.records.reader import Findings, merge_records

    fleet = Fleet()
    look = ViewOptions(sort, only)
    if once or not sys.stdout.isatty():
        for record in merge_records(places, Findings()):
            fleet.add(record)
        click.echo(render_text(fleet, look), nl=False)
        return

    from snowthread.console.live import RecordSource, run
    from snowthread.console.replay import Replay
    from snowthread.console.tail import Tail

    source: RecordSource
    source = Tail(places) if speed is None else Replay(merge_records(places, Findings()), speed)
    run(source, fleet, look)
