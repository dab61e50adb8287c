"""Decide when a file of records is full, and which files are deleted. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

HOUR_MS = 3_600_000.0
DAY_MS = 24 * HOUR_MS


@dataclass(frozen=True, slots=True)
class Retention:
    """Limits of one file (size and duration) and of all files of a node (total size and age).

    Sizes are in bytes, durations and ages in milliseconds.
    """

    file_bytes: int = 8 * 2**20
    file_ms: float = HOUR_MS
    total_bytes: int = 256 * 2**20
    max_age_ms: float = 14 * DAY_MS


@dataclass(frozen=True, slots=True)
class StoredFile:
    """An existing file: its name, its size in bytes, and its last modification in Unix milliseconds."""

    name: str
    size: int
    written_at_ms: float


def is_full(size: int, started_at_ms: float, now: float, added_bytes: int, retention: Retention) -> bool:
    """Return whether the next batch of ``added_bytes`` bytes goes into a new file.

    ``size`` is the size of the current file in bytes; ``started_at_ms`` and ``now`` are in Unix milliseconds.
    An empty file takes a batch of any size. A clock that is set back does not make a file older.
    """
    too_large = size + added_bytes > retention.file_bytes
    too_old = now - started_at_ms >= retention.file_ms
    return size > 0 and (too_large or too_old)


def files_to_delete(
    stored_files: Sequence[StoredFile], current_name: str, now: float, retention: Retention
) -> list[str]:
    """Return the names of the files to delete, oldest first; the file ``current_name`` is never deleted."""
    names: list[str] = []
    total = sum(file.size for file in stored_files)
    for file in sorted(stored_files, key=lambda file: (file.written_at_ms, file.name)):
        if file.name == current_name:
            continue
        if total <= retention.total_bytes and now - file.written_at_ms <= retention.max_age_ms:
            continue
        names.append(file.name)
        total -= file.size
    return names
