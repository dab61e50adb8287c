"""The lingering close of a connection: its last answers arrive before it ends.

Bytes left unread at a close would reset the connection, and the peer would lose the answers with it.
"""

from __future__ import annotations

import socket
from typing import Protocol

from snowthread.frontends.balancers.framing import READ_BYTES
from snowthread.frontends.balancers.socket_writer import BufferedSocketWriter
from snowthread.net.clock import Clock
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, Coroutine, Wait

LINGERING_CLOSE_TIMEOUT_MS = 500.0
DISCARD_MAX_BYTES = 128 * 1024  # read and discarded at most during a lingering close


class ClosingConnection(Protocol):
    """What the lingering close needs of a connection."""

    sock: socket.socket
    writer: BufferedSocketWriter
    closing_immediately: bool  # or closed already


def lingering_close(connection: ClosingConnection, clock: Clock) -> Coroutine:
    """Send what is unsent, shut down, then read until the peer closes, within limits."""
    writer = connection.writer
    deadline_ms = clock.now() + LINGERING_CLOSE_TIMEOUT_MS
    discard_bytes_left = DISCARD_MAX_BYTES
    is_shut_down = False
    while not connection.closing_immediately and (writer.unsent or discard_bytes_left > 0):
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
    """Read once and return how many bytes may still be discarded: 0 when the peer has closed."""
    try:
        size = len(sock.recv(READ_BYTES))
    except BlockingIOError:
        return bytes_left
    return bytes_left - size if size else 0
