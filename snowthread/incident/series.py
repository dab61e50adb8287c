"""Per-second figures of a fleet on one time line, in bounded memory: a small row a node and second."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from snowthread.incident.clocks import Clocks
from snowthread.records.model import Record

Key = tuple[str, str, int]
DAY_S = 86_400
EVENTS_MOST = 50_000
CLASSES_MOST = 50
AWAY = ("late", "refused", "refused_held", "refused_leaving", "failed", "failed_running", "failed_calling")


@dataclass(slots=True)
class Row:
    """One second of one node."""

    key: Key
    read: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    leaving: int = 0
    failed: int = 0
    nonsense: int = 0  # of classes that nobody knows
    call_ms: float = 0.0  # the middle call
    calls: int = 0
    calls_failed: int = 0
    b: float = 0.0
    memory_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class Event:
    """A record that is no second, on the common time line."""

    at: float
    bound: float
    group: int
    record: Record


@dataclass(slots=True)
class Series:
    """All of it. ``rows``: of each node, by second; ``lost``: records that are known to be missing."""

    rows: dict[str, dict[int, Row]] = field(default_factory=dict)
    classes: dict[str, dict[int, list[int]]] = field(default_factory=dict)  # read, in aim, turned away
    events: list[Event] = field(default_factory=list)
    aims: dict[str, float] = field(default_factory=dict)
    boots: dict[tuple[str, str], list[float]] = field(default_factory=dict)  # first and last true time
    starts: dict[tuple[str, str], Key] = field(default_factory=dict)
    ends: dict[tuple[str, str], Key] = field(default_factory=dict)
    lasts: dict[tuple[str, str], Key] = field(default_factory=dict)
    lost: int = 0
    left_out: int = 0  # events beyond the most that are kept

    @property
    def span(self) -> tuple[int, int]:
        """The first and the last second."""
        seconds = [s for rows in self.rows.values() for s in (min(rows), max(rows)) if rows]
        return (min(seconds), max(seconds)) if seconds else (0, 0)


def build(records: Iterable[Record], clocks: Clocks) -> Series:
    """Lay records on the line that the clocks' fit gives."""
    out = Series()
    for record in records:
        at = clocks.true(record)
        boot = record.node, record.boot
        span = out.boots.setdefault(boot, [at, at])
        span[0], span[1] = min(span[0], at), max(span[1], at)
        if record.number > 0:
            out.lasts[boot] = record.key
        if record.kind == "second":
            # A second's record stands at its end.
            second = int((at - 1.0) // 1000.0)
            out.rows.setdefault(record.node, {})[second] = _row(record)
            _classes(out.classes, second, record)
            continue
        if record.kind == "start":
            out.starts[boot] = record.key
        elif record.kind == "end":
            out.ends[boot] = record.key
        elif record.kind == "gap":
            out.lost += int(record.fields.get("lost", 0))
        if len(out.events) < EVENTS_MOST:
            out.events.append(Event(at, clocks.bound(record), clocks.group(record), record))
        else:
            out.left_out += 1
    out.events.sort(key=lambda e: (e.at, e.record.key))
    return out


def _classes(classes: dict[str, dict[int, list[int]]], second: int, record: Record) -> None:
    for name, _tenant, counts in record.fields.get("totals", ()):
        if name in classes or (name and len(classes) < CLASSES_MOST):
            row = classes.setdefault(name, {}).setdefault(second, [0, 0, 0])
            row[0] += counts.get("read", 0)
            row[1] += counts.get("served", 0)
            row[2] += sum(counts.get(k, 0) for k in AWAY)


def _row(record: Record) -> Row:
    f = record.fields
    row = Row(record.key, b=float(f.get("b", 0.0)), memory_mb=float(f.get("memory_mb", 0.0)))
    for name, _tenant, counts in f.get("totals", ()):
        if not name:  # a class that nobody knows: no traffic of the shop's
            row.nonsense += counts.get("read", 0)
            continue
        row.read += counts.get("read", 0)
        row.good += counts.get("served", 0)
        row.late += counts.get("late", 0)
        row.refused += counts.get("refused", 0) + counts.get("refused_held", 0)
        row.leaving += counts.get("refused_leaving", 0)
        row.failed += sum(counts.get(k, 0) for k in ("failed", "failed_running", "failed_calling"))
    calls = f.get("calls", {})
    row.calls = sum(c[0] for c in calls.values())
    row.calls_failed = row.calls - calls.get("success", [0])[0]
    if row.calls:
        row.call_ms = sum(c[0] * c[1] for c in calls.values()) / row.calls
    return row
