"""What the administration interface offers: routes and what their handlers return."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import NamedTuple


class AdminResponse(NamedTuple):
    """A handler's response: a status and one line of text."""

    status: HTTPStatus
    text: str


Handler = Callable[[], tuple[HTTPStatus, str]]
"""Carries out a request and returns an :class:`AdminResponse` or the same as a plain pair."""


class Route(NamedTuple):
    """The method that a path accepts, and its handler."""

    method: str
    handler: Handler


RouteTable = Mapping[str, tuple[str, Handler]]
"""Routes, or the same as plain pairs, by path."""
