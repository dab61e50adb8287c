"""Append batches of records to the files of one boot of a node, and handle errors of the file system.

The records of a batch that cannot be written are counted as lost; the next batch that can be written is
preceded by a ``gap`` record with their number.
"""

from __future__ import annotations

import os
import re
from contextlib import suppress
from pathlib import Path

from snowthread.records.frame import encode_record
from snowthread.records.model import Record, RecordKind
from snowthread.records.retention import Retention, StoredFile, files_to_delete, is_full

RECORD_FILE_SUFFIX = ".records"
NODE_LABEL_MAX_CHARS = 100  # longest part of a file name that is made from the node name
REOPEN_DELAY_MS = 1000.0  # shortest time between two attempts to open a file after an error
FILE_MODE = 0o640
NO_DESCRIPTOR = -1  # used while no file is open; a real descriptor is never negative
MS_PER_S = 1000.0


class RecordFiles:
    """Append batches to the files of one boot in one folder.

    A new file is opened when the current one is full. Then files that exceed the retention are deleted.
    """

    def __init__(self, folder: Path, node: str, boot: str, retention: Retention) -> None:
        self._folder = folder
        self._node = node
        self._boot = boot
        self._retention = retention
        # A node name may contain characters that are not allowed in a path.
        self._node_label = re.sub(r"[^A-Za-z0-9._-]|^\.+", "_", node)[:NODE_LABEL_MAX_CHARS]
        # Matches the entire file name, because the name of one node may be a prefix of another node's name.
        self._file_name_pattern = re.compile(
            re.escape(self._node_label) + r"-[0-9]+-[0-9a-f]+-[0-9]+" + re.escape(RECORD_FILE_SUFFIX)
        )
        self._file_count = 0
        self._fd = NO_DESCRIPTOR
        self._file_name = ""
        self._file_bytes = 0
        self._file_started_at_ms = 0.0
        self._gap_count = 0
        self._lost_records = 0
        self._error_text = ""
        self._reopen_at_ms = 0.0

    def append(self, batch: bytes, records: int, now: float) -> None:
        """Write a batch of complete frames; if that fails, count its records as lost.

        ``records`` is the number of records in the batch, ``now`` the time in Unix milliseconds.
        """
        try:
            self._ensure_open(len(batch), now)
            if self._lost_records:
                self._write_gap(now)
            self._write(batch)
        except OSError as error:
            self._lost_records += records
            self._error_text = error.strerror or str(error)
            if now >= self._reopen_at_ms:
                self._reopen_at_ms = now + REOPEN_DELAY_MS
            self.close()  # the file may end in a partial frame, so the next batch goes into a new file

    def close(self) -> None:
        """Flush the current file to disk and close it; do nothing if none is open."""
        if self._fd == NO_DESCRIPTOR:
            return
        fd = self._fd
        self._fd = NO_DESCRIPTOR
        with suppress(OSError):
            os.fsync(fd)
        os.close(fd)

    def _ensure_open(self, batch_bytes: int, now: float) -> None:
        """Open a new file if none is open, or if the current one is too large or too old for the batch.

        Raises:
            OSError: The file cannot be opened, or the last error is less than ``REOPEN_DELAY_MS`` ago.
        """
        full = is_full(self._file_bytes, self._file_started_at_ms, now, batch_bytes, self._retention)
        if full and self._fd != NO_DESCRIPTOR:
            self.close()
        if self._fd == NO_DESCRIPTOR:
            if now < self._reopen_at_ms:
                raise OSError(0, self._error_text)
            self._open(now)

    def _open(self, now: float) -> None:
        self._file_count += 1
        name = f"{self._node_label}-{int(now)}-{self._boot}-{self._file_count:06d}{RECORD_FILE_SUFFIX}"
        self._folder.mkdir(parents=True, exist_ok=True)
        self._fd = os.open(self._folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, FILE_MODE)
        self._file_name = name
        self._file_bytes = 0
        self._file_started_at_ms = now
        self._delete_expired_files(now)

    def _write_gap(self, now: float) -> None:
        """Write a ``gap`` record with the number of lost records and the error that caused the loss.

        The writer numbers its own records from -1 downwards, as the positive numbers belong to the node.
        """
        fields = {"lost": self._lost_records, "why": self._error_text}
        number = -1 - self._gap_count
        self._write(encode_record(Record(self._node, self._boot, number, now, RecordKind.GAP, fields)))
        self._gap_count += 1
        self._lost_records = 0

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            written = os.write(self._fd, view)
            self._file_bytes += written
            view = view[written:]

    def _delete_expired_files(self, now: float) -> None:
        """Delete files of this node that exceed its retention; files of other nodes are kept."""
        stored_files = []
        for path in self._folder.iterdir():
            if not self._file_name_pattern.fullmatch(path.name):
                continue
            try:
                stat = path.stat()
            except OSError:
                continue
            stored_files.append(StoredFile(path.name, stat.st_size, stat.st_mtime * MS_PER_S))
        for name in files_to_delete(stored_files, self._file_name, now, self._retention):
            (self._folder / name).unlink(missing_ok=True)
