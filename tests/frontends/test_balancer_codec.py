"""Tests of the balancers' codec: valid and invalid messages, size limits, and encoded answers."""

from __future__ import annotations

from typing import Any

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snowthread.core import effects, events
from snowthread.frontends.balancers.codec import (
    MAX_BODY_BYTES,
    REQUEST_KIND,
    RESPONSE_KIND,
    decode,
    encode,
    request_number_from_prefix,
)
from snowthread.frontends.balancers.framing import (
    MAX_CONTAINER_ITEMS,
    MAX_MESSAGE_BYTES,
    FramingError,
    MessageScanner,
)
from snowthread.frontends.balancers.messages import (
    CancelMessage,
    HealthCheckMessage,
    InvalidMessage,
    RequestMessage,
    Violation,
)
from snowthread.frontends.balancers.request_fields import (
    MAX_CLOCK_LEAD_MS,
    MAX_KEY_CHARACTERS,
    MAX_REQUEST_AGE_MS,
    MAX_TIMEOUT_MS,
    parse_request,
)

NOW_MS = 1764576000000.0
FIELDS = {
    "id": "00000000000000a1",
    "at": f"{NOW_MS:.0f}",
    "from": "4",
    "wait": "9000",
    "kb": "20",
    "rank": "0.5",
    "once": "k1",
    "key": "p1",
}


def is_rejected_by_scanner(start_of_message: bytes) -> bool:
    try:
        MessageScanner().scan(start_of_message, 0)
    except FramingError:
        return True
    return False


def parse(fields: dict[str, Any]) -> events.RequestReceived | InvalidMessage:
    return parse_request(RequestMessage(7, "match", b"x", fields), (1, 7), NOW_MS)


@pytest.mark.parametrize(
    ("message", "decoded"),
    [
        ([0, 7, "match", [{}, b"x"]], RequestMessage(7, "match", b"x", {})),
        ([0, 7, "health", [{}]], HealthCheckMessage(7)),
        ([2, "cancel", [7]], CancelMessage(7)),
        ("text", InvalidMessage(None, Violation.NOT_A_MESSAGE)),
        ([0], InvalidMessage(None, Violation.NOT_A_MESSAGE)),
        ([1, 7, None, None], InvalidMessage(None, Violation.UNKNOWN_KIND)),
        ([0, -1, "match", []], InvalidMessage(None, Violation.UNKNOWN_KIND)),
        ([0, 2**32, "match", []], InvalidMessage(None, Violation.UNKNOWN_KIND)),
        ([0, True, "match", []], InvalidMessage(None, Violation.UNKNOWN_KIND)),
        ([2, "cancel", [7, 8]], InvalidMessage(None, Violation.INVALID_CANCEL)),
        ([0, 7, "match"], InvalidMessage(7, Violation.INVALID_REQUEST)),
        ([0, 7, b"match", []], InvalidMessage(7, Violation.INVALID_REQUEST)),
        ([0, 7, "match", [{}]], InvalidMessage(7, Violation.INVALID_ARGUMENTS)),
        ([0, 7, "match", [{}, "x"]], InvalidMessage(7, Violation.INVALID_BODY)),
        ([0, 7, "match", [{}, b"x" * (MAX_BODY_BYTES + 1)]], InvalidMessage(7, Violation.INVALID_BODY)),
        ([0, 7, "match", [[], b"x"]], InvalidMessage(7, Violation.INVALID_FIELDS)),
    ],
)
def test_message_is_decoded_or_its_violation_named(message: object, decoded: object) -> None:
    assert decode(message) == decoded


def test_request_fields_become_the_event() -> None:
    assert parse(FIELDS) == events.RequestReceived(
        response_address=(1, 7),
        attempt_id="00000000000000a1",
        class_name="match",
        body=b"x",
        arrived_at_ms=NOW_MS,
        timeout_ms=9000.0,
        caller_id=4,
        memory_kb=20.0,
        rank=0.5,
        idempotency_key="k1",
        partition_key="p1",
    )


def test_request_without_optional_fields_is_valid() -> None:
    request = parse({name: FIELDS[name] for name in ("id", "at", "from", "kb", "rank")})
    assert isinstance(request, events.RequestReceived)
    assert request.timeout_ms is None and request.idempotency_key is None and request.partition_key == ""


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("id", "00000000000000A1"),
        ("id", b"00000000000000a1"),
        ("id", "0" * 17),
        ("once", "k" * (MAX_KEY_CHARACTERS + 1)),
        ("once", 0),
        ("once", b""),
        ("key", "p" * (MAX_KEY_CHARACTERS + 1)),
        ("key", None),
        ("at", f"{NOW_MS - MAX_REQUEST_AGE_MS - 1.0:.0f}"),
        ("at", f"{NOW_MS + MAX_CLOCK_LEAD_MS + 1.0:.0f}"),
        ("at", NOW_MS),
        ("wait", "nan"),
        ("wait", "-1"),
        ("wait", f"{MAX_TIMEOUT_MS + 1.0:.0f}"),
        ("wait", "1,1"),
        ("kb", "0"),
        ("kb", "2000"),
        ("kb", "1_0"),
        ("rank", "1"),
        ("rank", "\u0661"),
        ("from", "4.5"),
        ("from", ""),
    ],
)
def test_request_with_an_invalid_field_is_answered_under_its_number(name: str, value: object) -> None:
    invalid = parse(FIELDS | {name: value})
    assert isinstance(invalid, InvalidMessage)
    assert (invalid.number, invalid.violation) == (7, Violation.INVALID_FIELD)


@pytest.mark.parametrize("name", ["id", "at", "from", "kb", "rank"])
def test_request_without_a_required_field_is_invalid(name: str) -> None:
    assert isinstance(parse({key: FIELDS[key] for key in FIELDS if key != name}), InvalidMessage)


@pytest.mark.parametrize(
    ("value", "is_oversized"),
    [
        (b"x" * MAX_MESSAGE_BYTES, False),
        (b"x" * (MAX_MESSAGE_BYTES + 1), True),
        ("x" * (MAX_MESSAGE_BYTES + 1), True),
        (msgpack.ExtType(1, b"x" * (MAX_MESSAGE_BYTES + 1)), True),
        ([1] * MAX_CONTAINER_ITEMS, False),
        ([1] * (MAX_CONTAINER_ITEMS + 1), True),
        (dict.fromkeys(range(MAX_CONTAINER_ITEMS + 1)), True),
    ],
    ids=["binary", "long binary", "long text", "long extension", "list", "long list", "long map"],
)
def test_oversized_value_is_noticed_by_its_head(value: object, is_oversized: bool) -> None:
    values_before = [
        0,
        2**40,
        -1,
        1.5,
        "short",
        b"b",
        msgpack.ExtType(1, b"e" * 8),
        msgpack.ExtType(1, b"eee"),
    ]
    message = msgpack.packb([*values_before, value])
    assert is_rejected_by_scanner(message[: -len(msgpack.packb(value)) + 5]) == is_oversized


@given(st.binary(max_size=60))
@settings(max_examples=300, deadline=None)
def test_no_bytes_raise_an_error(data: bytes) -> None:
    is_rejected_by_scanner(data)
    number = request_number_from_prefix(data)
    assert number is None or 0 <= number < 2**32


def test_number_of_an_unreadable_request_is_found() -> None:
    message = msgpack.packb([REQUEST_KIND, 4_000_000_000, "match", [{}, b"x"]])
    assert request_number_from_prefix(message[:8]) == 4_000_000_000
    assert request_number_from_prefix(message[:5]) is None


@pytest.mark.parametrize(
    ("response", "load_report", "error", "result"),
    [
        (effects.Served(b"r"), None, None, [b"r", {}]),
        (effects.Served(b"r"), 0.12345678, None, [b"r", {"say": "0.123457"}]),
        (effects.HealthStatus(True), 1.0, None, [True, {"say": "1"}]),
        (effects.Rejected(), None, ["Throttled", {}], None),
        (effects.Rejected(1.2, True), 2.0, ["Throttled", {"say": "2", "after": "2", "last": "1"}], None),
        (effects.Failed(), None, ["Failed", {}], None),
    ],
)
def test_answer_has_either_an_error_or_a_result(
    response: effects.Served | effects.Rejected | effects.Failed | effects.HealthStatus,
    load_report: float | None,
    error: list[Any] | None,
    result: list[Any] | None,
) -> None:
    assert msgpack.unpackb(encode(7, response, load_report)) == [RESPONSE_KIND, 7, error, result]
