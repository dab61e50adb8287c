"""Files that version 4b467b1 stored for recovery: this version reads and writes the same values and bytes.

The files in ``tests/data/stored`` were written once, with version 4b467b1, from the literal values below by
the ``encode`` or ``write`` function of their format. ``roster_reports.txt`` has one report datagram per line.
Do not regenerate them: a file that this version cannot read means that a node cannot read what an earlier
version left.
"""

from __future__ import annotations

from pathlib import Path

from snowthread.clients.registry import encode_report
from snowthread.core.idempotency import key_digest
from snowthread.recovery import key_log, storage
from snowthread.recovery.membership import FleetMembership, FleetView, MembershipStatus
from snowthread.recovery.snapshot import (
    LearnedTimes,
    Snapshot,
    SnapshotStatus,
    decode_snapshot,
    encode_snapshot,
)
from snowthread.recovery.snapshot_assessment import assess_snapshot

STORED = Path(__file__).parents[2] / "tests" / "data" / "stored"
START = 1_764_576_000_000.0

# Snapshot of the learned times, incarnation and membership.

LEARNED = LearnedTimes(
    core_time_s={"dispense": 0.125, "match": 0.3},
    run_time_s={"dispense": 0.5, "match": 1.75},
    call_time_s={"dispense": 0.25},
    requests_per_s=42.5,
)
SNAPSHOT = Snapshot(9, 5, START, LEARNED)


def test_stored_snapshot_is_read_with_the_learned_times() -> None:
    data = storage.read_state_file(STORED / "warm")
    decoded = decode_snapshot(data)
    snapshot = decoded.snapshot
    assert (decoded.status, decoded.reason) == (SnapshotStatus.FRESH, "") and snapshot is not None
    assert snapshot.generation == 9 and snapshot.incarnation == 5
    assert snapshot.written_at_ms == 1_764_576_000_000.0
    assert snapshot.learned.core_time_s == {"dispense": 0.125, "match": 0.3}
    assert snapshot.learned.run_time_s == {"dispense": 0.5, "match": 1.75}
    assert snapshot.learned.call_time_s == {"dispense": 0.25}
    assert snapshot.learned.requests_per_s == 42.5


def test_stored_snapshot_is_assessed_as_fresh_stale_or_older() -> None:
    data = storage.read_state_file(STORED / "warm")
    fresh = assess_snapshot(data, generation=9, now_ms=START + 1000.0, max_age_ms=60_000.0)
    assert fresh.status is SnapshotStatus.FRESH and fresh.initial_times == LEARNED
    assert (
        assess_snapshot(data, generation=9, now_ms=START + 60_001.0, max_age_ms=60_000.0).status
        is SnapshotStatus.STALE
    )
    assert (
        assess_snapshot(data, generation=10, now_ms=START, max_age_ms=60_000.0).status
        is SnapshotStatus.OLDER_GENERATION
    )


def test_snapshot_written_anew_has_the_stored_name_and_bytes(tmp_path: Path) -> None:
    assert storage.write_state_file(tmp_path, encode_snapshot(SNAPSHOT)) is None
    assert (tmp_path / "warm.snap").read_bytes() == (STORED / "warm" / "warm.snap").read_bytes()


def test_any_altered_byte_of_the_stored_snapshot_is_detected() -> None:
    data = (STORED / "warm" / "warm.snap").read_bytes()
    for offset in range(len(data)):
        altered = bytearray(data)
        altered[offset] ^= 0x01
        assert decode_snapshot(bytes(altered)).snapshot is None, offset


def test_stored_incarnation_is_read_and_written_alike(tmp_path: Path) -> None:
    assert storage.read_incarnation(STORED / "warm") == 5
    assert storage.write_incarnation(tmp_path, 5) is None
    assert (tmp_path / "incarnation").read_bytes() == (STORED / "warm" / "incarnation").read_bytes() == b"5\n"


def member_reports() -> list[bytes]:
    """Return datagrams of a member without an incarnation, a cold and a warm one, and a node in no fleet."""
    return [
        encode_report("node-a", True, FleetMembership(0, 3).report_suffix(True)),
        encode_report("node-a", True, FleetMembership(5, 3).report_suffix(True)),
        encode_report("node-a", False, FleetMembership(5, 3).report_suffix(False)),
        encode_report("node-b", True),
    ]


def test_membership_reports_have_the_stored_bytes() -> None:
    stored = (STORED / "roster_reports.txt").read_bytes().splitlines()
    assert stored == [
        b"HERE node-a on 0 cold",
        b"HERE node-a on 5 cold",
        b"HERE node-a off 5 warm",
        b"HERE node-b on",
    ]
    assert member_reports() == stored


def test_answer_to_a_membership_report_is_decoded() -> None:
    membership = FleetMembership(0, 3)
    assert membership.handle_answer(b"FLEET 9 3 1 4", START)
    assert membership.view == FleetView(generation=9, listed_nodes=3, cold_nodes=1, received_at_ms=START)
    assert membership.incarnation == 5 and membership.status is MembershipStatus.MEMBER
    assert not membership.handle_answer(b"FLOTE 9 3 1 4", START) and membership.invalid_answers == 1


# Key log.

KEY_LOG_SLOTS = 8
BLIND_UNTIL = START - 60_000.0
KEYS = (("key-1", START + 1000.0), ("key-2", START + 2000.5), ("schlüssel-3", START + 3000.0))


def make_key_log() -> bytes:
    """Return a small key log that holds three keys."""
    buffer = bytearray(key_log.encode_empty_key_log(BLIND_UNTIL, KEY_LOG_SLOTS))
    keys = key_log.KeyLog(memoryview(buffer), 0)
    for key, until in KEYS:
        assert keys.append(key_digest(key), until, START)
    return bytes(buffer)


def test_stored_key_log_holds_its_keys_and_expiry_times() -> None:
    found = key_log.decode_key_log((STORED / "warm" / "keys.ring").read_bytes())
    assert found.status is key_log.KeyLogStatus.COMPLETE and found.reason == ""
    assert found.keys == {
        key_digest("key-1"): 1_764_576_001_000.0,
        key_digest("key-2"): 1_764_576_002_000.5,
        key_digest("schlüssel-3"): 1_764_576_003_000.0,
    }
    assert found.sequence == 3 and found.all_indeterminate_until_ms == 1_764_575_940_000.0


def test_key_digests_are_those_of_the_stored_key_log() -> None:
    assert key_digest("key-1").hex() == "24b93e04aced8c2834c3d882514d708e"
    assert key_digest("schlüssel-3").hex() == "78bc5487ffb08c7ecfd6022f6b735b71"


def test_key_log_written_anew_has_the_stored_bytes() -> None:
    assert make_key_log() == (STORED / "warm" / "keys.ring").read_bytes()


def test_stored_key_log_is_opened_and_appended_to(tmp_path: Path) -> None:
    (tmp_path / "keys.ring").write_bytes((STORED / "warm" / "keys.ring").read_bytes())
    result = storage.open_key_log(tmp_path, 0.0)
    found, opened = result.contents, result.key_log
    assert found.status is key_log.KeyLogStatus.COMPLETE and opened is not None and result.error is None
    assert opened.append(key_digest("key-4"), START + 4000.0, START)
    again = key_log.decode_key_log((tmp_path / "keys.ring").read_bytes())
    assert again.sequence == 4 and again.keys[key_digest("key-4")] == START + 4000.0 and len(again.keys) == 4


def test_any_altered_byte_of_the_stored_key_log_is_detected() -> None:
    data = (STORED / "warm" / "keys.ring").read_bytes()
    unaltered = key_log.decode_key_log(data)
    header = set(range(24))  # the padding after it is not read
    slots = {32 + 40 * slot + offset for slot in (1, 2, 3) for offset in range(36)}
    for offset in sorted(header | slots):
        altered = bytearray(data)
        altered[offset] ^= 0x01
        assert key_log.decode_key_log(bytes(altered)) != unaltered, offset
