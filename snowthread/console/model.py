"""Keep the present state of each node and recent events, from single records. Free of I/O, bounded memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from snowthread.console.sorting import SortOrder
from snowthread.records.model import Record, RecordFields, RecordKind

MAX_NODES = 5_000  # records of further nodes are ignored
MAX_EVENT_LINES = 1_000  # only the newest events are kept
HISTORY_SECONDS = 60  # latest seconds of which the requests of a node are kept
# A node is silent if its last record is older than the newest record of all nodes by more than this.
MAX_SILENCE_MS = 3_500.0
# Stage in which a request was rejected, by the name of the stored count.
REJECTION_STAGES = {"refused": "on arrival", "refused_held": "queued", "refused_leaving": "in shutdown"}
# Names of the stored counts of failed requests.
FAILED_COUNT_NAMES = ("failed", "failed_running", "failed_calling")


class NodeState(StrEnum):
    """The state of a node; the values are shown, and accepted by the option ``--only``."""

    UP = "up"
    SHUTTING_DOWN = "leaving"
    ENDED = "left"
    SILENT = "silent"


@dataclass(slots=True)
class NodeView:
    """The last recorded state of one node; request counts are those of the last recorded second.

    ``rejections_by_stage`` counts rejected requests by the stage in which they were rejected, and
    ``request_history`` holds the number of received requests in each of the latest seconds.
    """

    name: str
    boot: str = ""
    recorded_state: NodeState = NodeState.UP  # never SILENT, which depends on the records of other nodes
    last_record_at_ms: float = 0.0
    read: int = 0
    served_in_time: int = 0
    rejected: int = 0
    failed: int = 0
    blocking_probability: float = 0.0
    queued: int = 0
    running: int = 0
    call_ms: float = 0.0  # mean over the calls of the median duration of their outcome
    memory_mb: float = 0.0
    rejections_by_stage: dict[str, int] = field(default_factory=dict)
    requests_by_tenant: dict[str, int] = field(default_factory=dict)
    request_history: deque[int] = field(default_factory=lambda: deque(maxlen=HISTORY_SECONDS))

    @property
    def share_in_time(self) -> float:
        """The share of requests that were served within the latency objective; 1 if there were none."""
        return self.served_in_time / self.read if self.read else 1.0

    def update(self, fields: RecordFields) -> None:
        """Update the node from the fields of a ``second`` record."""
        self._update_counts(fields)
        calls = fields.get(
            "calls", {}
        ).values()  # one list per outcome, with its count and median duration at index 0 and 1
        count = sum(summary[0] for summary in calls)
        self.call_ms = sum(summary[0] * summary[1] for summary in calls) / count if count else 0.0
        self.blocking_probability = fields.get("b", 0.0)
        self.queued = fields.get("held", 0)
        self.running = fields.get("running", 0)
        self.memory_mb = fields.get("memory_mb", 0.0)
        self.request_history.append(self.read)

    def _update_counts(self, fields: RecordFields) -> None:
        self.read = 0
        self.served_in_time = 0
        self.rejected = 0
        self.failed = 0
        self.rejections_by_stage = {}
        self.requests_by_tenant = {}
        for _class_name, tenant, counts in fields.get("totals", ()):
            self.read += counts.get("read", 0)
            self.served_in_time += counts.get("served", 0)
            self.failed += sum(counts.get(name, 0) for name in FAILED_COUNT_NAMES)
            if tenant:
                self.requests_by_tenant[tenant] = self.requests_by_tenant.get(tenant, 0) + counts.get(
                    "read", 0
                )
            self._add_rejections(counts)

    def _add_rejections(self, counts: Mapping[str, int]) -> None:
        for name, stage in REJECTION_STAGES.items():
            count = counts.get(name, 0)
            if count:
                self.rejected += count
                self.rejections_by_stage[stage] = self.rejections_by_stage.get(stage, 0) + count


@dataclass(frozen=True, slots=True)
class EventLine:
    """The text of one event of a node, and its time in Unix milliseconds."""

    at_ms: float
    node: str
    text: str


class FleetTotals(NamedTuple):
    """Sums of request counts in the last recorded second, over the nodes that are running."""

    read: int
    served_in_time: int
    rejected: int
    failed: int


class Fleet:
    """All nodes that appear in records; ``now_ms`` is the time of the newest record of all nodes."""

    def __init__(self) -> None:
        self.nodes: dict[str, NodeView] = {}
        self.event_lines: deque[EventLine] = deque(maxlen=MAX_EVENT_LINES)
        self.now_ms = 0.0
        self.ignored_records = 0  # records of nodes beyond MAX_NODES, which are not shown

    def add(self, record: Record) -> None:
        """Update the node and the events from one more record."""
        view = self.nodes.get(record.node)
        if view is None:
            if len(self.nodes) >= MAX_NODES:
                self.ignored_records += 1
                return
            view = NodeView(record.node)
            self.nodes[record.node] = view
        self.now_ms = max(self.now_ms, record.at_ms)
        if record.boot != view.boot:
            if record.kind != RecordKind.START and view.boot and record.at_ms < view.last_record_at_ms:
                return  # the record belongs to an earlier boot and was read late
            view.boot = record.boot
            view.recorded_state = NodeState.UP
        view.last_record_at_ms = record.at_ms
        if record.kind == RecordKind.SECOND:
            view.update(record.fields)
            return
        if record.kind == RecordKind.DRAIN:
            view.recorded_state = NodeState.SHUTTING_DOWN
        elif record.kind == RecordKind.END:
            view.recorded_state = NodeState.ENDED
        text = _event_text(record.kind, record.fields)
        if text is not None:
            self.event_lines.append(EventLine(record.at_ms, record.node, text))

    def state(self, view: NodeView) -> NodeState:
        """Return the state of a node at the time of the newest record of all nodes."""
        if view.recorded_state != NodeState.ENDED and self.now_ms - view.last_record_at_ms > MAX_SILENCE_MS:
            return NodeState.SILENT
        return view.recorded_state

    def select_nodes(self, sort: str = SortOrder.NODE, only: str = "") -> list[NodeView]:
        """Return the sorted nodes whose name contains ``only`` or whose state is ``only``."""
        views = [view for view in self.nodes.values() if only in view.name or only == self.state(view)]
        return sorted(views, key=self._sort_keys()[SortOrder(sort)])

    def totals(self) -> FleetTotals:
        """Return the sums over the nodes that are up or shutting down."""
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


def _event_text(kind: str, fields: RecordFields) -> str | None:  # noqa: PLR0911  # one text for each kind
    """Return the text for a record other than a ``second``; None if its kind is not known."""
    match kind:
        case RecordKind.START:
            return f"started, version {fields.get('version', '?')}"
        case RecordKind.DRAIN:
            return f"asked to shut down, {fields.get('left_ms', 0.0):.0f} ms left"
        case RecordKind.END:
            return f"stopped after {fields.get('seconds', 0.0):.0f} s"
        case RecordKind.LINK:
            return (
                f"connection to the {fields.get('peer', '?')} {'established' if fields.get('up') else 'lost'}"
            )
        case RecordKind.GAP:
            return f"{fields.get('lost', 0)} records lost: {fields.get('why', '')}"
        case RecordKind.NOTE | RecordKind.CONFIG:
            return str(fields.get("text", ""))
        case RecordKind.REGISTRATION:
            return (
                "registered as accepting work" if fields.get("taking") else "registered as not accepting work"
            )
    return None
