"""One direction of a TCP connection through a relay of the lab.

Chunks that were read wait in a bounded queue until the faults of the link (:mod:`snowthread.lab.faults`)
allow their release. Reading stops while the queue is full, so that a slow link causes backpressure as a real
one does.
"""

from __future__ import annotations

import contextlib
import random
import socket
import struct
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from snowthread.lab.faults import ForwardingState, LinkFaults, compute_release_ms, is_cut
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, Coroutine, EventLoop, Wait

MAX_QUEUE_BYTES = 1 << 20  # Maximum number of bytes queued in one direction of a relayed connection.
CHUNK_BYTES = 65536
FAULT_POLL_MS = 50.0  # Interval at which a waiting direction checks the faults again.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0 s: closing resets the connection.
DIRECTIONS_PER_CONNECTION = 2


@dataclass(frozen=True, slots=True)
class RelayedLink:
    """State shared by all connections of a link."""

    loop: EventLoop
    faults: LinkFaults
    generator: random.Random  # Random numbers for the jitter of delays.


class ConnectionState:
    """State shared by the two directions of one connection."""

    __slots__ = ("broken", "directions_ended")

    def __init__(self) -> None:
        self.broken = False
        self.directions_ended = 0


class _QueuedChunk(NamedTuple):
    """A chunk that was read, and the time at which it may be forwarded."""

    release_at_ms: float
    data: bytes


class RelayDirection:
    """One direction of a relayed connection: reads, delays and writes until it ends, fails or is cut."""

    def __init__(
        self,
        link: RelayedLink,
        source: socket.socket,
        destination: socket.socket,
        connection: ConnectionState,
    ) -> None:
        self._link = link
        self._faults = link.faults
        self._loop = link.loop
        self._source = source
        self._destination = destination
        self._connection = connection
        self._forwarding_state = ForwardingState(link.faults.cut_count)
        self._queue: deque[_QueuedChunk] = deque()
        self._queued_bytes = 0
        self._source_ended = False

    def run(self) -> Coroutine:
        """Forward until the source has ended and all data is written, then wait for the other direction."""
        try:
            while self._queue or not self._source_ended:
                if self._must_close():
                    return
                now = self._loop.clock.now()
                if self._is_due(now):
                    if not self._write_first_chunk():
                        yield Wait(self._destination.fileno(), WRITABLE | HANGUP, now + FAULT_POLL_MS)
                    continue
                wake_ms = self._wake_ms(now)
                if self._source_ended or self._queued_bytes >= MAX_QUEUE_BYTES:
                    yield Wait(until_ms=wake_ms)
                    continue
                if (yield Wait(self._source.fileno(), READABLE, wake_ms)):
                    self._read_chunk()
            self._destination.shutdown(socket.SHUT_WR)
            self._connection.directions_ended += 1
            while self._connection.directions_ended < DIRECTIONS_PER_CONNECTION and not self._must_close():
                yield Wait(until_ms=self._loop.clock.now() + FAULT_POLL_MS)
        except OSError:
            self._connection.broken = True
        finally:
            self._close()

    def _must_close(self) -> bool:
        return is_cut(self._faults, self._forwarding_state) or self._connection.broken

    def _is_due(self, now: float) -> bool:
        return bool(self._queue) and not self._faults.partitioned and self._queue[0].release_at_ms <= now

    def _wake_ms(self, now: float) -> float:
        """Return when to wake up: when the first chunk is due, or to check the faults again."""
        poll_ms = now + FAULT_POLL_MS
        if self._queue and not self._faults.partitioned:
            return min(self._queue[0].release_at_ms, poll_ms)
        return poll_ms

    def _read_chunk(self) -> None:
        try:
            data = self._source.recv(CHUNK_BYTES)
        except BlockingIOError:
            return
        if not data:
            self._source_ended = True
            return
        now = self._loop.clock.now()
        at_ms = compute_release_ms(self._faults, self._forwarding_state, now, len(data), self._link.generator)
        self._queue.append(_QueuedChunk(at_ms, data))
        self._queued_bytes += len(data)

    def _write_first_chunk(self) -> bool:
        """Write as much of the first chunk as the destination accepts; return whether that was all of it."""
        chunk = self._queue.popleft()
        try:
            sent = self._destination.send(chunk.data)
        except BlockingIOError:
            sent = 0
        self._queued_bytes -= sent
        if sent == len(chunk.data):
            return True
        self._queue.appendleft(_QueuedChunk(chunk.release_at_ms, chunk.data[sent:]))
        return False

    def _close(self) -> None:
        if is_cut(self._faults, self._forwarding_state):
            self._connection.broken = True
        if self._connection.broken:
            _reset_on_close(self._source)
        self._loop.close(self._source)
        self._loop.close(self._destination)


def _reset_on_close(sock: socket.socket) -> None:
    """Make the socket close with a reset, as after a cut link or the death of a peer's host."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
