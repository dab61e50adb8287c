"""Write snapshots in a child process: a sync of the disk may take longer than the event loop can wait."""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from snowthread.tenants.model import Tenant
from snowthread.tenants.snapshot import Snapshot, encode, write

FIRST_CLOSED_DESCRIPTOR = 3  # after the standard streams
CLOSED_DESCRIPTORS_END = 4096
FAILED_WITHOUT_ERRNO = 1
MAX_EXIT_CODE = 255
NO_CHILD = 0  # no process has this id


@dataclass(frozen=True, slots=True)
class WriteResult:
    """How a write ended; ``error`` is empty if it succeeded."""

    error: str = ""


class SnapshotWriter:
    """Writes snapshots to one path, one at a time."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._child_pid = NO_CHILD

    @property
    def busy(self) -> bool:
        """Whether a child is writing."""
        return self._child_pid != NO_CHILD

    def start(
        self,
        tenants: Iterable[Tenant],
        confirmed_at: float,
        source: str,
        source_server: str,
        cookie: bytes | None,
    ) -> None:
        """Start writing a snapshot. The child encodes it too, from its own copy of the tenants."""
        pid = os.fork()
        if pid:
            self._child_pid = pid
            return
        exit_code = FAILED_WITHOUT_ERRNO
        try:
            # A disk that hangs must not leave the node's sockets bound after the node has exited.
            os.closerange(FIRST_CLOSED_DESCRIPTOR, CLOSED_DESCRIPTORS_END)
            write(self.path, encode(Snapshot(tuple(tenants), confirmed_at, source, source_server, cookie)))
            exit_code = 0
        except OSError as error:
            exit_code = error.errno or FAILED_WITHOUT_ERRNO
        finally:
            os._exit(min(exit_code, MAX_EXIT_CODE))  # neither the parent's exit handlers nor its loop may run

    def poll(self) -> WriteResult | None:
        """Return how the last write ended, once; None while it runs or if none was started."""
        if self._child_pid == NO_CHILD:
            return None
        try:
            pid, status = os.waitpid(self._child_pid, os.WNOHANG)
        except ChildProcessError:  # somebody else has waited for it: its status is lost
            self._child_pid = NO_CHILD
            return WriteResult()
        if not pid:
            return None
        self._child_pid = NO_CHILD
        exit_code = os.waitstatus_to_exitcode(status)
        if exit_code == 0:
            return WriteResult()
        return WriteResult(os.strerror(exit_code) if exit_code > 0 else f"ended by signal {-exit_code}")
