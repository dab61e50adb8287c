"""Relays of the lab: forward TCP connections and datagrams to a target, through the faults of a link.

Each direction of a TCP connection is a coroutine of its own on the project's event loop. What it reads waits
in a bounded queue until :mod:`snowthread.lab.faults` releases it. Reading stops while the queue is full, so
that a slow link causes back pressure as a real one does.
"""

from __future__ import annotations

import contextlib
import random
import socket
import struct
from collections import deque
from typing import NamedTuple

from snowthread.address import Address
from snowthread.lab.faults import LinkFaults, Pacing, is_cut, release_ms
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, Task, TaskSteps, Wait

QUEUE_BYTES_MAX = 1 << 20  # of one direction of a connection
CHUNK_BYTES = 65536
DATAGRAM_BYTES_MAX = 65536
FAULT_POLL_MS = 50.0  # how often a waiting direction reads the faults again
CONNECT_TIMEOUT_MS = 3000.0
LISTEN_BACKLOG = 512
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, with a timeout of 0 s


class Relay:
    """A TCP link from its own ``address`` to a target; set ``faults`` to disturb it."""

    def __init__(
        self, loop: EventLoop, listen: Address, target: Address, generator: random.Random, name: str = ""
    ) -> None:
        """Listen at once; port 0 of ``listen`` picks a free port, which ``address`` then holds."""
        self.loop = loop
        self.target = target
        self.generator = generator
        self.name = name
        self.faults = LinkFaults()
        self.opened = 0
        self.rejected = 0
        self.bytes_forwarded = 0
        self.address = listen
        self._listener: socket.socket | None = None
        self._accept_task: Task | None = None
        self.open()

    def open(self) -> None:
        """Listen at the relay's address; no effect where it listens already."""
        if self._accept_task is not None:
            return
        listener = self.address.open(socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(LISTEN_BACKLOG)
        self.address = Address(*listener.getsockname()[:2])
        self._listener = listener
        self._accept_task = self.loop.spawn(self._accept(listener))

    def close(self) -> None:
        """Stop listening, as if the target were dead; open connections stay, and so does the address."""
        if self._accept_task is None or self._listener is None:
            return
        self.loop.end_task(self._accept_task)
        self._accept_task = None
        if self._listener.fileno() >= 0:  # a task that never ran has closed nothing
            self._listener.close()

    def _accept(self, listener: socket.socket) -> TaskSteps:
        try:
            while True:
                yield Wait(listener.fileno(), READABLE)
                try:
                    client, _ = listener.accept()
                except BlockingIOError:
                    continue
                if self.faults.partitioned:
                    self.rejected += 1
                    client.close()
                    continue
                client.setblocking(False)
                self.opened += 1
                self.loop.spawn(self._connect(client))
        finally:
            self.loop.close(listener)

    def _connect(self, client: socket.socket) -> TaskSteps:
        """Connect to the target and start both directions; close the client where it does not answer."""
        server = self.target.open(socket.SOCK_STREAM)
        try:
            server.connect(self.target)
        except BlockingIOError:
            yield Wait(server.fileno(), WRITABLE | HANGUP, self.loop.clock.now() + CONNECT_TIMEOUT_MS)
            self.loop.unwatch(server.fileno())
        except OSError:
            pass
        if server.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or not _is_connected(server):
            self.rejected += 1
            client.close()
            server.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _ConnectionState()
        # Each direction has its own descriptors, since the loop watches a descriptor for one task.
        self.loop.spawn(_Direction(self, client, server.dup(), connection).run())
        self.loop.spawn(_Direction(self, server, client.dup(), connection).run())


class _ConnectionState:
    """What the two directions of one connection share."""

    __slots__ = ("broken", "directions_ended")

    def __init__(self) -> None:
        self.broken = False
        self.directions_ended = 0


class _QueuedChunk(NamedTuple):
    """Bytes that were read, and when they may be forwarded."""

    release_ms: float
    data: bytes


class _Direction:
    """One direction of a relayed connection: reads, delays and writes until it ends, breaks or is cut."""

    def __init__(
        self, relay: Relay, source: socket.socket, sink: socket.socket, connection: _ConnectionState
    ) -> None:
        self._relay = relay
        self._faults = relay.faults
        self._loop = relay.loop
        self._source = source
        self._sink = sink
        self._connection = connection
        self._pacing = Pacing(relay.faults.cuts)
        self._queue: deque[_QueuedChunk] = deque()
        self._queued_bytes = 0
        self._source_ended = False

    def run(self) -> TaskSteps:
        """Forward until the source has ended and all of it is written; then wait for the other direction."""
        try:
            while self._queue or not self._source_ended:
                if self._must_close():
                    return
                now = self._loop.clock.now()
                if self._is_due(now):
                    if not self._write_first_chunk():
                        yield Wait(self._sink.fileno(), WRITABLE | HANGUP, now + FAULT_POLL_MS)
                    continue
                wake_ms = self._wake_ms(now)
                if self._source_ended or self._queued_bytes >= QUEUE_BYTES_MAX:
                    yield Wait(until_ms=wake_ms)
                    continue
                if (yield Wait(self._source.fileno(), READABLE, wake_ms)):
                    self._read_chunk()
            self._sink.shutdown(socket.SHUT_WR)
            self._connection.directions_ended += 1
            while self._connection.directions_ended < 2 and not self._must_close():
                yield Wait(until_ms=self._loop.clock.now() + FAULT_POLL_MS)
        except OSError:
            self._connection.broken = True
        finally:
            self._close()

    def _must_close(self) -> bool:
        return is_cut(self._faults, self._pacing) or self._connection.broken

    def _is_due(self, now: float) -> bool:
        return bool(self._queue) and not self._faults.partitioned and self._queue[0].release_ms <= now

    def _wake_ms(self, now: float) -> float:
        """Return when to look again: as the first chunk is due, or to read the faults anew."""
        poll_ms = now + FAULT_POLL_MS
        if self._queue and not self._faults.partitioned:
            return min(self._queue[0].release_ms, poll_ms)
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
        at_ms = release_ms(self._faults, self._pacing, now, len(data), self._relay.generator)
        self._queue.append(_QueuedChunk(at_ms, data))
        self._queued_bytes += len(data)

    def _write_first_chunk(self) -> bool:
        """Write what the sink takes of the first chunk; return whether it took all of it."""
        chunk = self._queue.popleft()
        try:
            sent = self._sink.send(chunk.data)
        except BlockingIOError:
            sent = 0
        self._relay.bytes_forwarded += sent
        self._queued_bytes -= sent
        if sent == len(chunk.data):
            return True
        self._queue.appendleft(_QueuedChunk(chunk.release_ms, chunk.data[sent:]))
        return False

    def _close(self) -> None:
        if is_cut(self._faults, self._pacing):
            self._connection.broken = True
        if self._connection.broken:
            _reset_on_close(self._source)
        self._loop.close(self._source)
        self._loop.close(self._sink)


def _is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def _reset_on_close(sock: socket.socket) -> None:
    """Have the socket close with a reset, as a cut link or the kernel of a dead peer would."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


class DatagramRelay:
    """The link between one node and the registry: forwards datagrams, or drops them while partitioned."""

    def __init__(self, loop: EventLoop, target: Address, name: str = "") -> None:
        """Receive on a free loopback port, which ``address`` holds."""
        self.loop = loop
        self.target = target
        self.name = name
        self.faults = LinkFaults()
        self.forwarded = 0
        self.dropped = 0
        self._client_side = Address("127.0.0.1", 0).open(socket.SOCK_DGRAM)
        self._client_side.bind(("127.0.0.1", 0))
        self._target_side = target.open(socket.SOCK_DGRAM)
        self._target_side.connect(target)
        self._client: tuple[str, int] | None = None
        self.address = Address(*self._client_side.getsockname()[:2])
        self._tasks = [loop.spawn(self._forward_requests()), loop.spawn(self._forward_answers())]

    def close(self) -> None:
        """Close both sockets."""
        for task in self._tasks:
            self.loop.end_task(task)

    def _passes(self) -> bool:
        """Count a datagram, and return whether it is forwarded."""
        passes = not self.faults.partitioned
        self.forwarded += passes
        self.dropped += not passes
        return passes

    def _forward_requests(self) -> TaskSteps:
        try:
            while True:
                yield Wait(self._client_side.fileno(), READABLE)
                try:
                    datagram, self._client = self._client_side.recvfrom(DATAGRAM_BYTES_MAX)
                    if self._passes():
                        self._target_side.send(datagram)
                except OSError:
                    self.dropped += 1  # no registry there: the datagram is lost, as on a network
        finally:
            self.loop.close(self._client_side)

    def _forward_answers(self) -> TaskSteps:
        try:
            while True:
                yield Wait(self._target_side.fileno(), READABLE)
                try:
                    datagram = self._target_side.recv(DATAGRAM_BYTES_MAX)
                    if self._client is not None and self._passes():
                        self._client_side.sendto(datagram, self._client)
                except OSError:
                    self.dropped += 1
        finally:
            self.loop.close(self._target_side)
