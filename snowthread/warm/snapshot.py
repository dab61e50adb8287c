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

Whatever the verdict, the keys of a snapshot are never taken as run-or-not: each is *unknown* and is failed,
not run, within its window (:func:`unknown_keys`).
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
FORMAT_VERSION = 1
HEADER = struct.Struct(">4sHQIdI")
DIGEST_BYTES = 16
BODY_MAX = 1 << 20  # a snapshot is kilobytes; a length beyond this is foreign, not a reason to read on
KEYS_MAX = 50_000  # keys a snapshot carries at the most; the newest are kept


class Verdict(Enum):
    FRESH = "fresh"
    MISSING = "missing"
    TORN = "torn"
    FOREIGN = "foreign"
    OLDER = "older"
    STALE = "stale"
    FUTURE = "future"


@dataclass(frozen=True, slots=True)
class Learned:
    """What a node learned. Rates in requests a second, times in ms, by class name.

    ``keys`` maps a key to the wall ms at which its window ends; what became of its run is not in a snapshot.
    """

    arrival_rate: Mapping[str, float] = field(default_factory=dict)  # lambda by class
    service_rate: Mapping[str, float] = field(default_factory=dict)  # mu by class, a core
    run_limit: float = 1.0  # runs in flight
    database_ms: float = 0.0  # latency of the shared formula database, 0 where never measured
    keys: Mapping[str, float] = field(default_factory=dict)


PRIORS = Learned(run_limit=1.0)  # a cold node knows nothing and lets one run in at first: the ramp grows it


@dataclass(frozen=True, slots=True)
class Snapshot:
    generation: int
    incarnation: int
    written_ms: float
    learned: Learned


@dataclass(frozen=True, slots=True)
class Judged:
    """The verdict, why, and what to start from: the snapshot's learning where fresh, else the priors."""

    verdict: Verdict
    why: str
    start: Learned
    snapshot: Snapshot | None = None  # what was read, where it could be read at all


def encode(snapshot: Snapshot) -> bytes:
    """The bytes of a snapshot. Raises ``ValueError`` for a body over :data:`BODY_MAX` or values no number."""
    learned = snapshot.learned
    keys = dict(sorted(learned.keys.items(), key=lambda item: item[1])[-KEYS_MAX:])
    body = json.dumps({
        "arrival_rate": dict(learned.arrival_rate), "service_rate": dict(learned.service_rate),
        "run_limit": learned.run_limit, "database_ms": learned.database_ms, "keys": keys,
    }, allow_nan=False, separators=(",", ":"), sort_keys=True).encode()
    if len(body) > BODY_MAX:
        raise ValueError(f"a snapshot's body of {len(body)} bytes is over {BODY_MAX}")
    head = HEADER.pack(MAGIC, FORMAT_VERSION, snapshot.generation, snapshot.incarnation, snapshot.written_ms,
                       len(body))
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


def _learned(body: bytes) -> Learned | None:
    try:
        raw = json.loads(body)
    except (ValueError, UnicodeDecodeError):
        return None
    if not isinstance(raw, dict):
        return None
    arrival, service = _rates(raw.get("arrival_rate")), _rates(raw.get("service_rate"))
    keys = _rates(raw.get("keys"))
    limit, database = raw.get("run_limit"), raw.get("database_ms")
    numbers = all(isinstance(x, int | float) and not isinstance(x, bool) and math.isfinite(x)
                  for x in (limit, database))
    if arrival is None or service is None or keys is None or not numbers:
        return None
    assert isinstance(limit, int | float) and isinstance(database, int | float)
    if limit < 1 or database < 0:
        return None
    return Learned(arrival, service, float(limit), float(database), keys)


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
    learned = _learned(data[HEADER.size:end])
    if learned is None or not math.isfinite(written_ms):
        return Verdict.FOREIGN, "body is not a snapshot's", None
    return Verdict.FRESH, "", Snapshot(generation, incarnation, written_ms, learned)


def judge(data: bytes, *, generation: int, now_ms: float, fresh_for_ms: float,
          slack_ms: float = 2000.0) -> Judged:
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
    return Judged(verdict, why, start, snapshot)


def unknown_keys(judged: Judged, now_ms: float) -> dict[str, float]:
    """Keys whose window is still open at ``now_ms``, from whatever snapshot could be read, trusted or
    not: their fate is not known, so each is failed and never run again until its window ends. Values:
    wall ms of the window's end."""
    if judged.snapshot is None:
        return {}
    return {key: ends for key, ends in judged.snapshot.learned.keys.items() if ends > now_ms}
