"""Damage to a node's state folder, as crashes and faulty disks leave it."""

from __future__ import annotations

import os
import shutil
from collections.abc import Iterator
from pathlib import Path

CORRUPTION_MASK = 0x5A


def wipe(folder: Path) -> None:
    """Delete everything in the folder."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True, exist_ok=True)


def truncate_files(folder: Path) -> None:
    """Cut each file to half its size."""
    for path in _files(folder):
        os.truncate(path, path.stat().st_size // 2)


def corrupt_files(folder: Path) -> None:
    """Change one byte of each file that is not empty."""
    for path in _files(folder):
        data = bytearray(path.read_bytes())
        if data:
            data[len(data) // 3] ^= CORRUPTION_MASK  # not at the end: unused slots may be there
            path.write_bytes(data)


def _files(folder: Path) -> Iterator[Path]:
    return (path for path in folder.rglob("*") if path.is_file())
