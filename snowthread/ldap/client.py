"""One connection to a directory server, as coroutines on the loop: connect, TLS, bind, then messages.

Thin on purpose: the protocol's state is ``session``'s, what to do about an end is ``health``'s.
"""

from __future__ import annotations

import ssl
from collections.abc import Generator
from dataclasses import dataclass, field

from snowthread.ldap import messages as m
from snowthread.ldap.ber import Bounds
from snowthread.ldap.health import Reaction, reaction_to
from snowthread.ldap.session import Session, SessionEnded, SessionState
from snowthread.ldap.url import LdapUrl
from snowthread.net.attempt import Failure, Progress
from snowthread.net.connect import ConnectAttempt
from snowthread.net.loop import EventLoop, Wait
from snowthread.net.tls_stream import Stream


@dataclass(frozen=True, slots=True)
class ConnectionFailure:
    """A connection or operation that failed: how far it had come, why, and what that asks for."""

    progress: Progress
    reason: str
    reaction: Reaction = Reaction.FAIL_OVER


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """How to get in. ``context`` None: no TLS; ``start_tls``: over the plain port. Times in milliseconds."""

    bind: m.SimpleBindRequest | m.ExternalBindRequest | None
    tls_context: ssl.SSLContext | None = None
    start_tls: bool = False
    server_name: str = ""  # that the certificate must prove; the host's own number where it is empty
    connect_timeout_ms: float = 2_000.0
    bind_timeout_ms: float = 3_000.0
    bounds: Bounds = field(default_factory=Bounds)


class LdapConnection:
    """One connection. ``open`` first; ``send`` and ``receive`` until a Trouble; ``close`` in any case."""

    def __init__(self, loop: EventLoop, url: LdapUrl, access: ConnectionSettings) -> None:
        self.url, self.server = url, url.server
        self._loop, self._settings = loop, access
        self._session = Session(access.bounds)
        self._stream: Stream | None = None

    def open(self) -> Generator[Wait, int, ConnectionFailure | None]:
        """Connect, secure and bind, each under its deadline."""
        clock, access = self._loop.clock, self._settings
        attempt = ConnectAttempt(self.url.address, self._loop, clock.now() + access.connect_timeout_ms)
        yield from attempt.steps()
        if attempt.sock is None:
            return ConnectionFailure(attempt.failure.progress, f"connect: {attempt.failure.reason}")
        self._stream = Stream(self._loop, attempt.sock)
        trouble: ConnectionFailure | None = None
        if self.url.scheme == "ldaps":
            trouble = yield from self._secure()
        elif access.start_tls:
            trouble = yield from self._start_tls()
        if trouble is None and access.bind is not None:
            trouble = yield from self._bind(access.bind)
        return trouble

    def send(self, request: m.Request) -> int:
        """Send a request; its number."""
        if self._stream is None:
            raise RuntimeError("the link is not open")
        number, data = self._session.send(request)
        self._stream.write(data)
        return number

    def receive(self, until: float) -> Generator[Wait, int, list[m.Message] | ConnectionFailure]:
        """Messages that came; none where time is up or the task was woken."""
        if self._stream is None:
            raise RuntimeError("the link is not open")
        if self._session.state is SessionState.CLOSED:
            return self._broken
        data = yield from self._stream.read(until)
        if isinstance(data, Failure):
            return ConnectionFailure(data.progress, data.reason)
        out: list[m.Message] = []
        for got in self._session.receive(data):
            if isinstance(got, SessionEnded):
                # What came whole before it stands; the next call finds the session closed.
                self._broken = self._failure_of(got)
                return out or self._broken
            out.append(got)
        return out

    _broken = ConnectionFailure(Progress.REPLY_BEGUN, "closed")

    def close(self) -> None:
        """Say goodbye where that can be done, and close."""
        stream, self._stream = self._stream, None
        if stream is not None:
            if self._session.state is SessionState.READY:
                stream.write(self._session.send(m.UnbindRequest())[1])
            stream.close()

    def _secure(self) -> Generator[Wait, int, ConnectionFailure | None]:
        context, stream = self._settings.tls_context, self._stream
        if context is None or stream is None:
            return ConnectionFailure(Progress.SENT, "TLS: no context is set", Reaction.NEEDS_OPERATOR)
        name = self._settings.server_name or self.url.host
        failure = yield from stream.secure(
            context, name, self._loop.clock.now() + self._settings.bind_timeout_ms
        )
        if failure is not None:
            bad = failure.reason.startswith("certificate")
            return ConnectionFailure(
                failure.progress, failure.reason, Reaction.NEEDS_OPERATOR if bad else Reaction.FAIL_OVER
            )
        return None

    def _start_tls(self) -> Generator[Wait, int, ConnectionFailure | None]:
        number = self.send(m.ExtendedRequest(m.START_TLS_OID))
        got = yield from self._receive_response(
            number, self._loop.clock.now() + self._settings.bind_timeout_ms, "StartTLS"
        )
        if isinstance(got, ConnectionFailure):
            return got
        if not isinstance(got, m.ExtendedResponse) or got.result.code != 0:
            code = got.result.code if isinstance(got, m.ExtendedResponse) else -1
            return ConnectionFailure(Progress.REPLY_BEGUN, f"StartTLS: code {code}", Reaction.NEEDS_OPERATOR)
        trouble = yield from self._secure()
        if trouble is None:
            self._session.mark_secured()
        return trouble

    def _bind(
        self, bind: m.SimpleBindRequest | m.ExternalBindRequest
    ) -> Generator[Wait, int, ConnectionFailure | None]:
        number = self.send(bind)
        got = yield from self._receive_response(
            number, self._loop.clock.now() + self._settings.bind_timeout_ms, "bind"
        )
        if isinstance(got, ConnectionFailure):
            return got
        if not isinstance(got, m.BindResponse) or got.result.code != 0:
            code = got.result.code if isinstance(got, m.BindResponse) else -1
            return ConnectionFailure(Progress.REPLY_BEGUN, f"bind: code {code}", reaction_to(code))
        return None

    def _receive_response(
        self, number: int, until: float, what: str
    ) -> Generator[Wait, int, m.Response | ConnectionFailure]:
        """The one answer to what was just sent."""
        while self._loop.clock.now() < until:
            got = yield from self.receive(until)
            if isinstance(got, ConnectionFailure):
                return ConnectionFailure(got.progress, f"{what}: {got.reason}", got.reaction)
            for message in got:
                if message.message_id == number:
                    return message.response
        return ConnectionFailure(Progress.SENT, f"{what}: no answer in time")

    @staticmethod
    def _failure_of(broken: SessionEnded) -> ConnectionFailure:
        code = broken.notice.code if broken.notice is not None else None
        # A notice is a server on its way out, whatever its code; one that forbids us needs people.
        what = Reaction.NEEDS_OPERATOR if code in (8, 13) else Reaction.FAIL_OVER
        return ConnectionFailure(Progress.REPLY_BEGUN, broken.reason, what)
