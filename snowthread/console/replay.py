"""Replay records with the time between them that was recorded, at a multiple of that speed."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from snowthread.records.model import Record


class Replay:
    """A source that returns the given records, which are ordered by time, when they are due."""

    def __init__(
        self, records: Iterable[Record], speed: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._records = iter(records)
        self._speed = speed
        self._clock = clock  # a monotonic clock in seconds
        self._started_at_s = clock()
        self._first_at_ms: float | None = None
        self._next: Record | None = None

    def poll(self) -> list[Record]:
        """Return the records that have become due since the last call."""
        elapsed_ms = (self._clock() - self._started_at_s) * 1000.0 * self._speed
        due: list[Record] = []
        while (record := self._peek()) is not None:
            if self._first_at_ms is None:
                self._first_at_ms = record.at_ms
            if record.at_ms - self._first_at_ms > elapsed_ms:
                break
            due.append(record)
            self._next = None
        return due

    def _peek(self) -> Record | None:
        if self._next is None:
            self._next = next(self._records, None)
        return self._next
