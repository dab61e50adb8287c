"""Emulate the formula database that all nodes of a fleet share, whose throughput falls under overload.

The database processes ``slots`` calls at a time and queues further calls in order of arrival. For every
``slots`` calls in the queue, a call takes longer by half, up to a maximum, so that an overloaded database
completes fewer calls per second. A call is completed even if its client has closed the connection, as in the
database of the site.
"""

from __future__ import annotations

import contextlib
import socket
from collections import Counter, deque
from functools import partial

from emulators.servers import accept_connections, listen
from emulators.site import DATABASE_ANSWER, READ_BYTES
from snowthread.address import Address
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

QUEUE_MAX = 10_000  # Maximum number of queued calls; further calls are answered with status 503 at once.
BUSY_ANSWER = b"HTTP/1.1 503 Busy\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n"
SLOWDOWN_PER_QUEUED_SLOTS = 0.5
MS_PER_S = 1000.0
QUEUE_SLOWDOWN_MAX = 4.0


class SharedDatabase:
    """An HTTP/1.1 server on loopback; each read from a connection counts as one call and is not parsed."""

    def __init__(self, loop: EventLoop, address: Address, call_ms: float, slots: int) -> None:
        """Listen on the address; ``call_ms`` is the time of a call without slowdown or queue."""
        # Factor on the time of each call; the owner raises it to emulate a slow database.
        self.slowdown = 1.0
        self.received_by_second: Counter[int] = Counter()
        self.completed_by_second: Counter[int] = Counter()
        self.max_calls_by_second: Counter[int] = Counter()  # Peak of the calls in progress and in the queue.
        self.rejected = 0
        self._loop = loop
        self._call_ms = call_ms
        self._slots = slots
        self._in_progress = 0
        self._queue: deque[socket.socket] = deque()
        loop.spawn(accept_connections(loop, listen(address), self._serve))

    def _second(self) -> int:
        return int(self._loop.clock.now() // MS_PER_S)

    def _serve(self, connection: socket.socket) -> Coroutine:
        try:
            while True:
                yield Wait(connection.fileno(), READABLE)
                if not connection.recv(READ_BYTES):
                    return
                self._receive_call(connection)
        except OSError:
            pass
        finally:
            self._loop.close(connection)

    def _receive_call(self, connection: socket.socket) -> None:
        second = self._second()
        self.received_by_second[second] += 1
        if len(self._queue) >= QUEUE_MAX:
            self.rejected += 1
            connection.send(BUSY_ANSWER)
            return
        self._queue.append(connection)
        self._start_queued()
        calls = self._in_progress + len(self._queue)
        self.max_calls_by_second[second] = max(self.max_calls_by_second[second], calls)

    def _start_queued(self) -> None:
        while self._queue and self._in_progress < self._slots:
            connection = self._queue.popleft()
            self._in_progress += 1
            queue_slowdown = 1.0 + SLOWDOWN_PER_QUEUED_SLOTS * len(self._queue) / self._slots
            duration_ms = self._call_ms * self.slowdown * min(QUEUE_SLOWDOWN_MAX, queue_slowdown)
            self._loop.call_at(self._loop.clock.now() + duration_ms, partial(self._complete, connection))

    def _complete(self, connection: socket.socket) -> None:
        self._in_progress -= 1
        self.completed_by_second[self._second()] += 1
        if connection.fileno() >= 0:
            with contextlib.suppress(OSError):
                connection.send(DATABASE_ANSWER)
        self._start_queued()
