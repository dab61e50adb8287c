"""Addresses on loopback for the programs of one run, each given once.

A port that was merely found free can be given to another socket before its program binds it: by the kernel to
any socket that asks for a free port, or by the next search of the same run. A reservation therefore keeps its
ports bound until it is closed.
"""

from __future__ import annotations

import socket
from typing import Self

from snowthread.address import Address

ANY_HOST = "0.0.0.0"


class AddressReservation:
    """The addresses of one host that a run gives to its programs; a context manager.

    A program binds its address beside the reservation, with SO_REUSEADDR. Until then connections to the
    address are refused, as where nobody listens. With :data:`ANY_HOST` a port is reserved on every host.
    """

    def __init__(self, host: str) -> None:
        self._any_port = Address(host, 0)
        self._sockets: list[socket.socket] = []

    def reserve(self, kind: socket.SocketKind = socket.SOCK_STREAM) -> Address:
        """Return an address whose port no other socket of this kind has; OSError where none is left."""
        sock = self._any_port.open(kind)
        self._sockets.append(sock)
        sock.bind(self._any_port)
        address = Address(*sock.getsockname()[:2])
        # Only after the bind: two sockets that have the option before may be given the same free port.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if kind is socket.SOCK_DGRAM:
            # Connected to itself it receives nothing from others: datagrams go to the program's socket.
            sock.connect(sock.getsockname())
        return address

    def close(self) -> None:
        """Give up all ports; programs that have bound theirs keep them."""
        while self._sockets:
            self._sockets.pop().close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
