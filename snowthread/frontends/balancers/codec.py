"""The balancers' codec: MessagePack-RPC, bytes in, what they say out; no sockets."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgpack

from snowthread.core import effects, events

READ_BYTES = 8 * 1024  # taken from one connection in a turn of the loop: a flood gets no more than others
MESSAGE_MAX = 16 * 1024  # bytes of one message: a body, fields and room to spare
ITEMS_MAX = 64  # elements of one list or map
BODY_MAX = 2 * 1024
WORD_MAX = 256  # characters of a key: each is kept for its window
TIME_MAX_MS = 600_000.0  # a wait or an age beyond this is a mistake; ages are learned from
AHEAD_MAX_MS = 60_000.0  # as is a time that lies further ahead

# Bytes of the length that follows a head (of a map or list from 0xdc on), or of a value of fixed size.
_LENGTHS = {
    0xC4: 1,
    0xC5: 2,
    0xC6: 4,
    0xC7: 1,
    0xC8: 2,
    0xC9: 4,
    0xD9: 1,
    0xDA: 2,
    0xDB: 4,
    0xDC: 2,
    0xDD: 4,
    0xDE: 2,
    0xDF: 4,
}
_SIZES = {
    0xCA: 4,
    0xCB: 8,
    0xCC: 1,
    0xCD: 2,
    0xCE: 4,
    0xCF: 8,
    0xD0: 1,
    0xD1: 2,
    0xD2: 4,
    0xD3: 8,
    0xD4: 2,
    0xD5: 3,
    0xD6: 5,
    0xD7: 9,
    0xD8: 17,
}

_ID = re.compile(r"[0-9a-f]{16}")
# at, wait, kb, rank and from in plain digits: Python's own reading takes 'nan', '1_0' and other scripts'.
_FIGURES = re.compile(r"(?:[0-9]{1,18}(?:\.[0-9]{1,18})?,){4}[0-9]{1,18}")


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """A message that can't be served; answered where its number could be read."""

    number: int | None
    reason: str


@dataclass(frozen=True, slots=True)
class CancelMessage:
    """The peer stopped waiting for this message."""

    number: int


@dataclass(frozen=True, slots=True)
class HealthCheckMessage:
    """A health check."""

    number: int


@dataclass(frozen=True, slots=True)
class RequestMessage:
    """A request whose fields were read and checked."""

    number: int
    class_name: str
    body: bytes
    fields: Mapping[str, str]


DecodedMessage = InvalidMessage | CancelMessage | HealthCheckMessage | RequestMessage


def decode(message: object) -> DecodedMessage:
    """What a message says."""
    if not isinstance(message, list | tuple) or len(message) < 2:
        return InvalidMessage(None, "not a message")
    if message[0] == 2 and len(message) == 3 and message[1] == "cancel":
        numbers = message[2]
        if isinstance(numbers, list) and len(numbers) == 1 and _is_number(numbers[0]):
            return CancelMessage(numbers[0])
        return InvalidMessage(None, "cancel of what?")
    if message[0] != 0 or not _is_number(message[1]):
        return InvalidMessage(None, "neither a request nor a cancel")
    number = int(message[1])
    if len(message) != 4 or not isinstance(message[2], str) or not isinstance(message[3], list):
        return InvalidMessage(number, "a request has a number, a method and its arguments")
    method, arguments = message[2], message[3]
    if method == "health":
        return HealthCheckMessage(number)
    if len(arguments) != 2:
        return InvalidMessage(number, "fields and a body are wanted")
    fields, body = arguments
    if not isinstance(body, bytes) or len(body) > BODY_MAX:
        return InvalidMessage(number, "the body is no binary or too long")
    if not isinstance(fields, dict):
        return InvalidMessage(number, "the fields are not a map")
    return RequestMessage(number, method, body, fields)


def parse_request(
    asked: RequestMessage, ticket: events.ResponseAddress, now: float
) -> events.RequestReceived | InvalidMessage:
    """The fields' meaning, or which of them is wrong."""
    f = asked.fields
    try:
        uid, once, key = f["id"], f.get("once"), f.get("key", "")
        if not _ID.fullmatch(uid) or len(once or "") > WORD_MAX or len(key) > WORD_MAX:
            raise ValueError("id, once or key is no such word")
        told = f.get("wait")  # absent where the settings say that deadlines are not passed on
        figures = ",".join((f["at"], "0" if told is None else told, f["kb"], f["rank"], f["from"]))
        if not _FIGURES.fullmatch(figures):
            raise ValueError("at, wait, kb, rank or from is no figure")
        at, wait, kb, rank, caller = map(float, figures.split(","))
        if not (0.0 <= wait <= TIME_MAX_MS and 0.0 < kb < 2000.0 and 0.0 <= rank < 1.0):
            raise ValueError("wait, kb or rank out of range")
        if not now - TIME_MAX_MS <= at <= now + AHEAD_MAX_MS:
            raise ValueError("at lies too far off")
        if type(key) is not str or not (once is None or type(once) is str):
            raise TypeError("once or key is no word")
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        return InvalidMessage(asked.number, f"field {error}")
    return events.RequestReceived(
        response_address=ticket,
        attempt_id=uid,
        class_name=asked.class_name,
        body=asked.body,
        sent_at_ms=at,
        timeout_ms=None if told is None else wait,
        caller_id=int(caller),
        memory_kb=kb,
        rank=rank,
        idempotency_key=once,
        partition_key=key,
    )


def _is_number(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 2**32


def encode(
    number: int,
    answer: effects.Served | effects.Rejected | effects.Failed | effects.HealthStatus,
    say: float | None,
) -> bytes:
    """An answer's bytes."""
    fields: dict[str, str] = {} if say is None else {"say": f"{say:.6g}"}
    error: list[Any] | None = None
    result: list[Any] | None = None
    match answer:
        case effects.Served():
            result = [answer.result, fields]
        case effects.HealthStatus():
            result = [answer.healthy, fields]
        case effects.Rejected():
            if answer.retry_after_ms > 0.0:
                fields["after"] = str(math.ceil(answer.retry_after_ms))
            if answer.do_not_retry:
                fields["last"] = "1"
            error = ["Throttled", fields]
        case effects.Failed():
            error = ["Failed", fields]
    packed: bytes = msgpack.packb([1, number, error, result])
    return packed


FAREWELL: bytes = msgpack.packb([2, "farewell", []])


def unpacker_for_read() -> msgpack.Unpacker:
    """One for each read: what is begun waits as plain bytes, so hundreds of idle connections hold no buffers.
    Lengths are judged by their head, before what they announce is taken in. Bytes that are no text, or keys
    that are none, must not end the stream: they only spoil their own message."""
    return msgpack.Unpacker(
        max_buffer_size=MESSAGE_MAX + READ_BYTES,
        read_size=READ_BYTES,
        max_bin_len=MESSAGE_MAX,
        max_str_len=MESSAGE_MAX,
        max_ext_len=MESSAGE_MAX,
        max_array_len=ITEMS_MAX,
        max_map_len=ITEMS_MAX,
        strict_map_key=False,
        unicode_errors="surrogateescape",
    )


def too_long(begun: bytes) -> bool:
    """Does what is begun announce more than a message may hold? Judged by the heads, for msgpack looks at a
    length only when all of it has come."""
    at = 0
    while at < len(begun):
        head = begun[at]
        at += 1
        width = _LENGTHS.get(head, 0)
        if width:
            size = int.from_bytes(begun[at : at + width])
            if at + width <= len(begun) and size > (ITEMS_MAX if head >= 0xDC else MESSAGE_MAX):
                return True
            at += width if head >= 0xDC else width + size + (0xC7 <= head <= 0xC9)
        else:
            at += head - 0xA0 if 0xA0 <= head < 0xC0 else _SIZES.get(head, 0)
    return False


def number_of(start: bytes) -> int | None:
    """The number of a request whose rest can't be read."""
    unpacker = unpacker_for_read()
    unpacker.feed(start[:16])
    try:
        if unpacker.read_array_header() == 4 and unpacker.unpack() == 0:
            number = unpacker.unpack()
            return number if _is_number(number) else None
    except (ValueError, msgpack.UnpackException):
        pass
    return None
