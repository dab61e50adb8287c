"""Checks the fields of a balancer's request and converts them into an event of the core."""

from __future__ import annotations

import re

from snowthread.core import events
from snowthread.frontends.balancers.messages import InvalidMessage, RequestMessage, Violation

MAX_KEY_CHARACTERS = 256  # longest idempotency or partition key; the node stores keys for their window
MAX_TIMEOUT_MS = 600_000.0  # upper bound of the field "wait"; a longer timeout is a mistake of the client
# An older request is a mistake of the client: its age must be plausible, as the node learns from ages.
MAX_REQUEST_AGE_MS = 600_000.0
MAX_CLOCK_LEAD_MS = 60_000.0  # how far a request's "at" may be ahead of this node's clock
MAX_MEMORY_KB = 2000.0  # exclusive upper bound of the field "kb"
MAX_RANK = 1.0  # exclusive upper bound of the field "rank"

_ATTEMPT_ID = re.compile(r"[0-9a-f]{16}")
# The fields at, wait, kb, rank and from, joined by commas, in plain ASCII digits: float() would also accept
# "nan", "1_0" and the digits of other scripts.
_NUMERIC_FIELDS = re.compile(r"(?:[0-9]{1,18}(?:\.[0-9]{1,18})?,){4}[0-9]{1,18}")


class FieldError(ValueError):
    """A field of a request is malformed or out of range; ``field`` is its name, ``reason`` says why."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field} {reason}")
        self.field = field
        self.reason = reason


def parse_request(
    request: RequestMessage, response_address: events.ResponseAddress, now_ms: float
) -> events.RequestReceived | InvalidMessage:
    """Return the event of a request whose fields are valid, else an :class:`InvalidMessage`.

    ``now_ms`` is the node's time in Unix milliseconds, with which the field "at" is compared.
    """
    try:
        return _read_fields(request, response_address, now_ms)
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        return InvalidMessage(request.number, Violation.INVALID_FIELD, str(error))


def _read_fields(
    request: RequestMessage, response_address: events.ResponseAddress, now_ms: float
) -> events.RequestReceived:
    """Return the event of a request; fields that are missing or of a wrong type raise built-in exceptions.

    Raises:
        FieldError: a field is malformed or out of range.
    """
    fields = request.fields
    attempt_id = fields["id"]
    idempotency_key = fields.get("once")
    partition_key = fields.get("key", "")
    _check_identifiers(attempt_id, idempotency_key, partition_key)
    wait = fields.get("wait")  # absent if the site's settings say that deadlines are not passed on
    digits = ",".join(
        (fields["at"], "0" if wait is None else wait, fields["kb"], fields["rank"], fields["from"])
    )
    if not _NUMERIC_FIELDS.fullmatch(digits):
        raise FieldError("at, wait, kb, rank or from", "is not a plain decimal number")
    arrived_at_ms, timeout_ms, memory_kb, rank, caller_id = map(float, digits.split(","))
    if not (
        0.0 <= timeout_ms <= MAX_TIMEOUT_MS and 0.0 < memory_kb < MAX_MEMORY_KB and 0.0 <= rank < MAX_RANK
    ):
        raise FieldError("wait, kb or rank", "is out of range")
    if not now_ms - MAX_REQUEST_AGE_MS <= arrived_at_ms <= now_ms + MAX_CLOCK_LEAD_MS:
        raise FieldError("at", "is too old or too far ahead of this node's clock")
    return events.RequestReceived(
        response_address=response_address,
        attempt_id=attempt_id,
        class_name=request.class_name,
        body=request.body,
        arrived_at_ms=arrived_at_ms,
        timeout_ms=None if wait is None else timeout_ms,
        caller_id=int(caller_id),
        memory_kb=memory_kb,
        rank=rank,
        idempotency_key=idempotency_key,
        partition_key=partition_key,
    )


def _check_identifiers(attempt_id: str, idempotency_key: str | None, partition_key: str) -> None:
    """Check the attempt id and the keys.

    The peer may have sent values of any type; an attempt id of another type raises TypeError.

    Raises:
        FieldError: an identifier is malformed.
    """
    if not _ATTEMPT_ID.fullmatch(attempt_id):
        raise FieldError("id", "is not 16 lower-case hexadecimal digits")
    if type(partition_key) is not str or len(partition_key) > MAX_KEY_CHARACTERS:
        raise FieldError("key", "is not a string or too long")
    if idempotency_key is not None and (
        type(idempotency_key) is not str or len(idempotency_key) > MAX_KEY_CHARACTERS
    ):
        raise FieldError("once", "is not a string or too long")
