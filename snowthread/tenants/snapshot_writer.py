"""Write snapshots in a child process, because an fsync can block longer than the event loop may."""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from snowthread.tenants.model import Tenant
from snowthread.tenants.snapshot import Snapshot, encode, write

FIRST_CLOSED_DESCRIPTOR = 3  # the first descriptor after the standard streams
CLOSED_DESCRIPTORS_END = 4096
FAILED_WITHOUT_ERRNO = 1  # exit code of a child that failed without an errno
MAX_EXIT_CODE = 255
NO_CHILD = 0  # never the pid of a child


@dataclass(frozen=True, slots=True)
class WriteResult:
    """The result of a write.

    ``error`` is empty if the write succeeded, and also if its result is unknown because other code reaped the
    child process.
    """

    error: str = ""


class SnapshotWriter:
    """Writes snapshots to one path, one at a time."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._child_pid = NO_CHILD

    @property
    def busy(self) -> bool:
        """Whether a child process is writing a snapshot."""
        return self._child_pid != NO_CHILD

    def start(
        self,
        tenants: Iterable[Tenant],
        confirmed_at: float,
        query_text: str,
        source_server: str,
        cookie: bytes | None,
    ) -> None:
        """Start a child process that encodes a snapshot, from its own copy of the tenants, and writes it."""
        pid = os.fork()
        if pid:
            self._child_pid = pid
            return
        exit_code = FAILED_WITHOUT_ERRNO
        try:
            # A child blocked on a hanging disk must not keep the node's sockets bound after the node exits.
            os.closerange(FIRST_CLOSED_DESCRIPTOR, CLOSED_DESCRIPTORS_END)
            write(
                self.path, encode(Snapshot(tuple(tenants), confirmed_at, query_text, source_server, cookie))
            )
            exit_code = 0
        except OSError as error:
            exit_code = error.errno or FAILED_WITHOUT_ERRNO
        finally:
            os._exit(min(exit_code, MAX_EXIT_CODE))  # the parent's exit handlers and event loop must not run

    def poll(self) -> WriteResult | None:
        """Return the result of the last write once; None while it runs or if none was started."""
        if self._child_pid == NO_CHILD:
            return None
        try:
            pid, status = os.waitpid(self._child_pid, os.WNOHANG)
        except ChildProcessError:  # reaped by other code: the result is unknown
            self._child_pid = NO_CHILD
            return WriteResult()
        if not pid:
            return None
        self._child_pid = NO_CHILD
        exit_code = os.waitstatus_to_exitcode(status)
        if exit_code == 0:
            return WriteResult()
        return WriteResult(
            os.strerror(exit_code) if exit_code > 0 else f"child process killed by signal {-exit_code}"
        )
