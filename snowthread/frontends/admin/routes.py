"""Route table of the administration interface, and the responses that its handlers return."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import NamedTuple


class AdminResponse(NamedTuple):
    """The response to a request: an HTTP status and one line of text."""

    status: HTTPStatus
    text: str


Handler = Callable[[], AdminResponse]
"""A function that carries out a request and returns its response."""


class Route(NamedTuple):
    """The HTTP method that a path accepts, and the handler to call."""

    method: str
    handler: Handler


RouteTable = Mapping[str, Route]
"""Routes by path."""
