"""Settings of the recovery feature, read from the block ``comeback`` of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from snowthread.hcl import Block


@dataclass(frozen=True, slots=True)
class RecoverySettings:
    """The state folder, the interval and maximum age of snapshots, and the shared database's capacity."""

    folder: Path
    snapshot_interval_ms: float
    snapshot_max_age_ms: float
    database_calls_per_s: float  # Calls per second that the database can serve for all nodes together.
    # Latency in ms of a database call while the database is within its capacity.
    database_call_latency_ms: float

    def summary(self) -> str:
        """Return one line that describes the settings to operators."""
        return (
            f"recovery: state in {self.folder}, "
            f"snapshots trusted for {self.snapshot_max_age_ms / 1000.0:g} s; "
            f"database capacity {self.database_calls_per_s:g} calls/s"
        )


def read_recovery_settings(block: Block) -> RecoverySettings:
    """Read and check the block ``comeback``; a :class:`BlockKeyError` names the key that is invalid."""
    settings = RecoverySettings(
        folder=Path(block.text("folder")),
        snapshot_interval_ms=block.duration_ms("every", "1s", 50.0),
        snapshot_max_age_ms=block.duration_ms("fresh_for", "60s", 100.0),
        database_calls_per_s=block.number("database_per_s", None, 0.1),
        database_call_latency_ms=block.duration_ms("database_call", "50ms", 0.1),
    )
    if not settings.folder.is_dir():
        raise block.error("folder", f"{settings.folder} is not an existing directory")
    block.reject_unknown_keys()
    return settings
