"""What version 4b467b1 stored, read and written anew by the present version: the same values, the same bytes.

The data in ``tests/data/stored`` was made once, with version 4b467b1, from the literal values below: the
record files by the writer's ``Files`` (a failed batch lies between the two), the others by the ``encode`` or
``write`` function of their format. ``roster_reports.txt`` has one report datagram a line. The files are not
to be made anew: one that can't be read any more means that a node can't read what an earlier version left.
"""

from __future__ import annotations

import json
from dataclasses import replace
from ipaddress import ip_network
from pathlib import Path

import pytest

from snowthread import config
from snowthread.admission.settings import Outcome
from snowthread.clients.registry import encode_report
from snowthread.core import events
from snowthread.core.idempotency import key_digest
from snowthread.core.reducer import reduce
from snowthread.core.state import AdmissionClock, State
from snowthread.records.frame import InvalidFrame, Reader, encode
from snowthread.records.model import KINDS, Fields, Record, Totals
from snowthread.records.observer import Observer
from snowthread.records.reader import Findings, Gap, merge
from snowthread.records.retention import Retention
from snowthread.records.writer import Files
from snowthread.recovery import key_log
from snowthread.recovery import storage as warm_disk
from snowthread.recovery.membership import FleetView, Membership, MemberStatus
from snowthread.recovery.snapshot import LearnedTimes, Snapshot, SnapshotVerdict, assess
from snowthread.recovery.snapshot import decode as decode_warm
from snowthread.recovery.snapshot import encode as encode_warm
from snowthread.tenants import snapshot as tenant_disk
from snowthread.tenants.model import Status, Tenant

ROOT = Path(__file__).parents[2]
STORED = ROOT / "tests" / "data" / "stored"
START = 1_764_576_000_000.0

# Records.

NODE, BOOT = "node/a", "5e0c71d2"
FIRST_FILE = "node_a-1764576000000-5e0c71d2-000001.records"
SECOND_FILE = "node_a-1764576005000-5e0c71d2-000003.records"  # the failed try to open one is counted

SECOND: Fields = {
    "ms": 3440.0,
    "totals": [
        ["match", "a", {"read": 2, "served": 1, "late": 1, "runs": 2}],
        ["dispense", "a", {"read": 2, "runs": 2}],
    ],
    "runs": {"match": [2, 100, 3311, 3311]},
    "calls": {"success": [1, 40, 40, 40]},
    "floors": {1: 5.0, 2: 5.0, 0: 5.0},
    "b": 0.0,
    "limit": 2.0,
    "mu": 0.0,
    "lambda": 0.0,
    "run_ages_s": {"match": 0.04},
    "held": 0,
    "running": 2,
    "calls_in_hand": 0,
    "keys": 2,
    "gauges": {},
}

BEFORE_FAILURE = (
    Record(
        NODE,
        BOOT,
        1,
        START,
        "start",
        {"version": "0.1.0", "pid": 4711, "format": 1, "classes": [["match", 3200.0, 9000.0]], "cores": 4},
    ),
    Record(NODE, BOOT, 2, START + 1.5, "config", {"taken": True, "text": "settings of nöde.json"}),
    Record(NODE, BOOT, 3, START + 2.0, "link", {"peer": "runtime", "up": True}),
    Record(NODE, BOOT, 4, START + 3.0, "list", {"taking": True}),
    Record(NODE, BOOT, 5, START + 4.25, "note", {"text": "run limit 4", "event": "decision.note"}),
    Record(NODE, BOOT, 6, START + 1000.0, "second", SECOND),
)
LOST_IN_FAILURE = (
    Record(NODE, BOOT, 7, START + 2000.0, "note", {"text": "lost"}),
    Record(NODE, BOOT, 8, START + 2500.0, "note", {"text": "lost too"}),
)
AFTER_FAILURE = (
    Record(NODE, BOOT, 9, START + 5000.0, "drain", {"left_ms": 3200.0}),
    Record(NODE, BOOT, 10, START + 5100.0, "gap", {"lost": 3, "why": "the writer is behind"}),
    Record(NODE, BOOT, 11, START + 5200.0, "end", {"how": "left", "seconds": 5.2}),
)
GAP_OF_WRITER = Record(NODE, BOOT, -1, START + 5000.0, "gap", {"lost": 2, "why": "File exists"})


def append_records(files: Files, records: tuple[Record, ...], now: float) -> None:
    """Append the records as one batch."""
    files.append(b"".join(encode(record) for record in records), len(records), now)


def write_record_files(folder: Path) -> None:
    """Write two files; the batch between them fails, as a file stands where the folder should be."""
    files = Files(folder, NODE, BOOT, Retention(file_ms=1000.0))
    append_records(files, BEFORE_FAILURE, START)
    moved = folder.with_name("moved")
    folder.rename(moved)
    folder.write_bytes(b"")
    append_records(files, LOST_IN_FAILURE, START + 2500.0)
    folder.unlink()
    moved.rename(folder)
    append_records(files, AFTER_FAILURE, START + 5000.0)
    files.close()


def observe_a_second() -> Fields:
    """The fields of a ``second`` record: one request served, one late, two open with keys."""
    settings = config.parse(json.loads((ROOT / "examples" / "node.json").read_bytes())).settings
    now = START
    state = State(settings, 7, ("core_use",), AdmissionClock(now))
    observer = Observer(settings, now)

    def post(message: events.Event) -> None:
        observer.observe(message, reduce(state, message, now), state, now)

    def request(number: int, class_name: str, key: str | None) -> str:
        attempt = f"{number:016x}"
        post(
            events.RequestReceived(
                (1, number),
                attempt,
                class_name,
                b"b",
                now - 5.0,
                5000.0,
                number % 3,
                20.0,
                0.5,
                key,
                tenant="a",
            )
        )
        return attempt

    post(events.RuntimeConnected(False, 0.0))
    served = request(1, "match", None)
    now += 100.0
    post(events.RunCompleted(served, Outcome.SUCCESS, 100.0, b"r"))
    late = request(2, "match", None)
    now += 3300.0
    post(events.RunCompleted(late, Outcome.SUCCESS, 3300.0, b"r"))
    calling = request(3, "dispense", "key-3")
    post(events.CallRequested(calling, 1, b"call"))
    now += 40.0
    post(events.CallCompleted(calling, Outcome.SUCCESS, 40.0, b"reply"))
    request(4, "dispense", "key-4")
    return observer.take_totals(state, now)


def read_record_files(folder: Path) -> tuple[list[Record], Findings]:
    """All records of a folder in their order, and what was wrong."""
    findings = Findings()
    return list(merge([folder], findings)), findings


def test_stored_records_are_read_with_their_fields_and_order() -> None:
    records, _ = read_record_files(STORED / "records")
    assert records == [*BEFORE_FAILURE, GAP_OF_WRITER, *AFTER_FAILURE]
    assert [record.kind for record in records] == [
        "start",
        "config",
        "link",
        "list",
        "note",
        "second",
        "gap",
        "drain",
        "gap",
        "end",
    ]
    assert [record.number for record in records] == [1, 2, 3, 4, 5, 6, -1, 9, 10, 11]
    assert {record.kind for record in records} == set(KINDS)
    assert records[0].node == "node/a" and records[0].boot == "5e0c71d2"
    assert records[1].at == 1_764_576_000_001.5 and records[1].fields["text"] == "settings of nöde.json"
    assert records[6].fields == {"lost": 2, "why": "File exists"}


def test_stored_records_lack_the_two_that_the_writer_lost() -> None:
    _, findings = read_record_files(STORED / "records")
    assert (findings.files, findings.records, findings.copies) == (2, 10, 0)
    assert findings.holes == [Gap("node/a", "5e0c71d2", 6, 2, START + 5000.0)]
    assert findings.spoilt == [] and findings.unreadable == []


def test_records_written_anew_have_the_stored_names_and_bytes(tmp_path: Path) -> None:
    folder = tmp_path / "records"
    folder.mkdir()
    write_record_files(folder)
    assert sorted(path.name for path in folder.iterdir()) == [FIRST_FILE, SECOND_FILE]
    for name in (FIRST_FILE, SECOND_FILE):
        assert (folder / name).read_bytes() == (STORED / "records" / name).read_bytes()


def test_an_observed_second_has_the_stored_fields() -> None:
    observed = observe_a_second()
    assert observed == SECOND
    assert list(observed) == list(SECOND)  # their order is that of the stored bytes


def test_totals_are_stored_under_their_names() -> None:
    totals = Totals(
        read=1,
        served=2,
        late=3,
        attached=4,
        refused=5,
        refused_held=6,
        refused_leaving=7,
        failed=8,
        failed_running=9,
        failed_calling=10,
        left=11,
        runs=12,
    )
    expected = {
        "read": 1,
        "served": 2,
        "late": 3,
        "attached": 4,
        "refused": 5,
        "refused_held": 6,
        "refused_leaving": 7,
        "failed": 8,
        "failed_running": 9,
        "failed_calling": 10,
        "left": 11,
        "runs": 12,
    }
    assert totals.plain() == expected
    assert list(totals.plain()) == list(expected)  # their order is that of the stored bytes


@pytest.mark.parametrize("name", [FIRST_FILE, SECOND_FILE])
def test_any_altered_byte_of_stored_records_is_told(name: str) -> None:
    data = (STORED / "records" / name).read_bytes()
    for offset in range(len(data)):
        altered = bytearray(data)
        altered[offset] ^= 0x01
        reader = Reader()
        found = reader.feed(bytes(altered)) + reader.end()
        assert any(isinstance(item, InvalidFrame) for item in found), offset


# Warm snapshot, incarnation and membership.

LEARNED = LearnedTimes(
    core_time_s={"dispense": 0.125, "match": 0.3},
    run_time_s={"dispense": 0.5, "match": 1.75},
    call_time_s={"dispense": 0.25},
    read_per_s=42.5,
)
WARM = Snapshot(9, 5, START, LEARNED)


def test_the_stored_warm_snapshot_is_read_with_what_was_learned() -> None:
    data = warm_disk.read(STORED / "warm")
    decoded = decode_warm(data)
    snapshot = decoded.snapshot
    assert (decoded.verdict, decoded.reason) == (SnapshotVerdict.FRESH, "") and snapshot is not None
    assert snapshot.generation == 9 and snapshot.incarnation == 5
    assert snapshot.written_ms == 1_764_576_000_000.0
    assert snapshot.learned.core_time_s == {"dispense": 0.125, "match": 0.3}
    assert snapshot.learned.run_time_s == {"dispense": 0.5, "match": 1.75}
    assert snapshot.learned.call_time_s == {"dispense": 0.25}
    assert snapshot.learned.read_per_s == 42.5


def test_the_stored_warm_snapshot_is_judged_fresh_stale_or_older() -> None:
    data = warm_disk.read(STORED / "warm")
    fresh = assess(data, generation=9, now_ms=START + 1000.0, fresh_for_ms=60_000.0)
    assert fresh.verdict is SnapshotVerdict.FRESH and fresh.initial_state == LEARNED
    assert (
        assess(data, generation=9, now_ms=START + 60_001.0, fresh_for_ms=60_000.0).verdict
        is SnapshotVerdict.STALE
    )
    assert assess(data, generation=10, now_ms=START, fresh_for_ms=60_000.0).verdict is SnapshotVerdict.OLDER


def test_a_warm_snapshot_written_anew_has_the_stored_name_and_bytes(tmp_path: Path) -> None:
    assert warm_disk.write(tmp_path, encode_warm(WARM)) is None
    assert (tmp_path / "warm.snap").read_bytes() == (STORED / "warm" / "warm.snap").read_bytes()


def test_any_altered_byte_of_the_stored_warm_snapshot_is_told() -> None:
    data = (STORED / "warm" / "warm.snap").read_bytes()
    for offset in range(len(data)):
        altered = bytearray(data)
        altered[offset] ^= 0x01
        assert decode_warm(bytes(altered)).snapshot is None, offset


def test_the_stored_incarnation_is_read_and_written_alike(tmp_path: Path) -> None:
    assert warm_disk.read_incarnation(STORED / "warm") == 5
    assert warm_disk.write_incarnation(tmp_path, 5) is None
    assert (tmp_path / "incarnation").read_bytes() == (STORED / "warm" / "incarnation").read_bytes() == b"5\n"


def member_reports() -> list[bytes]:
    """Report datagrams: a member that keeps no count yet, a cold and a warm one, and a node of no fleet."""
    return [
        encode_report("node-a", True, Membership(0, 3).report_suffix(True)),
        encode_report("node-a", True, Membership(5, 3).report_suffix(True)),
        encode_report("node-a", False, Membership(5, 3).report_suffix(False)),
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


def test_the_answer_to_a_membership_report_is_read() -> None:
    members = Membership(0, 3)
    assert members.handle_answer(b"FLEET 9 3 1 4", START)
    assert members.view == FleetView(generation=9, listed=3, cold=1, at_ms=START)
    assert members.incarnation == 5 and members.status is MemberStatus.MEMBER
    assert not members.handle_answer(b"FLOTE 9 3 1 4", START) and members.invalid_answers == 1


# Key ring.

RING_SLOTS = 8
RING_BLIND_UNTIL = START - 60_000.0
RING_KEYS = (("key-1", START + 1000.0), ("key-2", START + 2000.5), ("schlüssel-3", START + 3000.0))


def make_ring() -> bytes:
    """A small ring that holds three keys."""
    buffer = bytearray(key_log.new_key_log(RING_BLIND_UNTIL, RING_SLOTS))
    keys = key_log.KeyLog(memoryview(buffer), 0)
    for key, until in RING_KEYS:
        assert keys.append(key_digest(key), until, START)
    return bytes(buffer)


def test_the_stored_key_ring_holds_its_keys_until_their_times() -> None:
    found = key_log.read_key_log((STORED / "warm" / "keys.ring").read_bytes())
    assert found.verdict is key_log.KeyLogVerdict.WHOLE and found.reason == ""
    assert found.keys == {
        key_digest("key-1"): 1_764_576_001_000.0,
        key_digest("key-2"): 1_764_576_002_000.5,
        key_digest("schlüssel-3"): 1_764_576_003_000.0,
    }
    assert found.sequence == 3 and found.any_until_ms == 1_764_575_940_000.0


def test_key_digests_are_those_of_the_stored_ring() -> None:
    assert key_digest("key-1").hex() == "24b93e04aced8c2834c3d882514d708e"
    assert key_digest("schlüssel-3").hex() == "78bc5487ffb08c7ecfd6022f6b735b71"


def test_a_key_ring_written_anew_has_the_stored_bytes() -> None:
    assert make_ring() == (STORED / "warm" / "keys.ring").read_bytes()


def test_the_stored_key_ring_is_opened_and_gets_the_next_key(tmp_path: Path) -> None:
    (tmp_path / "keys.ring").write_bytes((STORED / "warm" / "keys.ring").read_bytes())
    result = warm_disk.open_key_log(tmp_path, 0.0)
    found, opened = result.found, result.key_log
    assert found.verdict is key_log.KeyLogVerdict.WHOLE and opened is not None and result.error is None
    assert opened.append(key_digest("key-4"), START + 4000.0, START)
    again = key_log.read_key_log((tmp_path / "keys.ring").read_bytes())
    assert again.sequence == 4 and again.keys[key_digest("key-4")] == START + 4000.0 and len(again.keys) == 4


def test_any_altered_byte_of_the_stored_key_ring_is_told() -> None:
    data = (STORED / "warm" / "keys.ring").read_bytes()
    whole = key_log.read_key_log(data)
    header = set(range(24))  # without its padding, which is not read
    slots = {32 + 40 * slot + offset for slot in (1, 2, 3) for offset in range(36)}
    for offset in sorted(header | slots):
        altered = bytearray(data)
        altered[offset] ^= 0x01
        assert key_log.read_key_log(bytes(altered)) != whole, offset


# Tenant snapshot.

SOURCE = "dc=mill,dc=example?(objectClass=organization)"
TENANTS = (
    Tenant(
        "t-1",
        "Farbhof",
        Status.SUSPENDED,
        2.5,
        (ip_network("10.0.0.0/8"), ip_network("2001:db8::/32")),
        ((1, 4), (9, 9)),
        frozenset({"dispense", "match"}),
        "20260102030405Z",
    ),
    Tenant("t-2", "Tinte ü", quota_per_s=120.0),
    Tenant("default", "others"),
)
TENANT_SNAPSHOT = tenant_disk.Snapshot(TENANTS, START, SOURCE, "ldap://10.0.0.1:389", b"\x00cookie\n")


def test_the_stored_tenant_snapshot_is_read_with_quotas_and_networks() -> None:
    snapshot = tenant_disk.read(STORED / "tenants.snapshot", SOURCE)
    assert snapshot == TENANT_SNAPSHOT
    first, second, third = snapshot.tenants
    assert first.id == "t-1" and first.name == "Farbhof"
    assert first.status is Status.SUSPENDED and first.quota_per_s == 2.5
    assert [str(network) for network in first.networks] == ["10.0.0.0/8", "2001:db8::/32"]
    assert first.balancers == ((1, 4), (9, 9)) and first.classes == {"dispense", "match"}
    assert first.modified_at == "20260102030405Z"
    assert second.id == "t-2" and second.name == "Tinte ü"
    assert second.status is Status.ACTIVE and second.quota_per_s == 120.0
    assert third.id == "default" and third.quota_per_s == 0.0 and third.networks == ()
    assert snapshot.agreed_at == 1_764_576_000_000.0 and snapshot.home == "ldap://10.0.0.1:389"
    assert snapshot.cookie == b"\x00cookie\n"


def test_the_stored_tenant_snapshot_of_another_source_is_refused() -> None:
    with pytest.raises(tenant_disk.SnapshotError, match="another directory"):
        tenant_disk.read(STORED / "tenants.snapshot", "dc=other")


def test_a_tenant_snapshot_written_anew_has_the_stored_bytes(tmp_path: Path) -> None:
    stored = (STORED / "tenants.snapshot").read_bytes()
    assert stored.startswith(b"snowthread-tenants 1 ")
    tenant_disk.write(tmp_path / "tenants.snapshot", tenant_disk.encode(TENANT_SNAPSHOT))
    assert (tmp_path / "tenants.snapshot").read_bytes() == stored
    without_cookie = replace(TENANT_SNAPSHOT, cookie=None, tenants=())
    assert tenant_disk.decode(tenant_disk.encode(without_cookie)) == without_cookie
