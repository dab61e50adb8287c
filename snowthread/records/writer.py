"""The child process that writes files of records, so that a slow or full disk never stops the node.

It reads batches from a socket and appends them to files in one folder; it ends when the socket does, with
what came before written, so a node that is killed outright leaves all that it had handed over. A write that
fails is counted, and the next one that goes through is preceded by a record that says what is missing.
"""

from __future__ import annotations

import os
import re
import signal
import socket
import time
from pathlib import Path

from snowthread.records.frame import encode
from snowthread.records.model import Record
from snowthread.records.retention import Retention, Segment, full, surplus

BATCH_MAX = 64 * 1024  # bytes of one message between the two
SUFFIX = ".records"
LABEL_MAX = 100  # characters of a node's name in a file's
RETRY_S = 1.0  # between two tries to open a file where the disk refuses


class Files:
    """Appends to the files of one boot in one folder."""

    def __init__(self, folder: Path, node: str, boot: str, rules: Retention) -> None:
        self._folder, self._node, self._boot, self._rules = folder, node, boot, rules
        # A name may hold what a path must not, and one node's name may begin another's.
        self._label = re.sub(r"[^A-Za-z0-9._-]|^\.+", "_", node)[:LABEL_MAX]
        self._mine = re.compile(re.escape(self._label) + r"-[0-9]+-[0-9a-f]+-[0-9]+" + re.escape(SUFFIX))
        self._fd, self._name, self._size, self._began = -1, "", 0, 0.0
        self._count = self._gaps = 0
        self._lost, self._why, self._torn = 0, "", False
        self._retry_at = 0.0

    def append(self, batch: bytes, records: int, now: float) -> None:
        """Write a batch of whole frames; what can't be written is counted."""
        try:
            if self._fd >= 0 and full(self._size, self._began, now, len(batch), self._rules):
                self.close()
            if self._fd < 0:
                if now < self._retry_at:
                    raise OSError(0, self._why)
                self._open(now)
            if self._lost:
                gap = Record(
                    self._node,
                    self._boot,
                    -1 - self._gaps,
                    now,
                    "gap",
                    {"lost": self._lost, "why": self._why},
                )
                self._write(encode(gap))
                self._gaps, self._lost = self._gaps + 1, 0
            self._write(batch)
        except OSError as error:
            self._lost += records
            self._why = error.strerror or str(error)
            if now >= self._retry_at:
                self._retry_at = now + RETRY_S * 1000.0
            self.close()  # a frame may be torn at its end: the next goes into a new file

    def close(self) -> None:
        """Close the file that is open."""
        if self._fd >= 0:
            fd, self._fd = self._fd, -1
            try:
                os.fsync(fd)
            except OSError:
                pass
            os.close(fd)

    def _open(self, now: float) -> None:
        self._count += 1
        name = f"{self._label}-{int(now)}-{self._boot}-{self._count:06d}{SUFFIX}"
        self._folder.mkdir(parents=True, exist_ok=True)
        self._fd = os.open(self._folder / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o640)
        self._name, self._size, self._began = name, 0, now
        self._tidy(now)

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            sent = os.write(self._fd, view)
            self._size += sent
            view = view[sent:]

    def _tidy(self, now: float) -> None:
        """Delete what the rules don't keep; other nodes' files in the folder are theirs."""
        segments = []
        for path in self._folder.iterdir():
            if not self._mine.fullmatch(path.name):
                continue
            try:
                stat = path.stat()
            except OSError:
                continue
            segments.append(Segment(path.name, stat.st_size, stat.st_mtime * 1000.0))
        for name in surplus(segments, self._name, now, self._rules):
            (self._folder / name).unlink(missing_ok=True)


def start(folder: Path, node: str, boot: str, rules: Retention) -> tuple[socket.socket, int]:
    """Start the child; the socket's other end, on which each message is a count and a batch, and its pid."""
    here, there = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    here.setblocking(False)
    here.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * BATCH_MAX)
    pid = os.fork()
    if pid:
        there.close()
        return here, pid
    code = 1
    try:
        here.close()
        fd = there.fileno()
        os.closerange(3, fd)
        os.closerange(fd + 1, 4096)  # whatever else the node has open stays the node's alone
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)  # it ends with its node, not before
        _serve(there, Files(folder, node, boot, rules))
        code = 0
    finally:
        os._exit(code)  # nothing of the parent's may run here


def _serve(source: socket.socket, files: Files) -> None:
    while True:
        message = source.recv(4 + BATCH_MAX)
        if not message:
            files.close()
            return
        files.append(message[4:], int.from_bytes(message[:4], "little"), time.time() * 1000.0)
