"""The directory server: accepts connections and keeps track of the open ones."""

from __future__ import annotations

import socket

from emulators.directory import protocol
from emulators.directory.connection import Connection
from emulators.directory.entries import Entry
from emulators.directory.faults import Capabilities
from emulators.directory.protocol import EntryState, ResultCode
from emulators.directory.state import DirectoryState
from snowthread.address import Address
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

DEFAULT_BASE = "ou=tenants,dc=example"
BACKLOG = 64


class Directory(DirectoryState):
    """A directory server on an event loop."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        base: str = DEFAULT_BASE,
        capabilities: Capabilities | None = None,
    ) -> None:
        super().__init__(base, capabilities or Capabilities())
        self.loop = loop
        self.connections: list[Connection] = []  # The open connections.
        self.accepted_at_ms: list[float] = []
        self._listener = address.open(socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(BACKLOG)
        self._task = loop.spawn(self._accept())

    @property
    def address(self) -> str:
        """The address that the server listens on, as host:port."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.loop.end_task(self._task)
        self._listener.close()
        self.drop_connections()

    def drop_connections(self) -> None:
        """Close all connections at once, without a notice of disconnection."""
        for connection in list(self.connections):
            self.loop.end_task(connection.task)

    def wake_connections(self) -> None:
        """Make the open connections apply changed faults at once."""
        for connection in self.connections:
            self.loop.wake(connection.task)

    def disconnect_all(self, code: int = ResultCode.UNAVAILABLE) -> None:
        """Send each client a notice of disconnection (RFC 4511, section 4.4.1), then close its connection."""
        notice = protocol.extended_response(code, "going down", protocol.NOTICE_OF_DISCONNECTION)
        for connection in list(self.connections):
            connection.close_with(notice)

    def _changed(self, entry: Entry, state: EntryState) -> None:
        for connection in self.connections:
            connection.notify_change(entry, state)

    def _accept(self) -> Coroutine:
        while True:
            yield Wait(self._listener.fileno(), READABLE)
            sock, _ = self._listener.accept()
            if self.faults.refuse_connections:
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.accepted_at_ms.append(self.loop.clock.now())
            self.connections.append(Connection(self, self.loop, sock, self.connections.remove))
