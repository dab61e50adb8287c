"""Clients that keep using their open connections to one node until it is killed, even while it drains.

Requests are sent at their scheduled times, whether or not earlier ones were answered, on an open connection
if there is one. Clients reset some connections and give up some requests, of which the node may hear late or
never; no answer is expected for the requests concerned. If a connection ends within :data:`CLOSE_RACE_MS`
after a request was sent on it, the node may not have read the request. It is then sent once more on a new
connection, as the platform's balancers do.
"""

from __future__ import annotations

import random
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import msgpack

from emulators.request_protocol import (
    ANSWER_MESSAGE,
    PLAIN_BODY,
    SERVED,
    RequestMessage,
    encode_cancellation,
    keyed_body,
)
from snowthread.address import Address
from snowthread.net.loop import HANGUP, READABLE, Coroutine, EventLoop, Wait

CLOSE_RACE_MS = 50.0
READ_BYTES = 65536
# Maximum number of requests on a connection; the next one opens a new connection.
CONNECTION_REQUESTS_MAX = 32
CONNECT_TIMEOUT_S = 1.0
BALANCER_NUMBER = 1
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # Value of SO_LINGER: on, with a timeout of 0 s.


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request of a client, and its outcome."""

    class_name: str
    idempotency_key: str  # Empty for a request without an idempotency key.
    wait_ms: float
    attempt_id: str = ""
    sent_ms: float = 0.0
    answers: list[str] = field(default_factory=list)
    answered_ms: float = 0.0
    attempts: int = 0
    answer_expected: bool = True  # False if cancelled, reset by its client, never sent, or open at the kill.
    lost_reason: str = ""

    @property
    def lateness_ms(self) -> float:
        """Time in ms from the request's deadline to its answer; negative if the answer was in time."""
        return self.answered_ms - self.sent_ms - self.wait_ms


class ClientConnection:
    """One connection to the node, and the requests sent on it."""

    def __init__(self, clients: PersistentClients, sock: socket.socket) -> None:
        self.sock = sock
        self.requests: dict[int, ClientRequest] = {}
        self.is_closed = False
        self._clients = clients
        self._number = 0
        self._unpacker = msgpack.Unpacker()

    def send(self, request: ClientRequest) -> None:
        """Send a request; the socket raises OSError if the connection is broken."""
        self._number += 1
        key = request.idempotency_key
        message = RequestMessage(
            self._number,
            request.class_name,
            request.attempt_id,
            BALANCER_NUMBER,
            request.wait_ms,
            key,
            body=keyed_body(key) if key else PLAIN_BODY,
        )
        self.requests[self._number] = request
        self.sock.sendall(message.encode())

    def cancel(self, request: ClientRequest) -> None:
        """Send the node a cancellation of a request, if the request was sent on this connection."""
        for number, found in list(self.requests.items()):
            if found is request and not self.is_closed:
                del self.requests[number]
                self.sock.sendall(encode_cancellation(number))

    def read_answers(self) -> Coroutine:
        """Read answers until the connection ends."""
        try:
            while True:
                yield Wait(self.sock.fileno(), READABLE | HANGUP)
                data = self.sock.recv(READ_BYTES)
                if not data:
                    return
                self._unpacker.feed(data)
                for message in self._unpacker:
                    if message[0] == ANSWER_MESSAGE:
                        self._handle_answer(message)
        except OSError:
            pass
        finally:
            self.is_closed = True
            self._clients.loop.close(self.sock)
            self._clients.connection_ended(self)

    def _handle_answer(self, message: list[object]) -> None:
        request = self.requests.get(int(str(message[1])))
        if request is not None:
            error = message[2]
            request.answers.append(str(error[0]) if isinstance(error, list) else SERVED)
            request.answered_ms = self._clients.loop.clock.now()
            self._clients.finish_request(request.attempt_id)


class PersistentClients:
    """All clients of one node, which share a fixed number of connections."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        generator: random.Random,
        connections: int,
        finish_request: Callable[[str], None],
    ) -> None:
        """Open no connection yet.

        Args:
            loop: Event loop that the clients run on.
            address: Address of the node.
            generator: Source of all random values.
            connections: Number of connections over which requests are spread at random.
            finish_request: Tells the runtime the id of an attempt that was answered or given up.
        """
        self.loop = loop
        self.finish_request = finish_request
        self.requests: list[ClientRequest] = []
        self.node_killed = False  # Set at the kill: no answer is expected for requests that are open then.
        self._address = address
        self._generator = generator
        self._connections: list[ClientConnection | None] = [None] * connections
        self._idle: list[socket.socket] = []

    def send(self, class_name: str, idempotency_key: str, wait_ms: float) -> ClientRequest:
        """Send a request on a random connection."""
        request = ClientRequest(class_name, idempotency_key, wait_ms)
        self.requests.append(request)
        self._send(request, self._generator.randrange(len(self._connections)))
        return request

    def _send(self, request: ClientRequest, index: int) -> None:
        request.attempt_id = f"{self._generator.getrandbits(64):016x}"
        request.attempts += 1
        request.sent_ms = self.loop.clock.now()
        try:
            self._connection(index).send(request)
        except OSError:
            # The connection was refused or broke during sending: the node cannot have read the whole request.
            request.answer_expected = False

    def _connection(self, index: int) -> ClientConnection:
        found = self._connections[index]
        if found is None or found.is_closed or len(found.requests) >= CONNECTION_REQUESTS_MAX:
            sock = socket.create_connection(self._address, timeout=CONNECT_TIMEOUT_S)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            found = ClientConnection(self, sock)
            self._connections[index] = found
            self.loop.spawn(found.read_answers())
        return found

    def give_up(self, request: ClientRequest) -> None:
        """Stop waiting for a request unless it was answered; the node is told only by :meth:`cancel`."""
        if not request.answers:
            request.answer_expected = False
            self.finish_request(request.attempt_id)

    def cancel(self, request: ClientRequest) -> None:
        """Send the node a cancellation of a request that was given up, unless it was answered since."""
        if not request.answers:
            for connection in self._connections:
                if connection is not None:
                    connection.cancel(request)

    def reset_random_connection(self) -> None:
        """Reset a random connection; no answer is expected for its open requests any more."""
        connection = self._generator.choice(self._connections)
        if connection is not None and not connection.is_closed:
            for request in connection.requests.values():
                self.give_up(request)
            connection.requests.clear()
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.sock.shutdown(socket.SHUT_RDWR)

    def open_idle_connections(self, count: int) -> None:
        """Open ``count`` connections that send nothing; stop at the first one that the node refuses."""
        for _ in range(count):
            try:
                self._idle.append(socket.create_connection(self._address, timeout=CONNECT_TIMEOUT_S))
            except OSError:
                return

    def close_idle_connections(self) -> None:
        """Close the connections that were opened to send nothing."""
        for sock in self._idle:
            sock.close()
        self._idle.clear()

    def connection_ended(self, connection: ClientConnection) -> None:
        """Resend or mark as lost the open requests of a connection that the node or the kernel closed."""
        now = self.loop.clock.now()
        for request in connection.requests.values():
            if request.answers or not request.answer_expected:
                continue
            if self.node_killed:
                request.answer_expected = False
            elif now - request.sent_ms <= CLOSE_RACE_MS and request.attempts == 1:
                index = self._generator.randrange(len(self._connections))
                # Resend on a new connection; a connection that is replaced here is still read for answers.
                self._connections[index] = None
                self._send(request, index)
            else:
                request.lost_reason = f"connection ended {now - request.sent_ms:.0f} ms after the request"
        connection.requests.clear()
