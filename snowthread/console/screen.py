"""Render the console with rich, at 80 columns or more, with or without colour, and also as plain text."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Literal

from rich.console import Console, Group, RenderableType
from rich.table import Table
from rich.text import Text

from snowthread.console.model import HISTORY_SECONDS, EventLine, Fleet, NodeState, NodeView
from snowthread.console.sorting import SortOrder

BAR_CHARACTERS = " ▁▂▃▄▅▆▇█"
STATE_STYLES = {
    NodeState.UP: "green",
    NodeState.SHUTTING_DOWN: "yellow",
    NodeState.ENDED: "dim",
    NodeState.SILENT: "bold red",
}
MAX_NODE_CHARS = 14  # longest part of a node name that is shown
MIN_WIDTH_WITH_HISTORY = 100  # narrower screens omit the request history of the nodes
TABLE_WIDTH_WITHOUT_HISTORY = 82  # characters of a row without the request history
FIXED_LINES = 6  # screen lines that show neither nodes nor events
MIN_ROWS = 3  # fewest rows of nodes, and fewest rows of events
MAX_TENANTS_SHOWN = 5
MAX_TENANT_CHARS = 12  # longest part of a tenant name that is shown
# Columns of the node table. "slo" is the share of requests served within the latency objective, "block" the
# blocking probability, "run" the running requests, "call" the call duration in ms, "MB" the memory.
COLUMNS: tuple[tuple[str, Literal["left", "right"]], ...] = (
    ("node", "left"),
    ("state", "left"),
    ("req", "right"),
    ("slo", "right"),
    ("rej", "right"),
    ("fail", "right"),
    ("block", "right"),
    ("queue", "right"),
    ("run", "right"),
    ("call", "right"),
    ("MB", "right"),
)


@dataclass(slots=True)
class ViewOptions:
    """Which nodes and events are shown, and in which order; ``filter_text`` is part of a name, or a state."""

    sort: str = SortOrder.NODE
    filter_text: str = ""
    page: int = 0
    scroll: int = 0  # number of newest event lines that are skipped


@dataclass(frozen=True, slots=True)
class _Page:
    """One page of the list of nodes; ``number`` counts from zero, ``count`` is the number of pages."""

    views: Sequence[NodeView]
    number: int
    count: int


def render_screen(fleet: Fleet, view_options: ViewOptions, width: int, height: int) -> RenderableType:
    """Return the screen, ``width`` characters wide and about ``height`` lines high."""
    views = fleet.select_nodes(view_options.sort, view_options.filter_text)
    rows = max(MIN_ROWS, (height - FIXED_LINES) * 2 // 3)
    page = _page(views, view_options.page, rows)
    events = _visible_events(fleet, view_options.scroll, max(MIN_ROWS, height - rows - FIXED_LINES))
    parts: list[RenderableType] = [
        _header(fleet),
        _node_table(fleet, page, width),
        *_rejections_line(views),
        *_tenants_line(views),
        *(_event_text(line) for line in events),
        _footer(view_options, page),
    ]
    return Group(*parts)


def render_text(fleet: Fleet, view_options: ViewOptions, width: int = 80, height: int = 24) -> str:
    """Return the screen as plain text without colour."""
    console = Console(width=width, no_color=True, force_terminal=False, legacy_windows=False)
    with console.capture() as captured:
        console.print(render_screen(fleet, view_options, width, height))
    return captured.get()


def _page(views: Sequence[NodeView], wanted: int, rows: int) -> _Page:
    """Return the wanted page, or the nearest one that exists."""
    count = max(1, -(-len(views) // rows))
    number = min(max(0, wanted), count - 1)
    return _Page(views[number * rows : (number + 1) * rows], number, count)


def _visible_events(fleet: Fleet, scroll: int, rows: int) -> list[EventLine]:
    lines = list(fleet.event_lines)
    end = max(0, len(lines) - scroll)
    return lines[max(0, end - rows) : end]


def _header(fleet: Fleet) -> Text:
    totals = fleet.totals()
    when = _format_time_of_day(fleet.now_ms) if fleet.now_ms else "--:--:--"
    share = f"{100.0 * totals.served_in_time / totals.read:.0f} %" if totals.read else "-"
    return Text(
        f"{when} UTC  {len(fleet.nodes)} nodes  {totals.read}/s received  {share} in time  "
        f"{totals.rejected}/s rejected  {totals.failed}/s failed",
        style="bold",
        overflow="ellipsis",
        no_wrap=True,
    )


def _node_table(fleet: Fleet, page: _Page, width: int) -> Table:
    table = Table(box=None, padding=(0, 1), expand=False, show_edge=False)
    for name, justify in COLUMNS:
        max_width = MAX_NODE_CHARS if name == "node" else None
        table.add_column(name, justify=justify, no_wrap=True, overflow="ellipsis", max_width=max_width)
    with_history = width >= MIN_WIDTH_WITH_HISTORY
    if with_history:
        table.add_column("last minute", no_wrap=True)
    for view in page.views:
        cells = _cells(view, fleet.state(view))
        if with_history:
            cells.append(_history_bars(view, width - TABLE_WIDTH_WITHOUT_HISTORY))
        table.add_row(*cells)
    return table


def _cells(view: NodeView, state: NodeState) -> list[RenderableType]:
    """Return the cells of the row of a node, in the order of COLUMNS."""
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


def _history_bars(view: NodeView, width: int) -> str:
    """Return the requests of the last seconds as a bar chart with one character per second."""
    recent = list(view.request_history)[-max(1, min(HISTORY_SECONDS, width)) :]
    most = max(recent, default=0) or 1
    highest = len(BAR_CHARACTERS) - 1
    return "".join(BAR_CHARACTERS[min(highest, round(highest * count / most))] for count in recent)


def _rejections_line(views: Sequence[NodeView]) -> list[Text]:
    """Return a line with the rejected requests by stage, or nothing if there are none."""
    counts: Counter[str] = Counter()
    for view in views:
        counts.update(view.rejections_by_stage)
    if not counts:
        return []
    listed = ", ".join(f"{label} {count}/s" for label, count in sorted(counts.items()))
    return [Text(f"rejected: {listed}", no_wrap=True)]


def _tenants_line(views: Sequence[NodeView]) -> list[Text]:
    """Return a line with the tenants that have the most requests, or nothing if there are no tenants."""
    counts: Counter[str] = Counter()
    for view in views:
        counts.update(view.requests_by_tenant)
    if not counts:
        return []
    top = sorted(counts.items(), key=lambda item: (-item[1], item[0]))[:MAX_TENANTS_SHOWN]
    listed = ", ".join(f"{tenant[:MAX_TENANT_CHARS]} {count}/s" for tenant, count in top)
    return [Text(f"tenants: {listed}", no_wrap=True, overflow="ellipsis")]


def _event_text(line: EventLine) -> Text:
    return Text(
        f"{_format_time_of_day(line.at_ms)} {line.node} {line.text}", no_wrap=True, overflow="ellipsis"
    )


def _footer(view_options: ViewOptions, page: _Page) -> Text:
    only = f", only {view_options.filter_text}" if view_options.filter_text else ""
    return Text(
        f"page {page.number + 1} of {page.count}, sorted by {view_options.sort}{only}   "
        "q quit  n/p page  s sort  j/k scroll events",
        style="dim",
        no_wrap=True,
        overflow="ellipsis",
    )


def _format_time_of_day(time_ms: float) -> str:
    return datetime.fromtimestamp(time_ms / 1000.0, UTC).strftime("%H:%M:%S")
