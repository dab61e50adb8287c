"""Tests of the framing: messages in pieces of any size, at a cost that does not depend on the pieces."""

from __future__ import annotations

from typing import Any

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from emulators.abusive_messages import many_short_fields, nested_lists
from snowthread.frontends.balancers.framing import (
    MAX_MESSAGE_BYTES,
    MAX_MESSAGE_VALUES,
    READ_BYTES,
    FramingError,
    MessageScanner,
    unpack,
    unpack_if_short,
)

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=40)
    | st.binary(max_size=300)
    | st.builds(msgpack.ExtType, st.integers(0, 127), st.binary(max_size=20))
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=20) | st.dictionaries(st.text(max_size=4), inner, max_size=20),
    max_leaves=40,
)
PIECES = st.integers(1, 50)


class CountingBytes(bytes):
    """Bytes that count how often a part of them is read."""

    reads = 0

    def __getitem__(self, key: Any) -> Any:
        CountingBytes.reads += 1
        return super().__getitem__(key)


def scan_in_pieces(data: bytes, piece_bytes: int) -> int | None:
    """Return the length that the scanner finds, and check that it needs all bytes of the message for it."""
    scanner = MessageScanner()
    length = None
    for end in range(piece_bytes, len(data) + piece_bytes, piece_bytes):
        assert length is None
        length = scanner.scan(data[:end], 0)
    return length


@given(VALUES, PIECES)
def test_end_of_a_message_is_found_in_pieces_of_any_size(value: object, piece_bytes: int) -> None:
    message = msgpack.packb(value)
    assert scan_in_pieces(message, piece_bytes) == len(message)
    assert unpack(message) == msgpack.unpackb(message, strict_map_key=False)


@given(VALUES | st.lists(st.none(), min_size=60, max_size=70), st.binary(max_size=2))
def test_short_message_is_unpacked_at_once_only_if_the_scanner_takes_it_as_one(
    value: object, more: bytes
) -> None:
    """Guards against a verdict on a message that depends on the pieces in which it arrives."""
    data = msgpack.packb(value) + more
    short = unpack_if_short(data)
    if short is None:
        return
    assert MessageScanner().scan(data, 0) == len(data)
    assert unpack(data) == short


@given(st.binary(max_size=60))
def test_scanner_finds_the_end_where_msgpack_finds_it(data: bytes) -> None:
    try:
        length = MessageScanner().scan(data, 0)
    except FramingError:
        return
    unpacker = msgpack.Unpacker(strict_map_key=False, unicode_errors="surrogateescape")
    unpacker.feed(data)
    try:
        unpacker.skip()
    except msgpack.OutOfData:
        assert length is None
    else:
        assert length == unpacker.tell()


def test_each_value_is_read_once_however_small_the_pieces_are() -> None:
    """Guards against slow writers of large messages that are scanned from the start for each piece."""
    message = msgpack.packb([{f"{index:02d}": "" for index in range(60)}] * 4)
    scanner = MessageScanner()
    CountingBytes.reads = 0
    for end in range(1, len(message)):
        assert scanner.scan(CountingBytes(message[:end]), 0) is None
    assert CountingBytes.reads <= 2 * len(message)  # the value, or the end of the bytes where it will be


@pytest.mark.parametrize("message", [nested_lists(), many_short_fields()], ids=["lists", "short fields"])
def test_message_of_too_many_values_is_rejected_before_it_is_complete(message: bytes) -> None:
    """Guards against messages within the size limit that are expensive to unpack."""
    with pytest.raises(FramingError, match="values in a message"):
        MessageScanner().scan(message[: MAX_MESSAGE_BYTES // 2], 0)


def test_scan_ends_at_the_limit_of_values() -> None:
    """Guards against a scan of a whole read of values that are too many already."""
    CountingBytes.reads = 0
    with pytest.raises(FramingError):
        MessageScanner().scan(CountingBytes(nested_lists()[:READ_BYTES]), 0)
    assert CountingBytes.reads <= 2 * MAX_MESSAGE_VALUES


def test_limit_of_values_counts_all_lists_of_a_message() -> None:
    rows = MAX_MESSAGE_VALUES // 32
    within_limit = msgpack.packb([[0] * 31] * (rows - 1))
    beyond_limit = msgpack.packb([[0] * 31] * (rows + 1))
    assert MessageScanner().scan(within_limit, 0) == len(within_limit)
    with pytest.raises(FramingError):
        MessageScanner().scan(beyond_limit, 0)
