"""Route table of the administration interface, and the responses that its handlers give."""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping
from http import HTTPStatus
from typing import NamedTuple

from snowthread.net.loop import Wait


class AdminResponse(NamedTuple):
    """The response to a request: an HTTP status and one line of text."""

    status: HTTPStatus
    text: str


PendingResponse = Generator[Wait, int, AdminResponse]
"""A coroutine that carries out a request and returns its response."""

Handler = Callable[[], AdminResponse] | Callable[[], PendingResponse]
"""A function that carries out a request and returns its response, or returns a coroutine that does."""


class Route(NamedTuple):
    """The HTTP method that a path accepts, and the handler to call."""

    method: str
    handler: Handler


RouteTable = Mapping[str, Route]
"""Routes by path."""
