"""One connection to a directory server, as coroutines on the event loop: connect, TLS, bind, messages.

``session`` keeps the protocol state; ``health`` decides how to react to a failure.
"""

from __future__ import annotations

import ssl
from collections.abc import Generator
from dataclasses import dataclass, field

from snowthread.ldap.ber import MessageLimits
from snowthread.ldap.health import Reaction, reaction_to
from snowthread.ldap.messages import (
    START_TLS_OID,
    BindResponse,
    ExtendedRequest,
    ExtendedResponse,
    ExternalBindRequest,
    Message,
    Request,
    Response,
    SimpleBindRequest,
    UnbindRequest,
)
from snowthread.ldap.result_codes import ResultCode
from snowthread.ldap.session import Session, SessionEnded, SessionState
from snowthread.ldap.url import LdapUrl
from snowthread.net.attempt import Failure, Progress
from snowthread.net.connect import ConnectAttempt
from snowthread.net.loop import EventLoop, Wait
from snowthread.net.tls_stream import Stream

NO_RESULT_CODE = -1  # stands for the result code of a response of the wrong type
CLIENT_REJECTED_CODES = (ResultCode.STRONGER_AUTH_REQUIRED, ResultCode.CONFIDENTIALITY_REQUIRED)


@dataclass(frozen=True, slots=True)
class ConnectionFailure:
    """A failed connection or operation: its progress, the reason and how the client should react."""

    progress: Progress
    reason: str
    reaction: Reaction = Reaction.FAIL_OVER


CLOSED = ConnectionFailure(Progress.REPLY_BEGUN, "connection closed")


@dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """How to connect and authenticate; without ``bind`` the client stays anonymous."""

    bind: SimpleBindRequest | ExternalBindRequest | None
    tls_context: ssl.SSLContext | None = None  # None: no TLS
    start_tls: bool = False  # request TLS by StartTLS on ldap URLs
    server_name: str = ""  # name that the server certificate must match; empty: the host of the URL
    connect_timeout_ms: float = 2_000.0
    bind_timeout_ms: float = 3_000.0  # for each of StartTLS, the TLS handshake and bind
    message_limits: MessageLimits = field(default_factory=MessageLimits)


class LdapConnection:
    """One connection to a server.

    Call ``open`` first, then ``send`` and ``receive`` until a failure, and ``close`` in any case.
    """

    def __init__(self, loop: EventLoop, url: LdapUrl, settings: ConnectionSettings) -> None:
        self.url = url
        self.server = url.server
        self._loop = loop
        self._settings = settings
        self._session = Session(settings.message_limits)
        self._stream: Stream | None = None
        self._failure = CLOSED

    def open(self) -> Generator[Wait, int, ConnectionFailure | None]:
        """Connect, start TLS and bind, each with its own deadline; return the failure, or None."""
        deadline = self._loop.clock.now() + self._settings.connect_timeout_ms
        attempt = ConnectAttempt(self.url.address, self._loop, deadline)
        yield from attempt.run()
        if attempt.sock is None:
            return ConnectionFailure(attempt.failure.progress, f"connect: {attempt.failure.reason}")
        self._stream = Stream(self._loop, attempt.sock)
        failure: ConnectionFailure | None = None
        if self.url.scheme == "ldaps":
            failure = yield from self._perform_tls_handshake(self._stream)
        elif self._settings.start_tls:
            failure = yield from self._start_tls(self._stream)
        if failure is None and self._settings.bind is not None:
            failure = yield from self._bind(self._settings.bind)
        return failure

    def send(self, request: Request) -> int:
        """Send a request and return its message id."""
        stream = self._open_stream()
        message_id, data = self._session.send(request)
        stream.write(data)
        return message_id

    def receive(self, until: float) -> Generator[Wait, int, list[Message] | ConnectionFailure]:
        """Return received messages or the failure of the connection.

        The list is empty if the time ``until`` (in milliseconds) was reached or the task was woken.
        """
        stream = self._open_stream()
        if self._session.state is SessionState.CLOSED:
            return self._failure
        data = yield from stream.read(until)
        if isinstance(data, Failure):
            return ConnectionFailure(data.progress, data.reason)
        messages: list[Message] = []
        for item in self._session.receive(data):
            if isinstance(item, SessionEnded):
                # Messages received before the end are returned first; the next call returns the failure.
                self._failure = _failure_from(item)
                return messages or self._failure
            messages.append(item)
        return messages

    def close(self) -> None:
        """Send an unbind request if the session state allows it, and close the connection."""
        stream = self._stream
        self._stream = None
        if stream is None:
            return
        if self._session.state is SessionState.READY:
            stream.write(self._session.send(UnbindRequest()).data)
        stream.close()

    def _open_stream(self) -> Stream:
        if self._stream is None:
            raise RuntimeError("the connection is not open")
        return self._stream

    def _perform_tls_handshake(self, stream: Stream) -> Generator[Wait, int, ConnectionFailure | None]:
        context = self._settings.tls_context
        if context is None:
            return ConnectionFailure(
                Progress.SENT, "TLS: no TLS context is configured", Reaction.NEEDS_OPERATOR
            )
        name = self._settings.server_name or self.url.host
        failure = yield from stream.secure(context, name, self._bind_deadline())
        if failure is None:
            return None
        bad_certificate = failure.reason.startswith("certificate")
        reaction = Reaction.NEEDS_OPERATOR if bad_certificate else Reaction.FAIL_OVER
        return ConnectionFailure(failure.progress, failure.reason, reaction)

    def _start_tls(self, stream: Stream) -> Generator[Wait, int, ConnectionFailure | None]:
        message_id = self.send(ExtendedRequest(START_TLS_OID))
        response = yield from self._receive_response(message_id, "StartTLS")
        if isinstance(response, ConnectionFailure):
            return response
        code = response.result.result_code if isinstance(response, ExtendedResponse) else NO_RESULT_CODE
        if code != ResultCode.SUCCESS:
            return ConnectionFailure(
                Progress.REPLY_BEGUN, f"StartTLS: result code {code}", Reaction.NEEDS_OPERATOR
            )
        failure = yield from self._perform_tls_handshake(stream)
        if failure is None:
            self._session.complete_tls_handshake()
        return failure

    def _bind(
        self, request: SimpleBindRequest | ExternalBindRequest
    ) -> Generator[Wait, int, ConnectionFailure | None]:
        message_id = self.send(request)
        response = yield from self._receive_response(message_id, "bind")
        if isinstance(response, ConnectionFailure):
            return response
        code = response.result.result_code if isinstance(response, BindResponse) else NO_RESULT_CODE
        if code != ResultCode.SUCCESS:
            return ConnectionFailure(Progress.REPLY_BEGUN, f"bind: result code {code}", reaction_to(code))
        return None

    def _bind_deadline(self) -> float:
        return self._loop.clock.now() + self._settings.bind_timeout_ms

    def _receive_response(
        self, message_id: int, operation: str
    ) -> Generator[Wait, int, Response | ConnectionFailure]:
        """Return the response to the request just sent, or a failure if none arrives in time."""
        deadline = self._bind_deadline()
        while self._loop.clock.now() < deadline:
            received = yield from self.receive(deadline)
            if isinstance(received, ConnectionFailure):
                reason = f"{operation}: {received.reason}"
                return ConnectionFailure(received.progress, reason, received.reaction)
            for message in received:
                if message.message_id == message_id:
                    return message.response
        return ConnectionFailure(Progress.SENT, f"{operation}: timed out waiting for the response")


def _failure_from(ended: SessionEnded) -> ConnectionFailure:
    # A notice of disconnection means that the server shuts down, whatever its result code, except for the
    # codes that reject this client (RFC 4511, section 4.4.1).
    code = ended.notice.result_code if ended.notice is not None else None
    needs_operator = code in CLIENT_REJECTED_CODES
    reaction = Reaction.NEEDS_OPERATOR if needs_operator else Reaction.FAIL_OVER
    return ConnectionFailure(Progress.REPLY_BEGUN, ended.reason, reaction)
