"""Binary format of the key log: the idempotency keys whose runs an earlier incarnation may have started.

Pure: decoding takes bytes and returns the contents with a status.

The file has one ``HEADER`` followed by ``slot_count`` records of type ``SLOT``, all little-endian. The CRC-32
of a record covers the bytes before it::

    header  magic b"STKR", version u16, 2 bytes of padding, slot_count u32, all_indeterminate_until_ms f64
            (Unix time in ms), CRC-32 u32, padding to 32 bytes
    slot    sequence u64 (from 1; 0: empty), window_end_ms f64 (Unix time in ms), key digest 16 bytes,
            CRC-32 u32, padding to 40 bytes

A key is written to slot ``sequence % slot_count`` before the command that starts its run is sent to the
runtime. If that slot holds another key whose window is still open, the key is not written and its run does
not start. The size of the log therefore limits the number of keys with an open window.

The run of an indeterminate key may have started, and its result is unknown. Decoding gives these results;
the value of each status, which is logged, follows it in brackets:

| file                                         | status                   | indeterminate keys               |
| -------------------------------------------- | ------------------------ | -------------------------------- |
| complete                                     | COMPLETE (whole)         | keys with an open window         |
| complete, ``all_indeterminate_until_ms`` set | COMPLETE (whole)         | all until that time, then those  |
| by an earlier start                          |                          | with an open window              |
| missing or empty                             | MISSING (missing)        | all, for the longest window      |
|                                              |                          | after this start                 |
| size differs from the header, or the header  | CORRUPT (torn)           | all, for the longest window      |
| or a slot has a wrong checksum or position   |                          | after this start                 |
| unknown magic or version                     | UNKNOWN_FORMAT (foreign) | all, for the longest window      |
|                                              |                          | after this start                 |
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
# At 100 keys per second, a new log holds the keys of 82 s: more than five idempotency windows of 16 s each.
DEFAULT_SLOT_COUNT = 8192
MAX_SLOT_COUNT = 1 << 20


class KeyLogStatus(Enum):
    """Whether the bytes found are a usable key log."""

    COMPLETE = "whole"
    MISSING = "missing"
    CORRUPT = "torn"
    UNKNOWN_FORMAT = "foreign"


@dataclass(frozen=True, slots=True)
class KeyLogContents:
    """The decoded contents of a key log file."""

    status: KeyLogStatus
    reason: str = ""
    # End of the idempotency window of each key, in wall clock ms, by key digest.
    keys: dict[bytes, float] = field(default_factory=dict)
    all_indeterminate_until_ms: float = 0.0  # Every key is indeterminate until this wall clock time in ms.
    sequence: int = 0  # Sequence number of the newest key.


def _encode_slot(sequence: int, window_end_ms: float, digest: bytes) -> bytes:
    body = SLOT.pack(sequence, window_end_ms, digest)
    return body + CRC.pack(zlib.crc32(body))


def key_log_size(slot_count: int) -> int:
    """Return the size in bytes of a key log with this number of slots."""
    return HEADER_BYTES + slot_count * SLOT_BYTES


def encode_empty_key_log(
    all_indeterminate_until_ms: float = 0.0, slot_count: int = DEFAULT_SLOT_COUNT
) -> bytes:
    """Return the bytes of a key log without keys.

    Args:
        all_indeterminate_until_ms: Wall clock time in ms until which every key is indeterminate.
        slot_count: Number of keys that the log can hold.
    """
    head = HEADER.pack(MAGIC, FORMAT_VERSION, slot_count, all_indeterminate_until_ms)
    return (head + CRC.pack(zlib.crc32(head))).ljust(HEADER_BYTES, b"\0") + bytes(slot_count * SLOT_BYTES)


class _InvalidKeyLogError(Exception):
    """The bytes are not a complete key log of the supported version."""

    def __init__(self, status: KeyLogStatus, reason: str) -> None:
        self.status = status
        self.reason = reason
        super().__init__(reason)


def decode_key_log(data: bytes) -> KeyLogContents:
    """Decode a key log; bytes that are not a usable log give empty contents with a status and a reason."""
    try:
        return _decode_contents(data)
    except _InvalidKeyLogError as error:
        return KeyLogContents(error.status, error.reason)


def _decode_contents(data: bytes) -> KeyLogContents:
    if not data:
        raise _InvalidKeyLogError(KeyLogStatus.MISSING, "the key log file is missing or empty")
    if len(data) < HEADER_BYTES:
        raise _InvalidKeyLogError(KeyLogStatus.CORRUPT, f"{len(data)} bytes are too few for a header")
    magic, version, slot_count, all_indeterminate_until_ms = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise _InvalidKeyLogError(KeyLogStatus.UNKNOWN_FORMAT, "the file does not start as a key log")
    if version != FORMAT_VERSION:
        raise _InvalidKeyLogError(
            KeyLogStatus.UNKNOWN_FORMAT, f"format version {version}; version {FORMAT_VERSION} is supported"
        )
    if CRC.unpack_from(data, HEADER.size)[0] != zlib.crc32(data[: HEADER.size]):
        raise _InvalidKeyLogError(KeyLogStatus.CORRUPT, "header checksum mismatch")
    if not 0 < slot_count <= MAX_SLOT_COUNT or len(data) != key_log_size(slot_count):
        raise _InvalidKeyLogError(
            KeyLogStatus.CORRUPT, f"file size of {len(data)} bytes does not match {slot_count} slots"
        )
    return _decode_slots(data, slot_count, all_indeterminate_until_ms)


def _decode_slots(data: bytes, slot_count: int, all_indeterminate_until_ms: float) -> KeyLogContents:
    keys: dict[bytes, float] = {}
    newest = 0
    for index in range(slot_count):
        offset = HEADER_BYTES + index * SLOT_BYTES
        if not any(data[offset : offset + SLOT_BYTES]):
            continue
        body = data[offset : offset + SLOT.size]
        sequence, window_end_ms, digest = SLOT.unpack(body)
        checksum = CRC.unpack_from(data, offset + SLOT.size)[0]
        if checksum != zlib.crc32(body) or sequence % slot_count != index:
            raise _InvalidKeyLogError(KeyLogStatus.CORRUPT, f"slot {index}: wrong checksum or position")
        keys[digest] = max(window_end_ms, keys.get(digest, 0.0))
        newest = max(newest, sequence)
    return KeyLogContents(KeyLogStatus.COMPLETE, "", keys, all_indeterminate_until_ms, newest)


class KeyLog:
    """Appends keys to a buffer whose contents outlive the process, such as a shared memory map."""

    def __init__(self, buffer: memoryview, sequence: int) -> None:
        """Append to ``buffer``, whose newest key has the given ``sequence`` number."""
        self._buffer = buffer
        self._sequence = sequence
        self._slot_count = (len(buffer) - HEADER_BYTES) // SLOT_BYTES
        # Number of keys that were not written because their slot held a key with an open window.
        self.rejected_appends = 0

    def append(self, digest: bytes, window_end_ms: float, now_ms: float) -> bool:
        """Write a key to the next slot.

        Args:
            digest: Digest of the idempotency key.
            window_end_ms: End of the key's idempotency window, in wall clock ms.
            now_ms: Current wall clock time in ms.

        Returns:
            False if the slot holds another key whose window is open; nothing is written then.
        """
        offset = HEADER_BYTES + (self._sequence + 1) % self._slot_count * SLOT_BYTES
        if SLOT.unpack_from(self._buffer, offset)[1] > now_ms:
            self.rejected_appends += 1
            return False
        self._sequence += 1
        slot = _encode_slot(self._sequence, window_end_ms, digest)
        self._buffer[offset : offset + len(slot)] = slot
        return True
