"""Writes to a non-blocking socket, and buffers what the socket does not accept yet, up to a limit."""

from __future__ import annotations

import math
import socket

from snowthread.net.clock import Clock

UNSENT_MAX_BYTES = 256 * 1024  # a peer for which more bytes of answers are unsent is disconnected


class UnsentLimitError(ConnectionError):
    """More bytes are buffered for a peer that does not read than ``UNSENT_MAX_BYTES``."""

    def __init__(self, unsent_bytes: int) -> None:
        super().__init__(f"{unsent_bytes} bytes are unsent, the limit is {UNSENT_MAX_BYTES}")
        self.unsent_bytes = unsent_bytes


class BufferedSocketWriter:
    """Writes to a non-blocking socket in order.

    ``unsent`` holds the buffered bytes. ``stalled_since_ms`` is the time since which the socket has accepted
    none of them, or infinity if there are none.
    """

    __slots__ = ("_clock", "_sock", "stalled_since_ms", "unsent")

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self._sock = sock
        self._clock = clock
        self.unsent = bytearray()
        self.stalled_since_ms = math.inf

    def write(self, data: bytes) -> None:
        """Send what the socket accepts and buffer the rest; a broken socket raises another OSError.

        Raises:
            UnsentLimitError: more than ``UNSENT_MAX_BYTES`` are buffered; the connection must be closed.
        """
        if not self.unsent:
            try:
                sent_bytes = self._sock.send(data)
            except BlockingIOError:
                sent_bytes = 0
            if sent_bytes == len(data):
                return
            data = data[sent_bytes:]
            self.stalled_since_ms = self._clock.now()
        self.unsent += data
        if len(self.unsent) > UNSENT_MAX_BYTES:
            raise UnsentLimitError(len(self.unsent))

    def flush(self) -> None:
        """Send what the socket accepts of the buffered bytes; a broken socket raises OSError."""
        try:
            del self.unsent[: self._sock.send(self.unsent)]
            self.stalled_since_ms = self._clock.now() if self.unsent else math.inf
        except BlockingIOError:
            pass
