"""Encode records as frames with a length and a CRC32C, so that a corrupt record does not affect any other.

    0xB7 0x52   length, 4 bytes   CRC32C of length and payload, 4 bytes   payload, msgpack

Integers are little-endian. The payload is a list: format version, node, boot, number, time, kind, fields.
After an invalid frame a reader searches for the next magic bytes that begin a frame with a matching checksum,
and reports the bytes that it skipped as one InvalidFrame.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

import msgpack
from crc32c import crc32c

from snowthread.records.model import FORMAT_VERSION, Record

FRAME_MAGIC = b"\xb7R"
FRAME_HEADER = struct.Struct("<2sII")  # magic bytes, payload length, checksum
LENGTH_FIELD = slice(len(FRAME_MAGIC), len(FRAME_MAGIC) + 4)
PAYLOAD_MAX_BYTES = 256 * 1024


class RecordTooLongError(ValueError):
    """The encoded record is longer than the largest payload that a reader accepts."""

    def __init__(self, payload_bytes: int) -> None:
        super().__init__(
            f"record is too long: {payload_bytes} bytes, at most {PAYLOAD_MAX_BYTES} are allowed"
        )
        self.payload_bytes = payload_bytes


class InvalidPayloadError(ValueError):
    """The checksum of a payload matches, but the payload is not a record."""


@dataclass(frozen=True, slots=True)
class InvalidFrame:
    """Consecutive bytes of a stream that contain no valid frame; ``offset`` and ``size`` are in bytes."""

    offset: int
    size: int
    reason: str


def encode_record(record: Record) -> bytes:
    """Encode a record as a frame.

    Raises:
        RecordTooLongError: The payload exceeds ``PAYLOAD_MAX_BYTES``.
    """
    payload = msgpack.packb(
        [FORMAT_VERSION, record.node, record.boot, record.number, record.at_ms, record.kind, record.fields]
    )
    if len(payload) > PAYLOAD_MAX_BYTES:
        raise RecordTooLongError(len(payload))
    size = struct.pack("<I", len(payload))
    return FRAME_MAGIC + size + struct.pack("<I", crc32c(payload, crc32c(size))) + bytes(payload)


def decode_record(payload: bytes) -> Record:
    """Decode the payload of a frame whose checksum was verified.

    Raises:
        InvalidPayloadError: The payload is no msgpack list of a record's fields, or a field has a wrong type.
    """
    try:
        version, node, boot, number, at_ms, kind, fields = msgpack.unpackb(payload, strict_map_key=False)[:7]
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise InvalidPayloadError(f"payload is not a record: {error}") from None
    if not (
        isinstance(version, int)
        and isinstance(node, str)
        and isinstance(boot, str)
        and isinstance(number, int)
        and isinstance(at_ms, float)
        and isinstance(kind, str)
        and isinstance(fields, dict)
    ):
        raise InvalidPayloadError("payload is not a record: a field has the wrong type")
    return Record(node, boot, number, at_ms, kind, fields)


class FrameReader:
    """Decode a stream of bytes into records and InvalidFrame items.

    Between calls it buffers at most the bytes of one incomplete frame.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._offset = 0  # offset in the stream of the first byte in the buffer
        self._skipped_bytes = 0  # invalid bytes just before the buffer that are not reported yet
        self._skip_reason = ""

    def feed(self, data: bytes) -> list[Record | InvalidFrame]:
        """Add the next bytes of the stream and return the items that are complete."""
        self._buffer += data
        items: list[Record | InvalidFrame] = []
        while self._read_frame(items, at_end=False):
            pass
        return items

    def end(self) -> list[Record | InvalidFrame]:
        """Return the remaining items at the end of the stream; an incomplete frame is invalid."""
        items: list[Record | InvalidFrame] = []
        while self._read_frame(items, at_end=True):
            pass
        if self._buffer:
            self._skip(len(self._buffer), "truncated frame")
        self._report_skipped(items)
        return items

    def _read_frame(self, items: list[Record | InvalidFrame], *, at_end: bool) -> bool:
        """Decode one frame or skip invalid bytes; return False if more data is needed first."""
        buffer = self._buffer
        if not buffer.startswith(FRAME_MAGIC[: len(buffer)]):
            return self._skip_to_magic()
        if len(buffer) < FRAME_HEADER.size:
            return False
        _, size, checksum = FRAME_HEADER.unpack_from(buffer)
        if size > PAYLOAD_MAX_BYTES:
            self._skip(1, "frame length exceeds the limit")
        elif len(buffer) < FRAME_HEADER.size + size:
            if not at_end:
                return False
            self._skip(1, "truncated frame")  # the length may be corrupt, and complete frames may follow
        else:
            self._read_payload(items, size, checksum)
        return True

    def _read_payload(self, items: list[Record | InvalidFrame], size: int, checksum: int) -> None:
        """Decode the complete frame at the start of the buffer, or skip bytes if it is invalid."""
        payload = bytes(self._buffer[FRAME_HEADER.size : FRAME_HEADER.size + size])
        if crc32c(payload, crc32c(bytes(self._buffer[LENGTH_FIELD]))) != checksum:
            self._skip(1, "checksum mismatch")
            return
        try:
            record = decode_record(payload)
        except InvalidPayloadError as error:
            self._skip(FRAME_HEADER.size + size, str(error))
            return
        self._report_skipped(items)
        items.append(record)
        self._consume(FRAME_HEADER.size + size)

    def _skip_to_magic(self) -> bool:
        """Skip to the next possible frame magic; return False if more data is needed first."""
        buffer = self._buffer
        found = buffer.find(FRAME_MAGIC, 1)
        if found < 0:
            found = len(buffer) - (buffer[-1] == FRAME_MAGIC[0])  # the second magic byte may follow
        if not found:
            return False
        self._skip(found, "no frame magic")
        return True

    def _skip(self, size: int, reason: str) -> None:
        """Skip bytes; of consecutive skips only the first reason is reported."""
        self._consume(size)
        self._skipped_bytes += size
        self._skip_reason = self._skip_reason or reason

    def _consume(self, size: int) -> None:
        del self._buffer[:size]
        self._offset += size

    def _report_skipped(self, items: list[Record | InvalidFrame]) -> None:
        if self._skipped_bytes:
            start = self._offset - self._skipped_bytes
            items.append(InvalidFrame(start, self._skipped_bytes, self._skip_reason))
            self._skipped_bytes = 0
            self._skip_reason = ""
