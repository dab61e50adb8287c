"""Find how far nodes' clocks are apart from what their records share. Free of I/O.

Nodes do not talk to each other, but the same balancers' requests reach several of them, so the ages of those
requests show the difference between clocks (see ``clock_fit``). A clock that steps begins a new segment with
an offset of its own. Segments that no balancer links, directly or through others, are in different groups;
times are comparable only within a group.
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

STEP_BACK_MS = 500.0  # a clock that goes back by more was set
STEP_FORWARD_MS = 30_000.0  # and so was one that goes forward by more between two records
FIRST_NUMBER = -(2**62)  # below the number of any record


@dataclass(slots=True)
class _TimeSpan:
    """The first and the last time of a segment by its node's clock, in ms."""

    first: float
    last: float


@dataclass(frozen=True, slots=True)
class _SegmentStart:
    """The number of the record with which a segment begins."""

    record_number: int
    part: int


@dataclass(slots=True)
class _BootClock:
    """The clock of one boot as far as its records were read."""

    last_at: float
    starts: list[_SegmentStart]

    def advance(self, record: Record) -> int:
        """Take the next record and return the part it is in."""
        stepped_back = record.at_ms < self.last_at - STEP_BACK_MS
        stepped_forward = record.at_ms > self.last_at + STEP_FORWARD_MS
        if stepped_back or stepped_forward:
            self.starts.append(_SegmentStart(record.number, self.starts[-1].part + 1))
        self.last_at = record.at_ms
        return self.starts[-1].part

    def part_of(self, record_number: int) -> int:
        """Return the part that a record is in."""
        part = 0
        for start in self.starts:
            if record_number >= start.record_number:
                part = start.part
        return part


class Clocks:
    """Offsets of nodes' clocks.

    Give it every record in its node's order with ``add``, then call ``fit``; after that ``common_time``
    returns a record's time on the common time line.
    """

    def __init__(self) -> None:
        self._boots: dict[BootId, _BootClock] = {}
        self._spans: dict[ClockSegment, _TimeSpan] = {}
        self._samples: dict[SampleKey, AgeSample] = {}
        self.offsets: dict[ClockSegment, ClockOffset] = {}

    def add(self, record: Record) -> None:
        """Take one record."""
        clock = self._boots.get(record.boot_id)
        if clock is None:
            clock = _BootClock(record.at_ms, [_SegmentStart(FIRST_NUMBER, 0)])
            self._boots[record.boot_id] = clock
        segment = ClockSegment(record.node, record.boot, clock.advance(record))
        span = self._spans.setdefault(segment, _TimeSpan(record.at_ms, record.at_ms))
        span.first = min(span.first, record.at_ms)
        span.last = max(span.last, record.at_ms)
        if record.kind == RecordKind.SECOND:
            self._add_samples(segment, record)

    def fit(self) -> dict[ClockSegment, ClockOffset]:
        """Find and return the offsets of all segments."""
        for number, segments in enumerate(self._groups()):
            first_seen = {segment: self._spans[segment].first for segment in segments}
            self.offsets |= fit_group(number, first_seen, self._samples)
        return self.offsets

    def segment_of(self, record: Record) -> ClockSegment:
        """Return the segment that a record belongs to."""
        clock = self._boots.get(record.boot_id)
        part = 0 if clock is None else clock.part_of(record.number)
        return ClockSegment(record.node, record.boot, part)

    def common_time(self, record: Record) -> float:
        """Return a record's time on its group's common time line, in ms."""
        offset = self.offsets.get(self.segment_of(record))
        return record.at_ms if offset is None else offset.to_common_time(record.at_ms)

    def bound_ms(self, record: Record) -> float:
        """Return how far off that time may be, in ms; infinite if that is not known."""
        offset = self.offsets.get(self.segment_of(record))
        return UNKNOWN_BOUND_MS if offset is None else offset.bound_ms

    def _add_samples(self, segment: ClockSegment, record: Record) -> None:
        """Keep the least age that each balancer's requests show in this bucket."""
        bucket = int(record.at_ms // BUCKET_MS)
        for caller, age_ms in record.fields.get("floors", {}).items():
            key = SampleKey(segment, int(caller), bucket)
            sample = AgeSample(age_ms, record.at_ms)
            self._samples[key] = min(sample, self._samples.get(key, sample))

    def _groups(self) -> list[list[ClockSegment]]:
        """Return the segments that balancers link, the largest group first.

        A balancer counts as one clock throughout.
        """
        links = _DisjointSets()
        for segment in self._spans:
            links.root(segment)
        for key in self._samples:
            links.join(key.segment, key.caller)
        groups: dict[object, list[ClockSegment]] = {}
        for segment in self._by_first_time(self._spans):
            groups.setdefault(links.root(segment), []).append(segment)
        return sorted(
            groups.values(), key=lambda group: (-len(group), group[0].node, group[0].boot, group[0].part)
        )

    def _by_first_time(self, segments: Iterable[ClockSegment]) -> list[ClockSegment]:
        return sorted(
            segments,
            key=lambda segment: (self._spans[segment].first, segment.node, segment.boot, segment.part),
        )


class _DisjointSets:
    """Sets of objects that are linked, each named by one of its members."""

    def __init__(self) -> None:
        self._parents: dict[object, object] = {}

    def root(self, member: object) -> object:
        """Return the member that names the set; an object that is new is a set of its own."""
        parents = self._parents
        while parents.setdefault(member, member) != member:
            parents[member] = parents[parents[member]]
            member = parents[member]
        return member

    def join(self, member: object, other: object) -> None:
        """Join the sets of two members."""
        self._parents[self.root(member)] = self.root(other)
