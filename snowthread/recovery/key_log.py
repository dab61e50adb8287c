"""Format of the key log: which runs with an idempotency key an earlier incarnation may have begun.

Pure: bytes in, contents and status out.

Layout (little-endian), ``HEADER`` then ``slots`` of ``SLOT``::

    header  magic b"STKR", version u16, pad, slots u32, any_until f64 (wall ms), crc32 u32, pad to 32 bytes
    slot    sequence u64 (from 1; 0: empty), until f64 (wall ms), digest of the key 16 bytes, crc32 u32, pad

A key is written to slot ``sequence % slots`` before the start of its run is sent to the runtime. A key whose
slot holds another key with an open window is not written, and so not run: the log's size is a bound.

| found                                            | status | indeterminate keys                        |
| ------------------------------------------------ | ------- | ----------------------------------------- |
| all of it                                        | whole   | those with an open window                 |
| all of it, with the ``any_until`` of an earlier  | whole   | all until ``any_until``, then as above    |
| start                                            |         |                                           |
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

MAGIC = b"STKR"
FORMAT_VERSION = 1
HEADER = struct.Struct("<4sHxxId")
HEADER_BYTES = 32
SLOT = struct.Struct("<Qd16s")
SLOT_BYTES = 40
CRC = struct.Struct("<I")
DEFAULT_SLOTS = 8192  # of a new log: more than five windows at 100 keys a second
MAX_SLOTS = 1 << 20


class KeyLogStatus(Enum):
    """What was found in place of a key log."""

    COMPLETE = "whole"
    MISSING = "missing"
    CORRUPT = "torn"
    UNKNOWN_FORMAT = "foreign"


@dataclass(frozen=True, slots=True)
class KeyLogContents:
    """What a start finds in a key log."""

    status: KeyLogStatus
    reason: str = ""
    keys: dict[bytes, float] = field(default_factory=dict)  # by digest: end of the window, wall ms
    all_indeterminate_until_ms: float = 0.0  # until then any key may have run, wall ms
    sequence: int = 0  # of the newest key


def _encode_slot(sequence: int, until_ms: float, digest: bytes) -> bytes:
    body = SLOT.pack(sequence, until_ms, digest)
    return body + CRC.pack(zlib.crc32(body))


def key_log_size(slots: int) -> int:
    """Return the size in bytes of a key log with so many slots."""
    return HEADER_BYTES + slots * SLOT_BYTES


def encode_empty_key_log(all_indeterminate_until_ms: float = 0.0, slots: int = DEFAULT_SLOTS) -> bytes:
    """Return an empty key log; until ``all_indeterminate_until_ms`` (wall ms) any key may have run."""
    head = HEADER.pack(MAGIC, FORMAT_VERSION, slots, all_indeterminate_until_ms)
    return (head + CRC.pack(zlib.crc32(head))).ljust(HEADER_BYTES, b"\0") + bytes(slots * SLOT_BYTES)


class _UnusableError(Exception):
    """Bytes that are no complete key log of this format."""

    def __init__(self, status: KeyLogStatus, reason: str) -> None:
        self.status = status
        self.reason = reason
        super().__init__(reason)


def decode_key_log(data: bytes) -> KeyLogContents:
    """Return the contents of a key log, with the status on its bytes."""
    try:
        return _read_contents(data)
    except _UnusableError as error:
        return KeyLogContents(error.status, error.reason)


def _read_contents(data: bytes) -> KeyLogContents:
    if not data:
        raise _UnusableError(KeyLogStatus.MISSING, "no key log")
    if len(data) < HEADER_BYTES:
        raise _UnusableError(KeyLogStatus.CORRUPT, f"{len(data)} bytes")
    magic, version, slots, all_indeterminate_until_ms = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise _UnusableError(KeyLogStatus.UNKNOWN_FORMAT, "not a key log")
    if version != FORMAT_VERSION:
        raise _UnusableError(KeyLogStatus.UNKNOWN_FORMAT, f"format {version}, known {FORMAT_VERSION}")
    if CRC.unpack_from(data, HEADER.size)[0] != zlib.crc32(data[: HEADER.size]):
        raise _UnusableError(KeyLogStatus.CORRUPT, "the header does not check")
    if not 0 < slots <= MAX_SLOTS or len(data) != key_log_size(slots):
        raise _UnusableError(KeyLogStatus.CORRUPT, f"{len(data)} bytes, {slots} slots")
    return _read_slots(data, slots, all_indeterminate_until_ms)


def _read_slots(data: bytes, slots: int, all_indeterminate_until_ms: float) -> KeyLogContents:
    keys: dict[bytes, float] = {}
    newest = 0
    for index in range(slots):
        offset = HEADER_BYTES + index * SLOT_BYTES
        if not any(data[offset : offset + SLOT_BYTES]):
            continue
        body = data[offset : offset + SLOT.size]
        sequence, until_ms, digest = SLOT.unpack(body)
        checksum = CRC.unpack_from(data, offset + SLOT.size)[0]
        if checksum != zlib.crc32(body) or sequence % slots != index:
            raise _UnusableError(KeyLogStatus.CORRUPT, f"slot {index} does not check")
        keys[digest] = max(until_ms, keys.get(digest, 0.0))
        newest = max(newest, sequence)
    return KeyLogContents(KeyLogStatus.COMPLETE, "", keys, all_indeterminate_until_ms, newest)


class KeyLog:
    """Appends keys to a buffer that outlives the process."""

    def __init__(self, buffer: memoryview, sequence: int) -> None:
        """Append to ``buffer``, whose newest key has this ``sequence``."""
        self._buffer = buffer
        self._sequence = sequence
        self._slots = (len(buffer) - HEADER_BYTES) // SLOT_BYTES
        self.rejected_appends = 0  # keys that found no free slot

    def append(self, digest: bytes, until_ms: float, now_ms: float) -> bool:
        """Write a key; return False where its slot has another key whose window is open.

        ``until_ms`` is the end of the key's window, ``now_ms`` the present time; both are wall ms.
        """
        offset = HEADER_BYTES + (self._sequence + 1) % self._slots * SLOT_BYTES
        if SLOT.unpack_from(self._buffer, offset)[1] > now_ms:
            self.rejected_appends += 1
            return False
        self._sequence += 1
        slot = _encode_slot(self._sequence, until_ms, digest)
        self._buffer[offset : offset + len(slot)] = slot
        return True
