"""The tenant state of a node, without I/O.

Its inputs are the refreshes, changes and lookup results of the directory. Its outputs are the identity of a
client and, for each step, the quota changes for admission control and the log lines. Times are milliseconds
of the node's clock.
"""

from __future__ import annotations

from collections.abc import Collection, Generator, Iterable, Mapping

from snowthread.tenants.changes import TenantChanges, TenantQuota
from snowthread.tenants.counters import TenantCounters
from snowthread.tenants.entry import BadEntry
from snowthread.tenants.model import (
    DEFAULT_TENANT_ID,
    UNKNOWN_IDENTITY,
    IdentifiedBy,
    Identity,
    Tenant,
    TenantStatus,
)
from snowthread.tenants.removal_guard import NOTHING_REMOVED, RemovalDecision, RemovalGuard
from snowthread.tenants.rules import TenantRules
from snowthread.tenants.staleness import StalenessStage, StalenessTracker
from snowthread.tenants.sync_events import EntriesChanged, RefreshCompleted
from snowthread.tenants.table import TableChanges, TenantTable
from snowthread.tenants.table_rebuild import fits_in_one_slice, rebuild_in_slices
from snowthread.tenants.unknown_clients import UnknownClients


class TenantState:
    """The known tenants, the lookups of unknown clients and the age of the tenant data."""

    def __init__(self, rules: TenantRules) -> None:
        self.rules = rules
        self.table = TenantTable(rules.trusted_networks)
        self.removal_guard = RemovalGuard(rules.removal)
        self.staleness = StalenessTracker(rules.staleness)
        self.unknown_clients = UnknownClients(rules.unknown_clients)
        self.counters = TenantCounters()

    def default_quota(self) -> TenantQuota:
        """Return the quota of the default tenant, which owns all clients that no other tenant owns."""
        return TenantQuota(DEFAULT_TENANT_ID, self.rules.default_quota_per_s, self.rules.default_rejected)

    def identify(self, address: str, balancer_number: int | None, now: float) -> Identity:
        """Return the identity of a client, and count the request as one of a known or an unknown client.

        ``address`` is the client's IP address, ``balancer_number`` the balancer number in its request. If
        the rules say so, OLD tenant data identifies only the clients of suspended tenants.
        """
        identity = self.table.identify(address, balancer_number)
        if identity.identified_by is IdentifiedBy.UNKNOWN:
            self.counters.unknown_requests += 1
            return identity
        self.counters.known_requests += 1
        if self.rules.staleness.default_when_old and self.staleness.stage(now) is StalenessStage.OLD:
            tenant = self.table.tenants[identity.tenant_id]
            return identity if tenant.status is TenantStatus.SUSPENDED else UNKNOWN_IDENTITY
        return identity

    def apply_refresh(self, refresh: RefreshCompleted, server: str, now: float) -> TenantChanges:
        """Apply a refresh without pauses and return what it changed."""
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
        """Apply a refresh, yielding between slices so that other tasks can run, and return what it changed.

        The table is replaced at once by the last slice; closing the generator before leaves it unchanged.
        The caller must not apply other changes until the generator ends.
        """
        changes = TenantChanges()
        self.counters.refreshes += 1
        decision = self._evaluate_removals(refresh, server, now)
        self._report_bad_entries(refresh.bad_entries, changes)
        known = self.table.tenants
        upserts = [t for t in self._drop_outdated(refresh.upserts.values()) if known.get(t.id) != t]
        if fits_in_one_slice(upserts, decision.removed_ids):
            self._apply(upserts, decision, changes)
        else:
            yield from self._rebuild_table(upserts, decision, changes)
        self.staleness.confirm(now)
        return changes

    def apply_change(self, change: EntriesChanged, server: str, now: float) -> TenantChanges:
        """Apply a change that the directory reports between refreshes."""
        changes = TenantChanges()
        self.counters.changes += 1
        self.removal_guard.mark_present(change.upserts.keys())
        decision = NOTHING_REMOVED
        deleted = change.removed_ids & self.table.tenants.keys()
        if deleted:
            decision = self.removal_guard.evaluate_deletions(deleted, len(self.table), server, now)
        self._report_bad_entries(change.bad_entries, changes)
        self._apply(change.upserts.values(), decision, changes)
        self.staleness.confirm(now)
        return changes

    def apply_lookup(
        self, address: str, tenants: Collection[Tenant], bad_entries: Iterable[BadEntry], now: float
    ) -> TenantChanges:
        """Apply the result of looking up an unknown client and return what it changed.

        A lookup only adds tenants; it never changes or removes a known one.
        """
        changes = TenantChanges()
        self._report_bad_entries(bad_entries, changes)
        # Known tenants keep the values of the last refresh or change; a lookup returns only a few entries.
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
        """Apply the tenants of a snapshot.

        The data is as old as ``confirmed_at`` says; a time in the future counts as ``now``.
        """
        changes = TenantChanges()
        self._apply(tenants, NOTHING_REMOVED, changes)
        self.staleness.confirm(min(confirmed_at, now))
        self.removal_guard.source_server = source_server
        return changes

    def apply_rules(self, rules: TenantRules) -> TenantChanges:
        """Apply new rules of the operator, and the pending removal if they accept it."""
        changes = TenantChanges()
        if rules.trusted_networks != self.rules.trusted_networks:
            self.table.set_trusted_networks(rules.trusted_networks)
        self.rules = rules
        self.removal_guard.rules = rules.removal
        self.staleness.rules = rules.staleness
        self.unknown_clients.rules = rules.unknown_clients
        accepted = self.removal_guard.take_accepted(self.table.tenants)
        if accepted:
            self._apply((), RemovalDecision(accepted, None), changes)
        changes.quotas.append(self.default_quota())
        return changes

    def report_staleness(self, now: float) -> TenantChanges:
        """Return a log line if the staleness stage of the tenant data has changed."""
        changes = TenantChanges()
        stage = self.staleness.take_stage_change(now)
        if stage is not None:
            changes.add_staleness_stage(stage, self.staleness.age_ms(now))
        return changes

    def _evaluate_removals(self, refresh: RefreshCompleted, server: str, now: float) -> RemovalDecision:
        known_ids = self.table.tenants.keys()
        seen_ids = refresh.present_ids | refresh.upserts.keys()
        if refresh.is_full:
            return self.removal_guard.evaluate_full_refresh(
                known_ids - seen_ids, len(self.table), server, now
            )
        self.removal_guard.mark_present(seen_ids)
        return self.removal_guard.evaluate_deletions(
            refresh.removed_ids & known_ids, len(self.table), server, now
        )

    def _drop_outdated(self, upserts: Iterable[Tenant]) -> list[Tenant]:
        """Return the tenants without those that are older than their known version, which are counted."""
        return [tenant for tenant in upserts if not self._is_outdated(tenant)]

    def _is_outdated(self, tenant: Tenant) -> bool:
        known = self.table.tenants.get(tenant.id)
        if known is None or not known.modified_at or not tenant.modified_at:
            return False
        if tenant.modified_at >= known.modified_at:
            return False
        self.counters.outdated_entries += 1
        return True

    def _apply(self, upserts: Iterable[Tenant], decision: RemovalDecision, changes: TenantChanges) -> None:
        current = self._drop_outdated(upserts)
        before = {tenant.id: self.table.tenants.get(tenant.id) for tenant in current}
        table_changes = self.table.apply(current, decision.removed_ids)
        self._report_table_changes(table_changes, before, changes)
        self._report_pending_removal(decision, changes)
        if table_changes:
            self.unknown_clients.clear_negative_cache()

    def _rebuild_table(
        self, upserts: list[Tenant], decision: RemovalDecision, changes: TenantChanges
    ) -> Generator[None, None, None]:
        """Build a new table in slices and replace the current one when it is complete."""
        before = self.table.tenants
        rebuilt = yield from rebuild_in_slices(
            self.table, upserts, decision.removed_ids, self.rules.trusted_networks
        )
        self.table = rebuilt.table
        self._report_table_changes(rebuilt.changes, before, changes)
        self._report_pending_removal(decision, changes)
        self.unknown_clients.clear_negative_cache()

    def _report_table_changes(
        self,
        table_changes: TableChanges,
        before: Mapping[str, Tenant | None] | Mapping[str, Tenant],
        changes: TenantChanges,
    ) -> None:
        for tenant in table_changes.changed:
            changes.add_upsert(tenant, before.get(tenant.id))
        for tenant in table_changes.removed:
            changes.add_removal(tenant)
        for conflict in table_changes.conflicts:
            self.counters.conflicts += 1
            changes.add_conflict(conflict)

    def _report_pending_removal(self, decision: RemovalDecision, changes: TenantChanges) -> None:
        if decision.pending is None or not decision.newly_pending:
            return
        self.counters.removals_held += 1
        changes.add_pending_removal(decision.pending)

    def _report_bad_entries(self, bad_entries: Iterable[BadEntry], changes: TenantChanges) -> None:
        for entry in bad_entries:
            self.counters.bad_entries += 1
            changes.add_bad_entry(entry)
