"""The state of one LDAP connection, sans I/O: requests to bytes, bytes to messages.

| state          | what may be sent          | what ends it                                          |
| -------------- | ------------------------- | ----------------------------------------------------- |
| READY          | every request             | bind: BINDING; StartTLS: START_TLS_SENT               |
| START_TLS_SENT | nothing                   | its response: success: HANDSHAKE, else READY          |
| HANDSHAKE      | nothing                   | ``mark_secured``: READY; a byte of clear text: CLOSED |
| BINDING        | nothing (RFC 4511, 4.2.1) | its response: READY                                   |
| CLOSED         | nothing                   | -                                                     |

Any state becomes CLOSED by an unbind, a notice of disconnection or an error in the protocol. A request that
the table does not allow raises SessionStateError: an error of this program. An error of the server is a
``SessionEnded`` value, after which nothing more is read: where the next message starts can't be known.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from snowthread.ldap.ber import MalformedMessageError, MessageLimits, frame_length
from snowthread.ldap.message_codec import decode, encode
from snowthread.ldap.messages import (
    NOTICE_OF_DISCONNECTION_OID,
    START_TLS_OID,
    AbandonRequest,
    BindResponse,
    ExtendedRequest,
    ExtendedResponse,
    ExternalBindRequest,
    IntermediateResponse,
    LdapResult,
    Message,
    Request,
    SearchRequest,
    SearchResultDone,
    SearchResultEntry,
    SearchResultReference,
    SimpleBindRequest,
    UnbindRequest,
)
from snowthread.ldap.result_codes import ResultCode

MAX_OPEN_OPERATIONS = 64
MAX_ABANDONED_OPERATIONS = 256  # whose responses may still arrive
MAX_MESSAGE_ID = 2**31 - 1  # RFC 4511, section 4.1.1
MAX_HEAD_BYTES = 6  # of a frame: the tag and the longest length that is read
UNSOLICITED = 0  # the message id of notifications (RFC 4511, section 4.4)


class SessionState(Enum):
    """A state of the table above."""

    READY = 0
    START_TLS_SENT = 1
    HANDSHAKE = 2
    BINDING = 3
    CLOSED = 4


class SessionStateError(Exception):
    """A request that the table does not allow in this state."""


class EncodedRequest(NamedTuple):
    """A request's message id and bytes."""

    message_id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """The server made an error in the protocol or sent a notice of disconnection."""

    reason: str
    notice: LdapResult | None = None  # of a notice of disconnection


_EXPECTED_RESPONSES: dict[type, tuple[type, ...]] = {
    SimpleBindRequest: (BindResponse,),
    ExternalBindRequest: (BindResponse,),
    SearchRequest: (SearchResultEntry, SearchResultReference, SearchResultDone, IntermediateResponse),
    ExtendedRequest: (ExtendedResponse, IntermediateResponse),
}
_FINAL_RESPONSES = (BindResponse, SearchResultDone, ExtendedResponse)


class Session:
    """Numbers requests, matches responses, and buffers no more than one bounded message."""

    def __init__(self, limits: MessageLimits | None = None) -> None:
        self.limits = limits or MessageLimits()
        self.state = SessionState.READY
        self._open: dict[int, type] = {}  # message id -> type of the request
        self._abandoned: OrderedDict[int, None] = OrderedDict()
        self._last_message_id = 0
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """The bytes of a message that is not complete yet."""
        return len(self._buffer)

    def send(self, request: Request) -> EncodedRequest:
        """Return a request's message id and bytes; SessionStateError if it may not be sent now."""
        self._check_may_send(request)
        message_id = self._last_message_id % MAX_MESSAGE_ID + 1
        self._last_message_id = message_id
        data = encode(message_id, request)
        if type(request) in _EXPECTED_RESPONSES:
            self._open[message_id] = type(request)
        match request:
            case SimpleBindRequest() | ExternalBindRequest():
                self.state = SessionState.BINDING
            case ExtendedRequest(request_name=name) if name == START_TLS_OID:
                self.state = SessionState.START_TLS_SENT
            case AbandonRequest(message_id=abandoned_id) if abandoned_id in self._open:
                self._abandon(abandoned_id)
            case UnbindRequest():
                self.state = SessionState.CLOSED
        return EncodedRequest(message_id, data)

    def receive(self, data: bytes) -> list[Message | SessionEnded]:
        """Return the messages that are complete, in order; after a SessionEnded the session is closed."""
        if self.state is SessionState.CLOSED:
            return []
        self._buffer += data
        received: list[Message | SessionEnded] = []
        position = 0
        view = bytes(self._buffer)
        try:
            while position < len(view):
                frame = self._next_frame(view, position)
                if frame is None:
                    break
                message = decode(frame, self.limits)
                position += len(frame)
                ended = self._match_response(message)
                if ended is not None:
                    return [*received, self._close(ended)]
                if not self._is_abandoned(message):
                    received.append(message)
        except MalformedMessageError as error:
            return [*received, self._close(SessionEnded(str(error)))]
        del self._buffer[:position]
        return received

    def mark_secured(self) -> None:
        """Record that the TLS handshake is done: the protocol starts over on the secured stream.

        Raises:
            SessionStateError: No response to StartTLS has asked for a handshake.
        """
        if self.state is not SessionState.HANDSHAKE:
            raise SessionStateError("nothing was to be secured")
        self.state = SessionState.READY

    def _next_frame(self, data: bytes, position: int) -> bytes | None:
        """Return the complete message at a position, or None if some of it is still to come.

        Raises:
            MalformedMessageError: Clear text arrived between the StartTLS response and the TLS handshake.
        """
        if self.state is SessionState.HANDSHAKE:
            raise MalformedMessageError("clear text behind the response to StartTLS")
        length = frame_length(data[position : position + MAX_HEAD_BYTES], self.limits)
        if length is None or position + length > len(data):
            return None
        return data[position : position + length]

    def _check_may_send(self, request: Request) -> None:
        if self.state is not SessionState.READY:
            raise SessionStateError(f"{type(request).__name__} while {self.state.name}")
        if self._open and isinstance(request, SimpleBindRequest | ExternalBindRequest):
            raise SessionStateError("a bind while operations are open")
        if self._open and isinstance(request, ExtendedRequest) and request.request_name == START_TLS_OID:
            raise SessionStateError("StartTLS while operations are open")
        if type(request) in _EXPECTED_RESPONSES and len(self._open) >= MAX_OPEN_OPERATIONS:
            raise SessionStateError(f"more than {MAX_OPEN_OPERATIONS} operations open")

    def _abandon(self, message_id: int) -> None:
        del self._open[message_id]
        self._abandoned[message_id] = None
        while len(self._abandoned) > MAX_ABANDONED_OPERATIONS:
            self._abandoned.popitem(last=False)

    def _is_abandoned(self, message: Message) -> bool:
        """Return whether the message belongs to an abandoned operation, and forget that with its last one."""
        if message.message_id not in self._abandoned:
            return False
        if isinstance(message.response, _FINAL_RESPONSES):
            del self._abandoned[message.message_id]
        return True

    def _match_response(self, message: Message) -> SessionEnded | None:
        """Match a response with its request, and change the state if it is the final one."""
        message_id = message.message_id
        response = message.response
        if message_id == UNSOLICITED:
            return _session_end_from(message)
        if message_id in self._abandoned:
            return None
        request_type = self._open.get(message_id)
        if request_type is None:
            return SessionEnded(f"a response with id {message_id} to no open request")
        if not isinstance(response, _EXPECTED_RESPONSES[request_type]):
            return SessionEnded(f"{type(response).__name__} answers a {request_type.__name__}")
        if isinstance(response, _FINAL_RESPONSES):
            del self._open[message_id]
            if self.state is SessionState.BINDING:
                self.state = SessionState.READY
            elif self.state is SessionState.START_TLS_SENT:
                accepted = response.result.result_code == ResultCode.SUCCESS
                self.state = SessionState.HANDSHAKE if accepted else SessionState.READY
        return None

    def _close(self, ended: SessionEnded) -> SessionEnded:
        self.state = SessionState.CLOSED
        self._buffer.clear()
        self._open.clear()
        return ended


def _session_end_from(message: Message) -> SessionEnded:
    response = message.response
    if isinstance(response, ExtendedResponse) and response.response_name == NOTICE_OF_DISCONNECTION_OID:
        return SessionEnded(f"notice of disconnection, code {response.result.result_code}", response.result)
    return SessionEnded("an unsolicited message of no known kind")
