"""The ring of keys: which keyed runs an earlier life of this node may have begun. Pure: bytes in, verdict
out.

Layout (little-endian), ``HEADER`` then ``slots`` of ``SLOT``::

    header  magic b"STKR", version u16, pad, slots u32, blind_until f64 (wall ms), crc32 u32, pad to 32 bytes
    slot    sequence u64 (from 1; 0: empty), until f64 (wall ms), digest of the key 16 bytes, crc32 u32, pad

A key goes into slot ``sequence % slots`` before its start goes to the runtime. One that would take the place
of a key whose window is open is not written, and so not run: the ring is a bound, not a log.

| found                                            | verdict | keys unknown                              |
| ------------------------------------------------ | ------- | ----------------------------------------- |
| whole                                            | whole   | those with an open window                 |
| whole, made blind by an earlier start            | whole   | all until ``blind_until``, then as above  |
| no file                                          | missing | all, until a window after this start      |
| another size than its header says, a slot or the | torn    | all, until a window after this start      |
| header that does not check                       |         |                                           |
| other magic or version                           | foreign | all, until a window after this start      |
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, field
from enum import Enum

MAGIC, FORMAT_VERSION = b"STKR", 1
HEADER = struct.Struct("<4sHxxId")
HEADER_BYTES = 32
SLOT = struct.Struct("<Qd16s")
SLOT_BYTES = 40
CRC = struct.Struct("<I")
SLOTS = 8192  # of a new ring: at 100 keys a second more than five windows
SLOTS_MAX = 1 << 20


class Verdict(Enum):
    WHOLE = "whole"
    MISSING = "missing"
    TORN = "torn"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class KeyLogContents:
    """What a start finds: ``keys`` by digest with the end of their windows, the newest ``sequence``."""

    verdict: Verdict
    reason: str = ""
    keys: dict[bytes, float] = field(default_factory=dict)
    any_until_ms: float = 0.0
    sequence: int = 0


def _slot(sequence: int, until_ms: float, digest: bytes) -> bytes:
    body = SLOT.pack(sequence, until_ms, digest)
    return body + CRC.pack(zlib.crc32(body))


def key_log_size(slots: int) -> int:
    """Bytes of a ring."""
    return HEADER_BYTES + slots * SLOT_BYTES


def new_key_log(blind_until: float = 0.0, slots: int = SLOTS) -> bytes:
    """A new ring."""
    head = HEADER.pack(MAGIC, FORMAT_VERSION, slots, blind_until)
    return (head + CRC.pack(zlib.crc32(head))).ljust(HEADER_BYTES, b"\0") + bytes(slots * SLOT_BYTES)


def read_key_log(data: bytes) -> KeyLogContents:
    """Read a ring back."""
    if not data:
        return KeyLogContents(Verdict.MISSING, "no ring")
    if len(data) < HEADER_BYTES:
        return KeyLogContents(Verdict.TORN, f"{len(data)} bytes")
    magic, version, slots, blind_until = HEADER.unpack_from(data)
    if magic != MAGIC or version != FORMAT_VERSION:
        known = f"format {version}, known {FORMAT_VERSION}"
        return KeyLogContents(Verdict.FOREIGN, known if magic == MAGIC else "not a ring")
    if CRC.unpack_from(data, HEADER.size)[0] != zlib.crc32(data[: HEADER.size]):
        return KeyLogContents(Verdict.TORN, "the header does not check")
    if not 0 < slots <= SLOTS_MAX or len(data) != key_log_size(slots):
        return KeyLogContents(Verdict.TORN, f"{len(data)} bytes, {slots} slots")
    keys: dict[bytes, float] = {}
    newest = 0
    for n in range(slots):
        at = HEADER_BYTES + n * SLOT_BYTES
        body = data[at : at + SLOT.size]
        if not any(data[at : at + SLOT_BYTES]):
            continue
        sequence, until, digest = SLOT.unpack(body)
        if CRC.unpack_from(data, at + SLOT.size)[0] != zlib.crc32(body) or sequence % slots != n:
            return KeyLogContents(Verdict.TORN, f"slot {n} does not check")
        keys[digest] = max(until, keys.get(digest, 0.0))
        newest = max(newest, sequence)
    return KeyLogContents(Verdict.WHOLE, "", keys, blind_until, newest)


class KeyLog:
    """Writes keys into a buffer that outlives the process."""

    def __init__(self, buffer: memoryview, sequence: int) -> None:
        self._buffer, self._sequence = buffer, sequence
        self._slots = (len(buffer) - HEADER_BYTES) // SLOT_BYTES
        self.rejected_appends = 0  # keys that found no place

    def append(self, digest: bytes, until_ms: float, now_ms: float) -> bool:
        """Write a key down; False where its place is another's whose window is still open."""
        at = HEADER_BYTES + (self._sequence + 1) % self._slots * SLOT_BYTES
        if SLOT.unpack_from(self._buffer, at)[1] > now_ms:
            self.rejected_appends += 1
            return False
        self._sequence += 1
        self._buffer[at : at + SLOT.size + CRC.size] = _slot(self._sequence, until_ms, digest)
        return True
