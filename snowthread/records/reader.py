"""Read the record files of any number of nodes, also corrupt ones, in bounded memory.

The files of one boot are read in the order of their numbers; boots and nodes are merged by time. Duplicate
records are dropped, missing record numbers are reported as gaps and invalid bytes as corrupt frames.
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
MAX_SEEN_RECORDS = 4096  # latest record numbers of a boot among which duplicates are recognised
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
    at_ms: float  # Unix time of the first record after the gap


@dataclass(frozen=True, slots=True)
class CorruptFrame:
    """Bytes of a file that contain no valid frame."""

    path: Path
    frame: InvalidFrame


@dataclass(slots=True)
class Findings:
    """How much was read, and the problems that were found in it."""

    gaps: list[Gap] = field(default_factory=list)
    corrupt_frames: list[CorruptFrame] = field(default_factory=list)
    duplicates: int = 0
    unreadable: list[str] = field(default_factory=list)
    records: int = 0
    files: int = 0
    unlisted_findings: int = 0  # gaps and corrupt frames that are counted but not listed

    MAX_LISTED_FINDINGS: ClassVar[int] = 1000  # most gaps and corrupt frames together that are listed

    @property
    def problems(self) -> int:
        """The number of unreadable files, corrupt frames and gaps."""
        return len(self.unreadable) + len(self.corrupt_frames) + len(self.gaps) + self.unlisted_findings

    def add(self, finding: Gap | CorruptFrame) -> None:
        """List a finding, or only count it if ``MAX_LISTED_FINDINGS`` are listed already."""
        if len(self.gaps) + len(self.corrupt_frames) >= self.MAX_LISTED_FINDINGS:
            self.unlisted_findings += 1
        elif isinstance(finding, Gap):
            self.gaps.append(finding)
        else:
            self.corrupt_frames.append(finding)


class _TimedRecord(NamedTuple):
    """A record with the keys by which streams of records are merged."""

    latest_at_ms: float  # latest time among this record and the earlier ones of its boot
    key: RecordKey
    record: Record


_BY_TIME_AND_KEY = itemgetter(0, 1)  # sort key of a _TimedRecord


@dataclass(slots=True)
class _BootProgress:
    """The record numbers that were read of one boot."""

    highest_number: int = 0
    # The latest record numbers, at most MAX_SEEN_RECORDS.
    seen: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def add(self, number: int) -> None:
        """Remember the number of a record that was read."""
        self.highest_number = max(self.highest_number, number)
        self.seen[number] = None
        if len(self.seen) > MAX_SEEN_RECORDS:
            self.seen.popitem(last=False)


def find_record_files(paths: Iterable[Path]) -> list[Path]:
    """Return the given files and all record files in the given folders, each once."""
    found: dict[Path, None] = {}
    for place in paths:
        for path in sorted(place.rglob(f"*{RECORD_FILE_SUFFIX}")) if place.is_dir() else [place]:
            found[path.resolve()] = None
    return list(found)


def merge_records(paths: Iterable[Path], findings: Findings) -> Iterator[Record]:
    """Yield the records of all files and folders, each once, ordered by the times of their nodes' clocks.

    If the clock of a node steps back, its records stay in the order of their numbers: until the clock has
    caught up, they are merged as if they had the latest time seen before the step. Problems are added to
    ``findings``.
    """
    progress: dict[BootId, _BootProgress] = {}
    streams = [_read_boot_files(files, findings) for files in _group_by_boot(find_record_files(paths))]
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


def _group_by_boot(paths: Iterable[Path]) -> list[list[Path]]:
    """Group the files of one boot, ordered by number; a file with any other name is its own group."""
    groups: dict[object, list[tuple[int, Path]]] = {}
    for path in paths:
        match = _FILE_NAME.fullmatch(path.name)
        if match is None:
            groups.setdefault(path, []).append((0, path))
        else:
            boot = path.parent, match["node"], match["boot"]
            groups.setdefault(boot, []).append((int(match["count"]), path))
    return [[path for _, path in sorted(group)] for group in groups.values()]


def _read_boot_files(files: Iterable[Path], findings: Findings) -> Iterator[_TimedRecord]:
    latest_at_ms = 0.0
    for path in files:
        for record in _read_file(path, findings):
            latest_at_ms = max(latest_at_ms, record.at_ms)
            yield _TimedRecord(latest_at_ms, record.key, record)


def _read_file(path: Path, findings: Findings) -> Iterator[Record]:
    reader = FrameReader()
    findings.files += 1
    try:
        with path.open("rb") as source:
            while data := source.read(CHUNK_BYTES):
                yield from _separate_records(path, reader.feed(data), findings)
    except OSError as error:
        findings.unreadable.append(f"{path}: {error.strerror}")
    yield from _separate_records(path, reader.end(), findings)


def _separate_records(
    path: Path, items: Iterable[Record | InvalidFrame], findings: Findings
) -> Iterator[Record]:
    """Yield the records among the items and add the invalid frames to ``findings``."""
    for item in items:
        if isinstance(item, InvalidFrame):
            findings.add(CorruptFrame(path, item))
        else:
            yield item
