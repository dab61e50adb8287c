"""The protocol of the formula database: HTTP/1.1 calls and replies, and the outcome of a call. Sans-I/O."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from snowthread.admission.settings import Outcome
from snowthread.core import effects
from snowthread.net.attempt import Failure, Progress

MAX_HEAD_BYTES = 8 * 1024  # total size of the headers of a reply, including those of interim responses
MAX_REPLY_BYTES = 64 * 1024  # size of a reply body, announced or received; longer replies are not accepted

# HTTP statuses are plain numbers because a lookup in http.HTTPStatus costs as much as a function call, and
# each reply takes several.
STATUS_OK = 200  # lower statuses belong to interim responses
STATUS_CONFLICT = 409
STATUS_SERVICE_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504


@dataclass(frozen=True, slots=True)
class DatabaseReply:
    """A complete reply of the database."""

    status: int
    overloaded: bool  # whether the database rejected the call because of overload
    body: bytes


def outcome_of(result: DatabaseReply | Failure) -> Outcome:
    """Return the outcome of a call.

    An outcome that says that the call was never run is returned only where that is proven, or where the call
    may safely run again: if a reused connection breaks (see :meth:`.DatabaseConnection.exchange`).
    """
    if isinstance(result, Failure):
        if result.progress is Progress.NOT_CONNECTED:
            return Outcome.UNREACHABLE
        return Outcome.TIMED_OUT if result.timed_out else Outcome.DISCONNECTED
    if result.status == STATUS_OK:
        return Outcome.SUCCESS
    if result.overloaded and result.status == STATUS_SERVICE_UNAVAILABLE:
        return Outcome.OVERLOADED
    # A conflict with the overload mark means that the database did not run the call.
    if result.overloaded and result.status == STATUS_CONFLICT:
        return Outcome.NOT_STARTED
    return Outcome.TIMED_OUT if result.status == STATUS_GATEWAY_TIMEOUT else Outcome.FAILURE


def encode(call: effects.StartCall, host: str, time_left_ms: float) -> bytes:
    """Return the HTTP request of a call; it announces at least 1 ms of time left."""
    return (
        f"POST /lookup HTTP/1.1\r\nHost: {host}\r\nX-Parent-Id: {call.attempt_id}\r\n"
        f"X-Budget-Ms: {max(1, round(time_left_ms))}\r\nContent-Length: {len(call.body)}\r\n\r\n"
    ).encode() + call.body


class ResponseReader:
    """Parses the reply to one call from chunks of bytes.

    A complete reply is valid whatever bytes follow it. Such bytes only make the connection unusable, because
    they would be read as the reply to the next call.
    """

    def __init__(self) -> None:
        self.reply: DatabaseReply | None = None
        self.failure: str | None = None  # why the reply is invalid
        self.has_surplus = False  # whether more bytes followed the reply
        self.closes_connection = False  # whether the database announced that it closes the connection
        self._parser = httptools.HttpResponseParser(self)
        self._head_bytes = 0
        self._status = 0  # 0 until the headers of the current response are complete
        self._is_overloaded = False
        self._has_length = False
        self._body = bytearray()

    def feed(self, data: bytes) -> None:
        """Parse bytes; this may set ``reply`` or ``failure``."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self.reply is not None:
                self.has_surplus = True
            elif self.failure is None:
                self.failure = f"invalid reply: {error}"
        if not self._status:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES and self.failure is None:
                self.failure = "reply headers exceed the size limit"

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Start a response: an interim response, the reply, or a surplus response that follows the reply."""
        if self.reply is not None:
            self.has_surplus = True
        self._status = 0
        self._is_overloaded = False
        self._has_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read the header fields that the client uses."""
        match name.lower():
            case b"x-shed":
                self._is_overloaded = value == b"1"
            case b"content-length":
                self._has_length = True
                if int(value) > MAX_REPLY_BYTES:  # the parser has checked that the value is a number
                    self.failure = "reply body exceeds the size limit"
            case b"transfer-encoding":
                self._has_length = True

    def on_headers_complete(self) -> None:
        """Check that the headers define the end of the reply body."""
        self._status = self._parser.get_status_code()
        if self._status >= STATUS_OK and not self._has_length and self.failure is None:
            self.failure = "reply has no length, so a truncated body would look complete"
        self.closes_connection = not self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of the reply body."""
        if self.reply is None and self.failure is None:
            self._body += body
            if len(self._body) > MAX_REPLY_BYTES:
                self.failure = "reply body exceeds the size limit"

    def on_message_complete(self) -> None:
        """Set the reply, unless the response that ended is an interim one (status 1xx)."""
        if self.reply is None and self.failure is None and self._status >= STATUS_OK:
            self.reply = DatabaseReply(self._status, self._is_overloaded, bytes(self._body))
