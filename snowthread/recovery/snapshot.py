"""Format of the snapshot of what a node learned.

Pure: no clock, no files. Layout (big-endian)::

    magic   4 bytes  b"STWS"
    version u16      FORMAT_VERSION
    gen     u64      the fleet's generation when it was written, as the registry reported it
    life    u32      the node's incarnation: how many starts its state folder has seen
    at_ms   f64      wall time of writing, milliseconds since the epoch
    length  u32      bytes of the body
    body    JSON     :class:`LearnedTimes` as an object
    digest  16 bytes BLAKE2b-128 of all that comes before it

How old a snapshot may be, and of which generation of the fleet, is decided by
:mod:`snowthread.recovery.snapshot_assessment`. Keys are not in a snapshot: they change with each request, and
have :mod:`snowthread.recovery.key_log`.
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
FORMAT_VERSION = 2  # version 1 had keys and rates that were never restored
HEADER = struct.Struct(">4sHQIdI")
DIGEST_BYTES = 16
MAX_BODY_BYTES = 1 << 20  # a snapshot has kilobytes; one with a longer body is foreign


class SnapshotStatus(Enum):
    """Whether a snapshot found at a start may be trusted, and if not, why."""

    FRESH = "fresh"
    MISSING = "missing"
    CORRUPT = "torn"
    UNKNOWN_FORMAT = "foreign"
    OLDER_GENERATION = "older"
    STALE = "stale"
    FUTURE = "future"


@dataclass(frozen=True, slots=True)
class LearnedTimes:
    """What a node learned: times in seconds by class name, and its request rate."""

    core_time_s: Mapping[str, float] = field(default_factory=dict)  # of a run on a core, unloaded
    run_time_s: Mapping[str, float] = field(default_factory=dict)  # of a run with its calls
    call_time_s: Mapping[str, float] = field(default_factory=dict)  # of a call, unloaded
    requests_per_s: float = 0.0  # requests


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot as it is stored."""

    generation: int
    incarnation: int
    written_at_ms: float  # wall time
    learned: LearnedTimes


@dataclass(frozen=True, slots=True)
class DecodedSnapshot:
    """What bytes say: FRESH with a snapshot where they are complete and known, else the status and why."""

    status: SnapshotStatus
    reason: str = ""
    snapshot: Snapshot | None = None


class _UnusableError(Exception):
    """Bytes that are no complete snapshot of this format."""

    def __init__(self, status: SnapshotStatus, reason: str) -> None:
        self.status = status
        self.reason = reason
        super().__init__(reason)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the bytes of a snapshot.

    Raises:
        ValueError: The body is over :data:`MAX_BODY_BYTES`, or a value is not finite.
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
        raise ValueError(f"a snapshot's body of {len(body)} bytes is over {MAX_BODY_BYTES}")
    head = HEADER.pack(
        MAGIC, FORMAT_VERSION, snapshot.generation, snapshot.incarnation, snapshot.written_at_ms, len(body)
    )
    return head + body + _digest(head + body)


def decode_snapshot(data: bytes) -> DecodedSnapshot:
    """Return what the bytes say."""
    try:
        return DecodedSnapshot(SnapshotStatus.FRESH, "", _decode_snapshot(data))
    except _UnusableError as error:
        return DecodedSnapshot(error.status, error.reason)


def _decode_snapshot(data: bytes) -> Snapshot:
    if not data:
        raise _UnusableError(SnapshotStatus.MISSING, "no snapshot")
    if len(data) < HEADER.size:
        is_start = MAGIC.startswith(data[: len(MAGIC)])
        status = SnapshotStatus.CORRUPT if is_start else SnapshotStatus.UNKNOWN_FORMAT
        raise _UnusableError(status, f"{len(data)} bytes")
    magic, version, generation, incarnation, written_at_ms, length = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise _UnusableError(SnapshotStatus.UNKNOWN_FORMAT, "not a snapshot")
    if version != FORMAT_VERSION:
        raise _UnusableError(SnapshotStatus.UNKNOWN_FORMAT, f"format {version}, known {FORMAT_VERSION}")
    if length > MAX_BODY_BYTES:
        raise _UnusableError(SnapshotStatus.UNKNOWN_FORMAT, f"body of {length} bytes")
    learned = _parse_body(_checked_body(data, length))
    if learned is None or not math.isfinite(written_at_ms):
        raise _UnusableError(SnapshotStatus.UNKNOWN_FORMAT, "body is not a snapshot's")
    return Snapshot(generation, incarnation, written_at_ms, learned)


def _checked_body(data: bytes, length: int) -> bytes:
    """Return the body, once the data has its full size and the digest is right.

    Raises:
        _UnusableError: It is torn.
    """
    end = HEADER.size + length
    full_size = end + DIGEST_BYTES
    if len(data) != full_size:
        reason = f"{len(data)} bytes where the header says {full_size}"
        raise _UnusableError(SnapshotStatus.CORRUPT, reason)
    if _digest(data[:end]) != data[end:]:
        raise _UnusableError(SnapshotStatus.CORRUPT, "digest does not match")
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
    if not _is_measured(requests_per_s):
        return None
    return LearnedTimes(core_time_s, run_time_s, call_time_s, float(requests_per_s))


def _parse_times(value: object) -> dict[str, float] | None:
    if not isinstance(value, dict):
        return None
    times = {}
    for name, time_s in value.items():
        if not _is_measured(time_s):
            return None
        times[str(name)] = float(time_s)
    return times


def _is_measured(value: object) -> TypeGuard[float]:
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return math.isfinite(value) and value >= 0
