"""The directory server: its content, its listener and the open connections."""

from __future__ import annotations

import socket

from emulators.directory import protocol
from emulators.directory.connection import Connection
from emulators.directory.content import Content
from emulators.directory.entries import Entry, matches
from emulators.directory.faults import Capabilities, Faults
from emulators.directory.protocol import EntryState, ResultCode
from snowthread.address import Address
from snowthread.net.loop import READABLE, EventLoop, TaskSteps, Wait

DEFAULT_BASE = "ou=tenants,dc=example"
BACKLOG = 64


class Directory(Content):
    """A directory server on an event loop."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        base: str = DEFAULT_BASE,
        capabilities: Capabilities | None = None,
    ) -> None:
        super().__init__(base)
        self.loop = loop
        self.capabilities = capabilities or Capabilities()
        self.faults = Faults()
        self.connections: list[Connection] = []  # that are open
        self.accepted_at: list[float] = []
        self.searches = 0
        self.binds = 0
        self._listener = address.open(socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(BACKLOG)
        self._task = loop.spawn(self._accept())

    @property
    def address(self) -> str:
        """Where it listens, as host:port."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and drop all connections."""
        self.loop.end_task(self._task)
        self._listener.close()
        self.drop_connections()

    def drop_connections(self) -> None:
        """Close all connections at once."""
        for connection in list(self.connections):
            self.loop.end_task(connection.task)

    def wake_connections(self) -> None:
        """Let the connections act on changed faults."""
        for connection in self.connections:
            self.loop.wake(connection.task)

    def disconnect_all(self, code: int = ResultCode.UNAVAILABLE) -> None:
        """Send each client a notice of disconnection, and close."""
        notice = protocol.extended_response(code, "going down", protocol.NOTICE_OF_DISCONNECTION)
        for connection in list(self.connections):
            connection.send(0, notice)
            connection.closing = True

    def _changed(self, entry: Entry, state: EntryState) -> None:
        for connection in self.connections:
            for message_id, test in connection.persistent_searches.items():
                if state is EntryState.DELETE or matches(test, entry):
                    connection.send_entry_state(message_id, entry, state, self.cookie())

    def _accept(self) -> TaskSteps:
        while True:
            yield Wait(self._listener.fileno(), READABLE)
            sock, _ = self._listener.accept()
            if self.faults.refuse:
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.accepted_at.append(self.loop.clock.now())
            self.connections.append(Connection(self, sock))
