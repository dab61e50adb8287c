"""The database's protocol: HTTP/1.1 calls and replies, and what they mean. Sans-I/O."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from snowthread.admission.settings import Outcome
from snowthread.core import effects
from snowthread.net.attempt import Failure, Progress

MAX_HEAD_BYTES = 8 * 1024  # of all heads before one reply's body
MAX_REPLY_BYTES = 64 * 1024  # of a body, announced or received: a longer one is cut off

# HTTP statuses as plain numbers: a lookup in http.HTTPStatus costs as much as a call, several times a reply.
STATUS_OK = 200  # those below are interim
STATUS_CONFLICT = 409
STATUS_SERVICE_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504


@dataclass(frozen=True, slots=True)
class DatabaseReply:
    """A complete reply."""

    status: int
    overloaded: bool  # the database shed this call
    body: bytes


def outcome_of(result: DatabaseReply | Failure) -> Outcome:
    """Return what the end of a call means; only what proves that nothing ran may say so."""
    if isinstance(result, Failure):
        if result.progress is Progress.NOT_CONNECTED:
            return Outcome.UNREACHABLE
        return Outcome.TIMED_OUT if result.timed_out else Outcome.DISCONNECTED
    if result.status == STATUS_OK:
        return Outcome.SUCCESS
    if result.overloaded and result.status == STATUS_SERVICE_UNAVAILABLE:
        return Outcome.OVERLOADED
    if result.overloaded and result.status == STATUS_CONFLICT:
        return Outcome.NOT_STARTED
    return Outcome.TIMED_OUT if result.status == STATUS_GATEWAY_TIMEOUT else Outcome.FAILURE


def encode(call: effects.StartCall, host: str, time_left_ms: float) -> bytes:
    """Return the bytes of a call."""
    return (
        f"POST /lookup HTTP/1.1\r\nHost: {host}\r\nX-Parent-Id: {call.attempt_id}\r\n"
        f"X-Budget-Ms: {max(1, round(time_left_ms))}\r\nContent-Length: {len(call.body)}\r\n\r\n"
    ).encode() + call.body


class ResponseReader:
    """Reads one reply.

    A complete reply is valid whatever follows it. What follows only makes the connection unusable, because it
    would be read as the reply to the next call.
    """

    def __init__(self) -> None:
        self.reply: DatabaseReply | None = None
        self.failure: str | None = None  # why there will be no reply
        self.has_surplus = False  # bytes followed the reply
        self.closes = False  # the database will close the connection
        self._parser = httptools.HttpResponseParser(self)
        self._head_bytes = 0
        self._status = 0  # 0 until the head is read
        self._is_shed = False
        self._has_length = False
        self._body = bytearray()

    def feed(self, data: bytes) -> None:
        """Read bytes; afterwards ``reply`` or ``failure`` may be set."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.reply is not None:
                self.has_surplus = True
            elif self.failure is None:
                self.failure = f"not a reply: {error}"
        if not self._status:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES and self.failure is None:
                self.failure = "a head above the limit"

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a head: of an interim response, of the reply, or of what follows it."""
        if self.reply is not None:
            self.has_surplus = True
        self._status = 0
        self._is_shed = False
        self._has_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read the fields that matter here."""
        match name.lower():
            case b"x-shed":
                self._is_shed = value == b"1"
            case b"content-length":
                self._has_length = True
                if int(value) > MAX_REPLY_BYTES:  # the parser has checked the digits
                    self.failure = "a reply above the limit"
            case b"transfer-encoding":
                self._has_length = True

    def on_headers_complete(self) -> None:
        """Check that the end of the reply can be recognised."""
        self._status = self._parser.get_status_code()
        if self._status >= STATUS_OK and not self._has_length and self.failure is None:
            self.failure = "a reply without a length: a truncated one would look complete"
        self.closes = not self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        if self.reply is None and self.failure is None:
            self._body += body
            if len(self._body) > MAX_REPLY_BYTES:
                self.failure = "a reply above the limit"

    def on_message_complete(self) -> None:
        """Set the reply, unless this was an interim response (1xx)."""
        if self.reply is None and self.failure is None and self._status >= STATUS_OK:
            self.reply = DatabaseReply(self._status, self._is_shed, bytes(self._body))
