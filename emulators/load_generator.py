"""Send open-loop traffic to one node as balancers do, and record the answers to each request.

Requests are sent at their scheduled times, whether or not earlier ones were answered. Each source address
uses one connection at a time. It opens a new one after a number of requests, and when the node closes the
connection or announces that it will.
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

CONNECTION_LOST = "broken"  # Outcome of a request whose connection ended before it was answered.

# Maximum number of requests on a connection; the next one opens a new connection.
CONNECTION_REQUESTS_MAX = 32
READ_BYTES = 65536
LOOP_STEP_S = 0.05
LATE_ANSWERS_MS = 200.0  # Time for which late answers are awaited after the last deadline.
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

    sent_ms: float  # Time of sending in ms of the loop's clock.
    source: str  # Address of the balancer that sent the request.
    answers: list[Answer] = field(default_factory=list)
    attempt_id: str = ""
    idempotency_key: str = ""  # Empty for a request without an idempotency key.


class AnswerListener(Protocol):
    """Called for each answer, and for each request whose connection was lost."""

    def __call__(self, request: SentRequest, outcome: str, message: Any, /) -> None:
        """Process an answer, given its complete message; None if the outcome is ``CONNECTION_LOST``."""


class LoadGenerator:
    """Sends requests from several source addresses to one node."""

    def __init__(
        self,
        address: str,
        sources: Sequence[str],
        wait_ms: float = DEFAULT_WAIT_MS,
        loop: EventLoop | None = None,
        balancer_number: int = 0,
    ) -> None:
        """Open no connection yet.

        Args:
            address: Address of the node as host:port.
            sources: Addresses of the balancers, from which connections are opened.
            wait_ms: Time in ms from sending a request to its deadline.
            loop: Event loop to use; by default, a new one.
            balancer_number: Number of the balancer that each request names.
        """
        self.loop = loop or EventLoop(Clock())
        self.wait_ms = wait_ms
        self.balancer_number = balancer_number
        self.paused = False  # While paused, scheduled requests are sent by the alternative load generators.
        self.alternatives: list[LoadGenerator] = []
        # Whether the body of a request names its idempotency key, so that the runs of a key can be counted.
        self.puts_key_in_body = False
        self.on_answer: AnswerListener | None = None
        self.sent_requests: list[SentRequest] = []
        host, _, port = address.rpartition(":")
        self.target = ("127.0.0.1" if host == "0.0.0.0" else host, int(port))
        self._connections = {source: _Connection(self, source) for source in sources}

    def send(
        self, source: str, class_name: str = "match", idempotency_key: str = "", wait_ms: float = 0.0
    ) -> SentRequest:
        """Send one request now; the socket raises OSError if it cannot connect or send.

        Args:
            source: Address of the balancer.
            class_name: Class of the request.
            idempotency_key: Empty for a request without one.
            wait_ms: Time in ms to the request's deadline; 0 for that of the load generator.
        """
        request = SentRequest(self.loop.clock.now(), source, idempotency_key=idempotency_key)
        self.sent_requests.append(request)
        self._connections[source].send(request, class_name, wait_ms or self.wait_ms)
        return request

    def run(self, generator: random.Random, per_s: float, seconds: float) -> None:
        """Send requests as a Poisson process, evenly over the sources, until all deadlines have passed."""
        sources = list(self._connections)
        begin_ms = self.loop.clock.now()
        at_ms = begin_ms
        while at_ms < begin_ms + seconds * MS_PER_S:
            at_ms += generator.expovariate(per_s) * MS_PER_S
            self.loop.call_at(at_ms, partial(self._send_scheduled, generator.choice(sources)))
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
        """Schedule requests as a Poisson process from now on.

        Args:
            generator: Source of all random values.
            per_s: Mean number of requests per second.
            seconds: Duration.
            class_shares: Weight of each class in the traffic, by name.
            keyed_classes: Classes whose requests each get a new idempotency key.
        """
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
        """Send a request to this node, or to an alternative one while this load generator is paused."""
        available = [generator for generator in (self, *self.alternatives) if not generator.paused]
        if not available:
            return
        chosen = available[len(self.sent_requests) % len(available)] if self.paused else self
        with contextlib.suppress(OSError):  # The node has ended a moment ago, so nothing was sent.
            chosen.send(source, class_name, key)

    def run_until(self, at_ms: float) -> None:
        """Run the event loop until its clock reaches ``at_ms``."""
        while (now_ms := self.loop.clock.now()) < at_ms:
            self.loop.run_once(min(LOOP_STEP_S, (at_ms - now_ms) / MS_PER_S))

    def close(self) -> None:
        """Close all connections, and end all other tasks of the event loop."""
        self.loop.end_all_tasks()


class _Connection:
    """The current connection of one source address, opened when a request is sent."""

    def __init__(self, load_generator: LoadGenerator, source: str) -> None:
        self._load_generator = load_generator
        self._source = source
        self._sock: socket.socket | None = None
        self._number = 0  # Number of the last request on the current connection.
        self._requests: dict[int, SentRequest] = {}  # Requests on the current connection, by their number.

    def send(self, request: SentRequest, class_name: str, wait_ms: float) -> None:
        """Send a request; the socket raises OSError if it cannot connect or send."""
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
            self._load_generator.balancer_number,
            wait_ms,
            key,
            body=keyed_body(key) if key and self._load_generator.puts_key_in_body else PLAIN_BODY,
        )
        self._requests[self._number] = request
        sock.sendall(message.encode())

    def _connect(self) -> socket.socket:
        sock = socket.socket()
        sock.bind((self._source, 0))
        sock.connect(self._load_generator.target)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._number = 0
        self._requests = {}
        self._load_generator.loop.spawn(self._read(sock, self._requests))
        return sock

    def _read(self, sock: socket.socket, requests: dict[int, SentRequest]) -> Coroutine:
        """Read answers until the connection ends, then report its unanswered requests as lost."""
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
                    self._handle_message(sock, message, requests)
        except OSError:
            pass
        finally:
            self._detach(sock)
            self._load_generator.loop.close(sock)
            for request in requests.values():
                if not request.answers:
                    self._notify(request, CONNECTION_LOST, None)

    def _handle_message(self, sock: socket.socket, message: Any, requests: dict[int, SentRequest]) -> None:
        if message[0] == NOTIFICATION_MESSAGE:
            self._detach(sock)  # The node will close the connection, so the next request opens a new one.
        elif message[0] == ANSWER_MESSAGE and message[1] in requests:
            outcome = str(message[2][0]) if message[2] else SERVED
            request = requests[message[1]]
            request.answers.append(Answer(self._load_generator.loop.clock.now(), outcome))
            self._notify(request, outcome, message)

    def _detach(self, sock: socket.socket) -> None:
        """Send no further requests on a socket; it is still read for answers."""
        if self._sock is sock:
            self._sock = None

    def _notify(self, request: SentRequest, outcome: str, message: Any) -> None:
        if self._load_generator.on_answer is not None:
            self._load_generator.on_answer(request, outcome, message)
