"""Collect the frames that are sent to the writer process in one message."""

from __future__ import annotations

from snowthread.records.writer import BATCH_MAX_BYTES, encode_batch


class RecordBatch:
    """The frames collected since the last message; ``records`` is the number of records in them."""

    def __init__(self) -> None:
        self.records = 0
        self._frames = bytearray()

    def has_capacity_for(self, frame: bytes) -> bool:
        """Return whether the frame still fits into the message, which holds ``BATCH_MAX_BYTES`` of frames."""
        return len(self._frames) + len(frame) <= BATCH_MAX_BYTES

    def add(self, frame: bytes) -> None:
        """Append the frame of one record."""
        self._frames += frame
        self.records += 1

    def take(self) -> bytes:
        """Return the message to the writer and empty the batch."""
        message = encode_batch(self.records, self._frames)
        self._frames.clear()
        self.records = 0
        return message
