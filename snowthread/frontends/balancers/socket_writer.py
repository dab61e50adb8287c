"""Writing to a socket that may not take everything at once: the rest is buffered, up to a limit."""

from __future__ import annotations

import math
import socket

from snowthread.net.clock import Clock

UNSENT_MAX_BYTES = 256 * 1024  # a peer that leaves more than this unread is disconnected


class UnsentLimitError(ConnectionError):
    """The peer has left more bytes unread than may be buffered for it."""

    def __init__(self, unsent_bytes: int) -> None:
        super().__init__(f"{unsent_bytes} bytes are unsent, at most {UNSENT_MAX_BYTES} may be")
        self.unsent_bytes = unsent_bytes


class BufferedSocketWriter:
    """Writes to a non-blocking socket in order.

    ``stalled_since_ms``: since when the peer has taken nothing of what is unsent; infinity if nothing is.
    """

    __slots__ = ("_clock", "_sock", "stalled_since_ms", "unsent")

    def __init__(self, sock: socket.socket, clock: Clock) -> None:
        self._sock = sock
        self._clock = clock
        self.unsent = bytearray()
        self.stalled_since_ms = math.inf

    def write(self, data: bytes) -> None:
        """Send what the socket takes and buffer the rest; another OSError comes from a broken socket.

        Raises:
            UnsentLimitError: too much is buffered; the connection is of no more use.
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
        """Send what the socket takes of the buffered bytes; OSError where it is broken."""
        try:
            del self.unsent[: self._sock.send(self.unsent)]
            self.stalled_since_ms = self._clock.now() if self.unsent else math.inf
        except BlockingIOError:
            pass
