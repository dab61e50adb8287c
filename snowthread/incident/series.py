"""Put the figures per second of a fleet on one time line, in bounded memory. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from snowthread.incident.clocks import Clocks
from snowthread.records.model import BootId, Record, RecordFields, RecordKey, RecordKind

EVENTS_MAX = 50_000
CLASSES_MAX = 50
REJECTED_ON_ARRIVAL_OR_QUEUED = ("refused", "refused_held")  # names of stored counts
REJECTED_IN_SHUTDOWN = "refused_leaving"
FAILED = ("failed", "failed_running", "failed_calling")
NOT_SERVED_IN_TIME = ("late", *REJECTED_ON_ARRIVAL_OR_QUEUED, REJECTED_IN_SHUTDOWN, *FAILED)


@dataclass(slots=True)
class NodeSecond:
    """One second of one node: counts of requests, and the calls to the database."""

    key: RecordKey  # of the record
    read: int = 0
    served_in_time: int = 0
    late: int = 0
    rejected: int = 0  # without those below
    rejected_in_shutdown: int = 0
    failed: int = 0
    unknown_class: int = 0  # read, of classes that the settings don't name; in none of the others
    calls: int = 0
    call_ms: float = 0.0  # the median, averaged over the outcomes

    @property
    def not_served_in_time(self) -> int:
        """Requests that ended otherwise than served within the latency objective."""
        return self.rejected + self.rejected_in_shutdown + self.failed + self.late


@dataclass(slots=True)
class ClassSecond:
    """One second of one class over all nodes."""

    read: int = 0
    served_in_time: int = 0
    not_served_in_time: int = 0


@dataclass(frozen=True, slots=True)
class TimedEvent:
    """A record of another kind than ``second`` on the common time line; ``bound_ms``: how far off."""

    at_ms: float
    bound_ms: float
    record: Record


@dataclass(slots=True)
class BootSummary:
    """One boot on the common time line, and the records that mark it out."""

    boot_id: BootId
    first_at_ms: float
    last_at_ms: float
    start: RecordKey | None = None
    end: RecordKey | None = None
    last: RecordKey | None = None  # the last record that the node itself numbered

    def extend(self, at: float) -> None:
        """Take another time into the boot."""
        self.first_at_ms = min(self.first_at_ms, at)
        self.last_at_ms = max(self.last_at_ms, at)


@dataclass(slots=True)
class Series:
    """All records on one time line. Seconds are Unix time."""

    nodes: dict[str, dict[int, NodeSecond]] = field(default_factory=dict)
    classes: dict[str, dict[int, ClassSecond]] = field(default_factory=dict)
    events: list[TimedEvent] = field(default_factory=list)
    boots: dict[BootId, BootSummary] = field(default_factory=dict)
    lost: int = 0  # records that are known to be missing
    events_left_out: int = 0  # beyond the limit

    @property
    def span(self) -> tuple[int, int]:
        """The first and the last second; zeros if there is none."""
        seconds = [second for rows in self.nodes.values() for second in (min(rows), max(rows))]
        return (min(seconds), max(seconds)) if seconds else (0, 0)

    def other_boots(self, boot_id: BootId) -> list[BootSummary]:
        """Return the other boots of the same node, by their first time."""
        others = [
            boot
            for boot in self.boots.values()
            if boot.boot_id.node == boot_id.node and boot.boot_id != boot_id
        ]
        return sorted(others, key=lambda boot: (boot.first_at_ms, boot.boot_id.boot))


def build_series(records: Iterable[Record], clocks: Clocks) -> Series:
    """Put records on the time line that the fitted clocks give."""
    series = Series()
    for record in records:
        at = clocks.common_time(record)
        _add_to_boot(series, record, at)
        if record.kind == RecordKind.SECOND:
            _add_second(series, record, at)
        else:
            _add_event(series, record, at, clocks)
    series.events.sort(key=lambda event: (event.at_ms, event.record.key))
    return series


def _add_to_boot(series: Series, record: Record, at: float) -> None:
    boot = series.boots.get(record.boot_id)
    if boot is None:
        boot = BootSummary(record.boot_id, at, at)
        series.boots[record.boot_id] = boot
    boot.extend(at)
    if record.number > 0:
        boot.last = record.key
    if record.kind == RecordKind.START:
        boot.start = record.key
    elif record.kind == RecordKind.END:
        boot.end = record.key


def _add_second(series: Series, record: Record, at: float) -> None:
    second = int((at - 1.0) // 1000.0)  # the record of a second is made at its end
    series.nodes.setdefault(record.node, {})[second] = _node_second(record)
    for name, _tenant, counts in record.fields.get("totals", ()):
        if name in series.classes or (name and len(series.classes) < CLASSES_MAX):
            row = series.classes.setdefault(name, {}).setdefault(second, ClassSecond())
            row.read += counts.get("read", 0)
            row.served_in_time += counts.get("served", 0)
            row.not_served_in_time += _sum_of(counts, NOT_SERVED_IN_TIME)


def _add_event(series: Series, record: Record, at: float, clocks: Clocks) -> None:
    if record.kind == RecordKind.GAP:
        series.lost += int(record.fields.get("lost", 0))
    if len(series.events) < EVENTS_MAX:
        series.events.append(TimedEvent(at, clocks.bound_ms(record), record))
    else:
        series.events_left_out += 1


def _node_second(record: Record) -> NodeSecond:
    row = NodeSecond(record.key)
    for name, _tenant, counts in record.fields.get("totals", ()):
        if not name:
            row.unknown_class += counts.get("read", 0)
            continue
        row.read += counts.get("read", 0)
        row.served_in_time += counts.get("served", 0)
        row.late += counts.get("late", 0)
        row.rejected += _sum_of(counts, REJECTED_ON_ARRIVAL_OR_QUEUED)
        row.rejected_in_shutdown += counts.get(REJECTED_IN_SHUTDOWN, 0)
        row.failed += _sum_of(counts, FAILED)
    _add_calls(row, record.fields)
    return row


def _add_calls(row: NodeSecond, fields: RecordFields) -> None:
    """Take the calls of a second: of each outcome the count and the median duration, among others."""
    by_outcome = fields.get("calls", {}).values()
    row.calls = sum(summary[0] for summary in by_outcome)
    if row.calls:
        row.call_ms = sum(summary[0] * summary[1] for summary in by_outcome) / row.calls


def _sum_of(counts: Mapping[str, int], names: Iterable[str]) -> int:
    return sum(counts.get(name, 0) for name in names)
