"""Accepting balancers' connections from the listening socket.

It knows the open connections only as :class:`ConnectionTable`; the server implements that.
"""

from __future__ import annotations

import errno
import socket
from typing import Protocol

from loguru import logger

from snowthread.net.listening import has_pending_connection
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

LISTEN_BACKLOG = 1024  # connections that the kernel queues until they are accepted
ACCEPTS_PER_ROUND = 64  # connections accepted in one round of the loop
ACCEPT_PAUSE_MS = 50.0  # pause in accepting where no connection can be accepted

_OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ConnectionTable(Protocol):
    """What the acceptor needs of the open connections."""

    def is_full(self) -> bool:
        """Return whether a new connection is above the limit."""

    def evict_idle_connection(self) -> bool:
        """Close an idle connection; return False where there is none that may be closed."""

    def add_connection(self, sock: socket.socket) -> None:
        """Take over an accepted connection."""


class ConnectionAcceptor:
    """Owns the listening socket."""

    def __init__(self, loop: EventLoop, listener: socket.socket, table: ConnectionTable) -> None:
        self._loop = loop
        self._listener: socket.socket | None = listener
        self._table = table
        self._paused = False
        self._task = loop.spawn(self._run())

    @property
    def address(self) -> tuple[str, int]:
        """Where connections are accepted.

        Raises:
            ValueError: it has stopped.
        """
        if self._listener is None:
            raise ValueError("the server no longer listens")
        host, port = self._listener.getsockname()[:2]
        return host, port

    @property
    def paused(self) -> bool:
        """Whether new connections are left to another process."""
        return self._paused

    @property
    def stopped(self) -> bool:
        """Whether the listening socket was closed."""
        return self._listener is None

    def _run(self) -> Coroutine:
        while self._listener is not None:
            ready = yield Wait() if self._paused else Wait(self._listener.fileno(), READABLE)
            if ready and self._listener is not None and not self.accept_pending(ACCEPTS_PER_ROUND):
                yield Wait(until_ms=self._loop.clock.now() + ACCEPT_PAUSE_MS)

    def accept_pending(self, max_accepts: int) -> bool:
        """Accept pending connections; return False where none can be accepted for now.

        Where the table is full, an idle connection is evicted for each new one: connections that send nothing
        must not keep out those that have a request.
        """
        for _ in range(max_accepts):
            if self._listener is None:
                break
            if self._table.is_full():
                if not has_pending_connection(self._listener):
                    return True
                if not self._table.evict_idle_connection():
                    return False
            try:
                sock, _address = self._listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in _OUT_OF_RESOURCES:
                    logger.warning("balancers: accept: {}", error)
                    return False
                continue  # the peer has closed this connection already
            self._table.add_connection(sock)
        return True

    def pause(self) -> None:
        """Accept nothing for now: pending connections belong to another process."""
        self._paused = True
        self._loop.wake(self._task)

    def resume(self) -> None:
        """Accept connections again."""
        self._paused = False
        self._loop.wake(self._task)

    def stop(self) -> None:
        """Close the listening socket: connections are refused from now on."""
        if self._listener is not None:
            self._loop.close(self._listener)
            self._listener = None
