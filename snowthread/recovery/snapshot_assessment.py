"""Assessment of a snapshot found at a start: whether the node may start from it.

Pure: no clock, no files.

| status   | when                                                      | the node starts from |
| --------- | --------------------------------------------------------- | -------------------- |
| fresh     | complete, known version, generation >= the fleet's, young | the snapshot         |
| missing   | no bytes                                                  | priors               |
| torn      | shorter than its header says, or the digest is wrong      | priors               |
| foreign   | other magic, unknown version, or a body that is no object | priors               |
| older     | generation below the fleet's                              | priors               |
| stale     | older than ``max_age_ms``                               | priors               |
| future    | written after ``now`` beyond ``clock_tolerance_ms``                 | priors               |
"""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.recovery.snapshot import LearnedTimes, Snapshot, SnapshotStatus, decode_snapshot

CLOCK_TOLERANCE_MS = 2000.0

# A cold node knows nothing: its decisions learn, and slow start admits a few runs at first.
NO_LEARNED_TIMES = LearnedTimes()


@dataclass(frozen=True, slots=True)
class SnapshotAssessment:
    """The status, why, and what to start from: what was learned where it is fresh, else the priors."""

    status: SnapshotStatus
    reason: str
    initial_times: LearnedTimes
    snapshot: Snapshot | None = None  # what was read, where it could be read at all


def assess_snapshot(
    data: bytes,
    *,
    generation: int,
    now_ms: float,
    max_age_ms: float,
    clock_tolerance_ms: float = CLOCK_TOLERANCE_MS,
) -> SnapshotAssessment:
    """Assess the bytes found at a start by the fleet's ``generation`` and the wall time ``now_ms``.

    ``clock_tolerance_ms`` is how far the clock that wrote the snapshot may have been ahead.
    """
    decoded = decode_snapshot(data)
    snapshot = decoded.snapshot
    if snapshot is None:
        return SnapshotAssessment(decoded.status, decoded.reason, NO_LEARNED_TIMES)
    age_ms = now_ms - snapshot.written_at_ms
    if snapshot.generation < generation:
        reason = f"generation {snapshot.generation}, the fleet's is {generation}"
        return SnapshotAssessment(SnapshotStatus.OLDER_GENERATION, reason, NO_LEARNED_TIMES, snapshot)
    if age_ms < -clock_tolerance_ms:
        reason = f"written {-age_ms:.0f} ms after now"
        return SnapshotAssessment(SnapshotStatus.FUTURE, reason, NO_LEARNED_TIMES, snapshot)
    if age_ms > max_age_ms:
        reason = f"{age_ms:.0f} ms old, fresh for {max_age_ms:.0f}"
        return SnapshotAssessment(SnapshotStatus.STALE, reason, NO_LEARNED_TIMES, snapshot)
    return SnapshotAssessment(SnapshotStatus.FRESH, "", snapshot.learned, snapshot)
