"""Binary format of the snapshot in which a node stores its learned times.

Pure: no clock, no files. The layout is big-endian::

    magic   4 bytes  b"STWS"
    version u16      FORMAT_VERSION
    gen     u64      the fleet's generation at the time of writing, as the registry reported it
    life    u32      the node's incarnation at the time of writing: the number of the node's start
    at_ms   f64      wall clock time of writing, milliseconds since the Unix epoch
    length  u32      length of the body in bytes
    body    JSON     :class:`LearnedTimes` as an object
    digest  16 bytes BLAKE2b-128 of all bytes before it

:mod:`snowthread.recovery.snapshot_assessment` decides whether the age and the generation of a snapshot allow
its use. Idempotency keys are not part of a snapshot, because they change with each request; they are in the
:mod:`snowthread.recovery.key_log`.
"""

from __future__ import annotations

import hashlib
import json
import math
import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeGuard

MAGIC = b"STWS"
FORMAT_VERSION = 2  # Version 1 also stored keys and rates, which were never restored.
HEADER = struct.Struct(">4sHQIdI")
DIGEST_BYTES = 16
MAX_BODY_BYTES = 1 << 20  # A snapshot has some kilobytes; a longer body is taken for an unknown format.


class SnapshotStatus(Enum):
    """Whether a snapshot may be used, and if not, why.

    Decoding alone gives FRESH to every snapshot that can be decoded; the assessment then checks its
    generation and age.
    """

    FRESH = "fresh"
    MISSING = "missing"
    CORRUPT = "torn"
    UNKNOWN_FORMAT = "foreign"
    OLDER_GENERATION = "older"
    STALE = "stale"
    FUTURE = "future"


@dataclass(frozen=True, slots=True)
class LearnedTimes:
    """Times in seconds by class name, and the rate at which requests were read, as learned by a node."""

    # Core time of one run on an unloaded machine, in seconds by class name.
    core_time_s: Mapping[str, float] = field(default_factory=dict)
    # Duration of one run including its calls, in seconds by class name.
    run_time_s: Mapping[str, float] = field(default_factory=dict)
    # Duration of one call to an unloaded database, in seconds by class name.
    call_time_s: Mapping[str, float] = field(default_factory=dict)
    requests_per_s: float = 0.0  # Requests that the node read per second.


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The contents of a stored snapshot."""

    generation: int
    incarnation: int
    written_at_ms: float  # Wall clock time of writing, in ms.
    learned: LearnedTimes


@dataclass(frozen=True, slots=True)
class DecodedSnapshot:
    """The result of decoding: the status, its reason, and the snapshot if the bytes could be decoded.

    The status FRESH means here only that they could; it says nothing about the age and the generation.
    """

    status: SnapshotStatus
    reason: str = ""
    snapshot: Snapshot | None = None


class _InvalidSnapshotError(Exception):
    """The bytes are not a complete snapshot of the supported version."""

    def __init__(self, status: SnapshotStatus, reason: str) -> None:
        self.status = status
        self.reason = reason
        super().__init__(reason)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot.

    Raises:
        ValueError: The body is longer than :data:`MAX_BODY_BYTES`, or a value is not finite.
    """
    learned = snapshot.learned
    body = json.dumps(
        {
            "core_s": dict(learned.core_time_s),
            "wall_s": dict(learned.run_time_s),
            "call_s": dict(learned.call_time_s),
            "read_per_s": learned.requests_per_s,
        },
        allow_nan=False,
        separators=(",", ":"),
        sort_keys=True,
    ).encode()
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"snapshot body has {len(body)} bytes; at most {MAX_BODY_BYTES} are allowed")
    head = HEADER.pack(
        MAGIC, FORMAT_VERSION, snapshot.generation, snapshot.incarnation, snapshot.written_at_ms, len(body)
    )
    return head + body + _digest(head + body)


def decode_snapshot(data: bytes) -> DecodedSnapshot:
    """Decode a snapshot; its age and generation are not checked."""
    try:
        return DecodedSnapshot(SnapshotStatus.FRESH, "", _decode_valid_snapshot(data))
    except _InvalidSnapshotError as error:
        return DecodedSnapshot(error.status, error.reason)


def _decode_valid_snapshot(data: bytes) -> Snapshot:
    if not data:
        raise _InvalidSnapshotError(SnapshotStatus.MISSING, "the snapshot file is missing or empty")
    if len(data) < HEADER.size:
        is_start = MAGIC.startswith(data[: len(MAGIC)])
        status = SnapshotStatus.CORRUPT if is_start else SnapshotStatus.UNKNOWN_FORMAT
        raise _InvalidSnapshotError(status, f"{len(data)} bytes are too few for a header")
    magic, version, generation, incarnation, written_at_ms, length = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise _InvalidSnapshotError(SnapshotStatus.UNKNOWN_FORMAT, "the file does not start as a snapshot")
    if version != FORMAT_VERSION:
        raise _InvalidSnapshotError(
            SnapshotStatus.UNKNOWN_FORMAT, f"format version {version}; version {FORMAT_VERSION} is supported"
        )
    if length > MAX_BODY_BYTES:
        raise _InvalidSnapshotError(
            SnapshotStatus.UNKNOWN_FORMAT, f"a body of {length} bytes is longer than any snapshot's"
        )
    learned = _parse_body(_checked_body(data, length))
    if learned is None or not math.isfinite(written_at_ms):
        raise _InvalidSnapshotError(SnapshotStatus.UNKNOWN_FORMAT, "the body has missing or invalid fields")
    return Snapshot(generation, incarnation, written_at_ms, learned)


def _checked_body(data: bytes, length: int) -> bytes:
    """Return the body after checking the total size and the digest.

    Raises:
        _InvalidSnapshotError: The size or the digest is wrong.
    """
    end = HEADER.size + length
    full_size = end + DIGEST_BYTES
    if len(data) != full_size:
        reason = f"the file has {len(data)} bytes; its header gives {full_size}"
        raise _InvalidSnapshotError(SnapshotStatus.CORRUPT, reason)
    if _digest(data[:end]) != data[end:]:
        raise _InvalidSnapshotError(SnapshotStatus.CORRUPT, "digest mismatch")
    return data[HEADER.size : end]


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def _parse_body(body: bytes) -> LearnedTimes | None:
    try:
        fields = json.loads(body)
    except (ValueError, UnicodeDecodeError):
        return None
    if not isinstance(fields, dict):
        return None
    core_time_s = _parse_times(fields.get("core_s"))
    run_time_s = _parse_times(fields.get("wall_s"))
    call_time_s = _parse_times(fields.get("call_s"))
    requests_per_s = fields.get("read_per_s")
    if core_time_s is None or run_time_s is None or call_time_s is None:
        return None
    if not _is_valid_measurement(requests_per_s):
        return None
    return LearnedTimes(core_time_s, run_time_s, call_time_s, float(requests_per_s))


def _parse_times(value: object) -> dict[str, float] | None:
    if not isinstance(value, dict):
        return None
    times = {}
    for name, time_s in value.items():
        if not _is_valid_measurement(time_s):
            return None
        times[str(name)] = float(time_s)
    return times


def _is_valid_measurement(value: object) -> TypeGuard[float]:
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return math.isfinite(value) and value >= 0
