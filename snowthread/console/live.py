"""The loop of the live console: read records, render the screen, and handle keys."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from rich.console import Console
from rich.live import Live

from snowthread.console.keyboard import Keyboard
from snowthread.console.model import Fleet
from snowthread.console.screen import ViewOptions, render_screen
from snowthread.console.sorting import SortOrder
from snowthread.records.model import Record

REFRESH_S = 0.5


class RecordSource(Protocol):
    """A source of records, such as growing files or a replay."""

    def poll(self) -> Iterable[Record]:
        """Return the records since the last call."""


def run(source: RecordSource, fleet: Fleet, view_options: ViewOptions) -> None:
    """Show the fleet until the key q is pressed."""
    console = Console()
    with Keyboard() as keyboard, Live(console=console, screen=True, auto_refresh=False) as live:
        while True:
            for record in source.poll():
                fleet.add(record)
            live.update(render_screen(fleet, view_options, console.width, console.height), refresh=True)
            key = keyboard.read_key(REFRESH_S)
            if key == "q":
                return
            apply_key(view_options, key)


def apply_key(view_options: ViewOptions, key: str) -> None:
    """Change the page, the order or the event position by a key; other keys do nothing."""
    match key:
        case "n":
            view_options.page += 1
        case "p":
            view_options.page = max(0, view_options.page - 1)
        case "k":
            view_options.scroll += 1
        case "j":
            view_options.scroll = max(0, view_options.scroll - 1)
        case "s":
            view_options.sort = SortOrder(view_options.sort).next()
