"""The snapshot: every cut and every flipped byte is told from a good file, and a crash leaves one of two."""

from __future__ import annotations

import errno
import os
import time
from ipaddress import ip_network
from pathlib import Path

import pytest

from snowthread.tenants import snapshot as tenant_snapshot
from snowthread.tenants.model import Status, Tenant

NETWORKS = ip_network("10.0.0.0/8"), ip_network("2001:db8::/32")
TENANTS = (
    Tenant("a", "Farbhof", Status.SUSPENDED, 2.5, NETWORKS, ((1, 4),), frozenset({"match"}), "2026Z"),
    Tenant("b", "Tinte ü"),
)
SNAPSHOT = tenant_snapshot.Snapshot(TENANTS, 1234.5, "dc=x?(cn=*)", "ldap://10.0.0.1:389", b"\x00cookie\n")


def test_what_is_written_is_read_again(tmp_path: Path) -> None:
    path = tmp_path / "tenants.snapshot"
    tenant_snapshot.write(path, tenant_snapshot.encode(SNAPSHOT))
    assert tenant_snapshot.read(path, SNAPSHOT.source) == SNAPSHOT
    assert path.stat().st_mode & 0o777 == 0o600 and os.listdir(tmp_path) == [path.name]


def test_a_file_cut_at_any_byte_or_with_any_byte_flipped_is_refused() -> None:
    data = tenant_snapshot.encode(SNAPSHOT)
    for size in range(len(data)):
        with pytest.raises(tenant_snapshot.SnapshotError):
            tenant_snapshot.decode(data[:size])
    for at in range(len(data)):
        spoilt = bytearray(data)
        spoilt[at] ^= 0x01
        with pytest.raises(tenant_snapshot.SnapshotError):
            tenant_snapshot.decode(bytes(spoilt))
    with pytest.raises(tenant_snapshot.SnapshotError):
        tenant_snapshot.decode(data + b"x")


def test_other_versions_and_foreign_files_are_refused(tmp_path: Path) -> None:
    data = tenant_snapshot.encode(SNAPSHOT)
    for bad, word in (
        (data.replace(b"tenants 1 ", b"tenants 2 "), "version"),
        (b"", "not a snapshot"),
        (b"#!/bin/sh\n", "not a snapshot"),
        (os.urandom(500), "not a snapshot"),
    ):
        with pytest.raises(tenant_snapshot.SnapshotError, match=word):
            tenant_snapshot.decode(bad)
    path = tmp_path / "s"
    tenant_snapshot.write(path, data)
    with pytest.raises(tenant_snapshot.SnapshotError, match="another directory"):
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

    def full(*_: object) -> int:
        raise OSError(errno.ENOSPC, "no space")

    with monkeypatch.context() as patched:
        patched.setattr(os, step, full)
        with pytest.raises(OSError, match="no space"):
            tenant_snapshot.write(path, b"new")
    assert path.read_bytes() == before and os.listdir(tmp_path) == [path.name]


def test_a_child_writes_and_tells_how_it_went(tmp_path: Path) -> None:
    def over(writer: tenant_snapshot.Writer) -> str:
        end = time.monotonic() + 20.0
        while time.monotonic() < end:
            error = writer.finished()
            if error is not None:
                return error
            time.sleep(0.01)
        raise AssertionError("the child never ended")

    good, bad = tenant_snapshot.Writer(tmp_path / "s"), tenant_snapshot.Writer(tmp_path / "none" / "s")
    assert good.finished() is None
    good.start(TENANTS, 1234.5, SNAPSHOT.source, SNAPSHOT.home, SNAPSHOT.cookie)
    assert good.busy and over(good) == "" and not good.busy
    assert tenant_snapshot.read(tmp_path / "s", SNAPSHOT.source) == SNAPSHOT
    bad.start(TENANTS, 0.0, "", "", None)
    assert "No such file" in over(bad)
