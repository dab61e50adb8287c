"""Addresses as they stand in the configuration, and sockets made for them."""

from __future__ import annotations

import errno
import os
import socket
from typing import NamedTuple

from snowthread.net.attempt import Failure, Progress
from snowthread.net.loop import OUT, Loop, Steps, Wait


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


class Connecting:
    """One attempt to connect; after ``steps`` either ``sock`` or ``failure`` is there. Waking the task that
    waits for it gives the attempt up."""

    def __init__(self, address: Address, loop: Loop, until: float) -> None:
        self.address, self.loop, self.until = address, loop, until
        self.sock: socket.socket | None = None
        self.failure = Failure(Progress.NOT_CONNECTED, "not tried")

    def steps(self) -> Steps:
        """Connect or say why not."""
        try:
            sock = self.address.open(socket.SOCK_STREAM)
        except OSError as error:  # no descriptor left, mostly
            self.failure = Failure(Progress.NOT_CONNECTED, str(error))
            return
        code = sock.connect_ex(self.address)
        if code == errno.EINPROGRESS:
            ready = yield Wait(sock.fileno(), OUT, self.until)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if ready else errno.ETIMEDOUT
        if code:
            self.failure = Failure(Progress.NOT_CONNECTED, os.strerror(code), code == errno.ETIMEDOUT)
            self.loop.close(sock)
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
