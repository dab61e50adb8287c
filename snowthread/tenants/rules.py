"""The operator's rules about tenants, combined in one value."""

from __future__ import annotations

from dataclasses import dataclass, field

from snowthread.tenants.model import Network
from snowthread.tenants.removal_guard import RemovalRules
from snowthread.tenants.staleness import StalenessRules
from snowthread.tenants.unknown_clients import UnknownClientRules


@dataclass(frozen=True, slots=True)
class TenantRules:
    """The operator's rules for removals, staleness, unknown clients and the default tenant."""

    removal: RemovalRules = field(default_factory=RemovalRules)
    staleness: StalenessRules = field(default_factory=StalenessRules)
    unknown_clients: UnknownClientRules = field(default_factory=UnknownClientRules)
    default_quota_per_s: float = 0.0  # requests per second of the default tenant; 0: no quota
    default_rejected: bool = False  # whether requests from unknown clients are rejected
    trusted_networks: tuple[Network, ...] = ()  # networks whose requests may name a balancer number
