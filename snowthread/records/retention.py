"""When a file of records is full, and which files go. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Retention:
    """Bounds: bytes and milliseconds of one file, bytes of all of a node's files, and their age."""

    file_bytes: int = 8 * 2**20
    file_ms: float = 3_600_000.0
    total_bytes: int = 256 * 2**20
    keep_ms: float = 14 * 86_400_000.0


@dataclass(frozen=True, slots=True)
class Segment:
    """One file that is there: its name, size, and when it was written last, in milliseconds."""

    name: str
    size: int
    at: float


def full(size: int, began: float, now: float, more: int, rules: Retention) -> bool:
    """Does the next piece go into a new file? An empty one takes any piece; a clock set back ages none."""
    return size > 0 and (size + more > rules.file_bytes or now - began >= rules.file_ms)


def surplus(segments: Sequence[Segment], current: str, now: float, rules: Retention) -> list[str]:
    """The files to delete, the oldest first; never the one being written."""
    out: list[str] = []
    total = sum(s.size for s in segments)
    for segment in sorted(segments, key=lambda s: (s.at, s.name)):
        if segment.name == current:
            continue
        if total <= rules.total_bytes and now - segment.at <= rules.keep_ms:
            continue
        out.append(segment.name)
        total -= segment.size
    return out
