"""TCP relay of the lab: forwards connections to a target through the faults of a link.

Each direction of a connection is a coroutine on the event loop; see :mod:`snowthread.lab.relay_direction`.
"""

from __future__ import annotations

import random
import socket

from snowthread.address import Address
from snowthread.lab.faults import LinkFaults
from snowthread.lab.relay_direction import ConnectionState, RelayDirection, RelayedLink
from snowthread.net.listening import open_listener
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, Coroutine, EventLoop, Task, Wait

CONNECT_TIMEOUT_MS = 3000.0
LISTEN_BACKLOG = 512


class Relay:
    """A TCP link from its own ``address`` to a target; set attributes of ``faults`` to disturb it."""

    def __init__(self, loop: EventLoop, listen: Address, target: Address, generator: random.Random) -> None:
        """Start to listen; an OSError means that the address is not available.

        Args:
            loop: The event loop.
            listen: Address to listen on; with port 0, a free port is chosen and stored in ``address``.
            target: Address to which connections are forwarded.
            generator: Draws the jitter.
        """
        self.loop = loop
        self.target = target
        self.faults = LinkFaults()
        self.rejected_connections = 0  # Number of accepted connections that were not forwarded.
        self._link = RelayedLink(loop, self.faults, generator)
        self.address = listen
        self._listener: socket.socket | None = None
        self._accept_task: Task | None = None
        self.open()

    def open(self) -> None:
        """Listen on the relay's address if not yet listening; an OSError means that it is not available."""
        if self._accept_task is not None:
            return
        listener = open_listener(self.address, LISTEN_BACKLOG)
        self.address = Address(*listener.getsockname()[:2])
        self._listener = listener
        self._accept_task = self.loop.spawn(self._accept(listener))

    def close(self) -> None:
        """Stop listening, as if the target were dead; open connections and the address are kept."""
        if self._accept_task is None or self._listener is None:
            return
        self.loop.end_task(self._accept_task)
        self._accept_task = None
        if self._listener.fileno() >= 0:  # A task that never ran has not closed its listener.
            self._listener.close()

    def _accept(self, listener: socket.socket) -> Coroutine:
        try:
            while True:
                yield Wait(listener.fileno(), READABLE)
                try:
                    client, _ = listener.accept()
                except BlockingIOError:
                    continue
                if self.faults.partitioned:
                    self.rejected_connections += 1
                    client.close()
                    continue
                client.setblocking(False)
                self.loop.spawn(self._connect(client))
        finally:
            self.loop.close(listener)

    def _connect(self, client: socket.socket) -> Coroutine:
        """Connect to the target and start both directions; close the client if the connect fails."""
        server = self.target.open(socket.SOCK_STREAM)
        try:
            server.connect(self.target)
        except BlockingIOError:
            yield Wait(server.fileno(), WRITABLE | HANGUP, self.loop.clock.now() + CONNECT_TIMEOUT_MS)
            self.loop.unwatch(server.fileno())
        except OSError:
            pass
        if server.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) or not _is_connected(server):
            self.rejected_connections += 1
            client.close()
            server.close()
            return
        for sock in (client, server):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ConnectionState()
        # Each direction gets its own descriptors, since the loop watches a descriptor for only one task.
        self.loop.spawn(RelayDirection(self._link, client, server.dup(), connection).run())
        self.loop.spawn(RelayDirection(self._link, server, client.dup(), connection).run())


def _is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
