"""Send batches to the writer's process, as far as it takes them."""

from __future__ import annotations

import socket

from loguru import logger

from snowthread.net.clock import Clock
from snowthread.records.outbox import Outbox

CLOSE_TIMEOUT_MS = 300.0  # the longest wait at the end for the writer to take what is left
CLOSE_SEND_TIMEOUT_S = 0.05  # of one send during that wait


class WriterLink:
    """The node's end of the socket to the writer. What the writer does never stops the node."""

    def __init__(self, clock: Clock, sock: socket.socket, outbox: Outbox) -> None:
        self._clock = clock
        self._socket: socket.socket | None = sock  # None once the writer has ended
        self._outbox = outbox

    def send(self) -> bool:
        """Send what the writer takes now; return True if nothing is left."""
        while self._socket is not None and (batch := self._outbox.first()) is not None:
            try:
                self._socket.send(batch)
            except (BlockingIOError, TimeoutError):
                return False
            except OSError as error:  # nothing is recorded any more, but the node continues
                self._close_socket()
                logger.error("records: the writer has ended: {}", error)
                return True
            self._outbox.remove_first()
        return True

    def close(self, now: float) -> None:
        """Send what is left, waiting a little for the writer, which ends when the socket is closed."""
        deadline = now + CLOSE_TIMEOUT_MS
        while not self.send() and self._clock.now() < deadline and self._socket is not None:
            self._socket.settimeout(CLOSE_SEND_TIMEOUT_S)
        self._close_socket()

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None
