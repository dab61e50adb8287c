"""A bounded queue of batches that wait to be written, with a count of the dropped records. Free of I/O.

While the queue is full, new batches are dropped, so that lost records are consecutive. The recorder writes
a ``gap`` record with their number before the next record.
"""

from __future__ import annotations

from collections import deque


class Outbox:
    """Batches of frames that wait to be sent to the writer process; ``capacity`` is in bytes."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._batches: deque[bytes] = deque()
        self.size = 0  # bytes in the queue
        self.dropped = 0  # records dropped since ``take_dropped`` was last called
        self.dropped_total = 0  # records dropped since the start of the node

    def add(self, batch: bytes, records: int = 1) -> bool:
        """Queue a batch of ``records`` records; return False if it exceeds the capacity and is dropped."""
        if self.size + len(batch) > self._capacity:
            self.drop(records)
            return False
        self._batches.append(batch)
        self.size += len(batch)
        return True

    def drop(self, records: int) -> None:
        """Count records that were not queued as dropped."""
        self.dropped += records
        self.dropped_total += records

    def take_dropped(self) -> int:
        """Return the number of records dropped since the last call and reset it."""
        dropped = self.dropped
        self.dropped = 0
        return dropped

    def first(self) -> bytes | None:
        """Return the next batch to send, or None; it stays in the queue until ``remove_first`` is called."""
        return self._batches[0] if self._batches else None

    def remove_first(self) -> None:
        """Remove the first batch after it was sent."""
        self.size -= len(self._batches.popleft())
