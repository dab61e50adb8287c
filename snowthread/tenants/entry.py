"""Parse a directory entry into a tenant.

Parsing is lenient about spelling (case, spaces, synonyms of a status) and strict about values. One invalid
value makes the whole entry invalid, because a tenant must not be served with a partly understood quota or set
of networks. If the entry of a known tenant becomes invalid, the tenant stays as it was.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import astuple, dataclass
from ipaddress import ip_network

from snowthread.ldap import dn
from snowthread.tenants.model import BalancerRange, Network, Tenant, TenantStatus

MAX_NAME_LENGTH = 256
MAX_NETWORKS = 4096
MAX_BALANCER_RANGES = 1024
MAX_CLASSES = 256
MAX_QUOTA_PER_S = 1e9
MAX_QUOTED_CHARS = 40  # characters of an invalid value that an error message quotes
MAX_QUOTED_NETWORK_CHARS = 60  # characters of an invalid network that an error message quotes
NAME_ATTRIBUTE = "cn"
_QUOTA_PATTERN = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_BALANCER_RANGE_PATTERN = re.compile(r"([0-9]{1,18})(?:\s*-\s*([0-9]{1,18}))?")
_STATUS_BY_TEXT = {
    "active": TenantStatus.ACTIVE,
    "enabled": TenantStatus.ACTIVE,
    "true": TenantStatus.ACTIVE,
    "suspended": TenantStatus.SUSPENDED,
    "disabled": TenantStatus.SUSPENDED,
    "false": TenantStatus.SUSPENDED,
}

Attributes = Mapping[str, tuple[bytes, ...]]  # attribute values by lower-cased attribute name


@dataclass(frozen=True, slots=True)
class AttributeNames:
    """The lower-cased names of the attributes that describe a tenant in this directory."""

    id: str = "entryuuid"
    name: str = "cn"
    status: str = "snowthreadstatus"
    quota: str = "snowthreadquota"
    network: str = "snowthreadnetwork"
    balancer: str = "snowthreadbalancer"
    allowed_classes: str = "snowthreadclass"
    modified_at: str = "modifytimestamp"

    def all(self) -> tuple[str, ...]:
        """Return the names of all these attributes, in the order of the fields; a search requests them."""
        return astuple(self)


@dataclass(frozen=True, slots=True)
class BadEntry:
    """An entry that can't be parsed into a tenant; ``tenant_id`` is empty if the id can't be read either."""

    dn: str
    tenant_id: str
    reason: str


def read_tenant(
    entry_dn: str,
    attributes: Attributes,
    names: AttributeNames,
    base: dn.DistinguishedName,
    uuid: str = "",
) -> Tenant | BadEntry:
    """Return the tenant that an entry describes, or a BadEntry with the reason why the entry is invalid.

    Args:
        entry_dn: The distinguished name of the entry.
        attributes: The attributes of the entry.
        names: The names of the attributes to read.
        base: The search base; an entry outside it is invalid.
        uuid: The entry's UUID in hex from content synchronisation; if empty, the id is read from the
            attributes, or else derived from the distinguished name.
    """
    tenant_id = uuid
    try:
        if not tenant_id:
            tenant_id = _read_id(entry_dn, attributes, names)
        _check_base(entry_dn, base)
        return Tenant(
            id=tenant_id,
            name=_read_name(attributes, names.name),
            status=_read_status(attributes, names.status),
            quota_per_s=_read_quota(attributes, names.quota),
            networks=_read_networks(attributes, names.network),
            balancers=_read_balancers(attributes, names.balancer),
            classes=_read_classes(attributes, names.allowed_classes),
            modified_at=_single_value(attributes, names.modified_at) or "",
        )
    except ValueError as error:
        return BadEntry(entry_dn[:MAX_NAME_LENGTH], tenant_id, str(error))


def _check_base(entry_dn: str, base: dn.DistinguishedName) -> None:
    if not dn.ends_with_base(entry_dn, base) and not dn.parse(entry_dn).is_below(base):
        raise ValueError("the entry is outside the search base")


def _values(attributes: Attributes, name: str) -> list[str]:
    return [value.decode().strip() for value in attributes.get(name, ())]


def _single_value(attributes: Attributes, name: str) -> str | None:
    """Return the value of an attribute, or None if it has none; of several values of ``cn`` the least one.

    Raises:
        ValueError: An attribute other than ``cn`` has several values.
    """
    values = _values(attributes, name)
    if len(values) > 1:
        if name == NAME_ATTRIBUTE:  # names may have several spellings; all nodes use the least one
            return min(values)
        raise ValueError(f"{name}: expected one value, found {len(values)}")
    return values[0] if values else None


def _read_id(entry_dn: str, attributes: Attributes, names: AttributeNames) -> str:
    value = _single_value(attributes, names.id)
    return value.replace("-", "").lower() if value else f"dn:{dn.parse(entry_dn).key}"


def _read_name(attributes: Attributes, name: str) -> str:
    text = _single_value(attributes, name)
    if not text:
        raise ValueError(f"{name}: the tenant name is missing or empty")
    if len(text) > MAX_NAME_LENGTH or not text.isprintable():
        raise ValueError(f"{name}: the tenant name is too long or has unprintable characters")
    return text


def _read_status(attributes: Attributes, name: str) -> TenantStatus:
    text = _single_value(attributes, name)
    if text is None:
        return TenantStatus.ACTIVE
    if text.lower() not in _STATUS_BY_TEXT:
        raise ValueError(f"{name}: {text[:MAX_QUOTED_CHARS]!r} is not a known status")
    return _STATUS_BY_TEXT[text.lower()]


def _read_quota(attributes: Attributes, name: str) -> float:
    text = _single_value(attributes, name)
    if text is None:
        return 0.0
    if not _QUOTA_PATTERN.fullmatch(text) or not float(text) <= MAX_QUOTA_PER_S:
        raise ValueError(f"{name}: {text[:MAX_QUOTED_CHARS]!r} is not a valid number of requests per second")
    return float(text)


def _read_networks(attributes: Attributes, name: str) -> tuple[Network, ...]:
    texts = _values(attributes, name)
    if len(texts) > MAX_NETWORKS:
        raise ValueError(f"{name}: {len(texts)} networks, at most {MAX_NETWORKS} are allowed")
    networks: set[Network] = set()
    for text in texts:
        try:
            networks.add(ip_network(text, strict=False))
        except ValueError:
            raise ValueError(f"{name}: {text[:MAX_QUOTED_NETWORK_CHARS]!r} is not a network") from None
    return tuple(sorted(networks, key=lambda n: (n.version, int(n.network_address), n.prefixlen)))


def _read_balancers(attributes: Attributes, name: str) -> tuple[BalancerRange, ...]:
    texts = _values(attributes, name)
    if len(texts) > MAX_BALANCER_RANGES:
        raise ValueError(f"{name}: {len(texts)} ranges, at most {MAX_BALANCER_RANGES} are allowed")
    return tuple(sorted(_read_range(text, name) for text in texts))


def _read_range(text: str, name: str) -> BalancerRange:
    match = _BALANCER_RANGE_PATTERN.fullmatch(text)
    if match is not None:
        balancers = BalancerRange(int(match[1]), int(match[2] or match[1]))
        if balancers.first <= balancers.last:
            return balancers
    raise ValueError(f"{name}: {text[:MAX_QUOTED_CHARS]!r} is neither a balancer number nor a range of them")


def _read_classes(attributes: Attributes, name: str) -> frozenset[str]:
    texts = _values(attributes, name)
    if len(texts) > MAX_CLASSES or not all(texts):
        raise ValueError(f"{name}: too many request classes, or an empty class name")
    return frozenset(texts)
