"""A byte stream on the loop, in clear text or in TLS through memory buffers, written without threads.

Whoever owns the stream is the one coroutine that reads it. Failures are values; a certificate that can't be
verified is one of them and never leads to clear text.
"""

from __future__ import annotations

import socket
import ssl
from collections.abc import Generator

from snowthread.net.attempt import Failure, Progress
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, Wait

READ_BYTES = 16 * 1024  # taken in one turn, so that a peer that floods gets no more than others
OUT_MAX = 256 * 1024  # bytes unsent from which the peer counts as gone


class Stream:
    """One connected socket."""

    def __init__(self, loop: EventLoop, sock: socket.socket) -> None:
        self._loop, self._sock = loop, sock
        self._out = bytearray()
        self._tls: ssl.SSLObject | None = None
        self._in_bio, self._out_bio = ssl.MemoryBIO(), ssl.MemoryBIO()

    def write(self, data: bytes) -> None:
        """Send what goes and keep the rest for ``read``, which sees an error too."""
        if self._tls is not None:
            self._tls.write(data)
            data = self._out_bio.read()
        self._out += data
        self._flush()

    def read(self, until: float) -> Generator[Wait, int, bytes | Failure]:
        """Bytes that came; none where time is up or the task was woken; a Failure at the stream's end."""
        if self._tls is not None:  # what a handshake or a read left over
            data = self._decrypt(b"")
            if data:
                return data
        if len(self._out) > OUT_MAX:
            return Failure(Progress.SENT, "the peer reads nothing")
        got = yield Wait(self._sock.fileno(), READABLE | WRITABLE if self._out else READABLE, until)
        if got & WRITABLE:
            self._flush()
        if not got & (READABLE | HANGUP):
            return b""
        raw = self._receive()
        if isinstance(raw, Failure) or self._tls is None:
            return raw
        return self._decrypt(raw)

    def secure(
        self, context: ssl.SSLContext, name: str, until: float
    ) -> Generator[Wait, int, Failure | None]:
        """Wrap the stream in TLS as a client; the peer has to prove that it is ``name``."""
        tls = context.wrap_bio(self._in_bio, self._out_bio, server_hostname=name)
        while True:
            try:
                tls.do_handshake()
            except ssl.SSLWantReadError:
                pass
            except ssl.SSLCertVerificationError as error:
                self._out += self._out_bio.read()  # the alert that says why
                self._flush()
                return Failure(Progress.SENT, f"certificate: {error.verify_message}")
            except (ssl.SSLError, ssl.CertificateError) as error:
                return Failure(Progress.SENT, f"TLS: {getattr(error, 'reason', None) or error}")
            else:
                self._out += self._out_bio.read()
                self._flush()
                self._tls = tls
                return None
            self._out += self._out_bio.read()
            self._flush()
            if self._loop.clock.now() >= until:
                return Failure(Progress.SENT, "TLS: no time left", timed_out=True)
            got = yield Wait(self._sock.fileno(), READABLE | WRITABLE if self._out else READABLE, until)
            if got & (READABLE | HANGUP):
                raw = self._receive()
                if isinstance(raw, Failure):
                    return raw
                self._in_bio.write(raw)

    def close(self) -> None:
        """Close now."""
        self._loop.close(self._sock)

    def _receive(self) -> bytes | Failure:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return b""
        except OSError as error:
            return Failure(Progress.SENT, str(error))
        return data if data else Failure(Progress.SENT, "closed by the peer")

    def _flush(self) -> None:
        try:
            while self._out:
                del self._out[: self._sock.send(self._out)]
        except OSError:  # full, or broken: the next read tells which
            pass

    def _decrypt(self, raw: bytes) -> bytes | Failure:
        if self._tls is None:
            return raw
        self._in_bio.write(raw)
        try:
            data = self._tls.read(READ_BYTES)
        except ssl.SSLWantReadError:
            data = b""
        except ssl.SSLError as error:
            return Failure(Progress.SENT, f"TLS: {error.reason or error}")
        else:
            if not data:
                return Failure(Progress.SENT, "closed by the peer")
        self._out += self._out_bio.read()  # answers to key updates
        self._flush()
        return data
