"""``snowthread console``: a fleet on the terminal."""

from __future__ import annotations

import os
import select
import sys
import termios
import time
import tty
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

LOOK_S = 0.5
SORTS = ("node", "state", "read", "aim", "refused", "failed", "b", "calls")


@click.command()
@click.argument("places", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--sort", type=click.Choice(SORTS), default="node", help="The order of nodes.")
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
    from snowthread.console.screen import Look, text
    from snowthread.records.reader import Findings, merge

    fleet, look = Fleet(), Look(sort, only)
    if once or not sys.stdout.isatty():
        for record in merge(places, Findings()):
            fleet.take(record)
        click.echo(text(fleet, look), nl=False)
        return
    _live(places, fleet, look, speed)


def _live(places: tuple[Path, ...], fleet: object, look: object, speed: float | None) -> None:
    from rich.console import Console
    from rich.live import Live

    from snowthread.console.model import Fleet
    from snowthread.console.screen import Look, draw
    from snowthread.console.tail import Tail
    from snowthread.records.reader import Findings, merge

    assert isinstance(fleet, Fleet) and isinstance(look, Look)
    screen, tail = Console(), Tail(places)
    played = merge(places, Findings()) if speed is not None else None
    waiting, began, first = None, time.monotonic(), None
    with _keys(), Live(console=screen, screen=True, auto_refresh=False) as live:
        while True:
            if played is None:
                for record in tail.poll():
                    fleet.take(record)
            else:
                until = (time.monotonic() - began) * 1000.0 * (speed or 1.0)
                while True:
                    waiting = waiting or next(played, None)
                    if waiting is None:
                        break
                    first = waiting.at if first is None else first
                    if waiting.at - first > until:
                        break
                    fleet.take(waiting)
                    waiting = None
            live.update(draw(fleet, look, screen.width, screen.height), refresh=True)
            key = _key()
            if key == "q":
                return
            look.page = max(0, look.page + {"n": 1, "p": -1}.get(key, 0))
            look.scroll = max(0, look.scroll + {"k": 1, "j": -1}.get(key, 0))
            if key == "s":
                look.sort = SORTS[(SORTS.index(look.sort) + 1) % len(SORTS)]


def _key() -> str:
    """The key pressed within the time between two looks, if any."""
    if not sys.stdin.isatty():
        time.sleep(LOOK_S)
        return ""
    ready, _, _ = select.select([sys.stdin], [], [], LOOK_S)
    return os.read(sys.stdin.fileno(), 1).decode(errors="ignore") if ready else ""


@contextmanager
def _keys() -> Iterator[None]:
    """Keys one by one and unseen, where there is a keyboard."""
    if not sys.stdin.isatty():
        yield
        return
    before = termios.tcgetattr(sys.stdin)
    try:
        tty.setcbreak(sys.stdin)
        yield
    finally:
        termios.tcsetattr(sys.stdin, termios.TCSADRAIN, before)
