"""The console's loop: take records, draw, and follow the keys."""

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
    """Where records come from."""

    def poll(self) -> Iterable[Record]:
        """Return the records since the last call."""


def run(source: RecordSource, fleet: Fleet, look: ViewOptions) -> None:
    """Show the fleet until q is pressed."""
    console = Console()
    with Keyboard() as keyboard, Live(console=console, screen=True, auto_refresh=False) as live:
        while True:
            for record in source.poll():
                fleet.add(record)
            live.update(render_screen(fleet, look, console.width, console.height), refresh=True)
            key = keyboard.read_key(REFRESH_S)
            if key == "q":
                return
            apply_key(look, key)


def apply_key(look: ViewOptions, key: str) -> None:
    """Change what is shown as the key says: page, order, or place in the events; others do nothing."""
    match key:
        case "n":
            look.page += 1
        case "p":
            look.page = max(0, look.page - 1)
        case "k":
            look.scroll += 1
        case "j":
            look.scroll = max(0, look.scroll - 1)
        case "s":
            look.sort = SortOrder(look.sort).next()
