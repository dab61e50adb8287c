"""Read the records that are appended to growing files; each poll continues where the last one stopped."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from snowthread.records.frame import FrameReader
from snowthread.records.model import Record
from snowthread.records.reader import find_record_files

CHUNK_BYTES = 256 * 1024  # most bytes that one poll reads of one file


@dataclass(slots=True)
class _Position:
    """The offset up to which a file was read, and the decoder with its incomplete frame."""

    offset: int = 0
    reader: FrameReader = field(default_factory=FrameReader)


class Tail:
    """A source of the records that are appended to files or written to new files in folders."""

    def __init__(self, paths: Iterable[Path]) -> None:
        self._paths = list(paths)
        self._positions: dict[Path, _Position] = {}

    def poll(self) -> list[Record]:
        """Return the records that were added since the last call, ordered by time."""
        files = find_record_files(path for path in self._paths if path.exists())
        records: list[Record] = []
        for path in files:
            records += self._read_added(path)
        for path in set(self._positions) - set(files):
            del self._positions[path]
        return sorted(records, key=lambda record: (record.at_ms, record.key))

    def _read_added(self, path: Path) -> list[Record]:
        position = self._positions.get(path) or _Position()
        try:
            with path.open("rb") as source:
                source.seek(position.offset)
                data = source.read(CHUNK_BYTES)
        except OSError:  # the file was deleted after it was listed
            return []
        position.offset += len(data)
        self._positions[path] = position
        return [item for item in position.reader.feed(data) if isinstance(item, Record)]
