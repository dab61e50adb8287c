"""The files of one boot of a node: where a batch goes, and what follows an error of the disk.

A batch that can't be written is counted, and the next one that can is preceded by a ``gap`` record.
"""

from __future__ import annotations

import os
import re
from contextlib import suppress
from pathlib import Path

from snowthread.records.frame import encode_record
from snowthread.records.model import Record, RecordKind
from snowthread.records.retention import Retention, Segment, files_to_delete, is_full

RECORD_FILE_SUFFIX = ".records"
LABEL_MAX_CHARS = 100  # of a node's name in the name of a file
RETRY_MS = 1000.0  # between two attempts to open a file after an error
FILE_MODE = 0o640
NO_FILE = -1  # no descriptor has this number
MS_PER_S = 1000.0


class RecordFiles:
    """Append batches to the files of one boot in one folder."""

    def __init__(self, folder: Path, node: str, boot: str, retention: Retention) -> None:
        self._folder = folder
        self._node = node
        self._boot = boot
        self._retention = retention
        # A node's name may hold characters that a path must not.
        self._label = re.sub(r"[^A-Za-z0-9._-]|^\.+", "_", node)[:LABEL_MAX_CHARS]
        # The entire name is matched, as the name of one node may begin with another's.
        self._own_name = re.compile(
            re.escape(self._label) + r"-[0-9]+-[0-9a-f]+-[0-9]+" + re.escape(RECORD_FILE_SUFFIX)
        )
        self._file_count = 0
        self._fd = NO_FILE
        self._name = ""
        self._size = 0
        self._started_at_ms = 0.0
        self._gap_count = 0
        self._lost_records = 0
        self._error_text = ""
        self._retry_at_ms = 0.0

    def append(self, batch: bytes, records: int, now: float) -> None:
        """Write a batch of complete frames; count its records as lost if that fails.

        ``now`` is in Unix milliseconds.
        """
        try:
            self._ensure_open(len(batch), now)
            if self._lost_records:
                self._write_gap(now)
            self._write(batch)
        except OSError as error:
            self._lost_records += records
            self._error_text = error.strerror or str(error)
            if now >= self._retry_at_ms:
                self._retry_at_ms = now + RETRY_MS
            self.close()  # the file may end in an incomplete frame: the next batch goes into a new one

    def close(self) -> None:
        """Close the file that is open, if any."""
        if self._fd == NO_FILE:
            return
        fd = self._fd
        self._fd = NO_FILE
        with suppress(OSError):
            os.fsync(fd)
        os.close(fd)

    def _ensure_open(self, batch_bytes: int, now: float) -> None:
        """Open a file if none is open or the open one is full.

        Raises:
            OSError: The last attempt failed, and it is too early for the next one.
        """
        full = is_full(self._size, self._started_at_ms, now, batch_bytes, self._retention)
        if full and self._fd != NO_FILE:
            self.close()
        if self._fd == NO_FILE:
            if now < self._retry_at_ms:
                raise OSError(0, self._error_text)
            self._open(now)

    def _open(self, now: float) -> None:
        self._file_count += 1
        name = f"{self._label}-{int(now)}-{self._boot}-{self._file_count:06d}{RECORD_FILE_SUFFIX}"
        self._folder.mkdir(parents=True, exist_ok=True)
        self._fd = os.open(self._folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, FILE_MODE)
        self._name = name
        self._size = 0
        self._started_at_ms = now
        self._delete_surplus(now)

    def _write_gap(self, now: float) -> None:
        """Record how many records are missing; the writer numbers its own records below zero."""
        fields = {"lost": self._lost_records, "why": self._error_text}
        number = -1 - self._gap_count
        self._write(encode_record(Record(self._node, self._boot, number, now, RecordKind.GAP, fields)))
        self._gap_count += 1
        self._lost_records = 0

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            written = os.write(self._fd, view)
            self._size += written
            view = view[written:]

    def _delete_surplus(self, now: float) -> None:
        """Delete files of this node beyond its retention; other nodes' files in the folder are left alone."""
        segments = []
        for path in self._folder.iterdir():
            if not self._own_name.fullmatch(path.name):
                continue
            try:
                stat = path.stat()
            except OSError:
                continue
            segments.append(Segment(path.name, stat.st_size, stat.st_mtime * MS_PER_S))
        for name in files_to_delete(segments, self._name, now, self._retention):
            (self._folder / name).unlink(missing_ok=True)
