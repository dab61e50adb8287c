"""Addresses as they stand in the configuration, and sockets made for them."""

from __future__ import annotations

import socket
from typing import NamedTuple


class Address(NamedTuple):
    """A host given as a number (there is no DNS) and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """From ``host:port``; ValueError says what is wrong."""
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        if not host or not port.isdigit() or not 0 <= int(port) < 65536:
            raise ValueError(f"{text!r} is not an address of the form host:port")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            socket.inet_pton(family, host)
        except OSError:
            raise ValueError(f"{text!r}: the host must be a numeric address") from None
        return cls(host, int(port))

    def open(self, kind: socket.SocketKind) -> socket.socket:
        """A non-blocking socket of the right family."""
        sock = socket.socket(socket.AF_INET6 if ":" in self.host else socket.AF_INET, kind)
        sock.setblocking(False)
        return sock
