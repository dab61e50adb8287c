"""Snapshots found at a start: whole and fresh ones are used, every other kind is turned down, with why."""

from __future__ import annotations

from pathlib import Path

import pytest

from snowthread.recovery import storage
from snowthread.recovery.snapshot import (
    HEADER,
    PRIORS,
    LearnedTimes,
    Snapshot,
    Verdict,
    assess,
    decode,
    encode,
)

NOW = 1_800_000_000_000.0
LEARNED = LearnedTimes({"match": 0.4}, {"match": 0.5}, {"match": 0.08}, read_per_s=40.0)
SNAP = Snapshot(generation=7, incarnation=3, written_ms=NOW - 1000.0, learned=LEARNED)


def judged(data: bytes, generation: int = 7, fresh_for_ms: float = 30_000.0) -> Verdict:
    return assess(data, generation=generation, now_ms=NOW, fresh_for_ms=fresh_for_ms).verdict


def test_a_whole_young_snapshot_of_this_generation_is_used() -> None:
    result = assess(encode(SNAP), generation=7, now_ms=NOW, fresh_for_ms=30_000.0)
    assert result.verdict is Verdict.FRESH and result.initial_state == LEARNED


@pytest.mark.parametrize(
    ("changed", "verdict"),
    [
        ({"generation": 6}, Verdict.OLDER),
        ({"written_ms": NOW - 60_000.0}, Verdict.STALE),
        ({"written_ms": NOW + 10_000.0}, Verdict.FUTURE),
    ],
)
def test_a_snapshot_of_another_time_is_not_trusted(changed: dict[str, float], verdict: Verdict) -> None:
    fields = {"generation": 7, "incarnation": 3, "written_ms": NOW - 1000.0} | changed
    data = encode(Snapshot(int(fields["generation"]), 3, float(fields["written_ms"]), LEARNED))
    result = assess(data, generation=7, now_ms=NOW, fresh_for_ms=30_000.0)
    assert result.verdict is verdict and result.initial_state == PRIORS and result.reason


def test_every_cut_of_a_snapshot_is_torn_or_foreign_never_fresh() -> None:
    data = encode(SNAP)
    for length in range(len(data)):
        assert judged(data[:length]) in {Verdict.MISSING, Verdict.TORN, Verdict.FOREIGN}, length


def test_every_flipped_byte_is_turned_down() -> None:
    data = encode(SNAP)
    for at in range(len(data)):
        spoilt = data[:at] + bytes([data[at] ^ 0x20]) + data[at + 1 :]
        verdict = judged(spoilt)
        # the digest covers the header too: no field can change and pass
        assert verdict is not Verdict.FRESH, at


def test_other_files_are_foreign() -> None:
    assert judged(b"not a snapshot at all, but long enough for a header") is Verdict.FOREIGN
    other = bytearray(encode(SNAP))
    HEADER.pack_into(other, 0, b"STWS", 1, 7, 3, NOW, 10)
    assert judged(bytes(other)) is Verdict.FOREIGN
    assert judged(b"") is Verdict.MISSING


def test_a_body_that_is_no_snapshot_is_foreign_even_with_a_right_digest() -> None:
    import hashlib

    for body in (
        b"[]",
        b'{"read_per_s": 0}',
        b"\xff",
        b'{"core_s":{"a":-1},"wall_s":{},"call_s":{},"read_per_s":1}',
        b'{"core_s":{},"wall_s":{},"call_s":{},"read_per_s":true}',
    ):
        head = HEADER.pack(b"STWS", 2, 7, 3, NOW, len(body))
        data = head + body + hashlib.blake2b(head + body, digest_size=16).digest()
        assert judged(data) is Verdict.FOREIGN, body


def test_written_snapshots_read_back_and_a_crash_before_the_rename_leaves_the_old(tmp_path: Path) -> None:
    assert storage.read(tmp_path) == b""
    first = encode(SNAP)
    assert storage.write(tmp_path, first) is None
    assert storage.read(tmp_path) == first
    (tmp_path / (storage.SNAPSHOT_FILE + ".tmp")).write_bytes(
        first[:20]
    )  # a write that never came to its rename
    assert storage.read(tmp_path) == first
    assert storage.write(tmp_path / "gone", first) is not None  # no folder: the step, not a raise


def test_a_torn_file_in_place_is_told(tmp_path: Path) -> None:
    data = encode(SNAP)
    (tmp_path / storage.SNAPSHOT_FILE).write_bytes(data[: len(data) // 2])
    assert judged(storage.read(tmp_path)) is Verdict.TORN


def test_an_incarnation_is_kept_and_a_lost_one_is_none(tmp_path: Path) -> None:
    assert storage.read_incarnation(tmp_path) == 0
    assert storage.write_incarnation(tmp_path, 7) is None and storage.read_incarnation(tmp_path) == 7
    (tmp_path / storage.INCARNATION_FILE).write_bytes(b"spoilt")
    assert storage.read_incarnation(tmp_path) == 0


def test_decode_gives_back_what_was_encoded() -> None:
    verdict, _, snapshot = decode(encode(SNAP))
    assert verdict is Verdict.FRESH and snapshot == SNAP
