"""The Unix socket by which the two processes of a node find each other in a shared directory."""

from __future__ import annotations

import errno
import os
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

SOCKET_NAME = "beside"  # fixed: processes of earlier releases look for this name
LISTEN_BACKLOG = 4  # connections
_PEER_CREDENTIALS = struct.Struct("3i")  # Linux ``struct ucred``: pid, uid, gid


@dataclass(frozen=True, slots=True)
class PeerProcess:
    """The process at the other end of a Unix socket.

    ``exit_descriptor`` is readable once that process has ended, whichever process has its pid by then. The
    owner of this object closes the descriptor.
    """

    pid: int
    exit_descriptor: int


def peer_process(sock: socket.socket) -> PeerProcess | None:
    """Return the process at the other end, or None where the system does not know it.

    Where it is None, the end of the connection counts as the end of the process.
    """
    try:
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER_CREDENTIALS.size)
        pid = _PEER_CREDENTIALS.unpack(credentials)[0]
        return PeerProcess(pid, os.pidfd_open(pid))
    except OSError:
        return None


@contextmanager
def _short_path(directory: str) -> Iterator[Path]:
    """Provide a path to the socket that fits into 107 bytes however long the directory's own path is."""
    descriptor = os.open(directory, os.O_PATH | os.O_DIRECTORY)
    try:
        yield Path(f"/proc/self/fd/{descriptor}/{SOCKET_NAME}")
    finally:
        os.close(descriptor)


@dataclass(frozen=True, slots=True)
class ConnectFailure:
    """Why no connection to the peer process was made."""

    error_number: int

    @property
    def is_absent(self) -> bool:
        """Whether there is no socket file."""
        return self.error_number == errno.ENOENT

    @property
    def is_refused(self) -> bool:
        """Whether there is a socket file on which nobody listens."""
        return self.error_number == errno.ECONNREFUSED


def connect(directory: str) -> socket.socket | ConnectFailure:
    """Connect to the process that listens in the directory; return a non-blocking socket or the failure."""
    try:
        with _short_path(directory) as path:
            return _connect_to(path)
    except OSError as error:
        return ConnectFailure(error.errno or errno.ENOENT)


def _connect_to(path: Path) -> socket.socket | ConnectFailure:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.setblocking(False)
    error_number = sock.connect_ex(str(path))
    if error_number:
        sock.close()
        return ConnectFailure(error_number)
    return sock


def listen(directory: str) -> socket.socket:
    """Listen in the directory and return the non-blocking listener.

    The socket is moved into place once it listens: a process that connects meanwhile must not find the file
    without a listener.

    Raises:
        OSError: The directory is missing or not writable, or no descriptor is free.
    """
    listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        with _short_path(directory) as path:
            temporary = path.with_name(f"{SOCKET_NAME}.{os.getpid()}")
            temporary.unlink(missing_ok=True)
            listener.bind(str(temporary))
            listener.listen(LISTEN_BACKLOG)
            temporary.rename(path)
    except OSError:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
