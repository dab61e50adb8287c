"""What the administration interface offers: routes and what their handlers return."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import NamedTuple


class AdminResponse(NamedTuple):
    """The response to a request: a status and one line of text."""

    status: HTTPStatus
    text: str


Handler = Callable[[], AdminResponse]
"""Carries out a request and returns its response."""


class Route(NamedTuple):
    """The method that a path accepts, and its handler."""

    method: str
    handler: Handler


RouteTable = Mapping[str, Route]
"""Routes by path."""
