"""Clients of one node that go on using their open connections, whatever the node says, until it is killed.

Each request is sent at its time whether or not earlier ones were answered, on a connection that is open
already where there is one. Some connections are reset by their client and some requests are cancelled: their
answers are not owed. A request that crosses the end of its connection, within :data:`CLOSE_RACE_MS` of it, is
sent once more on a new one, as the platform's balancers do.
"""

from __future__ import annotations

import random
import socket
import struct
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
REQUESTS_OPEN_MAX = 32  # on one connection
CONNECT_TIMEOUT_S = 1.0
BALANCER_NUMBER = 1
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, with a timeout of 0 s


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request of a client, and what became of it."""

    class_name: str
    idempotency_key: str  # empty: none
    wait_ms: float
    attempt_id: str = ""
    sent_ms: float = 0.0
    answers: list[str] = field(default_factory=list)
    answered_ms: float = 0.0
    attempts: int = 0
    answer_expected: bool = True  # False: cancelled, reset by its client, or never accepted
    lost_reason: str = ""

    @property
    def lateness_ms(self) -> float:
        """How long after its due time it was answered."""
        return self.answered_ms - self.sent_ms - self.wait_ms


class ClientConnection:
    """One connection, used for as long as it is open."""

    def __init__(self, clients: PersistentClients, sock: socket.socket) -> None:
        self.sock = sock
        self.open: dict[int, ClientRequest] = {}
        self.is_closed = False
        self._clients = clients
        self._number = 0
        self._unpacker = msgpack.Unpacker()

    def send(self, request: ClientRequest) -> None:
        """Send a request; OSError where the connection is broken."""
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
        self.open[self._number] = request
        self.sock.sendall(message.encode())

    def cancel(self, request: ClientRequest) -> None:
        """Notify the node that nobody waits for a request any more."""
        for number, found in list(self.open.items()):
            if found is request and not self.is_closed:
                del self.open[number]
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
        request = self.open.get(int(str(message[1])))
        if request is not None:
            error = message[2]
            request.answers.append(str(error[0]) if isinstance(error, list) else SERVED)
            request.answered_ms = self._clients.loop.clock.now()


class PersistentClients:
    """All clients of one node."""

    def __init__(self, loop: EventLoop, address: Address, generator: random.Random, connections: int) -> None:
        """Connect to nothing yet; ``connections`` are used in turn."""
        self.loop = loop
        self.requests: list[ClientRequest] = []
        self.node_killed = False  # killed: what was open then is not owed
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
            request.answer_expected = False  # refused, or broken as it was sent: not a byte of it counts

    def _connection(self, index: int) -> ClientConnection:
        found = self._connections[index]
        if found is None or found.is_closed or len(found.open) >= REQUESTS_OPEN_MAX:
            sock = socket.create_connection(self._address, timeout=CONNECT_TIMEOUT_S)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            found = ClientConnection(self, sock)
            self._connections[index] = found
            self.loop.spawn(found.read_answers())
        return found

    def cancel(self, request: ClientRequest) -> None:
        """Cancel a request that has no answer yet."""
        if not request.answers:
            request.answer_expected = False
            for connection in self._connections:
                if connection is not None:
                    connection.cancel(request)

    def reset_random_connection(self) -> None:
        """Reset a random connection; what is open there is not owed any more."""
        connection = self._generator.choice(self._connections)
        if connection is not None and not connection.is_closed:
            for request in connection.open.values():
                request.answer_expected = request.answer_expected and bool(request.answers)
            connection.open.clear()
            connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.sock.shutdown(socket.SHUT_RDWR)

    def open_idle_connections(self, count: int) -> None:
        """Open connections that send nothing."""
        for _ in range(count):
            try:
                self._idle.append(socket.create_connection(self._address, timeout=CONNECT_TIMEOUT_S))
            except OSError:
                return

    def close_idle_connections(self) -> None:
        """Close the connections that sent nothing."""
        for sock in self._idle:
            sock.close()
        self._idle.clear()

    def connection_ended(self, connection: ClientConnection) -> None:
        """Judge what was open on a connection that the node or the kernel closed."""
        now = self.loop.clock.now()
        for request in connection.open.values():
            if request.answers or not request.answer_expected:
                continue
            if self.node_killed:
                request.answer_expected = False
            elif now - request.sent_ms <= CLOSE_RACE_MS and request.attempts == 1:
                index = self._generator.randrange(len(self._connections))
                self._connections[index] = None  # on a new connection; the earlier one is still read
                self._send(request, index)
            else:
                request.lost_reason = f"connection ended {now - request.sent_ms:.0f} ms after it was sent"
        connection.open.clear()
