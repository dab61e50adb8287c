"""A warm snapshot on disk: written atomically, read back whole or not at all.

Write order: the bytes go to ``warm.snap.tmp`` in the same folder, are fsynced, renamed over ``warm.snap`` and
the folder is fsynced. A crash before the rename leaves the old file; after it, the new one; a file system
that loses the rename's order may leave a torn file, which the digest of :mod:`snapshot` turns down.
``OSError`` of writing is returned as a value with the step it came to; reading a missing file gives empty
bytes.
"""

from __future__ import annotations

import os
from pathlib import Path

NAME = "warm.snap"
LIFE = "incarnation"
READ_MAX = 2 << 20  # more than any snapshot; a larger file is read only so far and so is torn


def write(folder: Path, data: bytes) -> str | None:
    """Put ``data`` in place; None where it is there, else the step that failed and why."""
    step = "open"
    temporary = folder / (NAME + ".tmp")
    try:
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            step = "write"
            view = memoryview(data)
            while view:
                view = view[os.write(fd, view):]
            step = "fsync"
            os.fsync(fd)
        finally:
            os.close(fd)
        step = "rename"
        os.replace(temporary, folder / NAME)
        step = "fsync folder"
        folder_fd = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(folder_fd)
        finally:
            os.close(folder_fd)
    except OSError as error:
        return f"{step}: {error.strerror or error}"
    return None


def read(folder: Path) -> bytes:
    """The bytes of the snapshot, empty where there is none or it can't be read."""
    try:
        with open(folder / NAME, "rb") as file:
            return file.read(READ_MAX)
    except OSError:
        return b""


def next_incarnation(folder: Path) -> int:
    """Count this start in the folder and return its number: 1 for a folder that never saw one (or lost the
    count). Written like a snapshot, so a torn count reads as lost."""
    try:
        before = int((folder / LIFE).read_text().strip() or 0)
    except (OSError, ValueError):
        before = 0
    life = before + 1
    temporary = folder / (LIFE + ".tmp")
    try:
        temporary.write_text(f"{life}\n")
        os.replace(temporary, folder / LIFE)
    except OSError:
        pass  # the count is a hint for the judge of keys; a start goes on without it
    return life
