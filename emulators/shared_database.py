"""Emulate the formula database that all nodes of a fleet share, with a capacity and a collapse beyond it.

It works on ``slots`` calls at a time. Calls beyond wait in order, and each call takes longer by half for
every ``slots`` that wait, so an overloaded database completes fewer calls in all. A call whose caller went
away is completed all the same, as the database of the site does.
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

WAITING_MAX = 10_000  # calls; those beyond are answered 503 at once
BUSY_ANSWER = b"HTTP/1.1 503 Busy\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n"
SLOWDOWN_PER_SLOTS_WAITING = 0.5
MS_PER_S = 1000.0
SLOWDOWN_MAX = 4.0


class SharedDatabase:
    """An HTTP/1.1 server on loopback that answers one request a call; calls are not parsed."""

    def __init__(self, loop: EventLoop, address: Address, call_ms: float, slots: int) -> None:
        """Listen at the address; ``call_ms`` is the time of a call that nothing slows down."""
        self.slowdown = 1.0  # set from outside: a fault of the database
        self.received_by_second: Counter[int] = Counter()
        self.completed_by_second: Counter[int] = Counter()
        self.max_calls_by_second: Counter[int] = Counter()  # calls in progress and waiting, at the most
        self.rejected = 0
        self._loop = loop
        self._call_ms = call_ms
        self._slots = slots
        self._in_progress = 0
        self._waiting: deque[socket.socket] = deque()
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
        if len(self._waiting) >= WAITING_MAX:
            self.rejected += 1
            connection.send(BUSY_ANSWER)
            return
        self._waiting.append(connection)
        self._start_waiting()
        calls = self._in_progress + len(self._waiting)
        self.max_calls_by_second[second] = max(self.max_calls_by_second[second], calls)

    def _start_waiting(self) -> None:
        while self._waiting and self._in_progress < self._slots:
            connection = self._waiting.popleft()
            self._in_progress += 1
            crowding = 1.0 + SLOWDOWN_PER_SLOTS_WAITING * len(self._waiting) / self._slots
            duration_ms = self._call_ms * self.slowdown * min(SLOWDOWN_MAX, crowding)
            self._loop.call_at(self._loop.clock.now() + duration_ms, partial(self._complete, connection))

    def _complete(self, connection: socket.socket) -> None:
        self._in_progress -= 1
        self.completed_by_second[self._second()] += 1
        if connection.fileno() >= 0:
            with contextlib.suppress(OSError):
                connection.send(DATABASE_ANSWER)
        self._start_waiting()
