"""Estimate the offsets between the clocks of nodes from their records. Free of I/O.

Nodes do not communicate with each other, but the same balancers send requests to several of them, so the
ages of these requests show the differences between the clocks (see ``clock_fit``). When the clock of a node
is set, a new segment with its own offset begins. Segments that are not linked by a balancer, directly or
through other segments, belong to different groups; times are comparable only within a group.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from snowthread.incident.clock_fit import (
    BUCKET_MS,
    UNKNOWN_BOUND_MS,
    AgeSample,
    ClockOffset,
    ClockSegment,
    SampleKey,
    fit_group,
)
from snowthread.records.model import BootId, Record, RecordKind

MIN_STEP_BACK_MS = 500.0  # a clock that goes back by more than this was set
MIN_STEP_FORWARD_MS = 30_000.0  # a clock that goes forward by more than this between two records was set
BEFORE_FIRST_NUMBER = -(2**62)  # lower than the number of any record


@dataclass(slots=True)
class _TimeSpan:
    """The first and the last time of a segment by its node's clock, in ms."""

    first_ms: float
    last_ms: float


@dataclass(frozen=True, slots=True)
class _SegmentStart:
    """The number of the first record of a segment, and the part of the boot that begins there."""

    record_number: int
    part: int


@dataclass(slots=True)
class _BootClock:
    """The time of the last record of one boot that was read, and the segments of the boot so far."""

    last_at_ms: float
    starts: list[_SegmentStart]

    def advance(self, record: Record) -> int:
        """Process the next record of the boot and return the part that it belongs to."""
        stepped_back = record.at_ms < self.last_at_ms - MIN_STEP_BACK_MS
        stepped_forward = record.at_ms > self.last_at_ms + MIN_STEP_FORWARD_MS
        if stepped_back or stepped_forward:
            self.starts.append(_SegmentStart(record.number, self.starts[-1].part + 1))
        self.last_at_ms = record.at_ms
        return self.starts[-1].part

    def part_of(self, record_number: int) -> int:
        """Return the part that the record with this number belongs to."""
        part = 0
        for start in self.starts:
            if record_number >= start.record_number:
                part = start.part
        return part


class Clocks:
    """Estimates the clock offsets of nodes.

    Pass every record to ``add``, those of a node in their order, then call ``fit``. After that,
    ``common_time`` converts the time of a record to the common time line.
    """

    def __init__(self) -> None:
        self._boots: dict[BootId, _BootClock] = {}
        self._spans: dict[ClockSegment, _TimeSpan] = {}
        self._samples: dict[SampleKey, AgeSample] = {}
        self.offsets: dict[ClockSegment, ClockOffset] = {}

    def add(self, record: Record) -> None:
        """Add a record, with the request ages if it is a ``second``."""
        clock = self._boots.get(record.boot_id)
        if clock is None:
            clock = _BootClock(record.at_ms, [_SegmentStart(BEFORE_FIRST_NUMBER, 0)])
            self._boots[record.boot_id] = clock
        segment = ClockSegment(record.node, record.boot, clock.advance(record))
        span = self._spans.setdefault(segment, _TimeSpan(record.at_ms, record.at_ms))
        span.first_ms = min(span.first_ms, record.at_ms)
        span.last_ms = max(span.last_ms, record.at_ms)
        if record.kind == RecordKind.SECOND:
            self._add_samples(segment, record)

    def fit(self) -> dict[ClockSegment, ClockOffset]:
        """Estimate the offsets of all segments, store them in ``offsets`` and return them."""
        for number, segments in enumerate(self._linked_groups()):
            first_seen = {segment: self._spans[segment].first_ms for segment in segments}
            self.offsets |= fit_group(number, first_seen, self._samples)
        return self.offsets

    def segment_of(self, record: Record) -> ClockSegment:
        """Return the segment that a record belongs to."""
        clock = self._boots.get(record.boot_id)
        part = 0 if clock is None else clock.part_of(record.number)
        return ClockSegment(record.node, record.boot, part)

    def common_time(self, record: Record) -> float:
        """Return the time of a record on the common time line of its group, in ms."""
        offset = self.offsets.get(self.segment_of(record))
        return record.at_ms if offset is None else offset.to_common_time(record.at_ms)

    def bound_ms(self, record: Record) -> float:
        """Return the largest error of ``common_time`` for a record in ms; infinite if it is not known."""
        offset = self.offsets.get(self.segment_of(record))
        return UNKNOWN_BOUND_MS if offset is None else offset.bound_ms

    def _add_samples(self, segment: ClockSegment, record: Record) -> None:
        """Keep the least request age of each balancer in the current bucket."""
        bucket = int(record.at_ms // BUCKET_MS)
        for caller, age_ms in record.fields.get("floors", {}).items():
            key = SampleKey(segment, int(caller), bucket)
            sample = AgeSample(age_ms, record.at_ms)
            self._samples[key] = min(sample, self._samples.get(key, sample))

    def _linked_groups(self) -> list[list[ClockSegment]]:
        """Return the groups of segments that are linked by balancers, the largest group first.

        The clock of a balancer is assumed not to be set, so that it links segments at all times.
        """
        links = _DisjointSets()
        for segment in self._spans:
            links.root(segment)
        for key in self._samples:
            links.join(key.segment, key.caller)
        groups: dict[object, list[ClockSegment]] = {}
        for segment in self._sort_by_first_time(self._spans):
            groups.setdefault(links.root(segment), []).append(segment)
        return sorted(
            groups.values(), key=lambda group: (-len(group), group[0].node, group[0].boot, group[0].part)
        )

    def _sort_by_first_time(self, segments: Iterable[ClockSegment]) -> list[ClockSegment]:
        return sorted(
            segments,
            key=lambda segment: (self._spans[segment].first_ms, segment.node, segment.boot, segment.part),
        )


class _DisjointSets:
    """A disjoint-set structure; each set is represented by one of its members."""

    def __init__(self) -> None:
        self._parents: dict[object, object] = {}

    def root(self, member: object) -> object:
        """Return the member that represents the set; a new object forms its own set."""
        parents = self._parents
        while parents.setdefault(member, member) != member:
            parents[member] = parents[parents[member]]
            member = parents[member]
        return member

    def join(self, member: object, other: object) -> None:
        """Merge the sets of two members."""
        self._parents[self.root(member)] = self.root(other)
