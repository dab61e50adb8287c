"""The block ``records`` of the operator's file, checked."""

from __future__ import annotations

from pathlib import Path

from snowthread.operator.hcl import Block
from snowthread.records.recorder import RecordSettings
from snowthread.records.retention import Retention

MB = 2**20


def read(block: Block) -> RecordSettings:
    """Check the block; ConfigError names the key that can't be used."""
    out = RecordSettings(
        Path(block.text("folder")),
        Retention(
            int(block.number("file_mb", 8.0, 0.01, 1024.0) * MB),
            block.time("file_for", "1h", 1000.0),
            int(block.number("total_mb", 256.0, 0.1, 1e6) * MB),
            block.time("keep", "336h", 60_000.0),
        ),
        int(block.number("waiting_kb", 1024.0, 64.0, 65_536.0) * 1024),
    )
    if out.retention.total_bytes < 2 * out.retention.file_bytes:
        raise block.wrong("total_mb", "at least twice file_mb is wanted")
    block.done()
    return out
