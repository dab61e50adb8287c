"""A warm snapshot on disk: written atomically, read back whole or not at all.

Write order: the bytes go to ``warm.snap.tmp`` in the same folder, are fsynced, renamed over ``warm.snap`` and
the folder is fsynced. A crash before the rename leaves the old file; after it, the new one; a file system
that loses the rename's order may leave a torn file, which the digest of :mod:`snapshot` turns down.
``OSError`` of writing is returned as a value with the step it came to; reading a missing file gives empty
bytes.
"""

from __future__ import annotations

import mmap
import os
from pathlib import Path

from snowthread.recovery import key_log

SNAPSHOT_FILE = "warm.snap"
KEY_LOG_FILE = "keys.ring"
INCARNATION_FILE = "incarnation"
READ_MAX = 2 << 20  # more than any snapshot; a larger file is read only so far and so is torn


def write(folder: Path, data: bytes, name: str = SNAPSHOT_FILE, sync: bool = True) -> str | None:
    """Put ``data`` in place; None where it is there, else the step that failed and why. Without ``sync`` it
    outlives the process and costs the caller no wait; what a power failure leaves is the judge's to tell."""
    step = "open"
    temporary = folder / (name + ".tmp")
    try:
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            step = "write"
            view = memoryview(data)
            while view:
                view = view[os.write(fd, view) :]
            step = "fsync"
            if sync:
                os.fsync(fd)
        finally:
            os.close(fd)
        step = "rename"
        os.replace(temporary, folder / name)
        if not sync:
            return None
        step = "fsync folder"
        folder_fd = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(folder_fd)
        finally:
            os.close(folder_fd)
    except OSError as error:
        return f"{step}: {error.strerror or error}"
    return None


def read(folder: Path, name: str = SNAPSHOT_FILE, most: int = READ_MAX) -> bytes:
    """The bytes of the snapshot, empty where there is none or it can't be read."""
    try:
        with open(folder / name, "rb") as file:
            return file.read(most)
    except OSError:
        return b""


def read_incarnation(folder: Path) -> int:
    """The last incarnation written down here; 0 where there is none or it can't be read."""
    try:
        return max(0, int(read(folder, INCARNATION_FILE, 32) or b"0"))
    except ValueError:
        return 0


def write_incarnation(folder: Path, number: int) -> str | None:
    """Write an incarnation down; None, or what failed: the roster knows it too, so a start goes on."""
    return write(folder, b"%d\n" % number, INCARNATION_FILE)


def init(folder: Path) -> str | None:
    """An empty ring: the operator's word that no earlier life of this node ran keys. None, or what failed."""
    return write(folder, key_log.new_key_log(), KEY_LOG_FILE)


def open_key_log(
    folder: Path, blind_until: float
) -> tuple[key_log.KeyLogContents, key_log.KeyLog | None, str]:
    """What a start finds, and the ring to write into. One that is not whole is made anew, blind until this
    time, so that a start after the next does not take it for a whole one. No ring: it can't be written, and
    why."""
    found = key_log.read_key_log(read(folder, KEY_LOG_FILE, key_log.key_log_size(key_log.SLOTS_MAX) + 1))
    if found.verdict is not key_log.Verdict.WHOLE:
        failed = write(folder, key_log.new_key_log(blind_until), KEY_LOG_FILE)
        if failed is not None:
            return found, None, failed
    try:
        fd = os.open(folder / KEY_LOG_FILE, os.O_RDWR)
        try:
            mapped = mmap.mmap(fd, 0)  # shared: what is written outlives the process without a call
        finally:
            os.close(fd)
    except (OSError, ValueError) as error:
        return found, None, str(error)
    return found, key_log.KeyLog(memoryview(mapped), found.sequence), ""
