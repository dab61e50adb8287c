"""What the demo shows while it runs: the console on a terminal, or a line a step elsewhere."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Protocol

import click
from rich.console import Console
from rich.live import Live

from snowthread.console.model import Fleet
from snowthread.console.screen import ViewOptions, draw
from snowthread.console.tail import Tail

REFRESH_S = 0.5
HEIGHT_MAX = 24  # lines


class Display(Protocol):
    """Shows the course of a demo; times are seconds since its begin."""

    def announce(self, now_s: float, description: str) -> None:
        """Say what happens now."""

    def update(self, now_s: float) -> None:
        """Show the present state of the fleet."""


class LineDisplay:
    """Prints a line a step on standard error."""

    def announce(self, now_s: float, description: str) -> None:
        """Print the step."""
        click.echo(f"{now_s:5.1f} s: {description}", err=True)

    def update(self, now_s: float) -> None:
        """Print nothing between the steps."""


class LiveDisplay:
    """Draws the console of the nodes' records on the terminal."""

    def __init__(self, records: Path, console: Console, live: Live) -> None:
        """Read the records of this folder and draw them with ``live``."""
        self._tail = Tail([records])
        self._console = console
        self._live = live
        self._fleet = Fleet()
        self._refreshed_s = 0.0

    def announce(self, now_s: float, description: str) -> None:
        """Print nothing: the console shows what happens."""

    def update(self, now_s: float) -> None:
        """Draw the records that came since the last drawing, at most each ``REFRESH_S``."""
        if now_s - self._refreshed_s < REFRESH_S:
            return
        self._refreshed_s = now_s
        for record in self._tail.poll():
            self._fleet.add(record)
        height = min(HEIGHT_MAX, self._console.height)
        self._live.update(draw(self._fleet, ViewOptions(), self._console.width, height), refresh=True)


@contextmanager
def open_display(records: Path) -> Iterator[Display]:
    """Provide the display that suits standard output."""
    console = Console()
    if not console.is_terminal:
        yield LineDisplay()
        return
    with Live(console=console, auto_refresh=False, transient=True) as live:
        yield LiveDisplay(records, console, live)
