"""Damages the files of a node's state folder in the ways that crashes and faulty disks do."""

from __future__ import annotations

import os
import shutil
from collections.abc import Iterator
from pathlib import Path

CORRUPTION_MASK = 0x5A


def delete_contents(folder: Path) -> None:
    """Delete the contents of the folder; the empty folder is kept."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True, exist_ok=True)


def truncate_files(folder: Path) -> None:
    """Truncate each file to half its size."""
    for path in _files(folder):
        os.truncate(path, path.stat().st_size // 2)


def corrupt_files(folder: Path) -> None:
    """Change one byte in each file that is not empty."""
    for path in _files(folder):
        data = bytearray(path.read_bytes())
        if data:
            # The byte is not near the end of the file, where a key log may have unused slots.
            data[len(data) // 3] ^= CORRUPTION_MASK
            path.write_bytes(data)


def _files(folder: Path) -> Iterator[Path]:
    return (path for path in folder.rglob("*") if path.is_file())
