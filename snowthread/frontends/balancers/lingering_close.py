"""Lingering close: sends the last answers of a connection, then reads until the peer closes.

Closing a socket with unread input resets the connection, and the peer would lose the last answers.
"""

from __future__ import annotations

import socket
from typing import Protocol

from snowthread.frontends.balancers.framing import READ_BYTES
from snowthread.frontends.balancers.socket_writer import BufferedSocketWriter
from snowthread.net.clock import Clock
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, Coroutine, Wait

LINGERING_CLOSE_TIMEOUT_MS = 500.0  # a lingering close ends after this time, whatever is unsent or unread
DISCARD_MAX_BYTES = 128 * 1024  # most input that is discarded during one lingering close


class ClosingConnection(Protocol):
    """A connection, as the lingering close uses it."""

    sock: socket.socket
    writer: BufferedSocketWriter

    @property
    def is_closed(self) -> bool:
        """Whether the connection has failed, been evicted or closed."""


def lingering_close(connection: ClosingConnection, clock: Clock) -> Coroutine:
    """Send what is unsent, shut down the writing side, and discard input until the peer closes.

    It ends after ``LINGERING_CLOSE_TIMEOUT_MS`` or ``DISCARD_MAX_BYTES`` of input at the latest; the caller
    closes the socket.
    """
    writer = connection.writer
    deadline_ms = clock.now() + LINGERING_CLOSE_TIMEOUT_MS
    discard_bytes_left = DISCARD_MAX_BYTES
    is_shut_down = False
    while not connection.is_closed and (writer.unsent or discard_bytes_left > 0):
        if not writer.unsent and not is_shut_down:
            is_shut_down = True
            connection.sock.shutdown(socket.SHUT_WR)
        mask = (READABLE if discard_bytes_left > 0 else 0) | (WRITABLE if writer.unsent else 0)
        ready = yield Wait(connection.sock.fileno(), mask, deadline_ms)
        if not ready and clock.now() >= deadline_ms:
            return
        if ready & (WRITABLE | HANGUP) and writer.unsent:
            writer.flush()
        if ready & (READABLE | HANGUP) and discard_bytes_left > 0:
            discard_bytes_left = _discard_unread(connection.sock, discard_bytes_left)


def _discard_unread(sock: socket.socket, bytes_left: int) -> int:
    """Read once, discard the input, and return how many more bytes may be discarded: 0 if the peer closed."""
    try:
        size = len(sock.recv(READ_BYTES))
    except BlockingIOError:
        return bytes_left
    return bytes_left - size if size else 0
