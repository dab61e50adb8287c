"""The snapshot file of the known tenants, for a node that starts while the directory is down.

The file is one header line and one line of JSON, the body. The header holds the name of the format, its
version, and the length and BLAKE2b digest of the body, so that a truncated or foreign file, or one of another
version, is detected and rejected as a whole. A snapshot is written to a new file in the same folder, synced
and renamed over the old file, and then the folder is synced. A crash thus leaves the old file or the new one.
"""

from __future__ import annotations

import os
from collections.abc import Generator
from contextlib import contextmanager
from dataclasses import dataclass
from hashlib import blake2b
from ipaddress import ip_network
from pathlib import Path
from typing import Any

import orjson

from snowthread.tenants.model import BalancerRange, Tenant, TenantStatus

MAGIC = b"snowthread-tenants"
VERSION = 1
DIGEST_BYTES = 16
MAX_FILE_BYTES = 512 * 1024 * 1024
HEADER_FIELD_COUNT = 4  # magic, version, length of the body in bytes, digest of the body
FILE_MODE = 0o600


class SnapshotError(ValueError):
    """A snapshot file can't be used; the message says why."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The tenants, the time of their last confirmation, and the state to resume synchronisation from."""

    tenants: tuple[Tenant, ...]
    confirmed_at: float  # when the directory last confirmed the tenants, in milliseconds
    query_text: str  # search base and filter; a snapshot of another query is rejected
    source_server: str = ""  # the server that the tenants were read from
    cookie: bytes | None = None  # synchronisation cookie of that server


def encode(snapshot: Snapshot) -> bytes:
    """Return the bytes of the snapshot file."""
    body = orjson.dumps(
        {
            "agreed_at": snapshot.confirmed_at,
            "source": snapshot.query_text,
            "home": snapshot.source_server,
            "cookie": None if snapshot.cookie is None else snapshot.cookie.hex(),
            "tenants": [_encode_tenant(tenant) for tenant in snapshot.tenants],
        }
    )
    return b"%s %d %d %s\n%s\n" % (MAGIC, VERSION, len(body), _digest(body), body)


def decode(data: bytes) -> Snapshot:
    """Return the snapshot that the bytes of a file contain.

    Raises:
        SnapshotError: The bytes are damaged or have another format.
    """
    header, newline, body = data.partition(b"\n")
    header_fields = header.split(b" ")
    if not newline or header_fields[0] != MAGIC:
        raise SnapshotError("not a snapshot of tenants")
    if len(header_fields) != HEADER_FIELD_COUNT or header_fields[1] != str(VERSION).encode():
        raise SnapshotError(f"unsupported format, only version {VERSION} can be read")
    if header_fields[2] != str(len(body) - 1).encode() or not body.endswith(b"\n"):
        raise SnapshotError("truncated, or longer than its header says")
    if _digest(body[:-1]) != header_fields[3]:
        raise SnapshotError("the content does not match its digest")
    try:
        fields = orjson.loads(body)
        cookie = fields["cookie"]
        return Snapshot(
            tuple(_decode_tenant(row) for row in fields["tenants"]),
            float(fields["agreed_at"]),
            str(fields["source"]),
            str(fields["home"]),
            None if cookie is None else bytes.fromhex(cookie),
        )
    except (ValueError, KeyError, TypeError) as error:
        raise SnapshotError(f"invalid content: {type(error).__name__}") from None


def _digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest().encode()


def _encode_tenant(tenant: Tenant) -> list[Any]:
    return [
        tenant.id,
        tenant.name,
        tenant.status.value,
        tenant.quota_per_s,
        [str(network) for network in tenant.networks],
        [list(balancers) for balancers in tenant.balancers],
        sorted(tenant.classes),
        tenant.modified_at,
    ]


def _decode_tenant(row: list[Any]) -> Tenant:
    tenant_id, name, status, quota_per_s, networks, balancers, classes, modified_at = row
    return Tenant(
        id=str(tenant_id),
        name=str(name),
        status=TenantStatus(status),
        quota_per_s=float(quota_per_s),
        networks=tuple(ip_network(network) for network in networks),
        balancers=tuple(BalancerRange(int(first), int(last)) for first, last in balancers),
        classes=frozenset(map(str, classes)),
        modified_at=str(modified_at),
    )


def read(path: Path, query_text: str) -> Snapshot:
    """Return the snapshot in a file if it was taken with this ``query_text`` (search base and filter).

    Raises:
        SnapshotError: The file can't be read, is damaged or was taken with another query text.
    """
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise SnapshotError(f"larger than {MAX_FILE_BYTES} bytes")
        data = path.read_bytes()
    except OSError as error:
        raise SnapshotError(error.strerror or str(error)) from None
    snapshot = decode(data)
    if snapshot.query_text != query_text:
        raise SnapshotError("taken with another search base or filter")
    return snapshot


def write(path: Path, data: bytes) -> None:
    """Replace the content of the file atomically and durably.

    Raises:
        OSError: The write failed; before the rename the old file is left unchanged.
    """
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        with _open_descriptor(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC) as fd:
            view = memoryview(data)
            while view:
                view = view[os.write(fd, view) :]
            os.fsync(fd)
        temporary.rename(path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    with _open_descriptor(path.parent, os.O_RDONLY | os.O_DIRECTORY) as folder:
        os.fsync(folder)


@contextmanager
def _open_descriptor(path: Path, flags: int) -> Generator[int, None, None]:
    """Open a file descriptor and close it at the end of the ``with`` block."""
    fd = os.open(path, flags, FILE_MODE)
    try:
        yield fd
    finally:
        os.close(fd)
