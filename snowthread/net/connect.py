"""Connects by TCP in a coroutine; a failure is returned as a value, not raised."""

from __future__ import annotations

import errno
import os
import socket

from snowthread.address import Address
from snowthread.net.attempt import Failure, Progress
from snowthread.net.loop import WRITABLE, Coroutine, EventLoop, Wait


class ConnectAttempt:
    """One attempt to connect by TCP before ``deadline_ms`` (Unix milliseconds).

    After ``run`` has ended, ``sock`` is the connected socket, or it is None and ``failure`` says why. Waking
    the task during the attempt makes it fail as timed out.
    """

    def __init__(self, address: Address, loop: EventLoop, deadline_ms: float) -> None:
        self.address = address
        self.loop = loop
        self.deadline_ms = deadline_ms
        self.sock: socket.socket | None = None
        self.failure = Failure(Progress.NOT_CONNECTED, "not attempted")

    def run(self) -> Coroutine:
        """Connect and set ``sock``, or set ``failure``."""
        try:
            sock = self.address.open(socket.SOCK_STREAM)
        except OSError as error:  # usually because no descriptor is free
            self.failure = Failure(Progress.NOT_CONNECTED, str(error))
            return
        code = sock.connect_ex(self.address)
        if code == errno.EINPROGRESS:
            ready = yield Wait(sock.fileno(), WRITABLE, self.deadline_ms)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if ready else errno.ETIMEDOUT
        if code:
            self.failure = Failure(Progress.NOT_CONNECTED, os.strerror(code), code == errno.ETIMEDOUT)
            self.loop.close(sock)
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
