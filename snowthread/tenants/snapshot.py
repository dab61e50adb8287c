"""The snapshot on disk: what was known, for a cold start while the directory is down.

A file is one header line and one line of JSON. The header names the format, its version, the length and a
BLAKE2b digest of the rest, so a torn, foreign or older file is told from a good one and refused as a whole.
It is written to a new file in the same folder, synced, renamed over the old one, and the folder is synced:
a crash leaves the old file or the new one. A child process does that, since a sync may take long and the
loop must not wait for it.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from ipaddress import ip_network
from pathlib import Path
from typing import Any

import orjson

from snowthread.tenants.model import Status, Tenant

MAGIC, VERSION = b"snowthread-tenants", 1
CLOSED_TO = 4096  # descriptors that the child closes
FILE_MAX = 512 * 1024 * 1024


class SnapshotError(ValueError):
    """Why a file is no snapshot that can be used."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What is written: the tenants, when the directory last agreed with them, and where to go on."""

    tenants: tuple[Tenant, ...]
    agreed_at: float
    source: str  # base and filter: a snapshot of another question is foreign
    home: str = ""
    cookie: bytes | None = None


def encode(snapshot: Snapshot) -> bytes:
    """The file's bytes."""
    body = orjson.dumps(
        {
            "agreed_at": snapshot.agreed_at,
            "source": snapshot.source,
            "home": snapshot.home,
            "cookie": None if snapshot.cookie is None else snapshot.cookie.hex(),
            "tenants": [
                [
                    t.id,
                    t.name,
                    t.status.value,
                    t.quota_per_s,
                    [str(n) for n in t.networks],
                    [list(r) for r in t.balancers],
                    sorted(t.classes),
                    t.modified_at,
                ]
                for t in snapshot.tenants
            ],
        }
    )
    digest = blake2b(body, digest_size=16).hexdigest().encode()
    return b"%s %d %d %s\n%s\n" % (MAGIC, VERSION, len(body), digest, body)


def decode(data: bytes) -> Snapshot:
    """A file's contents; SnapshotError says what is wrong with it."""
    head, newline, body = data.partition(b"\n")
    words = head.split(b" ")
    if not newline or words[0] != MAGIC:
        raise SnapshotError("not a snapshot of tenants")
    if len(words) != 4 or words[1] != str(VERSION).encode():
        raise SnapshotError(f"a format other than version {VERSION}")
    if words[2] != str(len(body) - 1).encode() or not body.endswith(b"\n"):
        raise SnapshotError("cut short, or longer than it says")
    if blake2b(body[:-1], digest_size=16).hexdigest().encode() != words[3]:
        raise SnapshotError("its contents don't match its checksum")
    try:
        fields = orjson.loads(body)
        cookie = fields["cookie"]
        return Snapshot(
            tuple(_tenant(row) for row in fields["tenants"]),
            float(fields["agreed_at"]),
            str(fields["source"]),
            str(fields["home"]),
            None if cookie is None else bytes.fromhex(cookie),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise SnapshotError(f"can't be read: {type(error).__name__}") from None


def _tenant(row: list[Any]) -> Tenant:
    tenant_id, name, status, quota, networks, ranges, classes, stamp = row
    return Tenant(
        str(tenant_id),
        str(name),
        Status(status),
        float(quota),
        tuple(ip_network(n) for n in networks),
        tuple((int(a), int(b)) for a, b in ranges),
        frozenset(map(str, classes)),
        str(stamp),
    )


def read(path: Path, source: str) -> Snapshot:
    """Read a snapshot of this question; SnapshotError in any other case."""
    try:
        if path.stat().st_size > FILE_MAX:
            raise SnapshotError(f"larger than {FILE_MAX} bytes")
        data = path.read_bytes()
    except OSError as error:
        raise SnapshotError(error.strerror or str(error)) from None
    snapshot = decode(data)
    if snapshot.source != source:
        raise SnapshotError("it belongs to another directory, base or filter")
    return snapshot


def write(path: Path, data: bytes) -> None:
    """Replace the file by these bytes, durably; OSError where that fails, with the old file left."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(fd, view) :]
            os.fsync(fd)
        finally:
            os.close(fd)
        os.rename(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class Writer:
    """Writes snapshots in a child process, one at a time."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._child = 0

    @property
    def busy(self) -> bool:
        """Is a child still writing?"""
        return self._child != 0

    def start(
        self, tenants: Iterable[Tenant], agreed_at: float, source: str, home: str, cookie: bytes | None
    ) -> None:
        """Write what is known now. Encoding is the child's work too: it has its own copy of all of it."""
        pid = os.fork()
        if pid:
            self._child = pid
            return
        code = 1
        try:
            # A disk that hangs must not keep the node's sockets bound after the node is gone.
            os.closerange(3, CLOSED_TO)
            write(self.path, encode(Snapshot(tuple(tenants), agreed_at, source, home, cookie)))
            code = 0
        except OSError as error:
            code = error.errno or 1
        finally:
            os._exit(min(code, 255))  # nothing of the parent's may run here: not its exit, not its loop

    def finished(self) -> str | None:
        """None while it goes on or nothing was begun; else the error, empty where it went well."""
        if not self._child:
            return None
        try:
            pid, status = os.waitpid(self._child, os.WNOHANG)
        except ChildProcessError:
            pid, status = self._child, 0
        if not pid:
            return None
        self._child = 0
        code = os.waitstatus_to_exitcode(status)
        return "" if code == 0 else (os.strerror(code) if code > 0 else f"ended by signal {-code}")
