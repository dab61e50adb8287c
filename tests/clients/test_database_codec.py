"""Replies of the database: parsing in chunks of any size, size limits, and the outcome that each proves."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snowthread.admission.settings import Outcome
from snowthread.clients.database_codec import (
    MAX_HEAD_BYTES,
    MAX_REPLY_BYTES,
    DatabaseReply,
    ResponseReader,
    encode,
    outcome_of,
)
from snowthread.core import effects
from snowthread.net.attempt import Failure, Progress

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
SHED = b"HTTP/1.1 503 Service Unavailable\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"


def parse(*chunks: bytes) -> ResponseReader:
    reader = ResponseReader()
    for chunk in chunks:
        reader.feed(chunk)
    return reader


@pytest.mark.parametrize(
    ("data", "reply"),
    [
        (OK, DatabaseReply(200, False, b"ok")),
        (INTERIM + OK, DatabaseReply(200, False, b"ok")),
        (CHUNKED, DatabaseReply(200, False, b"ok")),
        (SHED, DatabaseReply(503, True, b"")),
        (OK[:-1], None),
    ],
)
@pytest.mark.parametrize("chunk_bytes", [1, 7, 10**6])
def test_reply_is_read_in_chunks_of_any_size(
    data: bytes, reply: DatabaseReply | None, chunk_bytes: int
) -> None:
    reader = parse(*(data[start : start + chunk_bytes] for start in range(0, len(data), chunk_bytes)))
    assert reader.reply == reply
    assert reader.failure is None and not reader.has_surplus and not reader.closes_connection


@pytest.mark.parametrize("surplus", [OK, b"x", b"HTTP/1.1 2"])
def test_surplus_bytes_after_a_reply_are_detected_and_leave_it_valid(surplus: bytes) -> None:
    reader = parse(OK, surplus)
    assert reader.reply == DatabaseReply(200, False, b"ok") and reader.has_surplus


def test_announced_close_is_detected() -> None:
    assert parse(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").closes_connection


@pytest.mark.parametrize(
    "data",
    [
        b"not HTTP\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * MAX_HEAD_BYTES,
        b"HTTP/1.1 200 OK\r\n\r\n",  # neither Content-Length nor Transfer-Encoding
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_REPLY_BYTES + 1),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11000\r\n" + b"x" * 0x11000 + b"\r\n0\r\n\r\n",
    ],
    ids=["not HTTP", "long head", "no length", "long body announced", "long body in chunks"],
)
def test_invalid_or_too_long_reply_fails(data: bytes) -> None:
    reader = parse(data)
    assert reader.failure is not None and reader.reply is None


@given(st.lists(st.binary(max_size=40) | st.sampled_from([OK, INTERIM, SHED, OK[:30]]), max_size=6))
@settings(max_examples=300, deadline=None)
def test_no_bytes_raise_an_error(chunks: list[bytes]) -> None:
    reader = parse(*chunks)
    assert reader.reply is None or reader.reply.status >= 200


@pytest.mark.parametrize(
    ("result", "outcome"),
    [
        (DatabaseReply(200, False, b""), Outcome.SUCCESS),
        (DatabaseReply(200, True, b""), Outcome.SUCCESS),
        (DatabaseReply(503, True, b""), Outcome.OVERLOADED),
        (DatabaseReply(409, True, b""), Outcome.NOT_STARTED),
        (DatabaseReply(503, False, b""), Outcome.FAILURE),
        (DatabaseReply(409, False, b""), Outcome.FAILURE),
        (DatabaseReply(504, True, b""), Outcome.TIMED_OUT),
        (DatabaseReply(500, True, b""), Outcome.FAILURE),
        (Failure(Progress.NOT_CONNECTED, "refused"), Outcome.UNREACHABLE),
        (Failure(Progress.NOT_CONNECTED, "timed out", timed_out=True), Outcome.UNREACHABLE),
        (Failure(Progress.SENT, "timed out", timed_out=True), Outcome.TIMED_OUT),
        (Failure(Progress.SENT, "reset"), Outcome.DISCONNECTED),
        (Failure(Progress.REPLY_BEGUN, "reset"), Outcome.DISCONNECTED),
    ],
)
def test_outcome_says_that_nothing_ran_only_where_that_is_proven(
    result: DatabaseReply | Failure, outcome: Outcome
) -> None:
    assert outcome_of(result) is outcome


def test_call_announces_at_least_one_millisecond_left() -> None:
    call = effects.StartCall("00000000000000a1", b"?", 100.0)
    assert encode(call, "127.0.0.1:9", 0.2) == (
        b"POST /lookup HTTP/1.1\r\nHost: 127.0.0.1:9\r\nX-Parent-Id: 00000000000000a1\r\n"
        b"X-Budget-Ms: 1\r\nContent-Length: 1\r\n\r\n?"
    )
