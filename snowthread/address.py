"""Network addresses, in the form in which the configuration has them."""

from __future__ import annotations

import socket
from typing import NamedTuple

PORT_MAX = 65535


class AddressError(ValueError):
    """A text is not a valid address; ``text`` is that text."""

    def __init__(self, text: str, message: str) -> None:
        super().__init__(message)
        self.text = text


class Address(NamedTuple):
    """A numeric IPv4 or IPv6 host and a port; host names are not resolved."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``, an IPv6 host with or without brackets.

        Raises:
            AddressError: the form, the port or the host is not valid.
        """
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        if not host or not port.isdigit() or not 0 <= int(port) <= PORT_MAX:
            raise AddressError(text, f"{text!r} is not an address of the form host:port")
        address = cls(host, int(port))
        try:
            socket.inet_pton(address.family, host)
        except OSError:
            raise AddressError(text, f"{text!r}: the host must be a numeric address") from None
        return address

    @property
    def family(self) -> socket.AddressFamily:
        """The address family of the host."""
        return socket.AF_INET6 if ":" in self.host else socket.AF_INET

    def open(self, kind: socket.SocketKind) -> socket.socket:
        """Return a new non-blocking socket of this address's family; OSError if no descriptor is free."""
        sock = socket.socket(self.family, kind)
        sock.setblocking(False)
        return sock
