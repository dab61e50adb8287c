"""Follow files of records while they grow: complete frames only, each file from where it was left."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from snowthread.records.frame import FrameReader
from snowthread.records.model import Record
from snowthread.records.reader import find_files

CHUNK_BYTES = 256 * 1024  # of one file in one poll


@dataclass(slots=True)
class _Position:
    """How far a file was read."""

    offset: int = 0
    reader: FrameReader = field(default_factory=FrameReader)


class Tail:
    """A source of the records that are added to files and folders."""

    def __init__(self, places: Iterable[Path]) -> None:
        self._places = list(places)
        self._positions: dict[Path, _Position] = {}

    def poll(self) -> list[Record]:
        """Return what was added since the last call, by time."""
        paths = find_files(place for place in self._places if place.exists())
        records: list[Record] = []
        for path in paths:
            records += self._read_added(path)
        for path in set(self._positions) - set(paths):
            del self._positions[path]
        return sorted(records, key=lambda record: (record.at_ms, record.key))

    def _read_added(self, path: Path) -> list[Record]:
        position = self._positions.get(path) or _Position()
        try:
            with path.open("rb") as source:
                source.seek(position.offset)
                data = source.read(CHUNK_BYTES)
        except OSError:  # deleted since it was found
            return []
        position.offset += len(data)
        self._positions[path] = position
        return [item for item in position.reader.feed(data) if isinstance(item, Record)]
