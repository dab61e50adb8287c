"""Server sockets of the emulators, and coroutines for the event loop that serve them."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any

from snowthread.address import Address
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

BACKLOG = 256
READ_BYTES = 65536


def listen(address: Address) -> socket.socket:
    """Return a socket that listens on an address.

    SO_REUSEADDR lets it bind while connections of an earlier listener on the address are still in TIME_WAIT.
    """
    sock = address.open(socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def bind_datagrams(address: Address) -> socket.socket:
    """Return a socket that receives datagrams on an address.

    SO_REUSEADDR lets it bind an address that an address reservation holds with a socket of its own.
    """
    sock = address.open(socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    return sock


def accept_connections(
    loop: EventLoop, listener: socket.socket, serve: Callable[[socket.socket], Coroutine]
) -> Coroutine:
    """Accept connections until the task ends, and run ``serve`` for each as a coroutine of its own."""
    try:
        while True:
            yield Wait(listener.fileno(), READABLE)
            connection, _ = listener.accept()
            connection.setblocking(False)
            loop.spawn(serve(connection))
    finally:
        loop.close(listener)


def read_json_lines(connection: socket.socket, handle: Callable[[dict[str, Any]], None]) -> Coroutine:
    """Call ``handle`` with the JSON object of each line received, until the connection ends."""
    partial_line = b""
    while True:
        yield Wait(connection.fileno(), READABLE)
        try:
            data = connection.recv(READ_BYTES)
        except BlockingIOError:
            continue
        if not data:
            return
        *lines, partial_line = (partial_line + data).split(b"\n")
        for line in lines:
            handle(json.loads(line))
