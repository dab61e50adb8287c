"""The console's picture, by rich: at 80 columns, without colour, and as plain text where it is piped."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Literal

from rich.console import Console, Group, RenderableType
from rich.table import Table
from rich.text import Text

from snowthread.console.model import Fleet, NodeView

BARS = " ▁▂▃▄▅▆▇█"
STYLE = {"up": "green", "leaving": "yellow", "left": "dim", "silent": "bold red"}
NODE_COLUMN_WIDTH = 14  # characters of a node's name that are shown at most
COLUMNS: tuple[tuple[str, Literal["left", "right"]], ...] = (
    ("node", "left"),
    ("state", "left"),
    ("read", "right"),
    ("aim", "right"),
    ("refd", "right"),
    ("fail", "right"),
    ("b", "right"),
    ("held", "right"),
    ("run", "right"),
    ("call", "right"),
    ("MB", "right"),
)


@dataclass(slots=True)
class Look:
    """How it is looked at."""

    sort: str = "node"
    only: str = ""
    page: int = 0
    scroll: int = 0  # lines back from the newest


def draw(fleet: Fleet, look: Look, width: int, height: int) -> RenderableType:
    """The whole picture for so many columns and lines."""
    nodes = fleet.shown(look.sort, look.only)
    rows = max(3, (height - 6) * 2 // 3)
    pages = max(1, -(-len(nodes) // rows))
    page = min(max(0, look.page), pages - 1)
    read, good, refused, failed = fleet.totals()
    when = datetime.fromtimestamp(fleet.now / 1000.0, UTC).strftime("%H:%M:%S") if fleet.now else "--:--:--"
    share = f"{100.0 * good / read:.0f} %" if read else "-"
    head = Text(
        f"{when} UTC  {len(fleet.nodes)} nodes  {read}/s read  {share} in aim  {refused}/s refused  "
        f"{failed}/s failed",
        style="bold",
        overflow="ellipsis",
        no_wrap=True,
    )
    table = Table(box=None, padding=(0, 1), expand=False, show_edge=False)
    for name, justify in COLUMNS:
        widest = NODE_COLUMN_WIDTH if name == "node" else None
        table.add_column(name, justify=justify, no_wrap=True, overflow="ellipsis", max_width=widest)
    wide = width >= 100
    if wide:
        table.add_column("last minute", no_wrap=True)
    for view in nodes[page * rows : (page + 1) * rows]:
        state = fleet.state(view)
        cells: list[RenderableType] = [
            Text(view.name),
            Text(state, style=STYLE[state]),
            str(view.read),
            f"{100.0 * view.aim:.0f}%",
            str(view.refused),
            str(view.failed),
            f"{view.b:.2f}",
            str(view.held),
            str(view.running),
            f"{view.call_ms:.0f}",
            f"{view.memory_mb:.0f}",
        ]
        table.add_row(*cells, *([_bars(view, width - 82)] if wide else []))
    lines = list(fleet.lines)
    end = max(0, len(lines) - look.scroll)
    shown = lines[max(0, end - max(3, height - rows - 6)) : end]
    course = [
        Text(
            f"{datetime.fromtimestamp(x.at / 1000.0, UTC):%H:%M:%S} {x.node} {x.text}",
            no_wrap=True,
            overflow="ellipsis",
        )
        for x in shown
    ]
    foot = Text(
        f"page {page + 1} of {pages}, by {look.sort}{f', only {look.only}' if look.only else ''}   "
        "q quit  n/p page  s sort  j/k course",
        style="dim",
        no_wrap=True,
        overflow="ellipsis",
    )
    parts: list[RenderableType] = [head, table]
    reasons: dict[str, int] = {}
    tenants: dict[str, int] = {}
    for view in nodes:
        for name, count in view.reasons.items():
            reasons[name] = reasons.get(name, 0) + count
        for name, count in view.tenants.items():
            tenants[name] = tenants.get(name, 0) + count
    if reasons:
        words = ", ".join(f"{n} {c}/s" for n, c in sorted(reasons.items()))
        parts.append(Text(f"refused: {words}", no_wrap=True))
    if tenants:
        top = sorted(tenants.items(), key=lambda item: (-item[1], item[0]))[:5]
        parts.append(
            Text(
                "tenants: " + ", ".join(f"{n[:12]} {c}/s" for n, c in top), no_wrap=True, overflow="ellipsis"
            )
        )
    return Group(*parts, *course, foot)


def _bars(view: NodeView, width: int) -> str:
    last = list(view.history)[-max(1, min(60, width)) :]
    most = max(last, default=0) or 1
    return "".join(BARS[min(8, round(8 * v / most))] for v in last)


def text(fleet: Fleet, look: Look, width: int = 80, height: int = 24) -> str:
    """The picture as plain text."""
    console = Console(width=width, no_color=True, force_terminal=False, legacy_windows=False)
    with console.capture() as captured:
        console.print(draw(fleet, look, width, height))
    return captured.get()
