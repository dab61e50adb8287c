"""Records as bytes: frames with a length and a CRC32C, so that any cut or flip is seen and costs itself only.

    0xB7 0x52   length, 4 bytes   CRC32C of length and payload, 4 bytes   payload, msgpack

Numbers are little-endian. A reader that meets a bad frame looks on for the next start of a frame whose
checksum holds; what it passed over is told as one Bad. The payload is a list: format, node, boot, number,
time, kind, fields.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

import msgpack
from crc32c import crc32c

from snowthread.records.model import FORMAT, Record

START = b"\xb7R"
HEAD = struct.Struct("<2sII")
PAYLOAD_MAX = 256 * 1024


@dataclass(frozen=True, slots=True)
class InvalidFrame:
    """Bytes that are no frame: where they start and how many."""

    offset: int
    size: int
    reason: str


def encode(record: Record) -> bytes:
    """A record's frame; ValueError where it is too long to be read again."""
    payload = msgpack.packb(
        [FORMAT, record.node, record.boot, record.number, record.at, record.kind, record.fields]
    )
    if len(payload) > PAYLOAD_MAX:
        raise ValueError(f"a record of {len(payload)} bytes, at most {PAYLOAD_MAX} are read back")
    size = struct.pack("<I", len(payload))
    return START + size + struct.pack("<I", crc32c(payload, crc32c(size))) + bytes(payload)


def decode(payload: bytes) -> Record:
    """A record from a payload whose checksum holds; ValueError where it is none."""
    try:
        version, node, boot, number, at, kind, fields = msgpack.unpackb(payload, strict_map_key=False)[:7]
        if not (
            isinstance(version, int)
            and isinstance(node, str)
            and isinstance(boot, str)
            and isinstance(number, int)
            and isinstance(at, float)
            and isinstance(kind, str)
            and isinstance(fields, dict)
        ):
            raise ValueError("a field of another type")
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise ValueError(f"not a record: {error}") from None
    return Record(node, boot, number, at, kind, fields)


class Reader:
    """Bytes in, records and bad stretches out; holds no more than one frame."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._offset = 0  # of the first byte held
        self._skipped = 0  # bytes passed over before it
        self._why = ""

    def feed(self, data: bytes) -> list[Record | InvalidFrame]:
        """What can be read now."""
        self._data += data
        out: list[Record | InvalidFrame] = []
        while self._step(out, last=False):
            pass
        return out

    def end(self) -> list[Record | InvalidFrame]:
        """The file is over: what is left is cut."""
        out: list[Record | InvalidFrame] = []
        while self._step(out, last=True):
            pass
        if self._data:
            self._skip(len(self._data), "cut short")
        self._tell(out)
        return out

    def _step(self, out: list[Record | InvalidFrame], last: bool) -> bool:
        """One frame, or bytes that are none; False where more has to come first."""
        data = self._data
        if not data:
            return False
        if not data.startswith(START[: len(data)]):
            found = data.find(START, 1)
            if found < 0:
                found = len(data) - (data[-1] == START[0])  # its second byte may follow
            if not found:
                return False
            self._skip(found, "no frame starts here")
            return True
        if len(data) < HEAD.size:
            return False
        _, size, checksum = HEAD.unpack_from(data)
        if size > PAYLOAD_MAX:
            self._skip(1, "a length that can't be")
            return True
        if len(data) < HEAD.size + size:
            if last:  # its length may be spoilt, and whole frames stand behind it
                self._skip(1, "cut short")
            return last
        payload = bytes(data[HEAD.size : HEAD.size + size])
        if crc32c(payload, crc32c(bytes(data[2:6]))) != checksum:
            self._skip(1, "the checksum does not hold")
            return True
        try:
            record = decode(payload)
        except ValueError as error:
            self._skip(HEAD.size + size, str(error))
            return True
        self._tell(out)
        out.append(record)
        del data[: HEAD.size + size]
        self._offset += HEAD.size + size
        return True

    def _skip(self, size: int, why: str) -> None:
        del self._data[:size]
        self._offset += size
        self._skipped += size
        self._why = self._why or why

    def _tell(self, out: list[Record | InvalidFrame]) -> None:
        if self._skipped:
            out.append(InvalidFrame(self._offset - self._skipped, self._skipped, self._why))
            self._skipped, self._why = 0, ""
