"""Whether the peer of a connection has closed its side, which may be known before its last data is read."""

from __future__ import annotations

import select
import socket


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed its writing side or the connection, even if data is still unread."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))
