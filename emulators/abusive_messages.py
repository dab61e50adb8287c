"""What abusive clients send: messages that are large, unsound, or small and many. Pure: no sockets."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgpack

from emulators.request_protocol import REQUEST_MESSAGE, RequestMessage, encode_cancellation, keyed_body

WAIT_MS = 3000.0
MAX_BODY_BYTES = 2048  # the protocol's limit of a body
MESSAGE_BYTES = 16_000  # just under the size of a message from which a node closes the connection
CONTAINER_ITEMS = 60  # entries of a list or map; from 65 on a node closes the connection
HALF_REQUEST_BYTES = 15_000
BALANCER_NUMBER_BITS = 48  # of a balancer's number that is never used twice


@dataclass(frozen=True, slots=True)
class Flood:
    """A kind of flood: the message with a number, and whether its sender waits for answers.

    A connection with too many unanswered requests is closed, so floods of valid requests wait for answers.
    """

    message: Callable[[int, random.Random], bytes]
    awaits_answers: bool = False


def _attempt_id(generator: random.Random) -> str:
    return f"{generator.getrandbits(64):016x}"


def _request(number: int, class_name: str, generator: random.Random) -> RequestMessage:
    return RequestMessage(number, class_name, _attempt_id(generator), generator.randrange(1, 10), WAIT_MS)


def _keyed_request(number: int, generator: random.Random) -> RequestMessage:
    key = f"{generator.getrandbits(128):032x}"
    return replace(_request(number, "dispense", generator), idempotency_key=key, body=keyed_body(key))


def half_request() -> bytes:
    """Return the first 15 KB of a request whose body announces more than the protocol allows."""
    body = bytes(MESSAGE_BYTES)
    data: bytes = msgpack.packb([REQUEST_MESSAGE, 1, "match", [{}, body]])
    return data[:HALF_REQUEST_BYTES]


def nested_lists() -> bytes:
    """Return a message of 16 KB that consists of small lists within lists."""
    innermost: list[list[object]] = [[] for _ in range(CONTAINER_ITEMS)]
    rows = MESSAGE_BYTES // CONTAINER_ITEMS // CONTAINER_ITEMS + 1
    data: bytes = msgpack.packb([REQUEST_MESSAGE, 1, "match", [[innermost] * CONTAINER_ITEMS] * rows])
    return data[:MESSAGE_BYTES]


def many_short_fields() -> bytes:
    """Return a message of 16 KB whose fields are maps of very many short fields."""
    short_fields = {f"{index:02d}": "" for index in range(CONTAINER_ITEMS)}
    rows = MESSAGE_BYTES // (4 * CONTAINER_ITEMS) + 1
    fields = {f"{index:02d}": short_fields for index in range(min(rows, CONTAINER_ITEMS))}
    data: bytes = msgpack.packb([REQUEST_MESSAGE, 1, "match", [fields, [short_fields] * CONTAINER_ITEMS]])
    return data[:MESSAGE_BYTES]


def request_burst(count: int, generator: random.Random) -> bytes:
    """Return requests with bodies of the largest size; every other one has an idempotency key."""
    messages = []
    for number in range(1, count + 1):
        request = _request(number, "match", generator)
        if number % 2:
            request = _keyed_request(number, generator)
        messages.append(replace(request, body=request.body.ljust(MAX_BODY_BYTES, b".")).encode())
    return b"".join(messages)


def _health_check(number: int, _: random.Random) -> bytes:
    data: bytes = msgpack.packb([REQUEST_MESSAGE, number, "health", [{}]])
    return data


def _unknown_class(number: int, generator: random.Random) -> bytes:
    return _request(number, f"unknown-{generator.getrandbits(32):x}", generator).encode()


def _invalid_fields(number: int, _: random.Random) -> bytes:
    data: bytes = msgpack.packb([REQUEST_MESSAGE, number, "match", [{"id": "none"}, b""]])
    return data


def _cancellation(number: int, _: random.Random) -> bytes:
    return encode_cancellation(number)


def _small_request(number: int, generator: random.Random) -> bytes:
    return replace(_request(number, "match", generator), body=b"").encode()


def _new_names(number: int, generator: random.Random) -> bytes:
    """Return a keyed request under names that were never used before."""
    request = _keyed_request(number, generator)
    return replace(request, balancer_number=generator.getrandbits(BALANCER_NUMBER_BITS)).encode()


FLOODS = {
    "flood-health-checks": Flood(_health_check),
    "flood-unknown-classes": Flood(_unknown_class),
    "flood-invalid-fields": Flood(_invalid_fields),
    "flood-cancellations": Flood(_cancellation),
    "flood-small-requests": Flood(_small_request, awaits_answers=True),
    "flood-new-names": Flood(_new_names, awaits_answers=True),
}
