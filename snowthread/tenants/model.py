"""What a tenant is, and the identity of a client."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Network, IPv6Network
from typing import NamedTuple

Network = IPv4Network | IPv6Network
DEFAULT_TENANT_ID = "default"  # the tenant of clients that no other tenant owns


class TenantStatus(Enum):
    """Whether a tenant's requests are accepted."""

    ACTIVE = "active"
    SUSPENDED = "suspended"


class BalancerRange(NamedTuple):
    """A range of balancers' numbers, both ends included."""

    first: int
    last: int


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant; its ``id`` stays the same when it is renamed."""

    id: str
    name: str
    status: TenantStatus = TenantStatus.ACTIVE
    quota_per_s: float = 0.0  # requests a second within its quota, over all nodes; 0: no quota
    networks: tuple[Network, ...] = ()
    balancers: tuple[BalancerRange, ...] = ()
    classes: frozenset[str] = frozenset()  # of requests that it may send; empty: all
    modified_at: str = ""  # as the directory writes times; empty: unknown


class IdentifiedBy(Enum):
    """The rule that identified a client."""

    BALANCER = "the balancer's number"
    NETWORK = "the network"
    UNKNOWN = "nothing: the default tenant"


@dataclass(frozen=True, slots=True)
class Identity:
    """The tenant of a client, and how it was identified."""

    tenant_id: str
    identified_by: IdentifiedBy
    network: str = ""


UNKNOWN_IDENTITY = Identity(DEFAULT_TENANT_ID, IdentifiedBy.UNKNOWN)
