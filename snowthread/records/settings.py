"""Read the ``records`` block of the operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from snowthread.hcl import Block
from snowthread.records.retention import Retention

BYTES_PER_KB = 1024
BYTES_PER_MB = 2**20
MIN_FILES_IN_TOTAL = 2  # a full file and the current one


@dataclass(frozen=True, slots=True)
class RecordSettings:
    """The settings of the block; ``queue_max_bytes`` limits the batches that wait for the writer process."""

    folder: Path
    retention: Retention
    queue_max_bytes: int

    def summary(self) -> str:
        """Return a line for the operator with the folder and the size limit."""
        return f"records in {self.folder}, at most {self.retention.total_bytes // BYTES_PER_MB} MB"


def read_record_settings(block: Block) -> RecordSettings:
    """Return the checked settings; the ConfigError for an invalid value names its key."""
    settings = RecordSettings(
        folder=Path(block.text("folder")),
        retention=Retention(
            file_bytes=int(block.number("file_mb", 8.0, 0.01, 1024.0) * BYTES_PER_MB),
            file_ms=block.duration_ms("file_for", "1h", 1000.0),
            total_bytes=int(block.number("total_mb", 256.0, 0.1, 1e6) * BYTES_PER_MB),
            max_age_ms=block.duration_ms("keep", "336h", 60_000.0),
        ),
        queue_max_bytes=int(block.number("waiting_kb", 1024.0, 64.0, 65_536.0) * BYTES_PER_KB),
    )
    if settings.retention.total_bytes < MIN_FILES_IN_TOTAL * settings.retention.file_bytes:
        raise block.error("total_mb", "must be at least twice file_mb")
    block.reject_unknown_keys()
    return settings
