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

OPEN_MAX = 64  # operations open on one connection
ABANDONED_MAX = 256  # given up, whose answers may still come
IDS_MAX = 2**31 - 1


class State(Enum):
    """Where the connection stands; see the table above."""

    FRESH = 0
    SECURING = 1
    TLS = 2
    BINDING = 3
    CLOSED = 4


class StateError(Exception):
    """A request that the table does not allow here."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The server broke the protocol, or told that it closes; the connection is of no further use."""

    reason: str
    notice: m.Result | None = None  # what a notice of disconnection said


_ANSWERS: dict[type, tuple[type, ...]] = {
    m.Bind: (m.BindDone,),
    m.BindExternal: (m.BindDone,),
    m.Search: (m.Entry, m.Reference, m.SearchDone, m.Intermediate),
    m.Extended: (m.ExtendedDone, m.Intermediate),
}
_LAST = (m.BindDone, m.SearchDone, m.ExtendedDone)


class Session:
    """Numbers what is sent, matches what comes, and buffers no more than one bounded message."""

    def __init__(self, bounds: Bounds | None = None) -> None:
        self.bounds = bounds or Bounds()
        self.state = State.FRESH
        self._open: dict[int, type] = {}
        self._abandoned: OrderedDict[int, None] = OrderedDict()
        self._last = 0
        self._buffer = bytearray()

    def send(self, request: m.Request) -> tuple[int, bytes]:
        """A request's number and bytes."""
        if self.state is not State.FRESH:
            raise StateError(f"{type(request).__name__} while {self.state.name}")
        kind = type(request)
        if isinstance(request, m.Bind | m.BindExternal):
            if self._open:
                raise StateError("a bind while operations are open")
            self.state = State.BINDING
        elif isinstance(request, m.Extended) and request.oid == m.START_TLS_OID:
            if self._open:
                raise StateError("StartTLS while operations are open")
            self.state = State.SECURING
        if kind in _ANSWERS and len(self._open) >= OPEN_MAX:
            raise StateError(f"more than {OPEN_MAX} operations open")
        number = self._last = self._last % IDS_MAX + 1
        data = m.encode(number, request)
        if kind in _ANSWERS:
            self._open[number] = kind
        elif isinstance(request, m.Abandon) and request.message_id in self._open:
            del self._open[request.message_id]
            self._abandoned[request.message_id] = None
            while len(self._abandoned) > ABANDONED_MAX:
                self._abandoned.popitem(last=False)
        elif isinstance(request, m.Unbind):
            self.state = State.CLOSED
        return number, data

    def receive(self, data: bytes) -> list[m.Message | Broken]:
        """What came, in order; after a Broken the session is closed."""
        if self.state is State.CLOSED:
            return []
        self._buffer += data
        out: list[m.Message | Broken] = []
        at = 0
        view = bytes(self._buffer)
        try:
            while at < len(view):
                if self.state is State.TLS:
                    raise MalformedError("clear text behind the answer to StartTLS")
                length = frame_length(view[at : at + 6], self.bounds)
                if length is None or at + length > len(view):
                    break
                message = m.decode(view[at : at + length], self.bounds)
                at += length
                broken = self._take(message)
                if broken is not None:
                    return [*out, self._close(broken)]
                if message.id in self._abandoned:
                    if isinstance(message.op, _LAST):
                        del self._abandoned[message.id]
                else:
                    out.append(message)
        except MalformedError as error:
            return [*out, self._close(Broken(str(error)))]
        del self._buffer[:at]
        return out

    def secured(self) -> None:
        """The stream is wrapped: the protocol starts over on it."""
        if self.state is not State.TLS:
            raise StateError("nothing was to be secured")
        self.state = State.FRESH

    @property
    def buffered(self) -> int:
        """Bytes of a message that is not whole yet."""
        return len(self._buffer)

    def _close(self, broken: Broken) -> Broken:
        self.state = State.CLOSED
        self._buffer.clear()
        self._open.clear()
        return broken

    def _take(self, message: m.Message) -> Broken | None:
        number, op = message.id, message.op
        if number == 0:
            if isinstance(op, m.ExtendedDone) and op.oid == m.NOTICE_OID:
                return Broken(f"notice of disconnection, code {op.result.code}", op.result)
            return Broken("an unsolicited message of no known kind")
        if number in self._abandoned:
            return None
        kind = self._open.get(number)
        if kind is None:
            return Broken(f"an answer under number {number}, where nothing was asked")
        if not isinstance(op, _ANSWERS[kind]):
            return Broken(f"{type(op).__name__} answers a {kind.__name__}")
        if isinstance(op, _LAST):
            del self._open[number]
            if self.state is State.BINDING:
                self.state = State.FRESH
            elif self.state is State.SECURING:
                self.state = State.TLS if op.result.code == 0 else State.FRESH
        return None
