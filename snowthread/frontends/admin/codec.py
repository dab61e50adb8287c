"""The operators' codec: HTTP/1.1 (RFC 9112), bytes in, one call out or why there is none; no sockets."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import httptools

HEAD_MAX = 8 * 1024  # bytes of a request's head
BODY_MAX = 64 * 1024  # bytes of its body, which means nothing here and is read only so that the reply arrives

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A whole call: its method and its path, without a query."""

    method: str
    path: str


@dataclass(frozen=True, slots=True)
class RequestError:
    """What came is no call; the status says why."""

    status: HTTPStatus
    reason: str


class RequestReader:
    """Takes in one call. ``result`` is there once it is whole or can't become so; what follows is not
    read."""

    def __init__(self) -> None:
        self.result: AdminRequest | RequestError | None = None
        self.expects = False  # the caller waits for a word before it sends the body
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._head = self._body = 0
        self._headed = False

    def feed(self, data: bytes) -> None:
        """Take bytes."""
        if self.result is not None:
            return
        if not self._headed:
            self._head += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # the call stands as it is; no other protocol is spoken here
        except httptools.HttpParserError as error:
            self._end(HTTPStatus.BAD_REQUEST, str(error))
        if not self._headed and self._head > HEAD_MAX:
            self._end(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "a head without end")

    def _end(self, status: HTTPStatus, reason: str) -> None:
        if self.result is None:
            self.result = RequestError(status, reason)

    # What the parser calls.

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.expects = True
        elif name.lower() == b"content-length" and int(value) > BODY_MAX:
            self._end(HTTPStatus.BAD_REQUEST, "the body is too long")

    def on_headers_complete(self) -> None:
        self._headed = True

    def on_body(self, body: bytes) -> None:
        self._body += len(body)
        if self._body > BODY_MAX:
            self._end(HTTPStatus.BAD_REQUEST, "the body is too long")

    def on_message_complete(self) -> None:
        if self.result is not None:
            return
        try:
            path = (httptools.parse_url(self._url).path or b"/").decode("ascii")
        except (httptools.HttpParserError, UnicodeDecodeError):
            self._end(HTTPStatus.BAD_REQUEST, "not a target")
        else:
            self.result = AdminRequest(self._parser.get_method().decode("ascii"), path)


def encode(status: HTTPStatus, text: str, headers: tuple[tuple[str, str], ...] = ()) -> bytes:
    """A whole reply; the connection closes behind it."""
    body = (text + "\n").encode()
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Type: text/plain; charset=utf-8",
        f"Content-Length: {len(body)}",
        "Connection: close",
        *(f"{n}: {v}" for n, v in headers),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
