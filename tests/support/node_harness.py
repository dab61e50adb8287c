"""A node in this process with a manual clock; the test acts as its peers on real sockets.

A test forces the order of two events instead of waiting for it. A round of the event loop reads sockets
before it runs timers, and tasks that a timer woke are resumed first in the next round.
``NodeHarness.advance_late`` runs the one round in which a timer becomes due; data that is sent afterwards is
still unread when the node acts on the timer, as happens when the event loop is late. docs/crossings.md lists
these orders.
"""

from __future__ import annotations

import json
import socket
import time
from dataclasses import replace
from pathlib import Path
from typing import Any, Protocol

from snowthread import config
from snowthread.core import events
from snowthread.net.clock import ManualClock
from snowthread.node import Node

START = 1764576000000.0
"""The initial time of each test's clock, in Unix milliseconds."""

EXAMPLE = Path(__file__).parents[2] / "examples" / "node.json"
TIMEOUT_S = 10.0  # limit of one wait for the node's connection or bytes
SETTLE_ROUNDS = 12  # rounds of the event loop after which all effects of received data have occurred
POLL_S = 0.0005  # longest wait of one round of the event loop
GRACE_MS = 3200.0  # time to the kill that ``begin_shutdown`` announces


def loopback(kind: socket.SocketKind) -> socket.socket:
    """Return a socket that is bound to a free loopback port; a stream socket also listens."""
    sock = socket.socket(socket.AF_INET, kind)
    sock.bind(("127.0.0.1", 0))
    if kind is socket.SOCK_STREAM:
        sock.listen()
    return sock


def address(sock: socket.socket) -> str:
    """Return the address of a socket in the form of the configuration, ``host:port``."""
    return "{}:{}".format(*sock.getsockname())


class NodeHarness:
    """A node and the sockets of its peers, by name.

    ``runtime`` and ``index`` (the database) are listeners until the test accepts the node's connection;
    ``roster`` (the registry) is a datagram socket. The test chooses the names of balancers and operators.
    """

    def __init__(
        self, listen_descriptor: int | None = None, handover_directory: str | None = None, **changes: Any
    ) -> None:
        """Create a node with the example's configuration, in which ``changes`` replace fields."""
        self.listeners = {"runtime": loopback(socket.SOCK_STREAM), "index": loopback(socket.SOCK_STREAM)}
        self.peers: dict[str, socket.socket] = {"roster": loopback(socket.SOCK_DGRAM)}
        fields: dict[str, Any] = json.loads(EXAMPLE.read_bytes())
        fields |= {name: address(sock) for name, sock in (self.listeners | self.peers).items()}
        self.clock = ManualClock(START)
        self.fields = fields | {"listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0"} | changes
        parsed = replace(
            config.parse(self.fields),
            listen_descriptor=listen_descriptor,
            handover_directory=handover_directory,
        )
        self.node = Node(parsed, self.clock)
        self.closed_by_node = False  # whether the last :meth:`receive` found the connection closed

    def close(self) -> None:
        """Close the node's sockets and those of its peers."""
        self.node.loop.end_all_tasks()
        for sock in (*self.peers.values(), *self.listeners.values()):
            sock.close()

    def settle(self) -> None:
        """Run the event loop until all effects of the data sent so far have occurred."""
        for _ in range(SETTLE_ROUNDS):
            self.node.loop.run_once(POLL_S)

    def advance(self, ms: float) -> None:
        """Advance the clock and run the event loop until all effects have occurred."""
        self.clock.now_ms += ms
        self.settle()

    def advance_late(self, ms: float) -> None:
        """Advance the clock and run one round: data sent next is still unread when the due timers act."""
        self.clock.now_ms += ms
        self.node.loop.run_once(0.0)

    def connect(self, *names: str) -> None:
        """Connect balancers one after the other; the node accepts each one."""
        for name in names:
            self.open_connection(name)
            self.settle()

    def open_connection(self, name: str) -> None:
        """Connect a balancer; the node has not accepted the connection yet."""
        self._add_peer(name, socket.create_connection(self.node.balancers.address))

    def connect_operator(self, name: str) -> None:
        """Connect an operator to the administration interface."""
        assert self.node.admin is not None
        self._add_peer(name, socket.create_connection(self.node.admin.address))
        self.settle()

    def accept(self, name: str) -> None:
        """Accept the node's connection to the runtime or the database."""
        self.settle()
        self.listeners[name].settimeout(TIMEOUT_S)
        self._add_peer(name, self.listeners[name].accept()[0])
        self.settle()

    def _add_peer(self, name: str, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.peers[name] = sock

    def send(self, name: str, data: bytes) -> None:
        """Send bytes to the node, which does not read them until the loop runs."""
        self.peers[name].sendall(data)

    def receive(self, peer_name: str, size: int) -> bytes:
        """Return the next ``size`` bytes from the node; fewer if it closes, or sends no more in time."""
        self.closed_by_node = False
        peer = self.peers[peer_name]
        data = b""
        end = time.monotonic() + TIMEOUT_S
        while len(data) < size and time.monotonic() < end:
            try:
                more = peer.recv(size - len(data))
            except BlockingIOError:
                self.node.loop.run_once(POLL_S)
                continue
            if not more:
                self.closed_by_node = True
                break
            data += more
        return data

    def assert_silent(self, peer_name: str) -> None:
        """Check that the node has sent nothing more to a peer."""
        try:
            more = self.peers[peer_name].recv(4096)
        except BlockingIOError:
            return
        assert more == b"", f"{peer_name}: unexpected {more!r}"

    def close_peer(self, name: str) -> None:
        """Close a peer's connection and let the node react."""
        self.peers.pop(name).close()
        self.settle()

    def reload(self, **changes: Any) -> None:
        """Apply a configuration in which ``changes`` replace fields."""
        self.node.apply_configuration(config.parse(self.fields | changes))

    def begin_shutdown(self) -> None:
        """Begin a shutdown as a signal does: post the event and send the farewells."""
        self.node.post(events.ShutdownRequested(GRACE_MS))
        self.node.balancers.send_farewell_to_all()


class StartNode(Protocol):
    """Starts a node with changes to the example's configuration, and makes its runtime ready."""

    def __call__(self, **changes: Any) -> NodeHarness:
        """Return the started node."""
