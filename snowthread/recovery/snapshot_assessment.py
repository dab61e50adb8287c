"""Decides whether a node may use the snapshot that it finds at start.

Pure: no clock, no files. Only a fresh snapshot is used. In all other cases the node starts without learned
times.

The value of each status, which is logged, follows it in brackets.

| status                   | condition                                                                   |
| ------------------------ | --------------------------------------------------------------------------- |
| FRESH (fresh)            | complete, supported version, generation not below the fleet's, not too old  |
| MISSING (missing)        | no bytes                                                                    |
| CORRUPT (torn)           | size differs from what the header says, or the digest is wrong              |
| UNKNOWN_FORMAT (foreign) | unknown magic or version, a body longer than any snapshot's, or a body that |
|                          | is not an object with the fields of a snapshot                              |
| OLDER_GENERATION (older) | generation below the fleet's                                                |
| STALE (stale)            | older than ``max_age_ms``                                                   |
| FUTURE (future)          | written more than ``clock_tolerance_ms`` after the current time             |
"""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.recovery.snapshot import LearnedTimes, Snapshot, SnapshotStatus, decode_snapshot

CLOCK_TOLERANCE_MS = 2000.0

# Without a snapshot, a cold node has no learned times. It learns as it runs, and slow start admits only a few
# runs at first.
NO_LEARNED_TIMES = LearnedTimes()


@dataclass(frozen=True, slots=True)
class SnapshotAssessment:
    """The status of a snapshot, the reason for it, and the learned times to start with.

    ``initial_times`` are those of the snapshot if it is fresh, and otherwise :data:`NO_LEARNED_TIMES`.
    """

    status: SnapshotStatus
    reason: str
    initial_times: LearnedTimes
    snapshot: Snapshot | None = None  # The decoded snapshot; None if the bytes could not be decoded.


def assess_snapshot(
    data: bytes,
    *,
    generation: int,
    now_ms: float,
    max_age_ms: float,
    clock_tolerance_ms: float = CLOCK_TOLERANCE_MS,
) -> SnapshotAssessment:
    """Assess the bytes of a snapshot found at start.

    Args:
        data: The contents of the snapshot file.
        generation: The fleet's generation, as the registry reports it.
        now_ms: Current wall clock time in ms.
        max_age_ms: Age in ms up to which a snapshot is fresh.
        clock_tolerance_ms: How far in ms the clock that wrote the snapshot may have been ahead.
    """
    decoded = decode_snapshot(data)
    snapshot = decoded.snapshot
    if snapshot is None:
        return SnapshotAssessment(decoded.status, decoded.reason, NO_LEARNED_TIMES)
    age_ms = now_ms - snapshot.written_at_ms
    if snapshot.generation < generation:
        reason = f"generation {snapshot.generation} is below the fleet's generation {generation}"
        return SnapshotAssessment(SnapshotStatus.OLDER_GENERATION, reason, NO_LEARNED_TIMES, snapshot)
    if age_ms < -clock_tolerance_ms:
        reason = f"written {-age_ms:.0f} ms after the current time"
        return SnapshotAssessment(SnapshotStatus.FUTURE, reason, NO_LEARNED_TIMES, snapshot)
    if age_ms > max_age_ms:
        reason = f"{age_ms:.0f} ms old; snapshots are fresh for {max_age_ms:.0f} ms"
        return SnapshotAssessment(SnapshotStatus.STALE, reason, NO_LEARNED_TIMES, snapshot)
    return SnapshotAssessment(SnapshotStatus.FRESH, "", snapshot.learned, snapshot)
