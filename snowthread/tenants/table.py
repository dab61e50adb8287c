"""Map a client to its tenant, by networks in prefix tries and by balancer number ranges.

The longest matching prefix wins. If several tenants claim the same network or balancer number, the one with
the least id owns it; a later claim by a tenant with a smaller id takes over at once. The result thus depends
only on the set of tenants, not on the order of changes, so all nodes agree. A balancer number in a request
counts only if the request comes from a network that the operator trusts; otherwise the client address alone
decides.
"""

from __future__ import annotations

from bisect import insort
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from pytricia import PyTricia

from snowthread.tenants.balancer_ranges import BalancerRanges
from snowthread.tenants.client_address import parse_client_address
from snowthread.tenants.conflicts import Conflict, ConflictRegister
from snowthread.tenants.model import UNKNOWN_IDENTITY, IdentifiedBy, Identity, Network, Tenant

MAX_CACHED_IDENTITIES = 8192
ADDRESS_BITS = {4: 32, 6: 128}
NO_BALANCER_NUMBER = -1


@dataclass(slots=True)
class TableChanges:
    """The tenants that one call changed or removed, and the conflicts that it caused."""

    changed: list[Tenant] = field(default_factory=list)
    removed: list[Tenant] = field(default_factory=list)
    conflicts: list[Conflict] = field(default_factory=list)  # only new conflicts

    def __bool__(self) -> bool:
        return bool(self.changed or self.removed)


class TenantTable:
    """All known tenants; ``version`` increases with each call of ``apply`` that changes the table."""

    def __init__(self, trusted_networks: Iterable[Network] = ()) -> None:
        self.tenants: dict[str, Tenant] = {}
        self.version = 0
        self.network_count = 0  # networks of all tenants; one that two tenants claim counts twice
        self._claims: dict[str, list[str]] = {}  # network to the sorted ids of the tenants that claim it
        self._owners = _new_tries()
        self._trusted = _new_tries()
        self._ranges = BalancerRanges()
        self._cache: OrderedDict[tuple[str, int], Identity] = OrderedDict()
        self._conflicts = ConflictRegister()
        self.set_trusted_networks(trusted_networks)

    def set_trusted_networks(self, networks: Iterable[Network]) -> None:
        """Use the balancer number of requests from these networks only."""
        self._trusted = _new_tries()
        for network in networks:
            self._trusted[network.version][str(network)] = True
        self._cache.clear()

    def __len__(self) -> int:
        return len(self.tenants)

    @property
    def conflicts(self) -> list[Conflict]:
        """The current conflicts, for a limited number of resources."""
        return self._conflicts.current()

    def identify(self, address: str, balancer_number: int | None = None) -> Identity:
        """Return the identity of a client.

        ``address`` is the peer address of the socket, ``balancer_number`` the number in the request.
        """
        key = (address, NO_BALANCER_NUMBER if balancer_number is None else balancer_number)
        identity = self._cache.get(key)
        if identity is None:
            identity = self._identify_uncached(address, balancer_number)
            self._cache[key] = identity
            if len(self._cache) > MAX_CACHED_IDENTITIES:
                self._cache.popitem(last=False)
        return identity

    def _identify_uncached(self, address: str, balancer_number: int | None) -> Identity:
        ip = parse_client_address(address)
        if ip is None:
            return UNKNOWN_IDENTITY
        text = str(ip)
        if balancer_number is not None and text in self._trusted[ip.version]:
            claimants = self._ranges.claimants(balancer_number)
            if claimants:
                return Identity(claimants[0], IdentifiedBy.BALANCER)
        trie = self._owners[ip.version]
        network = trie.get_key(text)
        if network is None:
            return UNKNOWN_IDENTITY
        return Identity(trie[network], IdentifiedBy.NETWORK, network)

    def apply(self, upserts: Iterable[Tenant], removed_ids: Iterable[str] = ()) -> TableChanges:
        """Remove tenants, then add or replace others, as one change of the table; unknown ids are ignored."""
        changes = TableChanges()
        for tenant_id in removed_ids:
            self._remove(tenant_id, changes)
        for tenant in upserts:
            self._upsert(tenant, changes)
        if changes:
            self.version += 1
            self._cache.clear()
        return changes

    def _remove(self, tenant_id: str, changes: TableChanges) -> None:
        old = self.tenants.pop(tenant_id, None)
        if old is None:
            return
        self._release_networks(old, frozenset(old.networks), changes)
        self._remove_ranges(old, changes)
        changes.removed.append(old)

    def _upsert(self, new: Tenant, changes: TableChanges) -> None:
        old = self.tenants.get(new.id)
        if old == new:
            return
        old_networks = frozenset(old.networks) if old is not None else frozenset()
        new_networks = frozenset(new.networks)
        ranges_changed = old is None or old.balancers != new.balancers
        if old is not None:
            self._release_networks(old, old_networks - new_networks, changes)
            if ranges_changed:
                self._remove_ranges(old, changes)
        self.tenants[new.id] = new
        self._claim_networks(new, new_networks - old_networks, changes)
        if ranges_changed:
            self._add_ranges(new, changes)
        changes.changed.append(new)

    def _claim_networks(self, tenant: Tenant, networks: Iterable[Network], changes: TableChanges) -> None:
        for network in networks:
            key = str(network)
            claimants = self._claims.setdefault(key, [])
            insort(claimants, tenant.id)
            self.network_count += 1
            self._owners[network.version][key] = claimants[0]
            if len(claimants) > 1:
                changes.conflicts += self._conflicts.record_claimants(f"network {key}", claimants)

    def _release_networks(self, tenant: Tenant, networks: Iterable[Network], changes: TableChanges) -> None:
        for network in networks:
            key = str(network)
            claimants = self._claims[key]
            claimants.remove(tenant.id)
            self.network_count -= 1
            if claimants:
                self._owners[network.version][key] = claimants[0]
                changes.conflicts += self._conflicts.record_claimants(f"network {key}", claimants)
            else:
                del self._claims[key]
                self._owners[network.version].delete(key)

    def _add_ranges(self, tenant: Tenant, changes: TableChanges) -> None:
        self._ranges.add(tenant)
        self._record_range_conflicts(tenant, changes)

    def _remove_ranges(self, tenant: Tenant, changes: TableChanges) -> None:
        if tenant.balancers:
            self._ranges.remove(tenant.id)
            self._record_range_conflicts(tenant, changes)

    def _record_range_conflicts(self, tenant: Tenant, changes: TableChanges) -> None:
        """Record the claimants at both ends of a tenant's changed ranges, to detect overlapping ranges.

        A range of another tenant that lies strictly inside a changed range is not detected.
        """
        for number in {end for ends in tenant.balancers for end in ends}:
            changes.conflicts += self._conflicts.record_claimants(
                f"balancer {number}", self._ranges.claimants(number)
            )


def _new_tries() -> dict[int, PyTricia]:
    """Return an empty prefix trie for each IP version."""
    return {version: PyTricia(bits) for version, bits in ADDRESS_BITS.items()}
