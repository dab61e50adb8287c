"""Frames that go to the writer in one message."""

from __future__ import annotations

from snowthread.records.writer import BATCH_MAX_BYTES, encode_batch


class RecordBatch:
    """The frames collected since the last message, and how many records they are."""

    def __init__(self) -> None:
        self.records = 0
        self._frames = bytearray()

    def has_capacity_for(self, frame: bytes) -> bool:
        """Return whether the message may take this frame too."""
        return len(self._frames) + len(frame) <= BATCH_MAX_BYTES

    def add(self, frame: bytes) -> None:
        """Add the frame of one record."""
        self._frames += frame
        self.records += 1

    def take(self) -> bytes:
        """Return the message, and begin an empty batch."""
        message = encode_batch(self.records, self._frames)
        self._frames.clear()
        self.records = 0
        return message
