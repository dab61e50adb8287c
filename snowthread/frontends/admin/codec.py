"""HTTP/1.1 codec (RFC 9112) of the administration interface.

Sans-I/O: it parses the bytes of one request, and encodes one response.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType

import httptools

from snowthread.frontends.admin.routes import AdminResponse

MAX_HEAD_BYTES = 8 * 1024  # a request whose head (request line and header fields) is longer is rejected
# Longer bodies are rejected. Shorter ones are read, although ignored: a close with unread bytes would reset
# the connection, and the response could be lost.
MAX_BODY_BYTES = 64 * 1024

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_HEADERS: Mapping[str, str] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A complete request: the method, and the path without the query."""

    method: str
    path: str


@dataclass(frozen=True, slots=True)
class RequestError:
    """An invalid request: the HTTP status and the text to answer it with."""

    status: HTTPStatus
    reason: str


class RequestReader:
    """Parses one request incrementally.

    ``result`` is None until the request is complete or found invalid. Bytes after the request are ignored.
    """

    def __init__(self) -> None:
        self.result: AdminRequest | RequestError | None = None
        self.expects_continue = False  # set if the client waits for a 100 (Continue) before it sends the body
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._head_bytes = 0
        self._body_bytes = 0
        self._head_complete = False

    def feed(self, data: bytes) -> None:
        """Parse the next bytes, and set ``result`` if they complete the request or make it invalid."""
        if self.result is not None:
            return
        if not self._head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # the request is valid; its Upgrade field is ignored, as no other protocol is supported
        except httptools.HttpParserError as error:
            self._fail(HTTPStatus.BAD_REQUEST, str(error))
        if not self._head_complete and self._head_bytes > MAX_HEAD_BYTES:
            # Reply text, part of the administration interface, sent to operators: it must not change. It
            # means that the request head is longer than ``MAX_HEAD_BYTES``.
            self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "a head without end")

    def _fail(self, status: HTTPStatus, reason: str) -> None:
        if self.result is None:
            self.result = RequestError(status, reason)

    # Callbacks of httptools.HttpRequestParser.

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target, which the parser may deliver in several parts."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read a header field; only Expect and Content-Length are used."""
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True
        elif name.lower() == b"content-length" and int(value) > MAX_BODY_BYTES:
            self._fail(HTTPStatus.BAD_REQUEST, "the body is too long")

    def on_headers_complete(self) -> None:
        """Record that the request head is complete."""
        self._head_complete = True

    def on_body(self, body: bytes) -> None:
        """Count the bytes of the body, and reject one that is longer than ``MAX_BODY_BYTES``."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._fail(HTTPStatus.BAD_REQUEST, "the body is too long")

    def on_message_complete(self) -> None:
        """Set ``result`` to the complete request, unless it is invalid."""
        if self.result is not None:
            return
        try:
            path = (httptools.parse_url(self._target).path or b"/").decode("ascii")
        except (httptools.HttpParserError, UnicodeDecodeError):
            # Reply text, part of the administration interface, sent to operators: it must not change. It
            # means that the request target is not valid.
            self._fail(HTTPStatus.BAD_REQUEST, "not a target")
        else:
            self.result = AdminRequest(self._parser.get_method().decode("ascii"), path)


def encode(response: AdminResponse, headers: Mapping[str, str] = NO_HEADERS) -> bytes:
    """Return the bytes of a response; its headers announce that the connection closes after it."""
    body = (response.text + "\n").encode()
    lines = [
        f"HTTP/1.1 {response.status.value} {response.status.phrase}",
        "Content-Type: text/plain; charset=utf-8",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
