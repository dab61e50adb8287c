"""Accepts balancers' connections from the listening socket.

The acceptor knows the open connections only through :class:`ConnectionTable`, which the server implements.
"""

from __future__ import annotations

import errno
import socket
from typing import Protocol

from loguru import logger

from snowthread.net.listening import has_pending_connection
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

LISTEN_BACKLOG = 1024  # connections that the kernel queues until the node accepts them
ACCEPTS_PER_ROUND = 64  # most connections accepted in one round of the event loop
ACCEPT_PAUSE_MS = 50.0  # delay before accepting again when the table is full or resources ran out

_OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ConnectionTable(Protocol):
    """The table of open connections, as the acceptor uses it."""

    def is_full(self) -> bool:
        """Return whether the connection limit is reached."""

    def evict_idle_connection(self) -> bool:
        """Close one idle connection; return False if none may be closed."""

    def add_connection(self, sock: socket.socket) -> None:
        """Add an accepted connection to the table."""


class ConnectionAcceptor:
    """Owns the listening socket and accepts connections from it."""

    def __init__(self, loop: EventLoop, listener: socket.socket, table: ConnectionTable) -> None:
        self._loop = loop
        self._listener: socket.socket | None = listener
        self._table = table
        self._paused = False
        self._task = loop.spawn(self._run())

    @property
    def address(self) -> tuple[str, int]:
        """The host and port on which the server listens.

        Raises:
            ValueError: the listening socket is closed.
        """
        if self._listener is None:
            raise ValueError("the server no longer listens")
        host, port = self._listener.getsockname()[:2]
        return host, port

    @property
    def paused(self) -> bool:
        """Whether accepting is paused, so that another process accepts new connections."""
        return self._paused

    @property
    def stopped(self) -> bool:
        """Whether the listening socket is closed."""
        return self._listener is None

    def _run(self) -> Coroutine:
        while self._listener is not None:
            ready = yield Wait() if self._paused else Wait(self._listener.fileno(), READABLE)
            if ready and self._listener is not None and not self.accept_pending(ACCEPTS_PER_ROUND):
                yield Wait(until_ms=self._loop.clock.now() + ACCEPT_PAUSE_MS)

    def accept_pending(self, max_accepts: int) -> bool:
        """Accept up to ``max_accepts`` pending connections; return False if accepting must wait.

        When the table is full, one idle connection is evicted for each new one, so that connections that send
        nothing do not block those that have a request.
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
                    logger.warning("balancers: accept() failed, retrying shortly: {}", error)
                    return False
                continue  # the peer has closed this connection before it was accepted
            self._table.add_connection(sock)
        return True

    def pause(self) -> None:
        """Stop accepting until :meth:`resume`: another process accepts the pending connections."""
        self._paused = True
        self._loop.wake(self._task)

    def resume(self) -> None:
        """Accept connections again."""
        self._paused = False
        self._loop.wake(self._task)

    def stop(self) -> None:
        """Close the listening socket; later connection attempts are refused."""
        if self._listener is not None:
            self._loop.close(self._listener)
            self._listener = None
