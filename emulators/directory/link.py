"""The socket of one client's connection: sends and receives bytes, with TLS and the scripted faults."""

from __future__ import annotations

import socket
import ssl
import struct
from collections.abc import Generator

from emulators.directory.state import DirectoryState
from snowthread.net.clock import Clock
from snowthread.net.loop import READABLE, WRITABLE, Wait

READ_BYTES = 65536
NEVER_MS = 1e12
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # Value of SO_LINGER: on, with a timeout of 0 s.


class Link:
    """The socket of one connection, its unsent bytes, and its TLS session after a handshake."""

    def __init__(self, directory: DirectoryState, clock: Clock, sock: socket.socket) -> None:
        self._directory = directory
        self._clock = clock
        self._sock = sock
        self._unsent = bytearray()
        self._sent_bytes = 0
        self._tls: ssl.SSLObject | None = None
        self._tls_in = ssl.MemoryBIO()
        self._tls_out = ssl.MemoryBIO()

    @property
    def all_sent(self) -> bool:
        """Whether all queued bytes have been sent."""
        return not self._unsent

    def queue(self, data: bytes) -> None:
        """Queue bytes to be sent; they are encrypted if there was a TLS handshake."""
        if self._tls is not None:
            self._tls.write(data)
            data = self._tls_out.read()
        self._unsent += data

    def flush(self) -> None:
        """Send as many queued bytes as the faults and the socket allow.

        Raises:
            ConnectionResetError: The fault ``reset_after_bytes`` resets the connection.
        """
        faults = self._directory.faults
        if faults.stall:
            return
        size = len(self._unsent)
        for limit in (faults.stall_after_bytes, faults.reset_after_bytes):
            if limit is not None:
                size = min(size, max(0, limit - self._sent_bytes))
        if faults.byte_delay_ms:
            size = min(size, 1)
        if size:
            try:
                sent = self._sock.send(self._unsent[:size])
            except BlockingIOError:
                return
            del self._unsent[:sent]
            self._sent_bytes += sent
        if faults.reset_after_bytes is not None and self._sent_bytes >= faults.reset_after_bytes:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            raise ConnectionResetError("connection reset by the scripted fault reset_after_bytes")

    def receive(self) -> bytes:
        """Return the bytes available at the socket; empty at the end of the stream."""
        return self._sock.recv(READ_BYTES)

    def next_wait(self) -> Wait:
        """Return the socket events and time to wait for, which depend on the faults and the unsent bytes."""
        faults = self._directory.faults
        stalled = faults.stall_after_bytes is not None and self._sent_bytes >= faults.stall_after_bytes
        wants_to_send = bool(self._unsent) and not faults.stall and not stalled and not faults.byte_delay_ms
        mask = (0 if faults.stall else READABLE) | (WRITABLE if wants_to_send else 0)
        delay_ms = faults.byte_delay_ms if faults.byte_delay_ms and self._unsent else NEVER_MS
        return Wait(self._sock.fileno(), mask, self._clock.now() + delay_ms)

    def handshake(self) -> Generator[Wait, int, None]:
        """Perform the TLS handshake as the server.

        Raises:
            ValueError: The directory's capabilities have no TLS context.
            ConnectionResetError: The client closed the connection during the handshake.
        """
        context = self._directory.capabilities.tls
        if context is None:
            raise ValueError("TLS handshake requested, but the directory has no TLS context")
        tls = context.wrap_bio(self._tls_in, self._tls_out, server_side=True)
        while True:
            try:
                tls.do_handshake()
            except ssl.SSLWantReadError:
                done = False
            else:
                done = True
            self._unsent += self._tls_out.read()
            self.flush()
            if done:
                self._tls = tls
                return
            ready = yield Wait(self._sock.fileno(), READABLE)
            if ready:
                data = self.receive()
                if not data:
                    raise ConnectionResetError("the client closed the connection during the TLS handshake")
                self._tls_in.write(data)

    def decrypt(self, data: bytes) -> bytes:
        """Return the clear text of received bytes; before a TLS handshake, they are returned as they are."""
        if self._tls is None:
            return data
        self._tls_in.write(data)
        clear_text = b""
        try:
            while more := self._tls.read(READ_BYTES):
                clear_text += more
        except ssl.SSLWantReadError:
            pass
        return clear_text
