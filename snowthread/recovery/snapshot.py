"""The bytes of a warm snapshot and the judge of those found at a start. Pure: no clock, no files.

Layout (big-endian)::

    magic   4 bytes  b"STWS"
    version u16      FORMAT_VERSION
    gen     u64      the fleet's generation when written (told by the roster or the operator)
    life    u32      the node's incarnation: how many times its state folder has seen a start
    at_ms   f64      wall time of writing, milliseconds since the epoch
    length  u32      bytes of the body
    body    JSON     :class:`Learned` as an object
    digest  16 bytes BLAKE2b-128 of all that comes before it

Verdicts of :func:`judge`:

| verdict   | when                                                     | the node then        |
| --------- | -------------------------------------------------------- | -------------------- |
| fresh     | whole, known version, generation >= fleet's, young    | starts from it       |
| missing   | no bytes                                                 | priors               |
| torn      | shorter than its header says, or the digest is wrong     | priors, counted      |
| foreign   | other magic, unknown version, or a body that is no object | priors, counted      |
| older     | generation below the fleet's                             | priors, counted      |
| stale     | older than ``fresh_for_ms``                              | priors, counted      |
| future    | written after ``now`` beyond ``slack_ms``                | priors, counted      |

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

MAGIC = b"STWS"
FORMAT_VERSION = 2  # 1 had keys and rates that nothing recalled
HEADER = struct.Struct(">4sHQIdI")
DIGEST_BYTES = 16
BODY_MAX = 1 << 20  # a snapshot is kilobytes; a length beyond this is foreign, not a reason to read on


class Verdict(Enum):
    FRESH = "fresh"
    MISSING = "missing"
    TORN = "torn"
    FOREIGN = "foreign"
    OLDER = "older"
    STALE = "stale"
    FUTURE = "future"


@dataclass(frozen=True, slots=True)
class LearnedTimes:
    """What a node learned, by class name in seconds, and the requests it read a second."""

    core_time_s: Mapping[str, float] = field(default_factory=dict)  # of a run on a core, in good times
    run_time_s: Mapping[str, float] = field(default_factory=dict)  # of a run with its calls
    call_time_s: Mapping[str, float] = field(default_factory=dict)  # of a call, in good times
    read_per_s: float = 0.0


PRIORS = (
    LearnedTimes()
)  # a cold node knows nothing: its decisions learn, and its ramp lets a few runs in at first


@dataclass(frozen=True, slots=True)
class Snapshot:
    generation: int
    incarnation: int
    written_ms: float
    learned: LearnedTimes


@dataclass(frozen=True, slots=True)
class SnapshotAssessment:
    """The verdict, why, and what to start from: the snapshot's learning where fresh, else the priors."""

    verdict: Verdict
    reason: str
    initial_state: LearnedTimes
    snapshot: Snapshot | None = None  # what was read, where it could be read at all


def encode(snapshot: Snapshot) -> bytes:
    """The bytes of a snapshot. Raises ``ValueError`` for a body over :data:`BODY_MAX` or values no number."""
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
    if len(body) > BODY_MAX:
        raise ValueError(f"a snapshot's body of {len(body)} bytes is over {BODY_MAX}")
    head = HEADER.pack(
        MAGIC, FORMAT_VERSION, snapshot.generation, snapshot.incarnation, snapshot.written_ms, len(body)
    )
    return head + body + hashlib.blake2b(head + body, digest_size=DIGEST_BYTES).digest()


def _rates(value: object) -> dict[str, float] | None:
    if not isinstance(value, dict):
        return None
    out = {}
    for name, rate in value.items():
        if not isinstance(rate, int | float) or isinstance(rate, bool) or not math.isfinite(rate) or rate < 0:
            return None
        out[str(name)] = float(rate)
    return out


def _learned(body: bytes) -> LearnedTimes | None:
    try:
        raw = json.loads(body)
    except (ValueError, UnicodeDecodeError):
        return None
    if not isinstance(raw, dict):
        return None
    tables = [_rates(raw.get(name)) for name in ("core_s", "wall_s", "call_s")]
    read = raw.get("read_per_s")
    if (
        None in tables
        or not isinstance(read, int | float)
        or isinstance(read, bool)
        or not (math.isfinite(read) and read >= 0.0)
    ):
        return None
    core, wall, call = (table or {} for table in tables)
    return LearnedTimes(core, wall, call, float(read))


def decode(data: bytes) -> tuple[Verdict, str, Snapshot | None]:
    """Read bytes back: ``(FRESH, "", snapshot)`` where whole and known (freshness is :func:`judge`'s),
    else the verdict and why."""
    if not data:
        return Verdict.MISSING, "no snapshot", None
    if len(data) < HEADER.size:
        return (Verdict.TORN if MAGIC.startswith(data[:4]) else Verdict.FOREIGN), f"{len(data)} bytes", None
    magic, version, generation, incarnation, written_ms, length = HEADER.unpack_from(data)
    if magic != MAGIC:
        return Verdict.FOREIGN, "not a snapshot", None
    if version != FORMAT_VERSION:
        return Verdict.FOREIGN, f"format {version}, known {FORMAT_VERSION}", None
    if length > BODY_MAX:
        return Verdict.FOREIGN, f"body of {length} bytes", None
    end = HEADER.size + length
    if len(data) != end + DIGEST_BYTES:
        return Verdict.TORN, f"{len(data)} bytes where the header says {end + DIGEST_BYTES}", None
    if hashlib.blake2b(data[:end], digest_size=DIGEST_BYTES).digest() != data[end:]:
        return Verdict.TORN, "digest does not match", None
    learned = _learned(data[HEADER.size : end])
    if learned is None or not math.isfinite(written_ms):
        return Verdict.FOREIGN, "body is not a snapshot's", None
    return Verdict.FRESH, "", Snapshot(generation, incarnation, written_ms, learned)


def assess(
    data: bytes, *, generation: int, now_ms: float, fresh_for_ms: float, slack_ms: float = 2000.0
) -> SnapshotAssessment:
    """Whether the bytes found at a start may be trusted, by the fleet's ``generation`` and wall ms."""
    verdict, why, snapshot = decode(data)
    if snapshot is not None:
        age = now_ms - snapshot.written_ms
        if snapshot.generation < generation:
            verdict, why = Verdict.OLDER, f"generation {snapshot.generation}, the fleet's is {generation}"
        elif age < -slack_ms:
            verdict, why = Verdict.FUTURE, f"written {-age:.0f} ms after now"
        elif age > fresh_for_ms:
            verdict, why = Verdict.STALE, f"{age:.0f} ms old, fresh for {fresh_for_ms:.0f}"
    start = snapshot.learned if verdict is Verdict.FRESH and snapshot is not None else PRIORS
    return SnapshotAssessment(verdict, why, start, snapshot)
