"""Who owns a caller: all tenants, their networks in a prefix trie, their balancers' numbers.

The result depends on the set of tenants alone, never on the order in which they came, so all nodes agree:
the longest prefix wins; where several tenants claim the same network, or the same number, the one with the
least id has it and the others don't, until it lets go. An address alone decides, but for balancers in
networks the operator trusts: only from those is the number in a request believed.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from ipaddress import ip_address

from pytricia import PyTricia

from snowthread.tenants.model import UNKNOWN_IDENTITY, IdentifiedBy, Identity, Network, Tenant

MAX_CACHED_IDENTITIES = 8192  # callers whose answer is kept until the table changes
MAX_RECORDED_CONFLICTS = 1000  # contradictions that are remembered for people


@dataclass(frozen=True, slots=True)
class Conflict:
    """Two tenants claim the same; ``holder`` has it."""

    resource: str
    owner: str
    other_claimant: str

    def describe(self) -> str:
        """For the log."""
        return f"{self.resource} is claimed by {self.owner}, who has it, and by {self.other_claimant}"


@dataclass(slots=True)
class TableChanges:
    """What a change made of the table."""

    changed: list[Tenant] = field(default_factory=list)
    removed: list[Tenant] = field(default_factory=list)
    conflicts: list[Conflict] = field(default_factory=list)  # that are new

    def __bool__(self) -> bool:
        return bool(self.changed or self.removed)


class TenantTable:
    """All tenants that are known. ``version`` counts the changes."""

    def __init__(self, trusted: Iterable[Network] = ()) -> None:
        self.tenants: dict[str, Tenant] = {}
        self.version = 0
        self.network_count = 0  # claims in all
        self._claims: dict[str, list[str]] = {}  # network -> ids that claim it, the least first
        self._v4, self._v6 = PyTricia(32), PyTricia(128)
        self._trusted4, self._trusted6 = PyTricia(32), PyTricia(128)
        self._ranges: list[tuple[int, int, str]] = []  # first number, last number, id; sorted
        self._widest_range = 0  # of the ranges
        self._cache: OrderedDict[tuple[str, int], Identity] = OrderedDict()
        self._conflicts: dict[str, tuple[Conflict, ...]] = {}  # by what is claimed
        self.trust_networks(trusted)

    def trust_networks(self, networks: Iterable[Network]) -> None:
        """Believe balancers' numbers from these networks."""
        self._trusted4, self._trusted6 = PyTricia(32), PyTricia(128)
        for network in networks:
            (self._trusted4 if network.version == 4 else self._trusted6)[str(network)] = True
        self._cache.clear()

    def __len__(self) -> int:
        return len(self.tenants)

    @property
    def conflicts(self) -> list[Conflict]:
        """The contradictions that stand, as far as they are remembered."""
        return [conflict for group in self._conflicts.values() for conflict in group]

    # Looking up.

    def identify(self, address: str, number: int | None = None) -> Identity:
        """Whose caller it is. ``address`` as a socket gives it, ``number`` as the request says."""
        key = (address, -1 if number is None else number)
        found = self._cache.get(key)
        if found is None:
            found = self._cache[key] = self._identify_uncached(address, number)
            if len(self._cache) > MAX_CACHED_IDENTITIES:
                self._cache.popitem(last=False)
        return found

    def _identify_uncached(self, address: str, number: int | None) -> Identity:
        try:
            ip = ip_address(address.partition("%")[0])
        except ValueError:
            return UNKNOWN_IDENTITY
        mapped = getattr(ip, "ipv4_mapped", None)
        if mapped is not None:  # one caller, one identity, whichever socket it came over
            ip = mapped
        text = str(ip)
        if number is not None and text in (self._trusted4 if ip.version == 4 else self._trusted6):
            owners = self._range_owners(number)
            if owners:
                return Identity(owners[0], IdentifiedBy.BALANCER)
        trie = self._v4 if ip.version == 4 else self._v6
        network = trie.get_key(text)
        if network is None:
            return UNKNOWN_IDENTITY
        return Identity(trie[network], IdentifiedBy.NETWORK, network)

    def _range_owners(self, number: int) -> list[str]:
        """The tenants whose ranges hold the number, the least id first."""
        end = bisect_right(self._ranges, (number, float("inf"), ""))
        start = bisect_right(self._ranges, (number - self._widest_range, -1, ""))
        return sorted({owner for _first, last, owner in self._ranges[start:end] if number <= last})

    # Changing.

    def apply(self, upserts: Iterable[Tenant], removed_ids: Iterable[str] = ()) -> TableChanges:
        """Take up new and changed tenants and let go of others, as one step."""
        out = TableChanges()
        for tenant_id in removed_ids:
            old = self.tenants.pop(tenant_id, None)
            if old is not None:
                self._release_networks(old, frozenset(old.networks), out)
                self._remove_ranges(old, out)
                out.removed.append(old)
        for new in upserts:
            old = self.tenants.get(new.id)
            if old == new:
                continue
            had = frozenset(old.networks) if old is not None else frozenset()
            wants = frozenset(new.networks)
            if old is not None:
                self._release_networks(old, had - wants, out)
                if old.balancers != new.balancers:
                    self._remove_ranges(old, out)
            self.tenants[new.id] = new
            self._claim_networks(new, wants - had, out)
            if old is None or old.balancers != new.balancers:
                self._add_ranges(new, out)
            out.changed.append(new)
        if out:
            self.version += 1
            self._cache.clear()
        return out

    def _claim_networks(self, tenant: Tenant, networks: Iterable[Network], out: TableChanges) -> None:
        for network in networks:
            key = str(network)
            claims = self._claims.setdefault(key, [])
            insort(claims, tenant.id)
            self.network_count += 1
            self._set_owner(network, key, claims[0])
            if len(claims) > 1:
                self._review_claims(f"network {key}", claims, out)

    def _release_networks(self, tenant: Tenant, networks: Iterable[Network], out: TableChanges) -> None:
        for network in networks:
            key = str(network)
            claims = self._claims[key]
            claims.remove(tenant.id)
            self.network_count -= 1
            if claims:
                self._set_owner(network, key, claims[0])
                self._review_claims(f"network {key}", claims, out)
            else:
                del self._claims[key]
                (self._v4 if network.version == 4 else self._v6).delete(key)

    def _set_owner(self, network: Network, key: str, owner: str) -> None:
        (self._v4 if network.version == 4 else self._v6)[key] = owner

    def _add_ranges(self, tenant: Tenant, out: TableChanges) -> None:
        for first, last in tenant.balancers:
            insort(self._ranges, (first, last, tenant.id))
            self._widest_range = max(self._widest_range, last - first)
        self._review_range_ends(tenant, out)

    def _remove_ranges(self, tenant: Tenant, out: TableChanges) -> None:
        if tenant.balancers:
            self._ranges = [r for r in self._ranges if r[2] != tenant.id]
            self._widest_range = max((last - first for first, last, _ in self._ranges), default=0)
            self._review_range_ends(tenant, out)

    def _review_range_ends(self, tenant: Tenant, out: TableChanges) -> None:
        """Contradictions of ranges are told at the ends of the one that changed."""
        for number in {n for ends in tenant.balancers for n in ends}:
            self._review_claims(f"balancer {number}", self._range_owners(number), out)

    def _review_claims(self, what: str, claims: list[str], out: TableChanges) -> None:
        """Who contradicts whom about this now; what stood already is not told again."""
        old = self._conflicts.pop(what, ())
        new = tuple(Conflict(what, claims[0], other) for other in claims[1:])
        if new:
            out.conflicts += [c for c in new if c not in old]
            if len(self._conflicts) < MAX_RECORDED_CONFLICTS:
                self._conflicts[what] = new
