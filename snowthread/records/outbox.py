"""A bounded queue of batches that wait to be written, with a count of the records dropped. Free of I/O.

The newest batch is dropped while the queue is full, so that losses are consecutive; the next record that goes
through is preceded by a ``gap`` that says how many are missing.
"""

from __future__ import annotations

from collections import deque


class Outbox:
    """Batches of frames on their way to the writer; ``capacity`` is in bytes."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._batches: deque[bytes] = deque()
        self.size = 0  # bytes that wait
        self.dropped = 0  # records, since ``take_dropped`` was last called
        self.dropped_total = 0  # records, since the start

    def add(self, batch: bytes, records: int = 1) -> bool:
        """Queue a batch of so many records; return False if it exceeds the capacity and was dropped."""
        if self.size + len(batch) > self._capacity:
            self.drop(records)
            return False
        self._batches.append(batch)
        self.size += len(batch)
        return True

    def drop(self, records: int) -> None:
        """Count records that are not queued."""
        self.dropped += records
        self.dropped_total += records

    def take_dropped(self) -> int:
        """Return how many records were dropped since the last call, and start counting anew."""
        dropped = self.dropped
        self.dropped = 0
        return dropped

    def first(self) -> bytes | None:
        """Return the batch that goes next; it stays in the queue until ``remove_first``."""
        return self._batches[0] if self._batches else None

    def remove_first(self) -> None:
        """Remove the first batch, as it was sent."""
        self.size -= len(self._batches.popleft())
