"""Reserves loopback addresses for the programs of a run, so that no two programs get the same one.

A port that was only found to be free can be taken by another socket before its program binds it: the kernel
may give it to any socket that asks for a free port, and the next search of the same run may find it again. A
reservation therefore keeps its ports bound until it is closed.
"""

from __future__ import annotations

import socket
from typing import Self

from snowthread.address import Address

ANY_HOST = "0.0.0.0"


class AddressReservation:
    """Reserves ports on one host for the programs of a run; a context manager.

    A program binds its address in addition to the reservation, with SO_REUSEADDR. Until then, connections to
    the address are refused, as if nothing listened there. With :data:`ANY_HOST`, a port is reserved on every
    local address.
    """

    def __init__(self, host: str) -> None:
        self._any_port = Address(host, 0)
        self._sockets: list[socket.socket] = []

    def reserve(self, kind: socket.SocketKind = socket.SOCK_STREAM) -> Address:
        """Reserve a port that no other socket of this kind has, and return its address.

        An OSError means that no port is free.
        """
        sock = self._any_port.open(kind)
        self._sockets.append(sock)
        sock.bind(self._any_port)
        address = Address(*sock.getsockname()[:2])
        # SO_REUSEADDR is set after the bind, because the kernel may give the same free port to two sockets
        # that have the option before.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if kind is socket.SOCK_DGRAM:
            # A socket connected to itself receives nothing from others, so that datagrams go to the socket of
            # the program that binds the address.
            sock.connect(sock.getsockname())
        return address

    def close(self) -> None:
        """Release all ports; programs that have bound theirs keep them."""
        while self._sockets:
            self._sockets.pop().close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
