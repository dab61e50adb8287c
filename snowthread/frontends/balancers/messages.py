"""What a balancer can send, as typed values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class Violation(Enum):
    """How a message breaks the protocol; the values are texts for the log."""

    NOT_A_MESSAGE = "not a MessagePack-RPC message"
    UNKNOWN_KIND = "neither a request nor a cancellation"
    INVALID_CANCEL = "a cancellation does not name one message"
    INVALID_REQUEST = "a request has a number, a method and its arguments"
    INVALID_ARGUMENTS = "a request's arguments are its fields and its body"
    INVALID_BODY = "the body is not binary or too long"
    INVALID_FIELDS = "the fields are not a map"
    INVALID_FIELD = "invalid field"
    UNREADABLE = "not readable"
    NUMBER_IN_USE = "the number of an open request"
    TOO_MANY_OPEN_REQUESTS = "too many open requests on one connection"


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """A message that cannot be served; it is answered where its number could be read."""

    number: int | None
    violation: Violation
    detail: str = ""


@dataclass(frozen=True, slots=True)
class CancelMessage:
    """The peer no longer waits for the answer to this message."""

    number: int


@dataclass(frozen=True, slots=True)
class HealthCheckMessage:
    """A health check."""

    number: int


@dataclass(frozen=True, slots=True)
class RequestMessage:
    """A request whose form was checked; :mod:`.request_fields` checks its fields."""

    number: int
    class_name: str
    body: bytes
    fields: Mapping[str, str]


DecodedMessage = InvalidMessage | CancelMessage | HealthCheckMessage | RequestMessage
