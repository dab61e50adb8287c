"""Tests of the message stream: chunks of any size, size limits, and the end of reading."""

from __future__ import annotations

import math

import msgpack
import pytest

from snowthread.frontends.balancers.framing import MAX_MESSAGE_BYTES
from snowthread.frontends.balancers.message_stream import MessageStream
from snowthread.frontends.balancers.messages import (
    CancelMessage,
    DecodedMessage,
    HealthCheckMessage,
    InvalidMessage,
    Violation,
)
from snowthread.net.clock import ManualClock

NOW_MS = 1764576000000.0
MESSAGES = msgpack.packb([0, 1, "health", [{}]]) + msgpack.packb([2, "cancel", [1]])


def go_on(_: DecodedMessage) -> bool:
    return True


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(NOW_MS)


@pytest.fixture
def stream(clock: ManualClock) -> MessageStream:
    return MessageStream(clock)


@pytest.fixture
def handled() -> list[DecodedMessage]:
    return []


@pytest.mark.parametrize("chunk_bytes", [1, 3, 10**6])
def test_messages_are_handled_in_order_in_chunks_of_any_size(
    stream: MessageStream, handled: list[DecodedMessage], chunk_bytes: int
) -> None:
    def handle(message: DecodedMessage) -> bool:
        handled.append(message)
        return True

    for start in range(0, len(MESSAGES), chunk_bytes):
        assert stream.feed(MESSAGES[start : start + chunk_bytes], handle) is None
    assert handled == [HealthCheckMessage(1), CancelMessage(1)]
    assert stream.messages_read == 2 and not stream.buffered


def test_nothing_is_read_after_the_message_whose_handler_ends_reading(
    stream: MessageStream, handled: list[DecodedMessage]
) -> None:
    def handle_and_end(message: DecodedMessage) -> bool:
        handled.append(message)
        return False

    assert stream.feed(MESSAGES + MESSAGES[:3], handle_and_end) is None
    assert handled == [HealthCheckMessage(1)]
    assert not stream.buffered


@pytest.mark.parametrize(
    ("data", "number"),
    [
        (b"\xc1", None),
        (msgpack.packb([0, 7, "m", [{}, b""]])[:-2] + b"\xc6\xff\xff\xff\xff", 7),
        (msgpack.packb([0, 7, "m", []])[:3] + b"\xda\x40\x00" + b"x" * MAX_MESSAGE_BYTES, 7),
    ],
    ids=["not MessagePack", "announced above the limit", "longer than the limit"],
)
def test_unreadable_bytes_are_reported_with_the_number_where_it_was_read(
    stream: MessageStream, data: bytes, number: int | None
) -> None:
    invalid = stream.feed(data, go_on)
    assert isinstance(invalid, InvalidMessage)
    assert (invalid.number, invalid.violation) == (number, Violation.UNREADABLE)


def test_time_without_the_rest_of_a_message_counts_from_the_last_complete_one(
    stream: MessageStream, clock: ManualClock
) -> None:
    assert stream.incomplete_since_ms() == NOW_MS  # the connection waits for its first message
    clock.now_ms += 10.0
    stream.feed(MESSAGES[:-1], go_on)
    assert stream.incomplete_since_ms() == NOW_MS + 10.0
    clock.now_ms += 10.0
    stream.feed(MESSAGES[-1:], go_on)
    assert stream.incomplete_since_ms() == math.inf
