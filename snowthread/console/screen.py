"""Draw the console with rich: at 80 columns, without colour, and as plain text if the output is piped."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Literal

from rich.console import Console, Group, RenderableType
from rich.table import Table
from rich.text import Text

from snowthread.console.model import HISTORY_S, EventLine, Fleet, NodeState, NodeView
from snowthread.console.sorting import SortOrder

BARS = " ▁▂▃▄▅▆▇█"
STATE_STYLES = {
    NodeState.UP: "green",
    NodeState.SHUTTING_DOWN: "yellow",
    NodeState.ENDED: "dim",
    NodeState.SILENT: "bold red",
}
NODE_COLUMN_WIDTH = 14  # characters of a node's name that are shown at most
WIDE_COLUMNS = 100  # from this width on the last minute of each node is drawn
TABLE_COLUMNS = 82  # what the table takes without that
OTHER_LINES = 6  # of the screen that neither nodes nor events take
ROWS_MIN = 3  # of nodes, and of events
TENANTS_SHOWN = 5
TENANT_WIDTH = 12
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
class ViewOptions:
    """What part of the fleet is shown, and in which order."""

    sort: str = SortOrder.NODE
    only: str = ""
    page: int = 0
    scroll: int = 0  # event lines back from the newest


@dataclass(frozen=True, slots=True)
class _Page:
    """One page of nodes."""

    views: Sequence[NodeView]
    number: int
    count: int


def render_screen(fleet: Fleet, look: ViewOptions, width: int, height: int) -> RenderableType:
    """Return the screen for so many columns and lines."""
    views = fleet.shown(look.sort, look.only)
    rows = max(ROWS_MIN, (height - OTHER_LINES) * 2 // 3)
    page = _page(views, look.page, rows)
    events = _visible_events(fleet, look.scroll, max(ROWS_MIN, height - rows - OTHER_LINES))
    parts: list[RenderableType] = [
        _header(fleet),
        _node_table(fleet, page, width),
        *_rejections(views),
        *_top_tenants(views),
        *(_event(line) for line in events),
        _footer(look, page),
    ]
    return Group(*parts)


def render_text(fleet: Fleet, look: ViewOptions, width: int = 80, height: int = 24) -> str:
    """Return the screen as plain text."""
    console = Console(width=width, no_color=True, force_terminal=False, legacy_windows=False)
    with console.capture() as captured:
        console.print(render_screen(fleet, look, width, height))
    return captured.get()


def _page(views: Sequence[NodeView], wanted: int, rows: int) -> _Page:
    """Return the page that is wanted, or the nearest there is."""
    count = max(1, -(-len(views) // rows))
    number = min(max(0, wanted), count - 1)
    return _Page(views[number * rows : (number + 1) * rows], number, count)


def _visible_events(fleet: Fleet, scroll: int, rows: int) -> list[EventLine]:
    lines = list(fleet.lines)
    end = max(0, len(lines) - scroll)
    return lines[max(0, end - rows) : end]


def _header(fleet: Fleet) -> Text:
    totals = fleet.totals()
    when = _clock(fleet.now) if fleet.now else "--:--:--"
    share = f"{100.0 * totals.served_in_time / totals.read:.0f} %" if totals.read else "-"
    return Text(
        f"{when} UTC  {len(fleet.nodes)} nodes  {totals.read}/s read  {share} in aim  "
        f"{totals.rejected}/s refused  {totals.failed}/s failed",
        style="bold",
        overflow="ellipsis",
        no_wrap=True,
    )


def _node_table(fleet: Fleet, page: _Page, width: int) -> Table:
    table = Table(box=None, padding=(0, 1), expand=False, show_edge=False)
    for name, justify in COLUMNS:
        max_width = NODE_COLUMN_WIDTH if name == "node" else None
        table.add_column(name, justify=justify, no_wrap=True, overflow="ellipsis", max_width=max_width)
    wide = width >= WIDE_COLUMNS
    if wide:
        table.add_column("last minute", no_wrap=True)
    for view in page.views:
        cells = _cells(view, fleet.state(view))
        if wide:
            cells.append(_bars(view, width - TABLE_COLUMNS))
        table.add_row(*cells)
    return table


def _cells(view: NodeView, state: NodeState) -> list[RenderableType]:
    """Return the cells of a node's row, in the order of COLUMNS."""
    return [
        Text(view.name),
        Text(state, style=STATE_STYLES[state]),
        str(view.read),
        f"{100.0 * view.share_in_time:.0f}%",
        str(view.rejected),
        str(view.failed),
        f"{view.blocking_probability:.2f}",
        str(view.queued),
        str(view.running),
        f"{view.call_ms:.0f}",
        f"{view.memory_mb:.0f}",
    ]


def _bars(view: NodeView, width: int) -> str:
    """Return the requests of the last seconds as bars, one column a second."""
    recent = list(view.history)[-max(1, min(HISTORY_S, width)) :]
    most = max(recent, default=0) or 1
    highest = len(BARS) - 1
    return "".join(BARS[min(highest, round(highest * count / most))] for count in recent)


def _rejections(views: Sequence[NodeView]) -> list[Text]:
    """Return a line on when requests were rejected, if any were."""
    counts: Counter[str] = Counter()
    for view in views:
        counts.update(view.rejections)
    if not counts:
        return []
    listed = ", ".join(f"{label} {count}/s" for label, count in sorted(counts.items()))
    return [Text(f"refused: {listed}", no_wrap=True)]


def _top_tenants(views: Sequence[NodeView]) -> list[Text]:
    """Return a line on the tenants with the most requests, if there are tenants."""
    counts: Counter[str] = Counter()
    for view in views:
        counts.update(view.tenants)
    if not counts:
        return []
    top = sorted(counts.items(), key=lambda item: (-item[1], item[0]))[:TENANTS_SHOWN]
    listed = ", ".join(f"{tenant[:TENANT_WIDTH]} {count}/s" for tenant, count in top)
    return [Text(f"tenants: {listed}", no_wrap=True, overflow="ellipsis")]


def _event(line: EventLine) -> Text:
    return Text(f"{_clock(line.at)} {line.node} {line.text}", no_wrap=True, overflow="ellipsis")


def _footer(look: ViewOptions, page: _Page) -> Text:
    only = f", only {look.only}" if look.only else ""
    return Text(
        f"page {page.number + 1} of {page.count}, by {look.sort}{only}   "
        "q quit  n/p page  s sort  j/k course",
        style="dim",
        no_wrap=True,
        overflow="ellipsis",
    )


def _clock(time_ms: float) -> str:
    return datetime.fromtimestamp(time_ms / 1000.0, UTC).strftime("%H:%M:%S")
