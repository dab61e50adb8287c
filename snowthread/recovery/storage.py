"""Reads and writes the files of a node's state folder; a file is replaced atomically.

A write goes to a temporary file in the same folder, which is renamed over the target. A crash before the
rename leaves the old file, a crash after it the new one. The file is fsynced before the rename and the folder
after it, except for snapshots: these are written without any fsync (``sync=False``), so a power failure may
lose or tear one. A file system that reorders the rename may leave a torn file too. The digest of a snapshot
(:mod:`snapshot`) and the checksums of a key log (:mod:`key_log`) detect a torn file.

Keys are appended to the key log in place, through a shared memory map and without an fsync.

A failed write is returned as a :class:`StorageFailure` and raises nothing. Reading a missing file returns
empty bytes.
"""

from __future__ import annotations

import mmap
import os
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from loguru import logger

from snowthread.recovery import key_log
from snowthread.recovery.key_log import KeyLog, KeyLogContents, KeyLogStatus

SNAPSHOT_FILE = "warm.snap"
KEY_LOG_FILE = "keys.ring"
INCARNATION_FILE = "incarnation"
TEMPORARY_SUFFIX = ".tmp"
# No valid snapshot is as long. A longer file is read only up to this size and then decodes as corrupt.
MAX_READ_BYTES = 2 << 20
MAX_INCARNATION_BYTES = 32


class StorageStep(Enum):
    """The operation during which storage failed."""

    OPEN = "open"
    WRITE = "write"
    FSYNC = "fsync"
    RENAME = "rename"
    FSYNC_FOLDER = "fsync folder"
    MAP = "map"


@dataclass(frozen=True, slots=True)
class StorageFailure:
    """The operation that failed on a file, and the operating system's reason."""

    step: StorageStep
    reason: str

    def __str__(self) -> str:
        return f"{self.step.value}: {self.reason}"


@dataclass(frozen=True, slots=True)
class OpenedKeyLog:
    """The contents of the key log found at start, and the log to append to or the error that prevented it."""

    contents: KeyLogContents
    key_log: KeyLog | None = None
    error: StorageFailure | None = None


def write_state_file(
    folder: Path, data: bytes, name: str = SNAPSHOT_FILE, sync: bool = True
) -> StorageFailure | None:
    """Write a file atomically.

    Args:
        folder: The state folder.
        data: The new contents.
        name: Name of the file; the snapshot by default.
        sync: Whether to wait until the data is on disk. Without it, the file outlives the process but perhaps
            not a power failure.

    Returns:
        None if the file is in place, otherwise the failure.
    """
    temporary = folder / (name + TEMPORARY_SUFFIX)
    step = StorageStep.OPEN
    try:
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            step = StorageStep.WRITE
            _write_all(descriptor, data)
            step = StorageStep.FSYNC
            if sync:
                os.fsync(descriptor)
        finally:
            os.close(descriptor)
        step = StorageStep.RENAME
        temporary.replace(folder / name)
        step = StorageStep.FSYNC_FOLDER
        if sync:
            _fsync_folder(folder)
    except OSError as error:
        return StorageFailure(step, error.strerror or str(error))
    return None


def _write_all(descriptor: int, data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(descriptor, rest) :]


def _fsync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def log_write_failure(error: StorageFailure | None) -> None:
    """Log the failed write of a snapshot or an incarnation, if there is one; the node continues without it.

    Args:
        error: The failure; None if the file was written.
    """
    if error is not None:
        logger.bind(event="recovery.write_failed").warning(
            "could not write a snapshot or incarnation to the state folder, continuing without it: {}", error
        )


def read_state_file(folder: Path, name: str = SNAPSHOT_FILE, max_bytes: int = MAX_READ_BYTES) -> bytes:
    """Return up to ``max_bytes`` bytes of a file of the state folder; empty if it is missing or unreadable.

    The file is the snapshot unless ``name`` is given.
    """
    try:
        with (folder / name).open("rb") as file:
            return file.read(max_bytes)
    except OSError:
        return b""


def read_incarnation(folder: Path) -> int:
    """Return the stored incarnation, or 0 if it is missing or unreadable."""
    try:
        return max(0, int(read_state_file(folder, INCARNATION_FILE, MAX_INCARNATION_BYTES) or b"0"))
    except ValueError:
        return 0


def write_incarnation(folder: Path, number: int) -> StorageFailure | None:
    """Store an incarnation; return the failure, if any.

    A start continues after a failure, since the registry knows the incarnation too.
    """
    return write_state_file(folder, b"%d\n" % number, INCARNATION_FILE)


def read_key_log(folder: Path) -> KeyLogContents:
    """Read and decode the key log of a state folder."""
    return key_log.decode_key_log(
        read_state_file(folder, KEY_LOG_FILE, key_log.key_log_size(key_log.MAX_SLOT_COUNT) + 1)
    )


def create_key_log(folder: Path) -> StorageFailure | None:
    """Write a key log without keys; return the failure, if any.

    By this, the operator states that no earlier incarnation of the node ran requests with idempotency keys.
    """
    return write_state_file(folder, key_log.encode_empty_key_log(), KEY_LOG_FILE)


def open_key_log(folder: Path, all_indeterminate_until_ms: float) -> OpenedKeyLog:
    """Read the key log and open it for appending.

    A missing or invalid log is replaced by an empty one, in which every key is indeterminate until
    ``all_indeterminate_until_ms`` (wall clock ms). The next start therefore does not take it for a log that
    lists all keys.
    """
    contents = read_key_log(folder)
    if contents.status is not KeyLogStatus.COMPLETE:
        error = write_state_file(
            folder, key_log.encode_empty_key_log(all_indeterminate_until_ms), KEY_LOG_FILE
        )
        if error is not None:
            return OpenedKeyLog(contents, error=error)
    try:
        descriptor = os.open(folder / KEY_LOG_FILE, os.O_RDWR)
        try:
            # The map is shared with the file: written bytes outlive the process without a system call.
            mapped = mmap.mmap(descriptor, 0)
        finally:
            os.close(descriptor)
    except (OSError, ValueError) as failure:
        return OpenedKeyLog(contents, error=StorageFailure(StorageStep.MAP, str(failure)))
    return OpenedKeyLog(contents, KeyLog(memoryview(mapped), contents.sequence))
