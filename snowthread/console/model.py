"""What the console shows, from records one by one. Free of I/O; bounded in nodes, history and lines."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from snowthread.records.model import Record

NODES_MOST, LINES_MOST, HISTORY = 5_000, 1_000, 60
SILENT_MS = 3_500.0  # a node that says nothing for so long, by the newest record of all, is silent
SORTS = ("node", "state", "read", "aim", "refused", "failed", "b", "calls")


@dataclass(slots=True)
class NodeView:
    """One node as it was told last."""

    name: str
    boot: str = ""
    state: str = "up"  # up, leaving, left
    at: float = 0.0
    read: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    b: float = 0.0
    held: int = 0
    running: int = 0
    in_hand: int = 0
    call_ms: float = 0.0
    memory_mb: float = 0.0
    reasons: dict[str, int] = field(default_factory=dict)
    tenants: dict[str, int] = field(default_factory=dict)
    history: deque[int] = field(default_factory=lambda: deque(maxlen=HISTORY))

    @property
    def aim(self) -> float:
        """Share of what was read that was served in its aim; 1 where nothing was read."""
        return self.good / self.read if self.read else 1.0


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the course of things."""

    at: float
    node: str
    text: str


class Fleet:
    """All nodes that records tell of."""

    def __init__(self) -> None:
        self.nodes: dict[str, NodeView] = {}
        self.lines: deque[Line] = deque(maxlen=LINES_MOST)
        self.now = 0.0
        self.left_out = 0

    def take(self, record: Record) -> None:
        """One more record."""
        view = self.nodes.get(record.node)
        if view is None:
            if len(self.nodes) >= NODES_MOST:
                self.left_out += 1
                return
            view = self.nodes[record.node] = NodeView(record.node)
        self.now = max(self.now, record.at)
        f = record.fields
        if record.boot != view.boot:
            if record.kind != "start" and view.boot and record.at < view.at:
                return  # of an earlier life, come late
            view.boot, view.state = record.boot, "up"
        view.at = record.at
        match record.kind:
            case "second":
                self._second(view, record)
            case "start":
                self._say(record, f"started, version {f.get('version', '?')}")
            case "drain":
                view.state = "leaving"
                self._say(record, f"told to leave, {f.get('left_ms', 0.0):.0f} ms left")
            case "end":
                view.state = "left"
                self._say(record, f"left after {f.get('seconds', 0.0):.0f} s")
            case "link":
                self._say(record, f"link to the {f.get('peer', '?')} {'stands' if f.get('up') else 'lost'}")
            case "gap":
                self._say(record, f"{f.get('lost', 0)} records lost: {f.get('why', '')}")
            case "note" | "config":
                self._say(record, str(f.get("text", "")))
            case "list":
                self._say(record, "listed" if f.get("taking") else "out of the list")

    def _say(self, record: Record, text: str) -> None:
        self.lines.append(Line(record.at, record.node, text))

    def _second(self, view: NodeView, record: Record) -> None:
        f = record.fields
        view.read = view.good = view.late = view.refused = view.failed = 0
        view.reasons, view.tenants = {}, {}
        for _name, tenant, counts in f.get("totals", ()):
            view.read += counts.get("read", 0)
            view.good += counts.get("served", 0)
            view.late += counts.get("late", 0)
            if tenant:
                view.tenants[tenant] = view.tenants.get(tenant, 0) + counts.get("read", 0)
            for reason, label in (
                ("refused", "as read"),
                ("refused_held", "held"),
                ("refused_leaving", "leaving"),
            ):
                if counts.get(reason):
                    view.refused += counts[reason]
                    view.reasons[label] = view.reasons.get(label, 0) + counts[reason]
            view.failed += sum(counts.get(k, 0) for k in ("failed", "failed_running", "failed_calling"))
        calls = f.get("calls", {}).values()
        count = sum(c[0] for c in calls)
        view.call_ms = sum(c[0] * c[1] for c in calls) / count if count else 0.0
        view.b, view.held, view.running = f.get("b", 0.0), f.get("held", 0), f.get("running", 0)
        view.in_hand, view.memory_mb = f.get("calls_in_hand", 0), f.get("memory_mb", 0.0)
        view.history.append(view.read)

    def state(self, view: NodeView) -> str:
        """The node's state, judged by the newest record of all."""
        if view.state != "left" and self.now - view.at > SILENT_MS:
            return "silent"
        return view.state

    def shown(self, sort: str = "node", only: str = "") -> list[NodeView]:
        """The nodes whose name or state has this text in it, in this order; figures the highest first."""
        nodes = [v for v in self.nodes.values() if only in v.name or only == self.state(v)]
        keys = {
            "node": lambda v: (v.name,),
            "state": lambda v: (self.state(v), v.name),
            "read": lambda v: (-v.read, v.name),
            "aim": lambda v: (v.aim, v.name),
            "refused": lambda v: (-v.refused, v.name),
            "failed": lambda v: (-v.failed, v.name),
            "b": lambda v: (-v.b, v.name),
            "calls": lambda v: (-v.call_ms, v.name),
        }
        return sorted(nodes, key=keys[sort])

    def totals(self) -> tuple[int, int, int, int]:
        """Read, served in aim, refused and failed in the last second of the nodes that are up."""
        up = [v for v in self.nodes.values() if self.state(v) in ("up", "leaving")]
        return (
            sum(v.read for v in up),
            sum(v.good for v in up),
            sum(v.refused for v in up),
            sum(v.failed for v in up),
        )
