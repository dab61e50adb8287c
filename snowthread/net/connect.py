"""Connecting as a coroutine: one attempt, whose failure is a value."""

from __future__ import annotations

import errno
import os
import socket

from snowthread.address import Address
from snowthread.net.attempt import Failure, Progress
from snowthread.net.loop import WRITABLE, EventLoop, TaskSteps, Wait


class ConnectAttempt:
    """One attempt to connect; after ``steps`` either ``sock`` or ``failure`` is there. Waking the task that
    waits for it gives the attempt up."""

    def __init__(self, address: Address, loop: EventLoop, until: float) -> None:
        self.address, self.loop, self.deadline_ms = address, loop, until
        self.sock: socket.socket | None = None
        self.failure = Failure(Progress.NOT_CONNECTED, "not tried")

    def steps(self) -> TaskSteps:
        """Connect or say why not."""
        try:
            sock = self.address.open(socket.SOCK_STREAM)
        except OSError as error:  # no descriptor left, mostly
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
