"""The messages that a balancer can send, as typed values."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class Violation(Enum):
    """How a message breaks the protocol; the values are written to the debug log."""

    NOT_A_MESSAGE = "not a MessagePack-RPC message"
    UNKNOWN_KIND = "neither a request nor a cancellation"
    INVALID_CANCEL = "a cancellation must have one message number as its argument"
    INVALID_REQUEST = "a request must have a number, a method and a list of arguments"
    INVALID_ARGUMENTS = "a request must have two arguments, its fields and its body"
    INVALID_BODY = "the body is not binary or is too long"
    INVALID_FIELDS = "the fields are not a map"
    INVALID_FIELD = "a field is missing or invalid"
    UNREADABLE = "not decodable as MessagePack within the limits"
    NUMBER_IN_USE = "the number belongs to a request that is still open"
    TOO_MANY_OPEN_REQUESTS = "too many open requests on one connection"


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """A message that breaks the protocol.

    It is answered as failed under its number; without one (``number`` is None) no answer is possible.
    """

    number: int | None
    violation: Violation
    detail: str = ""


@dataclass(frozen=True, slots=True)
class CancelMessage:
    """A cancellation: the peer no longer waits for the answer to the request with this number."""

    number: int


@dataclass(frozen=True, slots=True)
class HealthCheckMessage:
    """A health check, which is answered under its number."""

    number: int


@dataclass(frozen=True, slots=True)
class RequestMessage:
    """A request whose structure is valid; :mod:`.request_fields` checks its fields."""

    number: int
    class_name: str
    body: bytes
    fields: Mapping[str, str]


DecodedMessage = InvalidMessage | CancelMessage | HealthCheckMessage | RequestMessage
