"""Reading records back: any number of nodes' files, in any order, cut anywhere, in bounded memory.

Files of one boot follow each other by their numbers; boots and nodes are merged by time. A copy of a record
is dropped, a number left out is told as a hole, and a bad stretch as bad, each with where it is.
"""

from __future__ import annotations

import heapq
import re
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from operator import itemgetter
from pathlib import Path

from snowthread.records.frame import InvalidFrame, Reader
from snowthread.records.model import Record
from snowthread.records.writer import SUFFIX

CHUNK = 64 * 1024
SEEN_MOST = 4096  # records of a boot whose copies are recognised
_NAME = re.compile(r"(?P<node>.+)-(?P<at>[0-9]+)-(?P<boot>[0-9a-f]+)-(?P<count>[0-9]+)" + re.escape(SUFFIX))


@dataclass(frozen=True, slots=True)
class Gap:
    """Records of a boot that are not there."""

    node: str
    boot: str
    after: int  # the number of the last one before
    count: int
    at: float  # the time of the first one behind


@dataclass(frozen=True, slots=True)
class CorruptFrame:
    """A stretch of a file that can't be read."""

    path: Path
    frame: InvalidFrame


@dataclass(slots=True)
class Findings:
    """What was wrong with what was read."""

    holes: list[Gap] = field(default_factory=list)
    spoilt: list[CorruptFrame] = field(default_factory=list)
    copies: int = 0
    unreadable: list[str] = field(default_factory=list)
    records: int = 0
    files: int = 0
    more: int = 0  # holes and spoilt stretches beyond those kept

    MOST = 1000

    def keep(self, found: Gap | CorruptFrame) -> None:
        """Note it down, as far as there is room."""
        if len(self.holes) + len(self.spoilt) >= self.MOST:
            self.more += 1
        elif isinstance(found, Gap):
            self.holes.append(found)
        else:
            self.spoilt.append(found)


def find(places: Iterable[Path]) -> list[Path]:
    """The files of records in these files and folders, each once."""
    out: dict[Path, None] = {}
    for place in places:
        for path in sorted(place.rglob(f"*{SUFFIX}")) if place.is_dir() else [place]:
            out[path.resolve()] = None
    return list(out)


def file(path: Path, findings: Findings) -> Iterator[Record]:
    """The records of one file."""
    reader = Reader()
    findings.files += 1
    try:
        with path.open("rb") as source:
            while data := source.read(CHUNK):
                yield from _records(path, reader.feed(data), findings)
    except OSError as error:
        findings.unreadable.append(f"{path}: {error.strerror}")
    yield from _records(path, reader.end(), findings)


def _records(path: Path, got: Iterable[Record | InvalidFrame], findings: Findings) -> Iterator[Record]:
    for item in got:
        if isinstance(item, InvalidFrame):
            findings.keep(CorruptFrame(path, item))
        else:
            yield item


def _chains(paths: Iterable[Path]) -> list[list[Path]]:
    """Files that follow each other: those of one boot, by their count; others alone."""
    chains: dict[object, list[tuple[int, Path]]] = {}
    for path in paths:
        match = _NAME.fullmatch(path.name)
        key: object = path if match is None else (path.parent, match["node"], match["boot"])
        chains.setdefault(key, []).append((0 if match is None else int(match["count"]), path))
    return [[path for _, path in sorted(chain)] for chain in chains.values()]


def merge(paths: Iterable[Path], findings: Findings) -> Iterator[Record]:
    """All records, each once, by time as their nodes' clocks have it. A node whose clock steps back stays in
    the order of its numbers: its records come as of the latest time that it has told."""
    last: OrderedDict[tuple[str, str], tuple[int, OrderedDict[int, None]]] = OrderedDict()
    streams = [_timed(chain, findings) for chain in _chains(find(paths))]
    for _, _, record in heapq.merge(*streams, key=itemgetter(0, 1)):
        boot = record.node, record.boot
        number, seen = last.get(boot, (0, OrderedDict()))
        if record.number in seen:
            findings.copies += 1
            continue
        seen[record.number] = None
        if len(seen) > SEEN_MOST:
            seen.popitem(last=False)
        if record.number > number + 1 and boot in last:
            findings.keep(Gap(*boot, number, record.number - number - 1, record.at))
        elif record.number > 1 and boot not in last:
            findings.keep(Gap(*boot, 0, record.number - 1, record.at))
        last[boot] = max(number, record.number), seen
        findings.records += 1
        yield record


def _timed(chain: list[Path], findings: Findings) -> Iterator[tuple[float, tuple[str, str, int], Record]]:
    latest = 0.0
    for path in chain:
        for record in file(path, findings):
            latest = max(latest, record.at)
            yield latest, record.key, record
