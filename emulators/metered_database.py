"""A formula database that measures its concurrent calls as a mean over a sliding window.

A call whose client closes the connection stays active for another :data:`LINGER_MS`, as on the platform.
"""

from __future__ import annotations

import socket
from collections import deque
from typing import NamedTuple

from emulators.servers import accept_connections, listen
from emulators.site import DATABASE_ANSWER, READ_BYTES
from snowthread.address import Address
from snowthread.net.loop import HANGUP, READABLE, Coroutine, EventLoop, Wait

LINGER_MS = 200.0
METER_INTERVAL_MS = 50.0
WINDOW_MS = 5000.0


class _Sample(NamedTuple):
    """The number of active calls at one time."""

    at_ms: float
    calls: int


class MeteredDatabase:
    """Answers each call after ``answer_ms`` milliseconds; the attribute may be changed at any time."""

    def __init__(self, loop: EventLoop, address: Address, answer_ms: float) -> None:
        """Listen on the address."""
        self.answer_ms = answer_ms
        self.calls_received = 0
        self.peak_mean_calls = 0.0  # Highest mean number of concurrent calls over any window so far.
        self._active_calls = 0
        self._loop = loop
        self._samples: deque[_Sample] = deque()
        loop.spawn(accept_connections(loop, listen(address), self._serve))
        self._measure()

    def _measure(self) -> None:
        now = self._loop.clock.now()
        self._loop.call_at(now + METER_INTERVAL_MS, self._measure)
        self._samples.append(_Sample(now, self._active_calls))
        while self._samples[0].at_ms < now - WINDOW_MS:
            self._samples.popleft()
        mean = sum(sample.calls for sample in self._samples) * METER_INTERVAL_MS / WINDOW_MS
        self.peak_mean_calls = max(self.peak_mean_calls, mean)

    def _serve(self, connection: socket.socket) -> Coroutine:
        try:
            while True:
                yield Wait(connection.fileno(), READABLE | HANGUP)
                if not connection.recv(READ_BYTES):
                    return
                self.calls_received += 1
                yield from self._answer(connection)
        except OSError:
            pass
        finally:
            self._loop.close(connection)

    def _answer(self, connection: socket.socket) -> Coroutine:
        """Answer one call; if its client disconnects first, end the call at most ``LINGER_MS`` later."""
        self._active_calls += 1
        try:
            due_ms = self._loop.clock.now() + self.answer_ms
            ready = yield Wait(connection.fileno(), READABLE | HANGUP, due_ms)
            if ready:
                yield Wait(until_ms=min(due_ms, self._loop.clock.now() + LINGER_MS))
        finally:
            self._active_calls -= 1
        connection.send(DATABASE_ANSWER)
