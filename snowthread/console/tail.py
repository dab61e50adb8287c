"""Following files of records while they grow: whole frames only, each file from where it was left."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from snowthread.records.frame import Reader
from snowthread.records.model import Record
from snowthread.records.reader import find_files

CHUNK = 256 * 1024  # bytes of one file in one look


class Tail:
    """All files of some places."""

    def __init__(self, places: Iterable[Path]) -> None:
        self._places = list(places)
        self._files: dict[Path, tuple[int, Reader]] = {}

    def poll(self) -> list[Record]:
        """What has come since the last look, by time."""
        out: list[Record] = []
        there = find_files(p for p in self._places if p.exists())
        for path in there:
            offset, reader = self._files.get(path) or (0, Reader())
            try:
                with path.open("rb") as source:
                    source.seek(offset)
                    data = source.read(CHUNK)
            except OSError:  # deleted between two looks
                continue
            self._files[path] = offset + len(data), reader
            out += [got for got in reader.feed(data) if isinstance(got, Record)]
        for path in set(self._files) - set(there):
            del self._files[path]
        return sorted(out, key=lambda r: (r.at, r.key))
