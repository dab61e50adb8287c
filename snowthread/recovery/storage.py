"""The files of a node's state folder: written atomically, read back complete or not at all.

Write order: the bytes go to a temporary file in the same folder, are fsynced, renamed over the file, and the
folder is fsynced. A crash before the rename leaves the old file; after it, the new one. A file system that
loses the rename's order may leave a torn file, which the digest of :mod:`snapshot` and the checksums of
:mod:`key_log` find. A write that fails is returned as a :class:`StorageFailure`, nothing is raised; reading a
file that is missing gives empty bytes.
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
MAX_READ_BYTES = 2 << 20  # more than any snapshot; of a larger file only so much is read, so it is torn
MAX_INCARNATION_BYTES = 32


class StorageStep(Enum):
    """What was being done when storage failed."""

    OPEN = "open"
    WRITE = "write"
    FSYNC = "fsync"
    RENAME = "rename"
    FSYNC_FOLDER = "fsync folder"
    MAP = "map"


@dataclass(frozen=True, slots=True)
class StorageFailure:
    """Why a file was not written: the step that failed, and the system's reason."""

    step: StorageStep
    reason: str

    def __str__(self) -> str:
        return f"{self.step.value}: {self.reason}"


@dataclass(frozen=True, slots=True)
class OpenedKeyLog:
    """What a start finds in the key log, and the log to append to, or why there is none."""

    contents: KeyLogContents
    key_log: KeyLog | None = None
    error: StorageFailure | None = None


def write_state_file(
    folder: Path, data: bytes, name: str = SNAPSHOT_FILE, sync: bool = True
) -> StorageFailure | None:
    """Write a file atomically; return None once it is in place, else the error.

    Without ``sync`` the file outlives the process but may not outlive a power failure, and the caller does
    not wait for the disk.
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
    """Log a failed write of state that the node can do without."""
    if error is not None:
        logger.bind(event="recovery.write_failed").warning("state not written: {}", error)


def read_state_file(folder: Path, name: str = SNAPSHOT_FILE, max_bytes: int = MAX_READ_BYTES) -> bytes:
    """Return the first ``max_bytes`` bytes of a file, empty where there is none or it cannot be read."""
    try:
        with (folder / name).open("rb") as file:
            return file.read(max_bytes)
    except OSError:
        return b""


def read_incarnation(folder: Path) -> int:
    """Return the last incarnation that was written; 0 where there is none or it cannot be read."""
    try:
        return max(0, int(read_state_file(folder, INCARNATION_FILE, MAX_INCARNATION_BYTES) or b"0"))
    except ValueError:
        return 0


def write_incarnation(folder: Path, number: int) -> StorageFailure | None:
    """Write an incarnation; return None or the error. The registry knows it too, so a start goes on."""
    return write_state_file(folder, b"%d\n" % number, INCARNATION_FILE)


def read_key_log(folder: Path) -> KeyLogContents:
    """Return the contents of the folder's key log."""
    return key_log.decode_key_log(
        read_state_file(folder, KEY_LOG_FILE, key_log.key_log_size(key_log.MAX_SLOTS) + 1)
    )


def create_key_log(folder: Path) -> StorageFailure | None:
    """Write an empty key log; return None or the error.

    It is the operator's statement that no earlier incarnation of this node ran requests with keys.
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
            mapped = mmap.mmap(descriptor, 0)  # shared: what is written outlives the process without a call
        finally:
            os.close(descriptor)
    except (OSError, ValueError) as failure:
        return OpenedKeyLog(contents, error=StorageFailure(StorageStep.MAP, str(failure)))
    return OpenedKeyLog(contents, KeyLog(memoryview(mapped), contents.sequence))
