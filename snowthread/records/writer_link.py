"""Send queued batches to the writer process without blocking the node."""

from __future__ import annotations

import socket

from loguru import logger

from snowthread.net.clock import Clock
from snowthread.records.outbox import Outbox

CLOSE_TIMEOUT_MS = 300.0  # longest wait on close until the writer has taken the queued batches
CLOSE_SEND_TIMEOUT_S = 0.05  # timeout of a single send on close


class WriterLink:
    """The node's end of the socket to the writer process. Its failures never stop the node."""

    def __init__(self, clock: Clock, sock: socket.socket, outbox: Outbox) -> None:
        self._clock = clock
        self._socket: socket.socket | None = sock  # None once the writer process has exited
        self._outbox = outbox

    def send(self) -> bool:
        """Send as many queued batches as the socket takes.

        Return False if batches remain in the queue; True if it is empty or the writer process has exited.
        """
        while self._socket is not None and (batch := self._outbox.first()) is not None:
            try:
                self._socket.send(batch)
            except (BlockingIOError, TimeoutError):
                return False
            except OSError as error:  # the writer process has exited; the node goes on without records
                self._close_socket()
                logger.error("records: the writer process has exited, nothing more is recorded: {}", error)
                return True
            self._outbox.remove_first()
        return True

    def close(self, now: float) -> None:
        """Send the queued batches for at most ``CLOSE_TIMEOUT_MS``, then close the socket.

        The writer process exits when the socket is closed. ``now`` is in Unix milliseconds.
        """
        deadline = now + CLOSE_TIMEOUT_MS
        while not self.send() and self._clock.now() < deadline and self._socket is not None:
            self._socket.settimeout(CLOSE_SEND_TIMEOUT_S)
        self._close_socket()

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None
