"""The Unix socket in a shared directory through which the two processes of a node find each other."""

from __future__ import annotations

import errno
import os
import secrets
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

SOCKET_NAME = "beside"  # must not change: processes of earlier releases look for this name
# The successor binds its socket to an abstract name with this prefix to say that it understands stamped calls
# (``drain_state``). Earlier releases don't look at the name, and the bytes that they read stay as they are.
STAMPED_CALLS_NAME = b"\0snowthread-stamped-calls-"
NAME_RANDOM_BYTES = 16  # makes the names of all processes different
LISTEN_BACKLOG = 4  # connections that the kernel queues until they are accepted
_PEER_CREDENTIALS = struct.Struct("3i")  # ``struct ucred`` of Linux: pid, uid, gid


@dataclass(frozen=True, slots=True)
class PeerProcess:
    """The process at the other end of a Unix socket.

    ``exit_descriptor`` is a pidfd: it becomes readable when that process exits, even if its pid is reused.
    The owner of this object must close the descriptor.
    """

    pid: int
    exit_descriptor: int


def peer_process(sock: socket.socket) -> PeerProcess | None:
    """Return the process at the other end of a socket, or None if the system cannot tell.

    In that case, the caller treats the end of the connection as the exit of the process.
    """
    try:
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _PEER_CREDENTIALS.size)
        pid = _PEER_CREDENTIALS.unpack(credentials)[0]
        return PeerProcess(pid, os.pidfd_open(pid))
    except OSError:
        return None


@contextmanager
def _short_path(directory: str) -> Iterator[Path]:
    """Provide a path to the socket that fits into the limit of 107 bytes, however long ``directory`` is."""
    descriptor = os.open(directory, os.O_PATH | os.O_DIRECTORY)
    try:
        yield Path(f"/proc/self/fd/{descriptor}/{SOCKET_NAME}")
    finally:
        os.close(descriptor)


@dataclass(frozen=True, slots=True)
class ConnectFailure:
    """A failed attempt to connect to the peer process, with its ``errno``."""

    error_number: int

    @property
    def is_socket_file_missing(self) -> bool:
        """Whether there is no socket file."""
        return self.error_number == errno.ENOENT

    @property
    def is_refused(self) -> bool:
        """Whether there is a socket file but no process listens on it."""
        return self.error_number == errno.ECONNREFUSED


def connect(directory: str) -> socket.socket | ConnectFailure:
    """Connect to the process that listens in ``directory``; return a non-blocking socket or the failure.

    The name of the socket says that this process understands stamped calls.
    """
    try:
        with _short_path(directory) as path:
            return _connect_to(path)
    except OSError as error:
        return ConnectFailure(error.errno or errno.ENOENT)


def _connect_to(path: Path) -> socket.socket | ConnectFailure:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.bind(STAMPED_CALLS_NAME + secrets.token_hex(NAME_RANDOM_BYTES).encode())
    error_number = sock.connect_ex(str(path))
    if error_number:
        sock.close()
        return ConnectFailure(error_number)
    return sock


def stamps_calls(client_name: object) -> bool:
    """Return whether the name of a connected socket says that its process understands stamped calls."""
    return isinstance(client_name, bytes) and client_name.startswith(STAMPED_CALLS_NAME)


def listen(directory: str) -> socket.socket:
    """Listen on the socket file in ``directory`` and return the non-blocking listening socket.

    The file is created under a temporary name and renamed once the socket listens, so that a process that
    connects in between never finds a file without a listener.

    Raises:
        OSError: the directory is missing or not writable, or no descriptor is free.
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
