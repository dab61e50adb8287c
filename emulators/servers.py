"""Sockets of the emulators on the project's event loop."""

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
    """Return a socket that listens at an address, even if connections of an earlier one linger there."""
    sock = address.open(socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(BACKLOG)
    return sock


def bind_datagrams(address: Address) -> socket.socket:
    """Return a socket that receives the datagrams to an address, also one that a run has reserved."""
    sock = address.open(socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    return sock


def accept_connections(
    loop: EventLoop, listener: socket.socket, serve: Callable[[socket.socket], Coroutine]
) -> Coroutine:
    """Accept connections for ever and serve each with a coroutine of its own."""
    try:
        while True:
            yield Wait(listener.fileno(), READABLE)
            connection, _ = listener.accept()
            connection.setblocking(False)
            loop.spawn(serve(connection))
    finally:
        loop.close(listener)


def read_json_lines(connection: socket.socket, take: Callable[[dict[str, Any]], None]) -> Coroutine:
    """Hand each line that comes to ``take``, as the JSON object it is, until the connection ends."""
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
            take(json.loads(line))
