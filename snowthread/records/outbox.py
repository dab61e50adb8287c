"""What waits to be written: bounded, in order, and with a count of what had to be dropped. Free of I/O.

The newest is dropped where it is full, so that what is written has no holes but at known places; the next
record that goes through is preceded by one that says how many are missing.
"""

from __future__ import annotations

from collections import deque


class Outbox:
    """Batches of frames on their way to the writer."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._waiting: deque[bytes] = deque()
        self.size = 0
        self.dropped = 0  # since the last word about it
        self.dropped_ever = 0

    def add(self, frame: bytes) -> bool:
        """Take a frame in; False where there is no room."""
        if self.size + len(frame) > self._most:
            self.dropped += 1
            self.dropped_ever += 1
            return False
        self._waiting.append(frame)
        self.size += len(frame)
        return True

    def owed(self) -> int:
        """How many were dropped since it was asked last: the next record says so."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    def first(self) -> bytes | None:
        """What goes next; it stays until ``sent``."""
        return self._waiting[0] if self._waiting else None

    def sent(self) -> None:
        """The first is on its way."""
        self.size -= len(self._waiting.popleft())
