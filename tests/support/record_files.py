"""Build records and write files of them for tests."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from snowthread.records.files import RECORD_FILE_SUFFIX
from snowthread.records.frame import encode_record
from snowthread.records.model import Record, RecordKind

START_MS = 1_800_000_000_000.0


def note(
    number: int, node: str = "n1", boot: str = "b0", at_ms: float | None = None, **fields: object
) -> Record:
    """Return a ``note`` record; its time is ``number`` seconds after START_MS unless ``at_ms`` is given."""
    time_ms = START_MS + number * 1000.0 if at_ms is None else at_ms
    return Record(node, boot, number, time_ms, RecordKind.NOTE, fields)


def encode_all(records: Iterable[Record]) -> bytes:
    """Return the concatenated frames of records."""
    return b"".join(encode_record(record) for record in records)


def write_records(folder: Path, name: str, records: Iterable[Record]) -> Path:
    """Write a record file and return its path; ``name`` is the file name without its suffix."""
    path = folder / f"{name}{RECORD_FILE_SUFFIX}"
    path.write_bytes(encode_all(records))
    return path
