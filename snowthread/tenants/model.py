"""What a tenant is."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Network, IPv6Network

Network = IPv4Network | IPv6Network
DEFAULT_TENANT_ID = "default"  # the tenant of callers that nobody knows


class Status(Enum):
    """May its requests be taken?"""

    ACTIVE = "active"
    SUSPENDED = "suspended"


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant. ``id`` stays the same when it is renamed; ``quota_per_s`` is the fleet's requests a second
    within its share, 0 for none; ``balancers`` are ranges of numbers, both ends included; no ``classes``:
    all of them; ``stamp``: when it was last changed, as the directory writes times (empty: not told)."""

    id: str
    name: str
    status: Status = Status.ACTIVE
    quota_per_s: float = 0.0
    networks: tuple[Network, ...] = ()
    balancers: tuple[tuple[int, int], ...] = ()
    classes: frozenset[str] = frozenset()
    modified_at: str = ""


class IdentifiedBy(Enum):
    """By which rule a caller was told."""

    BALANCER = "the balancer's number"
    NETWORK = "the network"
    UNKNOWN = "nothing: the default tenant"


@dataclass(frozen=True, slots=True)
class Identity:
    """Whose caller it is, and how that is known."""

    tenant_id: str
    identified_by: IdentifiedBy
    network: str = ""


UNKNOWN_IDENTITY = Identity(DEFAULT_TENANT_ID, IdentifiedBy.UNKNOWN)
