"""What a node knows about tenants, as one pure state.

The directory's reports go in; the identity of a client comes out, and with each change the quotas for
admission control and the log lines for operators.
"""

from __future__ import annotations

from collections.abc import Collection, Generator, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from snowthread.tenants.changes import TenantChanges, TenantQuota
from snowthread.tenants.entry import BadEntry
from snowthread.tenants.model import (
    DEFAULT_TENANT_ID,
    UNKNOWN_IDENTITY,
    IdentifiedBy,
    Identity,
    Network,
    Tenant,
    TenantStatus,
)
from snowthread.tenants.removal_guard import NOTHING_REMOVED, RemovalGuard, RemovalRules, RemovalVerdict
from snowthread.tenants.staleness import StalenessRules, StalenessStage, StalenessTracker
from snowthread.tenants.sync import EntriesChanged, RefreshCompleted
from snowthread.tenants.table import TableChanges, TenantTable
from snowthread.tenants.unknown_clients import UnknownClientRules, UnknownClients

MAX_ITEMS_PER_SLICE = 300  # tenants and networks applied without a pause: one or two milliseconds
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class TenantRules:
    """The operator's rules."""

    removal: RemovalRules = field(default_factory=RemovalRules)
    staleness: StalenessRules = field(default_factory=StalenessRules)
    unknown_clients: UnknownClientRules = field(default_factory=UnknownClientRules)
    default_quota_per_s: float = 0.0
    default_rejected: bool = False  # requests of unknown clients are rejected
    trusted_networks: tuple[Network, ...] = ()


@dataclass(slots=True)
class TenantCounters:
    """Counts since the start of the node."""

    known_requests: int = 0
    unknown_requests: int = 0
    refreshes: int = 0
    changes: int = 0
    removals_held: int = 0
    conflicts: int = 0
    bad_entries: int = 0
    outdated_entries: int = 0  # of servers with older content
    lookups_found: int = 0
    lookups_not_found: int = 0


class TenantState:
    """The tenants, the clients that nobody owns, and how far the knowledge is to be believed."""

    def __init__(self, rules: TenantRules) -> None:
        self.rules = rules
        self.table = TenantTable(rules.trusted_networks)
        self.guard = RemovalGuard(rules.removal)
        self.staleness = StalenessTracker(rules.staleness)
        self.unknown_clients = UnknownClients(rules.unknown_clients)
        self.counters = TenantCounters()

    def default_quota(self) -> TenantQuota:
        """Return the quota of clients that no tenant owns."""
        return TenantQuota(DEFAULT_TENANT_ID, self.rules.default_quota_per_s, self.rules.default_rejected)

    def identify(self, address: str, number: int | None, now: float) -> Identity:
        """Return the tenant of a client as far as the age of the knowledge allows."""
        identity = self.table.identify(address, number)
        if identity.identified_by is IdentifiedBy.UNKNOWN:
            self.counters.unknown_requests += 1
            return identity
        self.counters.known_requests += 1
        if self.rules.staleness.default_when_old and self.staleness.stage(now) is StalenessStage.OLD:
            tenant = self.table.tenants[identity.tenant_id]
            return identity if tenant.status is TenantStatus.SUSPENDED else UNKNOWN_IDENTITY
        return identity

    def apply_refresh(self, refresh: RefreshCompleted, server: str, now: float) -> TenantChanges:
        """Apply a refresh in one go."""
        slices = self.apply_refresh_in_slices(refresh, server, now)
        while True:
            try:
                next(slices)
            except StopIteration as finished:
                changes: TenantChanges = finished.value
                return changes

    def apply_refresh_in_slices(
        self, refresh: RefreshCompleted, server: str, now: float
    ) -> Generator[None, None, TenantChanges]:
        """Apply a refresh, yielding where other tasks may run; the last slice takes it all up at once.

        Building a table of a hundred thousand networks takes most of a second, too long for requests to
        wait. Nothing else may be applied meanwhile; a refresh that is given up half way has changed nothing.
        """
        changes = TenantChanges()
        self.counters.refreshes += 1
        verdict = self._judge_removals(refresh, server, now)
        self._report_bad_entries(refresh.bad_entries, changes)
        known = self.table.tenants
        upserts = [t for t in self._without_outdated(refresh.upserts.values()) if known.get(t.id) != t]
        if sum(map(_item_count, upserts)) + len(verdict.removed_ids) <= MAX_ITEMS_PER_SLICE:
            self._apply(upserts, verdict, changes)
        else:
            yield from self._rebuild_table(upserts, verdict, changes)
        self.staleness.confirm(now)
        return changes

    def apply_change(self, change: EntriesChanged, server: str, now: float) -> TenantChanges:
        """Apply a change reported between refreshes."""
        changes = TenantChanges()
        self.counters.changes += 1
        self.guard.mark_present(change.upserts.keys())
        verdict = NOTHING_REMOVED
        deleted = change.removed_ids & self.table.tenants.keys()
        if deleted:
            verdict = self.guard.judge_deletions(deleted, len(self.table), server, now)
        self._report_bad_entries(change.bad_entries, changes)
        self._apply(change.upserts.values(), verdict, changes)
        self.staleness.confirm(now)
        return changes

    def apply_lookup(
        self, address: str, tenants: Collection[Tenant], bad_entries: Iterable[BadEntry], now: float
    ) -> TenantChanges:
        """Apply the result of looking up an unknown client. It only ever adds tenants."""
        changes = TenantChanges()
        self._report_bad_entries(bad_entries, changes)
        # A known tenant stays as the last refresh made it: this result is but one entry.
        new = [tenant for tenant in tenants if tenant.id not in self.table.tenants]
        self._apply(new, NOTHING_REMOVED, changes)
        found = self.table.identify(address).identified_by is not IdentifiedBy.UNKNOWN
        self.unknown_clients.finish_lookup(address, found, now)
        if found:
            self.counters.lookups_found += 1
        else:
            self.counters.lookups_not_found += 1
        return changes

    def restore_snapshot(
        self, tenants: Iterable[Tenant], confirmed_at: float, source_server: str, now: float
    ) -> TenantChanges:
        """Apply the tenants of a snapshot; it is as old as it says, and never from the future."""
        changes = TenantChanges()
        self._apply(tenants, NOTHING_REMOVED, changes)
        self.staleness.confirm(min(confirmed_at, now))
        self.guard.source_server = source_server
        return changes

    def apply_rules(self, rules: TenantRules) -> TenantChanges:
        """Apply the operator's other rules, and a held removal if they accept it."""
        changes = TenantChanges()
        if rules.trusted_networks != self.rules.trusted_networks:
            self.table.trust_networks(rules.trusted_networks)
        self.rules = rules
        self.guard.rules = rules.removal
        self.staleness.rules = rules.staleness
        self.unknown_clients.rules = rules.unknown_clients
        accepted = self.guard.take_accepted(self.table.tenants)
        if accepted:
            self._apply((), RemovalVerdict(accepted, None), changes)
        changes.quotas.append(self.default_quota())
        return changes

    def report_staleness(self, now: float) -> TenantChanges:
        """Return a log line if the knowledge has reached another stage of staleness."""
        changes = TenantChanges()
        stage = self.staleness.take_stage_change(now)
        if stage is not None:
            age_s = self.staleness.age_ms(now) / MS_PER_S
            age = "" if stage is StalenessStage.NONE else f", {age_s:.0f} s old"
            changes.add_log_line("tenants.age", f"what is known of tenants is {stage.value}{age}")
        return changes

    def _judge_removals(self, refresh: RefreshCompleted, server: str, now: float) -> RemovalVerdict:
        known_ids = self.table.tenants.keys()
        seen_ids = refresh.present_ids | refresh.upserts.keys()
        if refresh.is_full:
            return self.guard.judge_full_refresh(known_ids - seen_ids, len(self.table), server, now)
        self.guard.mark_present(seen_ids)
        return self.guard.judge_deletions(refresh.removed_ids & known_ids, len(self.table), server, now)

    def _without_outdated(self, upserts: Iterable[Tenant]) -> list[Tenant]:
        """Return the tenants that are not older than what is known of them."""
        return [tenant for tenant in upserts if not self._is_outdated(tenant)]

    def _is_outdated(self, tenant: Tenant) -> bool:
        known = self.table.tenants.get(tenant.id)
        if known is None or not known.modified_at or not tenant.modified_at:
            return False
        if tenant.modified_at >= known.modified_at:
            return False
        self.counters.outdated_entries += 1
        return True

    def _apply(self, upserts: Iterable[Tenant], verdict: RemovalVerdict, changes: TenantChanges) -> None:
        current = self._without_outdated(upserts)
        before = {tenant.id: self.table.tenants.get(tenant.id) for tenant in current}
        table_changes = self.table.apply(current, verdict.removed_ids)
        self._report_table_changes(table_changes, before, changes)
        self._report_held_removal(verdict, changes)
        if table_changes:
            self.unknown_clients.clear_negative_cache()

    def _rebuild_table(
        self, upserts: list[Tenant], verdict: RemovalVerdict, changes: TenantChanges
    ) -> Iterator[None]:
        """Build a new table in slices and take it up when it is complete."""
        before = self.table.tenants
        tenants = {**before, **{tenant.id: tenant for tenant in upserts}}
        for tenant_id in verdict.removed_ids:
            del tenants[tenant_id]
        table = TenantTable(self.rules.trusted_networks)
        table.version = self.table.version
        conflicts, items = [], 0
        for tenant in tenants.values():
            conflicts += table.apply((tenant,)).conflicts
            items += _item_count(tenant)
            if items >= MAX_ITEMS_PER_SLICE:
                items = 0
                yield
        known_conflicts = set(self.table.conflicts)
        removed = [before[tenant_id] for tenant_id in verdict.removed_ids]
        new_conflicts = [conflict for conflict in conflicts if conflict not in known_conflicts]
        self.table = table
        self._report_table_changes(TableChanges(upserts, removed, new_conflicts), before, changes)
        self._report_held_removal(verdict, changes)
        self.unknown_clients.clear_negative_cache()

    def _report_held_removal(self, verdict: RemovalVerdict, changes: TenantChanges) -> None:
        held = verdict.held
        if held is None or not verdict.newly_held:
            return
        self.counters.removals_held += 1
        changes.add_log_line(
            "tenants.removal_held",
            f"{len(held.tenant_ids)} tenants are missing and stay for now ({held.reason}); "
            f"removal {held.digest}",
        )

    def _report_table_changes(
        self,
        table_changes: TableChanges,
        before: Mapping[str, Tenant | None] | Mapping[str, Tenant],
        changes: TenantChanges,
    ) -> None:
        for tenant in table_changes.changed:
            _report_changed_tenant(tenant, before.get(tenant.id), changes)
        for tenant in table_changes.removed:
            changes.removed_ids.append(tenant.id)
            changes.add_log_line("tenants.removed", f"{tenant.name} ({tenant.id}) is no tenant any more")
        for conflict in table_changes.conflicts:
            self.counters.conflicts += 1
            changes.add_log_line("tenants.conflict", conflict.describe())

    def _report_bad_entries(self, bad_entries: Iterable[BadEntry], changes: TenantChanges) -> None:
        for entry in bad_entries:
            self.counters.bad_entries += 1
            changes.add_log_line("tenants.bad_entry", f"{entry.dn!r} can't be used: {entry.reason}")


def _report_changed_tenant(tenant: Tenant, old: Tenant | None, changes: TenantChanges) -> None:
    quota = _quota_of(tenant)
    if old is None or _quota_of(old) != quota:
        changes.quotas.append(quota)
    if old is None:
        return
    if old.status is not tenant.status:
        changes.add_log_line("tenants.status", f"{tenant.name} ({tenant.id}) is {tenant.status.value} now")
    if old.name != tenant.name:
        changes.add_log_line("tenants.renamed", f"{old.name} is called {tenant.name} now ({tenant.id})")


def _quota_of(tenant: Tenant) -> TenantQuota:
    suspended = tenant.status is TenantStatus.SUSPENDED
    return TenantQuota(tenant.id, tenant.quota_per_s, suspended, tuple(sorted(tenant.classes)))


def _item_count(tenant: Tenant) -> int:
    """Return the tenant's part of a slice: itself and its networks."""
    return 1 + len(tenant.networks)
