"""What is known of each node, from records one by one. Free of I/O; bounded in nodes, history and lines."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from snowthread.console.sorting import SortOrder
from snowthread.records.model import Record, RecordFields, RecordKind

NODES_MAX = 5_000
LINES_MAX = 1_000
HISTORY_S = 60
SILENT_MS = 3_500.0  # a node without a record for so long, by the newest record of all, is silent
REJECTION_LABELS = {"refused": "as read", "refused_held": "held", "refused_leaving": "leaving"}
FAILED = ("failed", "failed_running", "failed_calling")  # names of stored counts


class NodeState(StrEnum):
    """The state of a node; the values are shown, and taken by the option ``--only``."""

    UP = "up"
    SHUTTING_DOWN = "leaving"
    ENDED = "left"
    SILENT = "silent"


@dataclass(slots=True)
class NodeView:
    """One node as it was last recorded. Counts of requests are those of the last second."""

    name: str
    boot: str = ""
    recorded_state: NodeState = NodeState.UP  # never SILENT, see Fleet.state
    at: float = 0.0
    read: int = 0
    served_in_time: int = 0
    rejected: int = 0
    failed: int = 0
    blocking_probability: float = 0.0
    queued: int = 0
    running: int = 0
    call_ms: float = 0.0  # the median, averaged over the outcomes
    memory_mb: float = 0.0
    rejections: dict[str, int] = field(default_factory=dict)  # by when they came
    tenants: dict[str, int] = field(default_factory=dict)  # requests read
    history: deque[int] = field(default_factory=lambda: deque(maxlen=HISTORY_S))  # requests read

    @property
    def share_in_time(self) -> float:
        """Share of the requests read that was served within the latency objective; 1 if none was read."""
        return self.served_in_time / self.read if self.read else 1.0

    def update(self, fields: RecordFields) -> None:
        """Take the fields of a ``second``."""
        self._update_counts(fields)
        calls = fields.get("calls", {}).values()  # of each outcome: count, median and more
        count = sum(summary[0] for summary in calls)
        self.call_ms = sum(summary[0] * summary[1] for summary in calls) / count if count else 0.0
        self.blocking_probability = fields.get("b", 0.0)
        self.queued = fields.get("held", 0)
        self.running = fields.get("running", 0)
        self.memory_mb = fields.get("memory_mb", 0.0)
        self.history.append(self.read)

    def _update_counts(self, fields: RecordFields) -> None:
        self.read = 0
        self.served_in_time = 0
        self.rejected = 0
        self.failed = 0
        self.rejections = {}
        self.tenants = {}
        for _class_name, tenant, counts in fields.get("totals", ()):
            self.read += counts.get("read", 0)
            self.served_in_time += counts.get("served", 0)
            self.failed += sum(counts.get(name, 0) for name in FAILED)
            if tenant:
                self.tenants[tenant] = self.tenants.get(tenant, 0) + counts.get("read", 0)
            self._add_rejections(counts)

    def _add_rejections(self, counts: Mapping[str, int]) -> None:
        for name, label in REJECTION_LABELS.items():
            count = counts.get(name, 0)
            if count:
                self.rejected += count
                self.rejections[label] = self.rejections.get(label, 0) + count


@dataclass(frozen=True, slots=True)
class EventLine:
    """One line on what happened at a node."""

    at: float
    node: str
    text: str


class FleetTotals(NamedTuple):
    """Requests in the last second of all nodes that are up."""

    read: int
    served_in_time: int
    rejected: int
    failed: int


class Fleet:
    """All nodes that appear in records; ``now`` is the time of the newest record."""

    def __init__(self) -> None:
        self.nodes: dict[str, NodeView] = {}
        self.lines: deque[EventLine] = deque(maxlen=LINES_MAX)
        self.now = 0.0
        self.left_out = 0  # records of nodes beyond NODES_MAX

    def add(self, record: Record) -> None:
        """Take one more record."""
        view = self.nodes.get(record.node)
        if view is None:
            if len(self.nodes) >= NODES_MAX:
                self.left_out += 1
                return
            view = NodeView(record.node)
            self.nodes[record.node] = view
        self.now = max(self.now, record.at_ms)
        if record.boot != view.boot:
            if record.kind != RecordKind.START and view.boot and record.at_ms < view.at:
                return  # of an earlier boot, read late
            view.boot = record.boot
            view.recorded_state = NodeState.UP
        view.at = record.at_ms
        if record.kind == RecordKind.SECOND:
            view.update(record.fields)
            return
        if record.kind == RecordKind.DRAIN:
            view.recorded_state = NodeState.SHUTTING_DOWN
        elif record.kind == RecordKind.END:
            view.recorded_state = NodeState.ENDED
        text = _event_text(record.kind, record.fields)
        if text is not None:
            self.lines.append(EventLine(record.at_ms, record.node, text))

    def state(self, view: NodeView) -> NodeState:
        """Return the node's state as of the newest record of all nodes."""
        if view.recorded_state != NodeState.ENDED and self.now - view.at > SILENT_MS:
            return NodeState.SILENT
        return view.recorded_state

    def shown(self, sort: str = SortOrder.NODE, only: str = "") -> list[NodeView]:
        """Return the nodes with this text in their name, or of this state, in this order."""
        views = [view for view in self.nodes.values() if only in view.name or only == self.state(view)]
        return sorted(views, key=self._sort_keys()[SortOrder(sort)])

    def totals(self) -> FleetTotals:
        """Return the sums over the nodes that are up."""
        views = [
            view
            for view in self.nodes.values()
            if self.state(view) in (NodeState.UP, NodeState.SHUTTING_DOWN)
        ]
        return FleetTotals(
            sum(view.read for view in views),
            sum(view.served_in_time for view in views),
            sum(view.rejected for view in views),
            sum(view.failed for view in views),
        )

    def _sort_keys(self) -> dict[SortOrder, Callable[[NodeView], tuple[str | float, ...]]]:
        return {
            SortOrder.NODE: lambda view: (view.name,),
            SortOrder.STATE: lambda view: (self.state(view), view.name),
            SortOrder.READ: lambda view: (-view.read, view.name),
            SortOrder.SHARE_IN_TIME: lambda view: (view.share_in_time, view.name),
            SortOrder.REJECTED: lambda view: (-view.rejected, view.name),
            SortOrder.FAILED: lambda view: (-view.failed, view.name),
            SortOrder.BLOCKING_PROBABILITY: lambda view: (-view.blocking_probability, view.name),
            SortOrder.CALL_DURATION: lambda view: (-view.call_ms, view.name),
        }


def _event_text(kind: str, fields: RecordFields) -> str | None:  # noqa: PLR0911  # a text a kind
    """Return what a record other than a ``second`` says; None of a kind that is not known."""
    match kind:
        case RecordKind.START:
            return f"started, version {fields.get('version', '?')}"
        case RecordKind.DRAIN:
            return f"told to leave, {fields.get('left_ms', 0.0):.0f} ms left"
        case RecordKind.END:
            return f"left after {fields.get('seconds', 0.0):.0f} s"
        case RecordKind.LINK:
            return f"link to the {fields.get('peer', '?')} {'stands' if fields.get('up') else 'lost'}"
        case RecordKind.GAP:
            return f"{fields.get('lost', 0)} records lost: {fields.get('why', '')}"
        case RecordKind.NOTE | RecordKind.CONFIG:
            return str(fields.get("text", ""))
        case RecordKind.REGISTRATION:
            return "listed" if fields.get("taking") else "out of the list"
    return None
