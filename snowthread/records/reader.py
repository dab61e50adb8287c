"""Read records back: any number of nodes' files, in any order, damaged anywhere, in bounded memory.

The files of one boot follow each other by their numbers; boots and nodes are merged by time. Copies of a
record are dropped, missing numbers are reported as gaps and invalid stretches as corrupt frames.
"""

from __future__ import annotations

import heapq
import re
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from operator import itemgetter
from pathlib import Path
from typing import ClassVar, NamedTuple

from snowthread.records.files import RECORD_FILE_SUFFIX
from snowthread.records.frame import FrameReader, InvalidFrame
from snowthread.records.model import BootId, Record, RecordKey

CHUNK_BYTES = 64 * 1024
MAX_SEEN_RECORDS = 4096  # of a boot, whose copies are recognised
_FILE_NAME = re.compile(
    r"(?P<node>.+)-(?P<at>[0-9]+)-(?P<boot>[0-9a-f]+)-(?P<count>[0-9]+)" + re.escape(RECORD_FILE_SUFFIX)
)


@dataclass(frozen=True, slots=True)
class Gap:
    """Consecutive records of a boot that are missing."""

    node: str
    boot: str
    last_number: int  # number of the last record before the gap
    count: int
    at: float  # time of the first record after the gap


@dataclass(frozen=True, slots=True)
class CorruptFrame:
    """A stretch of a file that can't be read."""

    path: Path
    frame: InvalidFrame


@dataclass(slots=True)
class Findings:
    """What was read, and what was wrong with it."""

    gaps: list[Gap] = field(default_factory=list)
    corrupt_frames: list[CorruptFrame] = field(default_factory=list)
    duplicates: int = 0
    unreadable: list[str] = field(default_factory=list)
    records: int = 0
    files: int = 0
    unlisted_findings: int = 0  # gaps and corrupt frames beyond those listed

    MAX_LISTED: ClassVar[int] = 1000  # gaps and corrupt frames

    @property
    def problems(self) -> int:
        """How many things were wrong."""
        return len(self.unreadable) + len(self.corrupt_frames) + len(self.gaps) + self.unlisted_findings

    def add(self, found: Gap | CorruptFrame) -> None:
        """List a finding, or only count it beyond the bound."""
        if len(self.gaps) + len(self.corrupt_frames) >= self.MAX_LISTED:
            self.unlisted_findings += 1
        elif isinstance(found, Gap):
            self.gaps.append(found)
        else:
            self.corrupt_frames.append(found)


class _TimedRecord(NamedTuple):
    """A record with its place in the merged order."""

    latest_at: float  # the latest time that the record's file chain has shown so far
    key: RecordKey
    record: Record


_BY_TIME_AND_KEY = itemgetter(0, 1)  # of a _TimedRecord


@dataclass(slots=True)
class _BootProgress:
    """What has been read of one boot."""

    highest_number: int = 0
    seen: OrderedDict[int, None] = field(default_factory=OrderedDict)  # the latest numbers

    def add(self, number: int) -> None:
        """Remember that a record was read."""
        self.highest_number = max(self.highest_number, number)
        self.seen[number] = None
        if len(self.seen) > MAX_SEEN_RECORDS:
            self.seen.popitem(last=False)


def find_files(places: Iterable[Path]) -> list[Path]:
    """Return the files of records among files and folders, each once."""
    found: dict[Path, None] = {}
    for place in places:
        for path in sorted(place.rglob(f"*{RECORD_FILE_SUFFIX}")) if place.is_dir() else [place]:
            found[path.resolve()] = None
    return list(found)


def merge_records(places: Iterable[Path], findings: Findings) -> Iterator[Record]:
    """Yield the records of all files and folders, each once, by time as their nodes' clocks have it.

    A node whose clock steps back stays in the order of its numbers: until its clock has caught up, its
    records come as of the latest time it has shown. What is wrong is added to ``findings``.
    """
    progress: dict[BootId, _BootProgress] = {}
    streams = [_read_chain(chain, findings) for chain in _chains(find_files(places))]
    for _, _, record in heapq.merge(*streams, key=_BY_TIME_AND_KEY):
        boot_id = record.boot_id
        boot = progress.get(boot_id)
        if boot is None:
            boot = _BootProgress()
            progress[boot_id] = boot
        if record.number in boot.seen:
            findings.duplicates += 1
            continue
        missing = record.number - boot.highest_number - 1
        if missing > 0:
            findings.add(Gap(record.node, record.boot, boot.highest_number, missing, record.at_ms))
        boot.add(record.number)
        findings.records += 1
        yield record


def _chains(paths: Iterable[Path]) -> list[list[Path]]:
    """Group files that follow each other: those of one boot by their count, any other file alone."""
    chains: dict[object, list[tuple[int, Path]]] = {}
    for path in paths:
        match = _FILE_NAME.fullmatch(path.name)
        if match is None:
            chains.setdefault(path, []).append((0, path))
        else:
            chain = path.parent, match["node"], match["boot"]
            chains.setdefault(chain, []).append((int(match["count"]), path))
    return [[path for _, path in sorted(chain)] for chain in chains.values()]


def _read_chain(chain: Iterable[Path], findings: Findings) -> Iterator[_TimedRecord]:
    latest_at = 0.0
    for path in chain:
        for record in _read_file(path, findings):
            latest_at = max(latest_at, record.at_ms)
            yield _TimedRecord(latest_at, record.key, record)


def _read_file(path: Path, findings: Findings) -> Iterator[Record]:
    reader = FrameReader()
    findings.files += 1
    try:
        with path.open("rb") as source:
            while data := source.read(CHUNK_BYTES):
                yield from _records_of(path, reader.feed(data), findings)
    except OSError as error:
        findings.unreadable.append(f"{path}: {error.strerror}")
    yield from _records_of(path, reader.end(), findings)


def _records_of(path: Path, items: Iterable[Record | InvalidFrame], findings: Findings) -> Iterator[Record]:
    for item in items:
        if isinstance(item, InvalidFrame):
            findings.add(CorruptFrame(path, item))
        else:
            yield item
