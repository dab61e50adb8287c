"""The data model of tenants and of the identity of a client."""

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
    """A range of balancer numbers, including both ends."""

    first: int
    last: int


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant; ``id`` does not change when the tenant is renamed."""

    id: str
    name: str
    status: TenantStatus = TenantStatus.ACTIVE
    quota_per_s: float = 0.0  # quota in requests per second over all nodes; 0: no quota
    networks: tuple[Network, ...] = ()
    balancers: tuple[BalancerRange, ...] = ()
    classes: frozenset[str] = frozenset()  # request classes that the tenant may send; empty: all
    modified_at: str = ""  # timestamp in the format of the directory; empty: unknown


class IdentifiedBy(Enum):
    """The rule that identified the tenant of a client."""

    BALANCER = "balancer number"
    NETWORK = "network"
    UNKNOWN = "unknown client"  # no tenant owns the client, so the default tenant applies


@dataclass(frozen=True, slots=True)
class Identity:
    """The tenant of a client, the rule that identified it and, for ``NETWORK``, the matching network."""

    tenant_id: str
    identified_by: IdentifiedBy
    network: str = ""


UNKNOWN_IDENTITY = Identity(DEFAULT_TENANT_ID, IdentifiedBy.UNKNOWN)
