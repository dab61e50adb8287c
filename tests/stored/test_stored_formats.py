"""Files that version 4b467b1 stored: this version reads the same values and writes the same bytes.

The files in ``tests/data/stored`` were written once, with version 4b467b1, from the literal values below: the
record files by its writer's class ``Files`` (a failed batch lies between the two files), the others by the
``encode`` or ``write`` function of their format. Do not regenerate them: a file that this version cannot read
means that a node cannot read what an earlier version left. Files stored for recovery have their own tests.
"""

from __future__ import annotations

import json
from dataclasses import replace
from ipaddress import ip_network
from pathlib import Path

import pytest

from snowthread import config
from snowthread.admission.settings import Outcome
from snowthread.core import events
from snowthread.core.reducer import reduce
from snowthread.core.state import AdmissionClock, NodeState
from snowthread.records.files import RecordFiles
from snowthread.records.frame import FrameReader, InvalidFrame, encode_record
from snowthread.records.model import KINDS, Record, RecordFields, RequestCounts
from snowthread.records.observer import Observer
from snowthread.records.reader import Findings, Gap, merge_records
from snowthread.records.retention import Retention
from snowthread.tenants import snapshot as tenant_snapshot
from snowthread.tenants.model import BalancerRange, Tenant, TenantStatus

ROOT = Path(__file__).parents[2]
STORED = ROOT / "tests" / "data" / "stored"
START = 1_764_576_000_000.0

# Records.

NODE, BOOT = "node/a", "5e0c71d2"
FIRST_FILE = "node_a-1764576000000-5e0c71d2-000001.records"
SECOND_FILE = (
    "node_a-1764576005000-5e0c71d2-000003.records"  # number 2 went to a failed attempt to open a file
)

SECOND: RecordFields = {
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


def append_records(files: RecordFiles, records: tuple[Record, ...], now: float) -> None:
    """Append the records to the files as one batch."""
    files.append(b"".join(encode_record(record) for record in records), len(records), now)


def write_record_files(folder: Path) -> None:
    """Write two files; the batch between them fails, because a file is in the place of the folder."""
    files = RecordFiles(folder, NODE, BOOT, Retention(file_ms=1000.0))
    append_records(files, BEFORE_FAILURE, START)
    moved = folder.with_name("moved")
    folder.rename(moved)
    folder.write_bytes(b"")
    append_records(files, LOST_IN_FAILURE, START + 2500.0)
    folder.unlink()
    moved.rename(folder)
    append_records(files, AFTER_FAILURE, START + 5000.0)
    files.close()


def request(number: int, class_name: str, key: str | None, now: float) -> events.RequestReceived:
    """Return a request of tenant ``a`` that was sent 5 ms ago."""
    return events.RequestReceived(
        (1, number),
        f"{number:016x}",
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


def observe_a_second() -> RecordFields:
    """Return the fields of a ``second`` record: one request in time, one late, two open with keys."""
    settings = config.parse(json.loads((ROOT / "examples" / "node.json").read_bytes())).settings
    now = START
    state = NodeState(settings, 7, ("core_use",), AdmissionClock(now))
    observer = Observer(settings, now)

    def post(message: events.Event) -> None:
        observer.observe(message, reduce(state, message, now), state, now)

    def post_request(number: int, class_name: str, key: str | None) -> str:
        received = request(number, class_name, key, now)
        post(received)
        return received.attempt_id

    post(events.RuntimeConnected(False, 0.0))
    served = post_request(1, "match", None)
    now += 100.0
    post(events.RunCompleted(served, Outcome.SUCCESS, 100.0, b"r"))
    late = post_request(2, "match", None)
    now += 3300.0
    post(events.RunCompleted(late, Outcome.SUCCESS, 3300.0, b"r"))
    calling = post_request(3, "dispense", "key-3")
    post(events.CallRequested(calling, 1, b"call"))
    now += 40.0
    post(events.CallCompleted(calling, Outcome.SUCCESS, 40.0, b"reply"))
    post_request(4, "dispense", "key-4")
    return observer.take_second_fields(state, now)


def read_record_files(folder: Path) -> tuple[list[Record], Findings]:
    """Return all records of a folder in their order, and the problems found."""
    findings = Findings()
    return list(merge_records([folder], findings)), findings


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
    assert records[1].at_ms == 1_764_576_000_001.5 and records[1].fields["text"] == "settings of nöde.json"
    assert records[6].fields == {"lost": 2, "why": "File exists"}


def test_stored_records_lack_the_two_that_the_writer_lost() -> None:
    _, findings = read_record_files(STORED / "records")
    assert (findings.files, findings.records, findings.duplicates) == (2, 10, 0)
    assert findings.gaps == [Gap("node/a", "5e0c71d2", 6, 2, START + 5000.0)]
    assert findings.corrupt_frames == [] and findings.unreadable == []


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
    assert list(observed) == list(SECOND)  # the stored bytes depend on the order of the fields


def test_totals_are_stored_under_their_names() -> None:
    totals = RequestCounts(
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
    assert totals.nonzero_counts() == expected
    # The stored bytes depend on the order of the counts.
    assert list(totals.nonzero_counts()) == list(expected)


@pytest.mark.parametrize("name", [FIRST_FILE, SECOND_FILE])
def test_any_altered_byte_of_stored_records_is_detected(name: str) -> None:
    data = (STORED / "records" / name).read_bytes()
    for offset in range(len(data)):
        altered = bytearray(data)
        altered[offset] ^= 0x01
        reader = FrameReader()
        found = reader.feed(bytes(altered)) + reader.end()
        assert any(isinstance(item, InvalidFrame) for item in found), offset


# Tenant snapshot.

SOURCE = "dc=mill,dc=example?(objectClass=organization)"
TENANTS = (
    Tenant(
        "t-1",
        "Farbhof",
        TenantStatus.SUSPENDED,
        2.5,
        (ip_network("10.0.0.0/8"), ip_network("2001:db8::/32")),
        (BalancerRange(1, 4), BalancerRange(9, 9)),
        frozenset({"dispense", "match"}),
        "20260102030405Z",
    ),
    Tenant("t-2", "Tinte ü", quota_per_s=120.0),
    Tenant("default", "others"),
)
TENANT_SNAPSHOT = tenant_snapshot.Snapshot(TENANTS, START, SOURCE, "ldap://10.0.0.1:389", b"\x00cookie\n")


def test_the_stored_tenant_snapshot_is_read_with_quotas_and_networks() -> None:
    snapshot = tenant_snapshot.read(STORED / "tenants.snapshot", SOURCE)
    assert snapshot == TENANT_SNAPSHOT
    first, second, third = snapshot.tenants
    assert first.id == "t-1" and first.name == "Farbhof"
    assert first.status is TenantStatus.SUSPENDED and first.quota_per_s == 2.5
    assert [str(network) for network in first.networks] == ["10.0.0.0/8", "2001:db8::/32"]
    assert first.balancers == ((1, 4), (9, 9)) and first.classes == {"dispense", "match"}
    assert first.modified_at == "20260102030405Z"
    assert second.id == "t-2" and second.name == "Tinte ü"
    assert second.status is TenantStatus.ACTIVE and second.quota_per_s == 120.0
    assert third.id == "default" and third.quota_per_s == 0.0 and third.networks == ()
    assert snapshot.confirmed_at == 1_764_576_000_000.0 and snapshot.source_server == "ldap://10.0.0.1:389"
    assert snapshot.cookie == b"\x00cookie\n"


def test_the_stored_tenant_snapshot_of_another_source_is_refused() -> None:
    with pytest.raises(tenant_snapshot.SnapshotError, match="taken with another search base or filter"):
        tenant_snapshot.read(STORED / "tenants.snapshot", "dc=other")


def test_a_tenant_snapshot_written_anew_has_the_stored_bytes(tmp_path: Path) -> None:
    stored = (STORED / "tenants.snapshot").read_bytes()
    assert stored.startswith(b"snowthread-tenants 1 ")
    tenant_snapshot.write(tmp_path / "tenants.snapshot", tenant_snapshot.encode(TENANT_SNAPSHOT))
    assert (tmp_path / "tenants.snapshot").read_bytes() == stored
    without_cookie = replace(TENANT_SNAPSHOT, cookie=None, tenants=())
    assert tenant_snapshot.decode(tenant_snapshot.encode(without_cookie)) == without_cookie
