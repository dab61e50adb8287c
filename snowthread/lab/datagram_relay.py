"""Relay of the lab for the UDP link between a node and the registry."""

from __future__ import annotations

import contextlib
import socket

from snowthread.address import Address
from snowthread.lab.faults import LinkFaults
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

MAX_DATAGRAM_BYTES = 65536
ANY_PORT = Address("127.0.0.1", 0)


class DatagramRelay:
    """Forwards datagrams between one node and the registry, or drops them while the link is partitioned."""

    def __init__(self, loop: EventLoop, target: Address) -> None:
        """Receive datagrams for ``target`` on a free loopback port, which is the relay's ``address``."""
        self.loop = loop
        self.faults = LinkFaults()
        self._client_socket = ANY_PORT.open(socket.SOCK_DGRAM)
        self._client_socket.bind(ANY_PORT)
        self._target_socket = target.open(socket.SOCK_DGRAM)
        self._target_socket.connect(target)
        self._client: Address | None = None
        self.address = Address(*self._client_socket.getsockname()[:2])
        self._tasks = [loop.spawn(self._forward_requests()), loop.spawn(self._forward_answers())]

    def close(self) -> None:
        """Stop forwarding and close both sockets."""
        for task in self._tasks:
            self.loop.end_task(task)

    def _forward_requests(self) -> Coroutine:
        try:
            while True:
                yield Wait(self._client_socket.fileno(), READABLE)
                # If there is no registry, the datagram is lost, as on a real network.
                with contextlib.suppress(OSError):
                    datagram, client = self._client_socket.recvfrom(MAX_DATAGRAM_BYTES)
                    self._client = Address(*client)
                    if not self.faults.partitioned:
                        self._target_socket.send(datagram)
        finally:
            self.loop.close(self._client_socket)

    def _forward_answers(self) -> Coroutine:
        try:
            while True:
                yield Wait(self._target_socket.fileno(), READABLE)
                with contextlib.suppress(OSError):
                    datagram = self._target_socket.recv(MAX_DATAGRAM_BYTES)
                    if self._client is not None and not self.faults.partitioned:
                        self._client_socket.sendto(datagram, self._client)
        finally:
            self.loop.close(self._target_socket)
