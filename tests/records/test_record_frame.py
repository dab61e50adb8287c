"""Frames: truncated at every byte, altered at every byte, split anywhere, with invalid bytes between them."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.record_files import encode_all, note

from snowthread.records.frame import PAYLOAD_MAX_BYTES, FrameReader, InvalidFrame, encode_record
from snowthread.records.model import Record

THREE = [note(1, text="one"), note(2, text="zwei ü", deep={"a": [1, 2.5, None]}), note(3)]
SIZES = [len(encode_record(record)) for record in THREE]
STREAM = encode_all(THREE)


def read(data: bytes) -> tuple[list[Record], list[InvalidFrame]]:
    """Decode a complete stream into its records and its invalid frames."""
    reader = FrameReader()
    items = reader.feed(data) + reader.end()
    records = [item for item in items if isinstance(item, Record)]
    return records, [item for item in items if isinstance(item, InvalidFrame)]


def test_records_are_decoded_as_they_were_encoded() -> None:
    assert read(STREAM) == (THREE, [])


def test_truncation_at_any_byte_loses_only_the_truncated_record() -> None:
    ends = [SIZES[0], SIZES[0] + SIZES[1], len(STREAM)]
    for size in range(len(STREAM)):
        records, invalid = read(STREAM[:size])
        complete = sum(end <= size for end in ends)
        assert records == THREE[:complete]
        assert sum(frame.size for frame in invalid) == size - ([0, *ends][complete])


def test_an_altered_byte_loses_only_its_own_record() -> None:
    for offset in range(len(STREAM)):
        corrupt = bytearray(STREAM)
        corrupt[offset] ^= 0x5A
        records, invalid = read(bytes(corrupt))
        if offset < SIZES[0]:
            corrupt_index = 0
        elif offset < len(STREAM) - SIZES[2]:
            corrupt_index = 1
        else:
            corrupt_index = 2
        assert records == [record for index, record in enumerate(THREE) if index != corrupt_index], offset
        assert invalid


@given(st.binary(max_size=400), st.lists(st.integers(0, 500), max_size=5))
@settings(max_examples=150, deadline=None)
def test_invalid_bytes_between_records_and_any_split_lose_no_record(noise: bytes, splits: list[int]) -> None:
    data = encode_record(THREE[0]) + noise + encode_record(THREE[1])
    reader = FrameReader()
    items: list[Record | InvalidFrame] = []
    offsets = sorted(min(split, len(data)) for split in splits)
    for begin, end in zip([0, *offsets], [*offsets, len(data)], strict=True):
        items += reader.feed(data[begin:end])
    items += reader.end()
    assert [item for item in items if isinstance(item, Record)] == THREE[:2]
    assert sum(item.size for item in items if isinstance(item, InvalidFrame)) == len(noise)


def test_a_length_beyond_the_limit_is_not_waited_for() -> None:
    huge = b"\xb7R" + (PAYLOAD_MAX_BYTES + 1).to_bytes(4, "little") + b"\0\0\0\0"
    assert read(huge + STREAM)[0] == THREE
    with pytest.raises(ValueError, match="at most"):
        encode_record(note(1, text="x" * PAYLOAD_MAX_BYTES))


def test_older_and_newer_formats_are_read_as_far_as_they_are_known(monkeypatch: pytest.MonkeyPatch) -> None:
    for version in (0, 7):
        monkeypatch.setattr("snowthread.records.frame.FORMAT_VERSION", version)
        assert read(encode_record(THREE[1])) == ([THREE[1]], [])
