"""The protocol state of one LDAP connection, without I/O: encodes requests and decodes responses.

| state          | requests allowed          | event: next state                                       |
| -------------- | ------------------------- | ------------------------------------------------------- |
| READY          | all, within limits        | bind: BINDING; StartTLS: START_TLS_SENT                 |
| START_TLS_SENT | none                      | StartTLS response: success: TLS_HANDSHAKE, else READY   |
| TLS_HANDSHAKE  | none                      | handshake complete: READY; a byte of clear text: CLOSED |
| BINDING        | none (RFC 4511, 4.2.1)    | bind response: READY                                    |
| CLOSED         | none                      | -                                                       |

In READY, bind and StartTLS are allowed only while no operation is open, and a request that expects a response
only while fewer than ``MAX_OPEN_OPERATIONS`` operations are open.

An unbind request, a notice of disconnection or a protocol error changes any state to CLOSED. A request that
the state does not allow raises SessionStateError, since it is an error in this program. A protocol error of
the server is reported as a ``SessionEnded`` value. Nothing is read after it, because the start of the next
message is unknown.
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
MAX_ABANDONED_OPERATIONS = 256  # abandoned operations whose late responses are recognised
MAX_MESSAGE_ID = 2**31 - 1  # RFC 4511, section 4.1.1
MAX_HEAD_BYTES = 6  # the tag and the longest allowed length of a message
UNSOLICITED = 0  # the message id of notifications (RFC 4511, section 4.4)


class SessionState(Enum):
    """The protocol state of a connection."""

    READY = 0
    START_TLS_SENT = 1
    TLS_HANDSHAKE = 2
    BINDING = 3
    CLOSED = 4


class SessionStateError(Exception):
    """A request or call is not allowed in the current state of the session."""


class EncodedRequest(NamedTuple):
    """An encoded request and its message id."""

    message_id: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """The session ended by a protocol error of the server or by a notice of disconnection."""

    reason: str
    notice: LdapResult | None = None  # the result in a notice of disconnection


_EXPECTED_RESPONSES: dict[type, tuple[type, ...]] = {
    SimpleBindRequest: (BindResponse,),
    ExternalBindRequest: (BindResponse,),
    SearchRequest: (SearchResultEntry, SearchResultReference, SearchResultDone, IntermediateResponse),
    ExtendedRequest: (ExtendedResponse, IntermediateResponse),
}
_FINAL_RESPONSES = (BindResponse, SearchResultDone, ExtendedResponse)


class Session:
    """Assigns message ids, matches responses to requests and buffers at most one incomplete message."""

    def __init__(self, limits: MessageLimits | None = None) -> None:
        self.limits = limits or MessageLimits()
        self.state = SessionState.READY
        self._open_requests: dict[int, type] = {}  # message id to the type of the request
        self._abandoned: OrderedDict[int, None] = OrderedDict()
        self._last_message_id = 0
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """The number of buffered bytes of an incomplete message."""
        return len(self._buffer)

    def send(self, request: Request) -> EncodedRequest:
        """Encode a request and assign its message id.

        A request that the state does not allow is a SessionStateError.
        """
        self._check_may_send(request)
        message_id = self._last_message_id % MAX_MESSAGE_ID + 1
        self._last_message_id = message_id
        data = encode(message_id, request)
        if type(request) in _EXPECTED_RESPONSES:
            self._open_requests[message_id] = type(request)
        match request:
            case SimpleBindRequest() | ExternalBindRequest():
                self.state = SessionState.BINDING
            case ExtendedRequest(request_name=name) if name == START_TLS_OID:
                self.state = SessionState.START_TLS_SENT
            case AbandonRequest(message_id=abandoned_id) if abandoned_id in self._open_requests:
                self._abandon(abandoned_id)
            case UnbindRequest():
                self.state = SessionState.CLOSED
        return EncodedRequest(message_id, data)

    def receive(self, data: bytes) -> list[Message | SessionEnded]:
        """Return the messages completed by ``data``, in order; a SessionEnded is the last item."""
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

    def complete_tls_handshake(self) -> None:
        """Record that the TLS handshake is complete, so that requests may be sent on the secured stream.

        Raises:
            SessionStateError: No successful StartTLS response preceded the handshake.
        """
        if self.state is not SessionState.TLS_HANDSHAKE:
            raise SessionStateError("no TLS handshake is in progress")
        self.state = SessionState.READY

    def _next_frame(self, data: bytes, position: int) -> bytes | None:
        """Return the complete message at a position, or None if the message is incomplete.

        Raises:
            MalformedMessageError: Clear text arrived between the StartTLS response and the TLS handshake.
        """
        if self.state is SessionState.TLS_HANDSHAKE:
            raise MalformedMessageError("clear text after the StartTLS response")
        length = frame_length(data[position : position + MAX_HEAD_BYTES], self.limits)
        if length is None or position + length > len(data):
            return None
        return data[position : position + length]

    def _check_may_send(self, request: Request) -> None:
        if self.state is not SessionState.READY:
            raise SessionStateError(f"{type(request).__name__} is not allowed in state {self.state.name}")
        if self._open_requests and isinstance(request, SimpleBindRequest | ExternalBindRequest):
            raise SessionStateError("bind is not allowed while operations are open")
        if (
            self._open_requests
            and isinstance(request, ExtendedRequest)
            and request.request_name == START_TLS_OID
        ):
            raise SessionStateError("StartTLS is not allowed while operations are open")
        if type(request) in _EXPECTED_RESPONSES and len(self._open_requests) >= MAX_OPEN_OPERATIONS:
            raise SessionStateError(f"{MAX_OPEN_OPERATIONS} operations are open already")

    def _abandon(self, message_id: int) -> None:
        del self._open_requests[message_id]
        self._abandoned[message_id] = None
        while len(self._abandoned) > MAX_ABANDONED_OPERATIONS:
            self._abandoned.popitem(last=False)

    def _is_abandoned(self, message: Message) -> bool:
        """Return whether a message belongs to an abandoned operation; the last one ends that operation."""
        if message.message_id not in self._abandoned:
            return False
        if isinstance(message.response, _FINAL_RESPONSES):
            del self._abandoned[message.message_id]
        return True

    def _match_response(self, message: Message) -> SessionEnded | None:
        """Match a response to its request and update the state; return the end of the session, if it ends."""
        message_id = message.message_id
        response = message.response
        if message_id == UNSOLICITED:
            return _session_end_from(message)
        if message_id in self._abandoned:
            return None
        request_type = self._open_requests.get(message_id)
        if request_type is None:
            return SessionEnded(f"response with message id {message_id}, which has no open request")
        if not isinstance(response, _EXPECTED_RESPONSES[request_type]):
            return SessionEnded(f"received {type(response).__name__} in response to {request_type.__name__}")
        if isinstance(response, _FINAL_RESPONSES):
            del self._open_requests[message_id]
            if self.state is SessionState.BINDING:
                self.state = SessionState.READY
            elif self.state is SessionState.START_TLS_SENT:
                accepted = response.result.result_code == ResultCode.SUCCESS
                self.state = SessionState.TLS_HANDSHAKE if accepted else SessionState.READY
        return None

    def _close(self, ended: SessionEnded) -> SessionEnded:
        self.state = SessionState.CLOSED
        self._buffer.clear()
        self._open_requests.clear()
        return ended


def _session_end_from(message: Message) -> SessionEnded:
    response = message.response
    if isinstance(response, ExtendedResponse) and response.response_name == NOTICE_OF_DISCONNECTION_OID:
        return SessionEnded(
            f"notice of disconnection, result code {response.result.result_code}", response.result
        )
    return SessionEnded("unknown unsolicited notification")
