"""Progress display of the demo: the console view on a terminal, otherwise one line per step."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Protocol

import click
from rich.console import Console
from rich.live import Live

from snowthread.console.model import Fleet
from snowthread.console.screen import ViewOptions, render_screen
from snowthread.console.tail import Tail

REFRESH_S = 0.5
MAX_HEIGHT = 24  # Maximum height of the console view, in lines.


class Display(Protocol):
    """Displays the progress of a demo; times are seconds since its start."""

    def announce(self, now_s: float, description: str) -> None:
        """Display the step that is executed now."""

    def update(self, now_s: float) -> None:
        """Display the current state of the fleet."""


class LineDisplay:
    """Prints one line per step to standard error."""

    def announce(self, now_s: float, description: str) -> None:
        """Print the description of a step with its time."""
        click.echo(f"{now_s:5.1f} s: {description}", err=True)

    def update(self, now_s: float) -> None:
        """Do nothing: only steps are printed."""


class LiveDisplay:
    """Draws the console view of the nodes' records on the terminal."""

    def __init__(self, records: Path, console: Console, live: Live) -> None:
        """Read the records in this folder and draw them on ``live``."""
        self._tail = Tail([records])
        self._console = console
        self._live = live
        self._fleet = Fleet()
        self._refreshed_s = 0.0

    def announce(self, now_s: float, description: str) -> None:
        """Do nothing: the effect of the step shows in the console view."""

    def update(self, now_s: float) -> None:
        """Draw the records added since the last drawing, at most once per ``REFRESH_S``."""
        if now_s - self._refreshed_s < REFRESH_S:
            return
        self._refreshed_s = now_s
        for record in self._tail.poll():
            self._fleet.add(record)
        height = min(MAX_HEIGHT, self._console.height)
        self._live.update(
            render_screen(self._fleet, ViewOptions(), self._console.width, height), refresh=True
        )


@contextmanager
def open_display(records: Path) -> Iterator[Display]:
    """Open the display for standard output: a live console view on a terminal, otherwise lines."""
    console = Console()
    if not console.is_terminal:
        yield LineDisplay()
        return
    with Live(console=console, auto_refresh=False, transient=True) as live:
        yield LiveDisplay(records, console, live)
