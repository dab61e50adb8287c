"""One LDAP connection as a state machine, sans I/O: requests to bytes, bytes to messages.

    state      what may be sent                    what ends it
    FRESH      bind, StartTLS, search, ...         bind -> BINDING, StartTLS -> SECURING
    SECURING   nothing                             its answer: success -> TLS (the caller wraps the stream,
                                                   then ``secured`` -> FRESH), other -> FRESH
    TLS        nothing                             ``secured``; a byte of clear text -> CLOSED
    BINDING    nothing (RFC 4511, section 4.2.1)   its answer -> FRESH
    CLOSED     nothing                             unbind, a notice of disconnection, or any breach

What is not in the table raises StateError: a mistake of ours. What the server gets wrong is a
``Broken`` value, after which nothing more is read: where the next message starts can't be known.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from snowthread.ldap import messages as m
from snowthread.ldap.ber import Bounds, MalformedError, frame_length

MAX_OPEN_OPERATIONS = 64  # operations open on one connection
MAX_ABANDONED_OPERATIONS = 256  # given up, whose answers may still come
MAX_MESSAGE_ID = 2**31 - 1


class SessionState(Enum):
    """Where the connection stands; see the table above."""

    READY = 0
    START_TLS_SENT = 1
    HANDSHAKE = 2
    BINDING = 3
    CLOSED = 4


class SessionStateError(Exception):
    """A request that the table does not allow here."""


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """The server broke the protocol, or told that it closes; the connection is of no further use."""

    reason: str
    notice: m.LdapResult | None = None  # what a notice of disconnection said


_EXPECTED_RESPONSES: dict[type, tuple[type, ...]] = {
    m.SimpleBindRequest: (m.BindResponse,),
    m.ExternalBindRequest: (m.BindResponse,),
    m.SearchRequest: (
        m.SearchResultEntry,
        m.SearchResultReference,
        m.SearchResultDone,
        m.IntermediateResponse,
    ),
    m.ExtendedRequest: (m.ExtendedResponse, m.IntermediateResponse),
}
_FINAL_RESPONSES = (m.BindResponse, m.SearchResultDone, m.ExtendedResponse)


class Session:
    """Numbers what is sent, matches what comes, and buffers no more than one bounded message."""

    def __init__(self, bounds: Bounds | None = None) -> None:
        self.bounds = bounds or Bounds()
        self.state = SessionState.READY
        self._open: dict[int, type] = {}
        self._abandoned: OrderedDict[int, None] = OrderedDict()
        self._last_message_id = 0
        self._buffer = bytearray()

    def send(self, request: m.Request) -> tuple[int, bytes]:
        """A request's number and bytes."""
        if self.state is not SessionState.READY:
            raise SessionStateError(f"{type(request).__name__} while {self.state.name}")
        kind = type(request)
        if isinstance(request, m.SimpleBindRequest | m.ExternalBindRequest):
            if self._open:
                raise SessionStateError("a bind while operations are open")
            self.state = SessionState.BINDING
        elif isinstance(request, m.ExtendedRequest) and request.oid == m.START_TLS_OID:
            if self._open:
                raise SessionStateError("StartTLS while operations are open")
            self.state = SessionState.START_TLS_SENT
        if kind in _EXPECTED_RESPONSES and len(self._open) >= MAX_OPEN_OPERATIONS:
            raise SessionStateError(f"more than {MAX_OPEN_OPERATIONS} operations open")
        number = self._last_message_id = self._last_message_id % MAX_MESSAGE_ID + 1
        data = m.encode(number, request)
        if kind in _EXPECTED_RESPONSES:
            self._open[number] = kind
        elif isinstance(request, m.AbandonRequest) and request.message_id in self._open:
            del self._open[request.message_id]
            self._abandoned[request.message_id] = None
            while len(self._abandoned) > MAX_ABANDONED_OPERATIONS:
                self._abandoned.popitem(last=False)
        elif isinstance(request, m.UnbindRequest):
            self.state = SessionState.CLOSED
        return number, data

    def receive(self, data: bytes) -> list[m.Message | SessionEnded]:
        """What came, in order; after a Broken the session is closed."""
        if self.state is SessionState.CLOSED:
            return []
        self._buffer += data
        out: list[m.Message | SessionEnded] = []
        at = 0
        view = bytes(self._buffer)
        try:
            while at < len(view):
                if self.state is SessionState.HANDSHAKE:
                    raise MalformedError("clear text behind the answer to StartTLS")
                length = frame_length(view[at : at + 6], self.bounds)
                if length is None or at + length > len(view):
                    break
                message = m.decode(view[at : at + length], self.bounds)
                at += length
                broken = self._account_response(message)
                if broken is not None:
                    return [*out, self._close(broken)]
                if message.message_id in self._abandoned:
                    if isinstance(message.response, _FINAL_RESPONSES):
                        del self._abandoned[message.message_id]
                else:
                    out.append(message)
        except MalformedError as error:
            return [*out, self._close(SessionEnded(str(error)))]
        del self._buffer[:at]
        return out

    def mark_secured(self) -> None:
        """The stream is wrapped: the protocol starts over on it."""
        if self.state is not SessionState.HANDSHAKE:
            raise SessionStateError("nothing was to be secured")
        self.state = SessionState.READY

    @property
    def buffered_bytes(self) -> int:
        """Bytes of a message that is not whole yet."""
        return len(self._buffer)

    def _close(self, broken: SessionEnded) -> SessionEnded:
        self.state = SessionState.CLOSED
        self._buffer.clear()
        self._open.clear()
        return broken

    def _account_response(self, message: m.Message) -> SessionEnded | None:
        number, op = message.message_id, message.response
        if number == 0:
            if isinstance(op, m.ExtendedResponse) and op.oid == m.NOTICE_OF_DISCONNECTION_OID:
                return SessionEnded(f"notice of disconnection, code {op.result.code}", op.result)
            return SessionEnded("an unsolicited message of no known kind")
        if number in self._abandoned:
            return None
        kind = self._open.get(number)
        if kind is None:
            return SessionEnded(f"an answer under number {number}, where nothing was asked")
        if not isinstance(op, _EXPECTED_RESPONSES[kind]):
            return SessionEnded(f"{type(op).__name__} answers a {kind.__name__}")
        if isinstance(op, _FINAL_RESPONSES):
            del self._open[number]
            if self.state is SessionState.BINDING:
                self.state = SessionState.READY
            elif self.state is SessionState.START_TLS_SENT:
                self.state = SessionState.HANDSHAKE if op.result.code == 0 else SessionState.READY
        return None
