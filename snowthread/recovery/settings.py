"""Settings of recovery: the block ``comeback`` of the operator's file, checked."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from snowthread.hcl import Block


@dataclass(frozen=True, slots=True)
class RecoverySettings:
    """Where state is stored, how long it may be trusted, and the capacity of the shared database."""

    folder: Path
    snapshot_interval_ms: float
    snapshot_max_age_ms: float
    database_per_s: float  # capacity of the database, for all nodes: calls a second
    database_call_ms: float  # its latency within that capacity

    def summary(self) -> str:
        """Return a line for operators: what is on."""
        return (
            f"coming back: state in {self.folder}, trusted for {self.snapshot_max_age_ms / 1000.0:g} s; "
            f"the database bears {self.database_per_s:g} calls a second"
        )


def read_recovery_settings(block: Block) -> RecoverySettings:
    """Check the block ``comeback``; ConfigError names the key that cannot be used."""
    settings = RecoverySettings(
        folder=Path(block.text("folder")),
        snapshot_interval_ms=block.duration_ms("every", "1s", 50.0),
        snapshot_max_age_ms=block.duration_ms("fresh_for", "60s", 100.0),
        database_per_s=block.number("database_per_s", None, 0.1),
        database_call_ms=block.duration_ms("database_call", "50ms", 0.1),
    )
    if not settings.folder.is_dir():
        raise block.error("folder", f"{settings.folder} is no folder")
    block.reject_unknown_keys()
    return settings
