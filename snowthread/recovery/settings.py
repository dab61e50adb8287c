"""The block ``comeback`` of the operator's file, checked."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from snowthread.operator.hcl import Block


@dataclass(frozen=True, slots=True)
class RecoverySettings:
    """Where state is kept, how long it may be trusted, and what the shared database bears."""

    folder: Path
    snapshot_interval_ms: float
    snapshot_max_age_ms: float
    database_per_s: float
    database_call_ms: float

    def summary(self) -> str:
        """For people: what is on."""
        return (
            f"coming back: state in {self.folder}, trusted for {self.snapshot_max_age_ms / 1000.0:g} s; "
            f"the database bears {self.database_per_s:g} calls a second"
        )


def read(block: Block) -> RecoverySettings:
    """Check the block; ConfigError names the key that can't be used."""
    out = RecoverySettings(
        Path(block.text("folder")),
        block.time("every", "1s", 50.0),
        block.time("fresh_for", "60s", 100.0),
        block.number("database_per_s", None, 0.1),
        block.time("database_call", "50ms", 0.1),
    )
    if not out.folder.is_dir():
        raise block.wrong("folder", f"{out.folder} is no folder")
    block.done()
    return out
