"""Format of the snapshot of what a node learned, and the assessment of one found at a start.

Pure: no clock, no files. Layout (big-endian)::

    magic   4 bytes  b"STWS"
    version u16      FORMAT_VERSION
    gen     u64      the fleet's generation when it was written, as the registry reported it
    life    u32      the node's incarnation: how many starts its state folder has seen
    at_ms   f64      wall time of writing, milliseconds since the epoch
    length  u32      bytes of the body
    body    JSON     :class:`LearnedTimes` as an object
    digest  16 bytes BLAKE2b-128 of all that comes before it

Verdicts of :func:`assess`:

| verdict   | when                                                      | the node starts from |
| --------- | --------------------------------------------------------- | -------------------- |
| fresh     | whole, known version, generation >= the fleet's, young    | the snapshot         |
| missing   | no bytes                                                  | priors               |
| torn      | shorter than its header says, or the digest is wrong      | priors               |
| foreign   | other magic, unknown version, or a body that is no object | priors               |
| older     | generation below the fleet's                              | priors               |
| stale     | older than ``fresh_for_ms``                               | priors               |
| future    | written after ``now`` beyond ``slack_ms``                 | priors               |

Keys are not in a snapshot: they change with each request, and have :mod:`snowthread.recovery.key_log`.
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


class SnapshotVerdict(Enum):
    """Whether a snapshot found at a start may be trusted, and if not, why."""

    FRESH = "fresh"
    MISSING = "missing"
    TORN = "torn"
    FOREIGN = "foreign"
    OLDER = "older"
    STALE = "stale"
    FUTURE = "future"


@dataclass(frozen=True, slots=True)
class LearnedTimes:
    """What a node learned: times in seconds by class name, and its request rate."""

    core_time_s: Mapping[str, float] = field(default_factory=dict)  # of a run on a core, unloaded
    run_time_s: Mapping[str, float] = field(default_factory=dict)  # of a run with its calls
    call_time_s: Mapping[str, float] = field(default_factory=dict)  # of a call, unloaded
    read_per_s: float = 0.0  # requests


# A cold node knows nothing: its decisions learn, and slow start admits a few runs at first.
PRIORS = LearnedTimes()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot as it is stored."""

    generation: int
    incarnation: int
    written_ms: float  # wall time
    learned: LearnedTimes


@dataclass(frozen=True, slots=True)
class DecodedSnapshot:
    """What bytes say: FRESH with a snapshot where they are whole and known, else the verdict and why.

    How old the snapshot is, is left to :func:`assess`.
    """

    verdict: SnapshotVerdict
    reason: str = ""
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class SnapshotAssessment:
    """The verdict, why, and what to start from: what was learned where it is fresh, else the priors."""

    verdict: SnapshotVerdict
    reason: str
    initial_state: LearnedTimes
    snapshot: Snapshot | None = None  # what was read, where it could be read at all


def encode(snapshot: Snapshot) -> bytes:
    """Return the bytes of a snapshot.

    Raise ValueError for a body over :data:`MAX_BODY_BYTES` or a value that is not finite.
    """
    learned = snapshot.learned
    body = json.dumps(
        {
            "core_s": dict(learned.core_time_s),
            "wall_s": dict(learned.run_time_s),
            "call_s": dict(learned.call_time_s),
            "read_per_s": learned.read_per_s,
        },
        allow_nan=False,
        separators=(",", ":"),
        sort_keys=True,
    ).encode()
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a snapshot's body of {len(body)} bytes is over {MAX_BODY_BYTES}")
    head = HEADER.pack(
        MAGIC, FORMAT_VERSION, snapshot.generation, snapshot.incarnation, snapshot.written_ms, len(body)
    )
    return head + body + hashlib.blake2b(head + body, digest_size=DIGEST_BYTES).digest()


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
    read_per_s = fields.get("read_per_s")
    if core_time_s is None or run_time_s is None or call_time_s is None:
        return None
    if not _is_measured(read_per_s):
        return None
    return LearnedTimes(core_time_s, run_time_s, call_time_s, float(read_per_s))


def decode(data: bytes) -> DecodedSnapshot:
    """Return what the bytes say."""
    if not data:
        return DecodedSnapshot(SnapshotVerdict.MISSING, "no snapshot")
    if len(data) < HEADER.size:
        is_start = MAGIC.startswith(data[: len(MAGIC)])
        verdict = SnapshotVerdict.TORN if is_start else SnapshotVerdict.FOREIGN
        return DecodedSnapshot(verdict, f"{len(data)} bytes")
    magic, version, generation, incarnation, written_ms, length = HEADER.unpack_from(data)
    if magic != MAGIC:
        return DecodedSnapshot(SnapshotVerdict.FOREIGN, "not a snapshot")
    if version != FORMAT_VERSION:
        return DecodedSnapshot(SnapshotVerdict.FOREIGN, f"format {version}, known {FORMAT_VERSION}")
    if length > MAX_BODY_BYTES:
        return DecodedSnapshot(SnapshotVerdict.FOREIGN, f"body of {length} bytes")
    end = HEADER.size + length
    whole = end + DIGEST_BYTES
    if len(data) != whole:
        reason = f"{len(data)} bytes where the header says {whole}"
        return DecodedSnapshot(SnapshotVerdict.TORN, reason)
    if hashlib.blake2b(data[:end], digest_size=DIGEST_BYTES).digest() != data[end:]:
        return DecodedSnapshot(SnapshotVerdict.TORN, "digest does not match")
    learned = _parse_body(data[HEADER.size : end])
    if learned is None or not math.isfinite(written_ms):
        return DecodedSnapshot(SnapshotVerdict.FOREIGN, "body is not a snapshot's")
    return DecodedSnapshot(SnapshotVerdict.FRESH, "", Snapshot(generation, incarnation, written_ms, learned))


def assess(
    data: bytes, *, generation: int, now_ms: float, fresh_for_ms: float, slack_ms: float = 2000.0
) -> SnapshotAssessment:
    """Assess the bytes found at a start by the fleet's ``generation`` and the wall time ``now_ms``.

    ``slack_ms`` is how far the clock that wrote the snapshot may have been ahead.
    """
    decoded = decode(data)
    snapshot = decoded.snapshot
    if snapshot is None:
        return SnapshotAssessment(decoded.verdict, decoded.reason, PRIORS)
    age_ms = now_ms - snapshot.written_ms
    if snapshot.generation < generation:
        reason = f"generation {snapshot.generation}, the fleet's is {generation}"
        return SnapshotAssessment(SnapshotVerdict.OLDER, reason, PRIORS, snapshot)
    if age_ms < -slack_ms:
        reason = f"written {-age_ms:.0f} ms after now"
        return SnapshotAssessment(SnapshotVerdict.FUTURE, reason, PRIORS, snapshot)
    if age_ms > fresh_for_ms:
        reason = f"{age_ms:.0f} ms old, fresh for {fresh_for_ms:.0f}"
        return SnapshotAssessment(SnapshotVerdict.STALE, reason, PRIORS, snapshot)
    return SnapshotAssessment(SnapshotVerdict.FRESH, "", snapshot.learned, snapshot)
