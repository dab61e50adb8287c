"""The operator's rules about tenants, as one value."""

from __future__ import annotations

from dataclasses import dataclass, field

from snowthread.tenants.model import Network
from snowthread.tenants.removal_guard import RemovalRules
from snowthread.tenants.staleness import StalenessRules
from snowthread.tenants.unknown_clients import UnknownClientRules


@dataclass(frozen=True, slots=True)
class TenantRules:
    """The operator's rules; a default quota of 0 means that there is none."""

    removal: RemovalRules = field(default_factory=RemovalRules)
    staleness: StalenessRules = field(default_factory=StalenessRules)
    unknown_clients: UnknownClientRules = field(default_factory=UnknownClientRules)
    default_quota_per_s: float = 0.0
    default_rejected: bool = False  # requests of unknown clients are rejected
    trusted_networks: tuple[Network, ...] = ()  # from which a balancer's number counts
