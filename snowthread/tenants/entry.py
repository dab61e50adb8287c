"""From a directory's entry to a tenant: strict about what decides, lenient about spelling.

A value that can't be read spoils its entry: a tenant whose quota or networks are half understood would be
served by guess. A spoilt entry of a tenant that is known leaves the tenant as it was.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import ip_network

from snowthread.ldap import dn
from snowthread.tenants.model import Network, Status, Tenant

MAX_NAME_LENGTH, MAX_NETWORKS, MAX_BALANCER_RANGES, MAX_CLASSES = 256, 4096, 1024, 256
MAX_QUOTA_PER_S = 1e9
BALANCER_MAX = 10**18
_NUMBER = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_RANGE = re.compile(r"([0-9]{1,18})(?:\s*-\s*([0-9]{1,18}))?")
_STATUS = {
    "active": Status.ACTIVE,
    "enabled": Status.ACTIVE,
    "true": Status.ACTIVE,
    "suspended": Status.SUSPENDED,
    "disabled": Status.SUSPENDED,
    "false": Status.SUSPENDED,
}


@dataclass(frozen=True, slots=True)
class AttributeNames:
    """The attributes' names at this directory, lower-cased."""

    id: str = "entryuuid"
    name: str = "cn"
    status: str = "snowthreadstatus"
    quota: str = "snowthreadquota"
    network: str = "snowthreadnetwork"
    balancer: str = "snowthreadbalancer"
    allowed_classes: str = "snowthreadclass"
    modified_at: str = "modifytimestamp"

    def all(self) -> tuple[str, ...]:
        """What a search asks for."""
        return (
            self.id,
            self.name,
            self.status,
            self.quota,
            self.network,
            self.balancer,
            self.allowed_classes,
            self.modified_at,
        )


@dataclass(frozen=True, slots=True)
class BadEntry:
    """An entry that says no tenant; ``id`` where that could be read."""

    dn: str
    tenant_id: str
    reason: str


def read_tenant(
    name: str,
    attributes: Mapping[str, tuple[bytes, ...]],
    names: AttributeNames,
    base: dn.DistinguishedName,
    uuid: str = "",
) -> Tenant | BadEntry:
    """The tenant that an entry says. ``uuid`` is the one that a synchronisation told, in hex."""
    tenant_id = uuid
    try:
        if not tenant_id:
            told = _one(attributes, names.id)
            tenant_id = told.replace("-", "").lower() if told else f"dn:{dn.parse(name).key}"
        if not dn.is_plainly_below(name, base) and not dn.parse(name).is_below(base):
            raise ValueError("it lies outside the base")
        label = _one(attributes, names.name)
        if not label:
            raise ValueError(f"{names.name}: missing")
        if len(label) > MAX_NAME_LENGTH or not label.isprintable():
            raise ValueError(f"{names.name}: too long or not printable")
        return Tenant(
            tenant_id,
            label,
            _status(_one(attributes, names.status), names.status),
            _quota(_one(attributes, names.quota), names.quota),
            _networks(_texts(attributes, names.network), names.network),
            _ranges(_texts(attributes, names.balancer), names.balancer),
            _classes(_texts(attributes, names.allowed_classes), names.allowed_classes),
            _one(attributes, names.modified_at) or "",
        )
    except ValueError as error:
        return BadEntry(name[:MAX_NAME_LENGTH], tenant_id, str(error))


def _texts(attributes: Mapping[str, tuple[bytes, ...]], name: str) -> list[str]:
    return [value.decode().strip() for value in attributes.get(name, ())]


def _one(attributes: Mapping[str, tuple[bytes, ...]], name: str) -> str | None:
    values = _texts(attributes, name)
    if len(values) > 1:
        if name == "cn":  # a name may have further spellings; the least is the same at every node
            return min(values)
        raise ValueError(f"{name}: {len(values)} values, one is wanted")
    return values[0] if values else None


def _status(text: str | None, name: str) -> Status:
    if text is None:
        return Status.ACTIVE
    if text.lower() not in _STATUS:
        raise ValueError(f"{name}: {text[:40]!r} is no status")
    return _STATUS[text.lower()]


def _quota(text: str | None, name: str) -> float:
    if text is None:
        return 0.0
    if not _NUMBER.fullmatch(text) or not float(text) <= MAX_QUOTA_PER_S:
        raise ValueError(f"{name}: {text[:40]!r} is no number of requests a second")
    return float(text)


def _networks(texts: list[str], name: str) -> tuple[Network, ...]:
    if len(texts) > MAX_NETWORKS:
        raise ValueError(f"{name}: {len(texts)} networks, at most {MAX_NETWORKS} are read")
    found: set[Network] = set()
    for text in texts:
        try:
            found.add(ip_network(text, strict=False))
        except ValueError:
            raise ValueError(f"{name}: {text[:60]!r} is no network") from None
    return tuple(sorted(found, key=lambda n: (n.version, int(n.network_address), n.prefixlen)))


def _ranges(texts: list[str], name: str) -> tuple[tuple[int, int], ...]:
    if len(texts) > MAX_BALANCER_RANGES:
        raise ValueError(f"{name}: {len(texts)} ranges, at most {MAX_BALANCER_RANGES} are read")
    out = []
    for text in texts:
        match = _RANGE.fullmatch(text)
        first = int(match[1]) if match else -1
        last = int(match[2] or match[1]) if match else -1
        if match is None or last < first:
            raise ValueError(f"{name}: {text[:40]!r} is no number and no range")
        out.append((first, last))
    return tuple(sorted(out))


def _classes(texts: list[str], name: str) -> frozenset[str]:
    if len(texts) > MAX_CLASSES or not all(texts):
        raise ValueError(f"{name}: too many classes, or an empty one")
    return frozenset(texts)
