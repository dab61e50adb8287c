"""MessagePack-RPC codec for load balancers: decodes unpacked messages and encodes answers.

Sans-I/O. :mod:`.framing` limits what is unpacked; :mod:`.messages` defines the types that :func:`decode`
returns.
"""

from __future__ import annotations

import math
from typing import Any

import msgpack

from snowthread.core import effects
from snowthread.frontends.balancers.framing import is_message_number
from snowthread.frontends.balancers.messages import (
    CancelMessage,
    DecodedMessage,
    HealthCheckMessage,
    InvalidMessage,
    RequestMessage,
    Violation,
)

# Message types of MessagePack-RPC, which are the first element of each message.
REQUEST_KIND = 0  # [kind, number, method, arguments]
RESPONSE_KIND = 1  # [kind, number, error, result]
NOTIFICATION_KIND = 2  # [kind, method, arguments]
REQUEST_ELEMENTS = 4  # length of a request's array
NOTIFICATION_ELEMENTS = 3  # length of a notification's array
MIN_ELEMENTS = 2  # every message has at least a kind, and a number or a method
REQUEST_ARGUMENTS = 2  # a request has two arguments: the map of fields and the body

CANCEL_METHOD = "cancel"
FAREWELL_METHOD = "farewell"
HEALTH_METHOD = "health"

REJECTED_ERROR = "Throttled"
FAILED_ERROR = "Failed"

MAX_BODY_BYTES = 2 * 1024  # size limit of a request's body
NUMBER_PREFIX_BYTES = 16  # a message's array header, kind and number fit into this many bytes

FAREWELL: bytes = msgpack.packb([NOTIFICATION_KIND, FAREWELL_METHOD, []])
"""The farewell notification: asks the peer to send no new request on this connection and to close it."""


def decode(message: object) -> DecodedMessage:
    """Return an unpacked message as a typed value: an :class:`InvalidMessage` if it breaks the protocol."""
    if not isinstance(message, (list, tuple)) or len(message) < MIN_ELEMENTS:
        return InvalidMessage(None, Violation.NOT_A_MESSAGE)
    if (
        message[0] == NOTIFICATION_KIND
        and len(message) == NOTIFICATION_ELEMENTS
        and message[1] == CANCEL_METHOD
    ):
        return _decode_cancel(message[2])
    if message[0] != REQUEST_KIND or not is_message_number(message[1]):
        return InvalidMessage(None, Violation.UNKNOWN_KIND)
    return _decode_request(int(message[1]), message)


def _decode_request(
    number: int, message: list[Any] | tuple[Any, ...]
) -> HealthCheckMessage | RequestMessage | InvalidMessage:
    if (
        len(message) != REQUEST_ELEMENTS
        or not isinstance(message[2], str)
        or not isinstance(message[3], list)
    ):
        return InvalidMessage(number, Violation.INVALID_REQUEST)
    method = message[2]
    arguments = message[3]
    if method == HEALTH_METHOD:
        return HealthCheckMessage(number)
    if len(arguments) != REQUEST_ARGUMENTS:
        return InvalidMessage(number, Violation.INVALID_ARGUMENTS)
    fields, body = arguments
    if not isinstance(body, bytes) or len(body) > MAX_BODY_BYTES:
        return InvalidMessage(number, Violation.INVALID_BODY)
    if not isinstance(fields, dict):
        return InvalidMessage(number, Violation.INVALID_FIELDS)
    return RequestMessage(number, method, body, fields)


def _decode_cancel(arguments: object) -> CancelMessage | InvalidMessage:
    if isinstance(arguments, list) and len(arguments) == 1 and is_message_number(arguments[0]):
        return CancelMessage(arguments[0])
    return InvalidMessage(None, Violation.INVALID_CANCEL)


def request_number_from_prefix(start: bytes) -> int | None:
    """Return the number of a request from its first bytes, or None if they are not the start of a request.

    The rest of the request may be unreadable: with its number the request can still be answered.
    """
    unpacker = msgpack.Unpacker(max_buffer_size=NUMBER_PREFIX_BYTES)
    unpacker.feed(start[:NUMBER_PREFIX_BYTES])
    try:
        if unpacker.read_array_header() == REQUEST_ELEMENTS and unpacker.unpack() == REQUEST_KIND:
            number = unpacker.unpack()
            return number if is_message_number(number) else None
    except (ValueError, msgpack.UnpackException):
        pass
    return None


def encode(
    number: int,
    response: effects.Response,
    load_report: float | None,
) -> bytes:
    """Return the bytes of the answer to the request ``number``.

    ============  ===========================  =====================
    response      error                        result
    ============  ===========================  =====================
    Served        nil                          result bytes, fields
    HealthStatus  nil                          healthy, fields
    Rejected      Throttled, fields            nil
    Failed        Failed, fields               nil
    ============  ===========================  =====================

    The fields are ``say`` (the load report) and, for a rejected request, ``after`` (milliseconds to wait
    before a retry) and ``last`` (another node would reject the request too).
    """
    fields: dict[str, str] = {} if load_report is None else {"say": f"{load_report:.6g}"}
    error: list[Any] | None = None
    result: list[Any] | None = None
    match response:
        case effects.Served():
            result = [response.result, fields]
        case effects.HealthStatus():
            result = [response.healthy, fields]
        case effects.Rejected():
            if response.retry_after_ms > 0.0:
                fields["after"] = str(math.ceil(response.retry_after_ms))
            if response.do_not_retry:
                fields["last"] = "1"
            error = [REJECTED_ERROR, fields]
        case effects.Failed():
            error = [FAILED_ERROR, fields]
    packed: bytes = msgpack.packb([RESPONSE_KIND, number, error, result])
    return packed
