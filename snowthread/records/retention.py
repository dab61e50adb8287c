"""Decide when a file of records is full, and which files are deleted. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

HOUR_MS = 3_600_000.0
DAY_MS = 24 * HOUR_MS


@dataclass(frozen=True, slots=True)
class Retention:
    """Bounds of one file (bytes and milliseconds) and of all files of a node (bytes and age)."""

    file_bytes: int = 8 * 2**20
    file_ms: float = HOUR_MS
    total_bytes: int = 256 * 2**20
    max_age_ms: float = 14 * DAY_MS


@dataclass(frozen=True, slots=True)
class Segment:
    """An existing file: its name, its size in bytes, and when it was last written in milliseconds."""

    name: str
    size: int
    at: float


def is_full(size: int, started_at_ms: float, now: float, added_bytes: int, retention: Retention) -> bool:
    """Return whether the next batch goes into a new file.

    An empty file takes a batch of any size; a clock that is set back makes no file older.
    """
    too_large = size + added_bytes > retention.file_bytes
    too_old = now - started_at_ms >= retention.file_ms
    return size > 0 and (too_large or too_old)


def files_to_delete(segments: Sequence[Segment], current: str, now: float, retention: Retention) -> list[str]:
    """Return the names of the files to delete, oldest first; ``current`` is never among them."""
    names: list[str] = []
    total = sum(segment.size for segment in segments)
    for segment in sorted(segments, key=lambda segment: (segment.at, segment.name)):
        if segment.name == current:
            continue
        if total <= retention.total_bytes and now - segment.at <= retention.max_age_ms:
            continue
        names.append(segment.name)
        total -= segment.size
    return names
