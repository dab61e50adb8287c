"""The snapshot file: damaged files are rejected, and a failed write leaves the old file."""

from __future__ import annotations

import errno
import os
import time
from ipaddress import ip_network
from pathlib import Path

import pytest

from snowthread.tenants import snapshot as tenant_snapshot
from snowthread.tenants.model import BalancerRange, Tenant, TenantStatus
from snowthread.tenants.snapshot_writer import SnapshotWriter, WriteResult

CHILD_TIMEOUT_S = 20.0
NETWORKS = ip_network("10.0.0.0/8"), ip_network("2001:db8::/32")
TENANTS = (
    Tenant(
        "a",
        "Farbhof",
        TenantStatus.SUSPENDED,
        2.5,
        NETWORKS,
        (BalancerRange(1, 4),),
        frozenset({"match"}),
        "2026Z",
    ),
    Tenant("b", "Tinte ü"),
)
SNAPSHOT = tenant_snapshot.Snapshot(TENANTS, 1234.5, "dc=x?(cn=*)", "ldap://10.0.0.1:389", b"\x00cookie\n")


def test_a_written_snapshot_is_read_back(tmp_path: Path) -> None:
    path = tmp_path / "tenants.snapshot"
    tenant_snapshot.write(path, tenant_snapshot.encode(SNAPSHOT))
    assert tenant_snapshot.read(path, SNAPSHOT.query_text) == SNAPSHOT
    assert path.stat().st_mode & 0o777 == 0o600 and list(tmp_path.iterdir()) == [path]


def test_a_truncated_or_flipped_file_is_rejected_at_any_byte() -> None:
    data = tenant_snapshot.encode(SNAPSHOT)
    for size in range(len(data)):
        with pytest.raises(tenant_snapshot.SnapshotError):
            tenant_snapshot.decode(data[:size])
    for position in range(len(data)):
        damaged = bytearray(data)
        damaged[position] ^= 0x01
        with pytest.raises(tenant_snapshot.SnapshotError):
            tenant_snapshot.decode(bytes(damaged))
    with pytest.raises(tenant_snapshot.SnapshotError):
        tenant_snapshot.decode(data + b"x")


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (tenant_snapshot.encode(SNAPSHOT).replace(b"tenants 1 ", b"tenants 2 "), "version"),
        (b"", "not a snapshot"),
        (b"#!/bin/sh\n", "not a snapshot"),
        (os.urandom(500), "not a snapshot"),
    ],
    ids=["another version", "empty", "a script", "noise"],
)
def test_other_versions_and_foreign_files_are_rejected(data: bytes, message: str) -> None:
    with pytest.raises(tenant_snapshot.SnapshotError, match=message):
        tenant_snapshot.decode(data)


def test_the_snapshot_of_another_query_and_a_missing_file_are_rejected(tmp_path: Path) -> None:
    path = tmp_path / "s"
    tenant_snapshot.write(path, tenant_snapshot.encode(SNAPSHOT))
    with pytest.raises(tenant_snapshot.SnapshotError, match="taken with another search base or filter"):
        tenant_snapshot.read(path, "dc=y?(cn=*)")
    with pytest.raises(tenant_snapshot.SnapshotError, match="No such file"):
        tenant_snapshot.read(tmp_path / "none", "")


@pytest.mark.parametrize("step", ["write", "fsync", "rename"])
def test_a_write_that_fails_at_any_step_leaves_the_old_file(
    tmp_path: Path, step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "tenants.snapshot"
    tenant_snapshot.write(path, tenant_snapshot.encode(SNAPSHOT))
    before = path.read_bytes()

    def fail(*_: object) -> int:
        raise OSError(errno.ENOSPC, "no space")

    with monkeypatch.context() as patched:
        patched.setattr(os, step, fail)
        with pytest.raises(OSError, match="no space"):
            tenant_snapshot.write(path, b"new")
    assert path.read_bytes() == before and list(tmp_path.iterdir()) == [path]


def wait_for_result(writer: SnapshotWriter) -> WriteResult:
    deadline = time.monotonic() + CHILD_TIMEOUT_S
    while time.monotonic() < deadline:
        result = writer.poll()
        if result is not None:
            return result
        time.sleep(0.01)
    raise AssertionError("the child never ended")


def test_a_child_process_writes_the_snapshot_and_reports_the_end(tmp_path: Path) -> None:
    writer = SnapshotWriter(tmp_path / "s")
    assert writer.poll() is None
    writer.start(TENANTS, 1234.5, SNAPSHOT.query_text, SNAPSHOT.source_server, SNAPSHOT.cookie)
    assert writer.busy
    assert wait_for_result(writer) == WriteResult()
    assert not writer.busy
    assert tenant_snapshot.read(tmp_path / "s", SNAPSHOT.query_text) == SNAPSHOT


def test_a_child_process_that_fails_reports_the_error(tmp_path: Path) -> None:
    writer = SnapshotWriter(tmp_path / "none" / "s")
    writer.start(TENANTS, 0.0, "", "", None)
    assert "No such file" in wait_for_result(writer).error
