"""Send open-loop traffic to one node as balancers do, and record what came of each request.

Requests are sent at their times whether or not earlier ones were answered. Each source address has one
connection, opened anew where the node closes it or says farewell, and after a number of requests.
"""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any, NamedTuple, Protocol

import msgpack

from emulators.request_protocol import (
    ANSWER_MESSAGE,
    NOTIFICATION_MESSAGE,
    PLAIN_BODY,
    SERVED,
    RequestMessage,
    keyed_body,
)
from snowthread.net.clock import Clock
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, Coroutine, EventLoop, Wait

CONNECTION_LOST = "broken"  # the outcome of a request whose connection ended before an answer

CONNECTION_REQUESTS_MAX = 32  # on one connection; the next request opens another
READ_BYTES = 65536
LOOP_STEP_S = 0.05
LATE_ANSWERS_MS = 200.0  # waited for after the last deadline
DEFAULT_WAIT_MS = 3000.0
KEYED_CLASS = "dispense"
MS_PER_S = 1000.0


class Answer(NamedTuple):
    """One answer to a request."""

    at_ms: float
    outcome: str


@dataclass(slots=True, eq=False)
class SentRequest:
    """One request that was sent, and the answers to it."""

    sent_ms: float  # when it was sent, in milliseconds of the loop's clock
    source: str  # the address of the balancer
    answers: list[Answer] = field(default_factory=list)
    attempt_id: str = ""  # names this attempt
    idempotency_key: str = ""  # the idempotency key; empty: none


class AnswerListener(Protocol):
    """Called for each answer, and for each request whose connection was lost."""

    def __call__(self, request: SentRequest, outcome: str, message: Any, /) -> None:
        """Take an answer's complete message; None where the outcome is ``CONNECTION_LOST``."""


class LoadGenerator:
    """Requests from several source addresses to one node."""

    def __init__(
        self,
        address: str,
        sources: Sequence[str],
        wait_ms: float = DEFAULT_WAIT_MS,
        loop: EventLoop | None = None,
        balancer_number: int = 0,
    ) -> None:
        """Open no connection yet; each request names ``balancer_number`` and a deadline of ``wait_ms``."""
        self.loop = loop or EventLoop(Clock())
        self.wait_ms = wait_ms
        self.balancer_number = balancer_number
        self.paused = False  # scheduled requests go to one of ``alternatives`` meanwhile
        self.alternatives: list[LoadGenerator] = []
        self.puts_key_in_body = False  # bodies of keyed requests name their key, so that runs can be counted
        self.on_answer: AnswerListener | None = None
        self.sent_requests: list[SentRequest] = []
        host, _, port = address.rpartition(":")
        self.target = ("127.0.0.1" if host == "0.0.0.0" else host, int(port))
        self._connections = {source: _Connection(self, source) for source in sources}

    def send(
        self, source: str, class_name: str = "match", idempotency_key: str = "", wait_ms: float = 0.0
    ) -> SentRequest:
        """Send one request now; OSError where no connection can be opened, so that nothing was sent."""
        request = SentRequest(self.loop.clock.now(), source, idempotency_key=idempotency_key)
        self.sent_requests.append(request)
        self._connections[source].send(request, class_name, wait_ms or self.wait_ms)
        return request

    def run(self, rng: random.Random, per_s: float, seconds: float) -> None:
        """Send requests with Poisson arrivals, evenly over the sources, and wait until all are due."""
        sources = list(self._connections)
        begin_ms = self.loop.clock.now()
        at_ms = begin_ms
        while at_ms < begin_ms + seconds * MS_PER_S:
            at_ms += rng.expovariate(per_s) * MS_PER_S
            self.loop.call_at(at_ms, partial(self._send_scheduled, rng.choice(sources)))
        self.run_until(at_ms + self.wait_ms + LATE_ANSWERS_MS)

    def _send_scheduled(self, source: str) -> None:
        self.send(source)

    def schedule_arrivals(
        self,
        generator: random.Random,
        per_s: float,
        seconds: float,
        class_shares: Mapping[str, float],
        keyed_classes: frozenset[str] = frozenset({KEYED_CLASS}),
    ) -> None:
        """Schedule Poisson arrivals of these classes from now on; each request of a keyed one has its key."""
        sources = list(self._connections)
        names = list(class_shares)
        shares = list(class_shares.values())
        begin_ms = self.loop.clock.now()
        at_ms = begin_ms
        while at_ms < begin_ms + seconds * MS_PER_S:
            at_ms += generator.expovariate(per_s) * MS_PER_S
            name = generator.choices(names, shares)[0]
            key = f"{generator.getrandbits(128):032x}" if name in keyed_classes else ""
            self.loop.call_at(at_ms, partial(self._send_or_divert, generator.choice(sources), name, key))

    def _send_or_divert(self, source: str, class_name: str, key: str) -> None:
        """Send a request to this node, or to one of the others while this one is paused."""
        available = [load for load in (self, *self.alternatives) if not load.paused]
        if not available:
            return
        chosen = available[len(self.sent_requests) % len(available)] if self.paused else self
        with contextlib.suppress(OSError):  # the node died a moment ago: nothing was sent
            chosen.send(source, class_name, key)

    def run_until(self, at_ms: float) -> None:
        """Run the loop until this time of its clock."""
        while (now_ms := self.loop.clock.now()) < at_ms:
            self.loop.run_once(min(LOOP_STEP_S, (at_ms - now_ms) / MS_PER_S))

    def close(self) -> None:
        """Close all connections, and end all other coroutines of the loop."""
        self.loop.end_all_tasks()


class _Connection:
    """The connection of one source, opened when a request is sent."""

    def __init__(self, load: LoadGenerator, source: str) -> None:
        self._load = load
        self._source = source
        self._sock: socket.socket | None = None
        self._number = 0  # of the last request on the connection
        self._requests: dict[int, SentRequest] = {}  # of the connection, by number

    def send(self, request: SentRequest, class_name: str, wait_ms: float) -> None:
        """Send a request; OSError where that fails."""
        sock = self._sock
        if sock is None or self._number >= CONNECTION_REQUESTS_MAX:
            sock = self._connect()
        self._number += 1
        request.attempt_id = f"{random.getrandbits(64):016x}"
        key = request.idempotency_key
        message = RequestMessage(
            self._number,
            class_name,
            request.attempt_id,
            self._load.balancer_number,
            wait_ms,
            key,
            body=keyed_body(key) if key and self._load.puts_key_in_body else PLAIN_BODY,
        )
        self._requests[self._number] = request
        sock.sendall(message.encode())

    def _connect(self) -> socket.socket:
        sock = socket.socket()
        sock.bind((self._source, 0))
        sock.connect(self._load.target)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._number = 0
        self._requests = {}
        self._load.loop.spawn(self._read(sock, self._requests))
        return sock

    def _read(self, sock: socket.socket, requests: dict[int, SentRequest]) -> Coroutine:
        """Read answers until the connection ends."""
        unpacker = msgpack.Unpacker()
        try:
            while True:
                events = yield Wait(sock.fileno(), READABLE)
                if not events & (READABLE | HANGUP | WRITABLE):
                    continue
                data = sock.recv(READ_BYTES)
                if not data:
                    return
                unpacker.feed(data)
                for message in unpacker:
                    self._take(sock, message, requests)
        except OSError:
            pass
        finally:
            self._forget(sock)
            self._load.loop.close(sock)
            for request in requests.values():
                if not request.answers:
                    self._notify(request, CONNECTION_LOST, None)

    def _take(self, sock: socket.socket, message: Any, requests: dict[int, SentRequest]) -> None:
        if message[0] == NOTIFICATION_MESSAGE:
            self._forget(sock)  # the next request opens another connection
        elif message[0] == ANSWER_MESSAGE and message[1] in requests:
            outcome = str(message[2][0]) if message[2] else SERVED
            request = requests[message[1]]
            request.answers.append(Answer(self._load.loop.clock.now(), outcome))
            self._notify(request, outcome, message)

    def _forget(self, sock: socket.socket) -> None:
        if self._sock is sock:
            self._sock = None

    def _notify(self, request: SentRequest, outcome: str, message: Any) -> None:
        if self._load.on_answer is not None:
            self._load.on_answer(request, outcome, message)
