"""The administration interface's codec: HTTP/1.1 (RFC 9112), bytes in, one request or an error out.

Sans-I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType

import httptools

from snowthread.frontends.admin.routes import AdminResponse

MAX_HEAD_BYTES = 8 * 1024
MAX_BODY_BYTES = 64 * 1024  # a body has no meaning here; it is read so that the response arrives

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_HEADERS: Mapping[str, str] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A complete request: its method and its path, without a query."""

    method: str
    path: str


@dataclass(frozen=True, slots=True)
class RequestError:
    """Why the bytes are no valid request, as the status and the text of its response."""

    status: HTTPStatus
    reason: str


class RequestReader:
    """Reads one request.

    ``result`` is None until the request is complete or cannot become so. What follows it is not read.
    """

    def __init__(self) -> None:
        self.result: AdminRequest | RequestError | None = None
        self.expects_continue = False  # the client sends the body only after a 100 (Continue)
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._head_bytes = 0
        self._body_bytes = 0
        self._has_head = False

    def feed(self, data: bytes) -> None:
        """Read bytes; afterwards ``result`` may be set."""
        if self.result is not None:
            return
        if not self._has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # the request is valid as it is; no other protocol is offered
        except httptools.HttpParserError as error:
            self._fail(HTTPStatus.BAD_REQUEST, str(error))
        if not self._has_head and self._head_bytes > MAX_HEAD_BYTES:
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "a head without end")

    def _fail(self, status: HTTPStatus, reason: str) -> None:
        if self.result is None:
            self.result = RequestError(status, reason)

    # Called by the parser.

    def on_url(self, url: bytes) -> None:
        """Collect the request target, which may come in parts."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read the fields that matter here: Expect and Content-Length."""
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True
        elif name.lower() == b"content-length" and int(value) > MAX_BODY_BYTES:
            self._fail(HTTPStatus.BAD_REQUEST, "the body is too long")

    def on_headers_complete(self) -> None:
        """Note that the head is complete."""
        self._has_head = True

    def on_body(self, body: bytes) -> None:
        """Count the body's bytes."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._fail(HTTPStatus.BAD_REQUEST, "the body is too long")

    def on_message_complete(self) -> None:
        """Set the result."""
        if self.result is not None:
            return
        try:
            path = (httptools.parse_url(self._target).path or b"/").decode("ascii")
        except (httptools.HttpParserError, UnicodeDecodeError):
            self._fail(HTTPStatus.BAD_REQUEST, "not a target")
        else:
            self.result = AdminRequest(self._parser.get_method().decode("ascii"), path)


def encode(response: AdminResponse, headers: Mapping[str, str] = NO_HEADERS) -> bytes:
    """Return the bytes of a complete response; the connection closes after it."""
    body = (response.text + "\n").encode()
    lines = [
        f"HTTP/1.1 {response.status.value} {response.status.phrase}",
        "Content-Type: text/plain; charset=utf-8",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
