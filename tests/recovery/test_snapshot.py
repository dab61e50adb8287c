"""Tests snapshots found at start: complete and fresh ones are used, all others rejected with a reason."""

from __future__ import annotations

import hashlib
from pathlib import Path

import pytest

from snowthread.recovery import storage
from snowthread.recovery.snapshot import (
    HEADER,
    LearnedTimes,
    Snapshot,
    SnapshotStatus,
    decode_snapshot,
    encode_snapshot,
)
from snowthread.recovery.snapshot_assessment import NO_LEARNED_TIMES, assess_snapshot

NOW = 1_800_000_000_000.0
LEARNED = LearnedTimes({"match": 0.4}, {"match": 0.5}, {"match": 0.08}, requests_per_s=40.0)
SNAPSHOT = Snapshot(generation=7, incarnation=3, written_at_ms=NOW - 1000.0, learned=LEARNED)


def status_of(data: bytes, generation: int = 7, max_age_ms: float = 30_000.0) -> SnapshotStatus:
    return assess_snapshot(data, generation=generation, now_ms=NOW, max_age_ms=max_age_ms).status


def test_complete_recent_snapshot_of_this_generation_is_used() -> None:
    result = assess_snapshot(encode_snapshot(SNAPSHOT), generation=7, now_ms=NOW, max_age_ms=30_000.0)
    assert result.status is SnapshotStatus.FRESH and result.initial_times == LEARNED


@pytest.mark.parametrize(
    ("changed", "status"),
    [
        ({"generation": 6}, SnapshotStatus.OLDER_GENERATION),
        ({"written_at_ms": NOW - 60_000.0}, SnapshotStatus.STALE),
        ({"written_at_ms": NOW + 10_000.0}, SnapshotStatus.FUTURE),
    ],
)
def test_snapshot_of_another_time_or_generation_is_not_trusted(
    changed: dict[str, float], status: SnapshotStatus
) -> None:
    fields = {"generation": 7, "incarnation": 3, "written_at_ms": NOW - 1000.0} | changed
    data = encode_snapshot(Snapshot(int(fields["generation"]), 3, float(fields["written_at_ms"]), LEARNED))
    result = assess_snapshot(data, generation=7, now_ms=NOW, max_age_ms=30_000.0)
    assert result.status is status and result.initial_times == NO_LEARNED_TIMES and result.reason


def test_every_truncated_snapshot_is_torn_or_foreign() -> None:
    data = encode_snapshot(SNAPSHOT)
    for length in range(len(data)):
        assert status_of(data[:length]) in {
            SnapshotStatus.MISSING,
            SnapshotStatus.CORRUPT,
            SnapshotStatus.UNKNOWN_FORMAT,
        }, length


def test_every_flipped_byte_is_rejected() -> None:
    data = encode_snapshot(SNAPSHOT)
    for offset in range(len(data)):
        altered = data[:offset] + bytes([data[offset] ^ 0x20]) + data[offset + 1 :]
        # The digest covers the header too, so that no field can change undetected.
        assert status_of(altered) is not SnapshotStatus.FRESH, offset


def test_other_files_are_foreign() -> None:
    assert status_of(b"not a snapshot at all, but long enough for a header") is SnapshotStatus.UNKNOWN_FORMAT
    other = bytearray(encode_snapshot(SNAPSHOT))
    HEADER.pack_into(other, 0, b"STWS", 1, 7, 3, NOW, 10)
    assert status_of(bytes(other)) is SnapshotStatus.UNKNOWN_FORMAT
    assert status_of(b"") is SnapshotStatus.MISSING


@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b'{"read_per_s": 0}',
        b"\xff",
        b'{"core_s":{"a":-1},"wall_s":{},"call_s":{},"read_per_s":1}',
        b'{"core_s":{},"wall_s":{},"call_s":{},"read_per_s":true}',
    ],
)
def test_invalid_body_is_foreign_even_with_a_right_digest(body: bytes) -> None:
    head = HEADER.pack(b"STWS", 2, 7, 3, NOW, len(body))
    data = head + body + hashlib.blake2b(head + body, digest_size=16).digest()
    assert status_of(data) is SnapshotStatus.UNKNOWN_FORMAT


def test_written_snapshot_is_read_back_and_a_crash_before_the_rename_leaves_the_old_one(
    tmp_path: Path,
) -> None:
    assert storage.read_state_file(tmp_path) == b""
    first = encode_snapshot(SNAPSHOT)
    assert storage.write_state_file(tmp_path, first) is None
    assert storage.read_state_file(tmp_path) == first
    temporary = tmp_path / (storage.SNAPSHOT_FILE + storage.TEMPORARY_SUFFIX)
    temporary.write_bytes(first[:20])  # A crash interrupted this write before its rename.
    assert storage.read_state_file(tmp_path) == first
    # Without the folder, the failure is returned and not raised.
    error = storage.write_state_file(tmp_path / "gone", first)
    assert error is not None and error.step is storage.StorageStep.OPEN


def test_torn_file_in_place_is_detected(tmp_path: Path) -> None:
    data = encode_snapshot(SNAPSHOT)
    (tmp_path / storage.SNAPSHOT_FILE).write_bytes(data[: len(data) // 2])
    assert status_of(storage.read_state_file(tmp_path)) is SnapshotStatus.CORRUPT


def test_written_incarnation_is_read_back_and_an_unreadable_one_counts_as_none(tmp_path: Path) -> None:
    assert storage.read_incarnation(tmp_path) == 0
    assert storage.write_incarnation(tmp_path, 7) is None and storage.read_incarnation(tmp_path) == 7
    (tmp_path / storage.INCARNATION_FILE).write_bytes(b"spoilt")
    assert storage.read_incarnation(tmp_path) == 0


def test_decode_returns_what_was_encoded() -> None:
    decoded = decode_snapshot(encode_snapshot(SNAPSHOT))
    assert decoded.status is SnapshotStatus.FRESH and decoded.snapshot == SNAPSHOT
