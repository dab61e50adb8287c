"""A byte stream on the event loop, in clear text or in TLS through memory buffers, without threads.

One coroutine owns a stream and reads from it. Failures are returned as values; a certificate that cannot be
verified is a failure, and never causes a fallback to clear text.
"""

from __future__ import annotations

import socket
import ssl
from collections.abc import Generator

from snowthread.net.attempt import Failure, Progress
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, Wait

READ_BYTES = 16 * 1024  # most bytes read per round of the loop, so that a flood delays no other peer
UNSENT_MAX_BYTES = 256 * 1024  # a connection with more unsent bytes is treated as broken


class Stream:
    """A connected socket with a buffer of unsent bytes, and TLS once :meth:`secure` has succeeded."""

    def __init__(self, loop: EventLoop, sock: socket.socket) -> None:
        self._loop = loop
        self._sock = sock
        self._unsent = bytearray()
        self._tls: ssl.SSLObject | None = None
        self._tls_input = ssl.MemoryBIO()
        self._tls_output = ssl.MemoryBIO()

    def write(self, data: bytes) -> None:
        """Send what the socket accepts and buffer the rest; :meth:`read` sends it and reports any error."""
        if self._tls is not None:
            self._tls.write(data)
            self._flush_tls()
        else:
            self._unsent += data
            self._flush()

    def read(self, deadline_ms: float) -> Generator[Wait, int, bytes | Failure]:
        """Return received bytes, or a Failure at the end of the stream or on an error.

        The result is empty if ``deadline_ms`` (Unix milliseconds) has passed, the task was woken, or only
        unsent bytes could be sent.
        """
        if self._tls is not None:  # bytes left over from the handshake or an earlier read
            data = self._decrypt(b"")
            if data:
                return data
        if len(self._unsent) > UNSENT_MAX_BYTES:
            return Failure(Progress.SENT, "the peer does not read the bytes sent to it")
        ready = yield self._wait(deadline_ms)
        if ready & WRITABLE:
            self._flush()
        if not ready & (READABLE | HANGUP):
            return b""
        raw = self._receive()
        if isinstance(raw, Failure) or self._tls is None:
            return raw
        return self._decrypt(raw)

    def secure(
        self, context: ssl.SSLContext, hostname: str, deadline_ms: float
    ) -> Generator[Wait, int, Failure | None]:
        """Start TLS as a client; return a Failure if the handshake or the check of ``hostname`` fails."""
        tls = context.wrap_bio(self._tls_input, self._tls_output, server_hostname=hostname)
        while True:
            try:
                tls.do_handshake()
            except ssl.SSLWantReadError:
                pass
            except ssl.SSLCertVerificationError as error:
                self._flush_tls()  # send the TLS alert, which tells the peer why
                return Failure(Progress.SENT, f"TLS certificate not valid: {error.verify_message}")
            except (ssl.SSLError, ssl.CertificateError) as error:
                return Failure(
                    Progress.SENT, f"TLS handshake failed: {getattr(error, 'reason', None) or error}"
                )
            else:
                self._flush_tls()
                self._tls = tls
                return None
            self._flush_tls()
            if self._loop.clock.now() >= deadline_ms:
                return Failure(Progress.SENT, "TLS handshake timed out", timed_out=True)
            ready = yield self._wait(deadline_ms)
            if ready & (READABLE | HANGUP):
                raw = self._receive()
                if isinstance(raw, Failure):
                    return raw
                self._tls_input.write(raw)

    def close(self) -> None:
        """Close the socket immediately; unsent bytes are lost."""
        self._loop.close(self._sock)

    def _wait(self, deadline_ms: float) -> Wait:
        return Wait(self._sock.fileno(), READABLE | WRITABLE if self._unsent else READABLE, deadline_ms)

    def _receive(self) -> bytes | Failure:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return b""
        except OSError as error:
            return Failure(Progress.SENT, str(error))
        return data or Failure(Progress.SENT, "closed by the peer")

    def _flush(self) -> None:
        try:
            while self._unsent:
                del self._unsent[: self._sock.send(self._unsent)]
        except OSError:  # the send buffer is full or the socket broken; the next read tells which
            pass

    def _flush_tls(self) -> None:
        """Send the encrypted bytes that the TLS layer has produced."""
        self._unsent += self._tls_output.read()
        self._flush()

    def _decrypt(self, raw: bytes) -> bytes | Failure:
        if self._tls is None:
            return raw
        self._tls_input.write(raw)
        try:
            data = self._tls.read(READ_BYTES)
        except ssl.SSLWantReadError:
            data = b""
        except ssl.SSLError as error:
            return Failure(Progress.SENT, f"TLS error: {error.reason or error}")
        else:
            if not data:
                return Failure(Progress.SENT, "closed by the peer")
        self._flush_tls()  # the TLS layer may have produced a reply to a key update
        return data
