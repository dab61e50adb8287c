"""Tests of the socket writer with a peer that does not read: buffering, stall time and limit."""

from __future__ import annotations

import math
import socket
from collections.abc import Iterator

import pytest

from snowthread.frontends.balancers.socket_writer import (
    UNSENT_MAX_BYTES,
    BufferedSocketWriter,
    UnsentLimitError,
)
from snowthread.net.clock import ManualClock

NOW_MS = 1764576000000.0
SOCKET_BUFFER_BYTES = 4096
CHUNK = b"x" * SOCKET_BUFFER_BYTES


@pytest.fixture
def sockets() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Create a connected pair of a writing and a reading socket with small buffers."""
    writing, reading = socket.socketpair()
    with writing, reading:
        writing.setblocking(False)
        writing.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        yield writing, reading


def test_unsent_bytes_are_flushed_in_order_once_the_peer_reads(
    sockets: tuple[socket.socket, socket.socket],
) -> None:
    writing, reading = sockets
    clock = ManualClock(NOW_MS)
    writer = BufferedSocketWriter(writing, clock)
    writer.write(b"first")
    assert not writer.unsent and writer.stalled_since_ms == math.inf
    written = 5
    while not writer.unsent:
        writer.write(CHUNK)
        written += len(CHUNK)
    clock.now_ms += 10.0
    writer.write(b"last")
    written += 4
    assert writer.stalled_since_ms == NOW_MS  # a later write does not restart the stall time
    received = b""
    while len(received) < written:
        received += reading.recv(1 << 16)
        writer.flush()
    assert received.startswith(b"first") and received.endswith(b"last") and len(received) == written
    assert not writer.unsent and writer.stalled_since_ms == math.inf


def test_more_unsent_bytes_than_the_limit_are_an_error(sockets: tuple[socket.socket, socket.socket]) -> None:
    writer = BufferedSocketWriter(sockets[0], ManualClock(NOW_MS))
    with pytest.raises(UnsentLimitError) as caught:
        for _ in range(2 * UNSENT_MAX_BYTES // len(CHUNK)):
            writer.write(CHUNK)
    assert caught.value.unsent_bytes == len(writer.unsent) > UNSENT_MAX_BYTES


def test_broken_socket_is_an_error(sockets: tuple[socket.socket, socket.socket]) -> None:
    writing, reading = sockets
    reading.close()
    with pytest.raises(BrokenPipeError):
        BufferedSocketWriter(writing, ManualClock(NOW_MS)).write(CHUNK)
