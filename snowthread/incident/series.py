"""Put the metrics per second and the events of a fleet on one time line, in bounded memory. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from snowthread.incident.clocks import Clocks
from snowthread.records.model import BootId, Record, RecordFields, RecordKey, RecordKind

MAX_EVENTS = 50_000  # further events are only counted
MAX_CLASSES = 50  # further classes have no series of their own
# Names of the stored request counts; REJECTED_COUNT_NAMES does not include rejections during a shutdown.
REJECTED_COUNT_NAMES = ("refused", "refused_held")
REJECTED_IN_SHUTDOWN_COUNT_NAME = "refused_leaving"
FAILED_COUNT_NAMES = ("failed", "failed_running", "failed_calling")
NOT_SERVED_IN_TIME_COUNT_NAMES = (
    "late",
    *REJECTED_COUNT_NAMES,
    REJECTED_IN_SHUTDOWN_COUNT_NAME,
    *FAILED_COUNT_NAMES,
)


@dataclass(slots=True)
class NodeSecond:
    """One second of one node: counts of requests, and the calls to the database."""

    key: RecordKey  # key of the ``second`` record
    read: int = 0
    served_in_time: int = 0
    late: int = 0
    rejected: int = 0  # rejected on arrival or while queued, not during a shutdown
    rejected_in_shutdown: int = 0
    failed: int = 0
    unknown_class: int = 0  # requests of classes that are not configured; the other counts exclude them
    calls: int = 0
    call_ms: float = 0.0  # mean over the calls of the median duration of their outcome

    @property
    def not_served_in_time(self) -> int:
        """Requests that were rejected, failed, or served after the latency objective."""
        return self.rejected + self.rejected_in_shutdown + self.failed + self.late


@dataclass(slots=True)
class ClassSecond:
    """Request counts of one class in one second, over all nodes."""

    read: int = 0
    served_in_time: int = 0
    not_served_in_time: int = 0


@dataclass(frozen=True, slots=True)
class TimedEvent:
    """A record that is no ``second``, with its common time and the largest error of that time, in ms."""

    at_ms: float
    bound_ms: float
    record: Record


@dataclass(slots=True)
class BootSummary:
    """The first and last time of one boot on the common time line in ms, and its first and last records."""

    boot_id: BootId
    first_at_ms: float
    last_at_ms: float
    start_record: RecordKey | None = None
    end_record: RecordKey | None = None
    last_record: RecordKey | None = None  # last record that was numbered by the node and not by its writer

    def extend(self, at_ms: float) -> None:
        """Extend the boot so that it includes this time."""
        self.first_at_ms = min(self.first_at_ms, at_ms)
        self.last_at_ms = max(self.last_at_ms, at_ms)


@dataclass(slots=True)
class Series:
    """The records of all nodes on the common time line; seconds are in Unix time."""

    nodes: dict[str, dict[int, NodeSecond]] = field(default_factory=dict)
    classes: dict[str, dict[int, ClassSecond]] = field(default_factory=dict)
    events: list[TimedEvent] = field(default_factory=list)
    boots: dict[BootId, BootSummary] = field(default_factory=dict)
    lost_records: int = 0  # records that ``gap`` records count as lost
    omitted_events: int = 0  # events beyond MAX_EVENTS, which are not kept

    @property
    def span(self) -> tuple[int, int]:
        """The first and the last second of all nodes; zeros if there are none."""
        seconds = [second for rows in self.nodes.values() for second in (min(rows), max(rows))]
        return (min(seconds), max(seconds)) if seconds else (0, 0)

    def other_boots(self, boot_id: BootId) -> list[BootSummary]:
        """Return the other boots of the same node, ordered by their first time."""
        others = [
            boot
            for boot in self.boots.values()
            if boot.boot_id.node == boot_id.node and boot.boot_id != boot_id
        ]
        return sorted(others, key=lambda boot: (boot.first_at_ms, boot.boot_id.boot))


def build_series(records: Iterable[Record], clocks: Clocks) -> Series:
    """Return the series of these records; ``clocks`` has been fitted to the same records."""
    series = Series()
    for record in records:
        at_ms = clocks.common_time(record)
        _add_to_boot(series, record, at_ms)
        if record.kind == RecordKind.SECOND:
            _add_second(series, record, at_ms)
        else:
            _add_event(series, record, at_ms, clocks)
    series.events.sort(key=lambda event: (event.at_ms, event.record.key))
    return series


def _add_to_boot(series: Series, record: Record, at_ms: float) -> None:
    boot = series.boots.get(record.boot_id)
    if boot is None:
        boot = BootSummary(record.boot_id, at_ms, at_ms)
        series.boots[record.boot_id] = boot
    boot.extend(at_ms)
    if record.number > 0:
        boot.last_record = record.key
    if record.kind == RecordKind.START:
        boot.start_record = record.key
    elif record.kind == RecordKind.END:
        boot.end_record = record.key


def _add_second(series: Series, record: Record, at_ms: float) -> None:
    second = int((at_ms - 1.0) // 1000.0)  # a ``second`` record is written at the end of its second
    series.nodes.setdefault(record.node, {})[second] = _node_second(record)
    for name, _tenant, counts in record.fields.get("totals", ()):
        if name in series.classes or (name and len(series.classes) < MAX_CLASSES):
            row = series.classes.setdefault(name, {}).setdefault(second, ClassSecond())
            row.read += counts.get("read", 0)
            row.served_in_time += counts.get("served", 0)
            row.not_served_in_time += _sum_counts(counts, NOT_SERVED_IN_TIME_COUNT_NAMES)


def _add_event(series: Series, record: Record, at_ms: float, clocks: Clocks) -> None:
    if record.kind == RecordKind.GAP:
        series.lost_records += int(record.fields.get("lost", 0))
    if len(series.events) < MAX_EVENTS:
        series.events.append(TimedEvent(at_ms, clocks.bound_ms(record), record))
    else:
        series.omitted_events += 1


def _node_second(record: Record) -> NodeSecond:
    row = NodeSecond(record.key)
    for name, _tenant, counts in record.fields.get("totals", ()):
        if not name:
            row.unknown_class += counts.get("read", 0)
            continue
        row.read += counts.get("read", 0)
        row.served_in_time += counts.get("served", 0)
        row.late += counts.get("late", 0)
        row.rejected += _sum_counts(counts, REJECTED_COUNT_NAMES)
        row.rejected_in_shutdown += counts.get(REJECTED_IN_SHUTDOWN_COUNT_NAME, 0)
        row.failed += _sum_counts(counts, FAILED_COUNT_NAMES)
    _add_calls(row, record.fields)
    return row


def _add_calls(row: NodeSecond, fields: RecordFields) -> None:
    """Add the calls of a second; each outcome has its count and median duration at index 0 and 1."""
    by_outcome = fields.get("calls", {}).values()
    row.calls = sum(summary[0] for summary in by_outcome)
    if row.calls:
        row.call_ms = sum(summary[0] * summary[1] for summary in by_outcome) / row.calls


def _sum_counts(counts: Mapping[str, int], names: Iterable[str]) -> int:
    return sum(counts.get(name, 0) for name in names)
