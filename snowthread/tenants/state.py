"""All that a node knows of tenants, as one state free of I/O: what the directory says goes in, who a caller
is comes out, and with each change what the decisions and the people on call are to be told.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Generator, Iterable, Mapping
from dataclasses import dataclass, field

from snowthread.admission.settings import Tenant as Share
from snowthread.tenants.entry import BadEntry
from snowthread.tenants.model import (
    DEFAULT_TENANT_ID,
    UNKNOWN_IDENTITY,
    IdentifiedBy,
    Identity,
    Network,
    Status,
    Tenant,
)
from snowthread.tenants.removal_guard import RemovalGuard, RemovalRules, RemovalVerdict
from snowthread.tenants.staleness import StalenessStage, StalenessRules, StalenessTracker
from snowthread.tenants.sync import EntriesChanged, RefreshCompleted
from snowthread.tenants.table import TableChanges, TenantTable
from snowthread.tenants.unknown_clients import UnknownClientRules, UnknownClients

MAX_ITEMS_PER_SLICE = 300  # tenants and networks taken up in one turn: one or two milliseconds
MAX_LOG_LINES = 20  # a change says no more than so many lines, and how many it left out


@dataclass(frozen=True, slots=True)
class TenantRules:
    """What the operator sets."""

    removal: RemovalRules = field(default_factory=RemovalRules)
    staleness: StalenessRules = field(default_factory=StalenessRules)
    unknown_clients: UnknownClientRules = field(default_factory=UnknownClientRules)
    default_quota_per_s: float = 0.0
    default_rejected: bool = False  # callers nobody knows are turned away
    trusted_networks: tuple[Network, ...] = ()


@dataclass(slots=True)
class TenantChanges:
    """What a step changed: shares for the decisions, and lines for people (event, text)."""

    quotas: list[Share] = field(default_factory=list)
    removed_ids: list[str] = field(default_factory=list)
    log_lines: list[tuple[str, str]] = field(default_factory=list)

    def add_log_line(self, event: str, text: str) -> None:
        """A line, while there are not too many."""
        if len(self.log_lines) < MAX_LOG_LINES:
            self.log_lines.append((event, text))
        elif len(self.log_lines) == MAX_LOG_LINES:
            self.log_lines.append(("tenants.more", "and more of the kind"))


class TenantState:
    """Tenants, who calls, and how far that is to be believed."""

    def __init__(self, rules: TenantRules) -> None:
        self.rules = rules
        self.table = TenantTable(rules.trusted_networks)
        self.guard = RemovalGuard(rules.removal)
        self.staleness = StalenessTracker(rules.staleness)
        self.unknown_clients = UnknownClients(rules.unknown_clients)
        self.counts: Counter[str] = Counter()

    def default_quota(self) -> Share:
        """The share of callers that nobody knows."""
        return Share(DEFAULT_TENANT_ID, self.rules.default_quota_per_s, self.rules.default_rejected)

    # Who calls.

    def identify(self, address: str, number: int | None, now: float) -> Identity:
        """Whose request it is, as far as may be acted on now."""
        who = self.table.identify(address, number)
        if who.identified_by is IdentifiedBy.UNKNOWN:
            self.counts["unknown"] += 1
            return who
        self.counts["known"] += 1
        if self.rules.staleness.default_when_old and self.staleness.stage(now) is StalenessStage.OLD:
            tenant = self.table.tenants[who.tenant_id]
            return who if tenant.status is Status.SUSPENDED else UNKNOWN_IDENTITY
        return who

    # What the directory says.

    def apply_refresh(self, step: RefreshCompleted, server: str, now: float) -> TenantChanges:
        """A refresh went through; all of it in one go."""
        steps = self.apply_refresh_in_slices(step, server, now)
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                news: TenantChanges = stop.value
                return news

    def apply_refresh_in_slices(
        self, step: RefreshCompleted, server: str, now: float
    ) -> Generator[None, None, TenantChanges]:
        """The same in slices: it yields where others may have a turn, and takes the whole up in the last one.
        A table of a hundred thousand networks takes most of a second to build, and callers must not wait for
        that. Nothing else may be taken in meanwhile; what is given up half way has changed nothing here."""
        news = TenantChanges()
        self.counts["refreshes"] += 1
        seen = step.present_ids | step.upserts.keys()
        if step.is_full:
            missing = self.table.tenants.keys() - seen
            verdict = self.guard.judge_full_refresh(missing, len(self.table), server, now)
        else:
            self.guard.mark_present(seen)
            verdict = self.guard.judge_deletions(
                step.removed_ids & self.table.tenants.keys(), len(self.table), server, now
            )
        self._report_bad_entries(step.bad_entries, news)
        fresh = self._without_outdated(step.upserts.values())
        old = self.table.tenants
        changes = [t for t in fresh if old.get(t.id) != t]
        if sum(1 + len(t.networks) for t in changes) + len(verdict.removed_ids) <= MAX_ITEMS_PER_SLICE:
            self._apply(changes, verdict, news)
        else:
            whole = {**old, **{t.id: t for t in changes}}
            for tenant_id in verdict.removed_ids:
                del whole[tenant_id]
            table, applied, size = TenantTable(self.rules.trusted_networks), TableChanges(), 0
            table.version = self.table.version
            for tenant in whole.values():
                applied.conflicts += table.apply((tenant,)).conflicts
                size += 1 + len(tenant.networks)
                if size >= MAX_ITEMS_PER_SLICE:
                    size = 0
                    yield
            known = set(self.table.conflicts)
            applied.conflicts = [c for c in applied.conflicts if c not in known]
            applied.changed, applied.removed = changes, [old[i] for i in verdict.removed_ids]
            self.table = table
            self._report_table_changes(applied, old, news)
            self._report_held_removal(verdict, news)
            self.unknown_clients.clear_negative_cache()
        self.staleness.confirm(now)
        return news

    def apply_change(self, step: EntriesChanged, server: str, now: float) -> TenantChanges:
        """Something changed while following."""
        news = TenantChanges()
        self.counts["changes"] += 1
        self.guard.mark_present(step.upserts.keys())
        verdict = RemovalVerdict(frozenset(), None)
        gone = step.removed_ids & self.table.tenants.keys()
        if gone:
            verdict = self.guard.judge_deletions(gone, len(self.table), server, now)
        self._report_bad_entries(step.bad_entries, news)
        self._apply(step.upserts.values(), verdict, news)
        self.staleness.confirm(now)
        return news

    def apply_lookup(
        self, address: str, tenants: Collection[Tenant], bad: Iterable[BadEntry], now: float
    ) -> TenantChanges:
        """The answer to a question about an unknown caller. It only ever adds."""
        news = TenantChanges()
        self._report_bad_entries(bad, news)
        # Spoilt contents of a known tenant stay what a refresh made of them: this answer is but one entry.
        self._apply(
            [t for t in tenants if t.id not in self.table.tenants], RemovalVerdict(frozenset(), None), news
        )
        known = self.table.identify(address).identified_by is not IdentifiedBy.UNKNOWN
        self.unknown_clients.finish_lookup(address, known, now)
        self.counts["found" if known else "nobodys"] += 1
        return news

    def restore_snapshot(
        self, tenants: Iterable[Tenant], agreed_at: float, home: str, now: float
    ) -> TenantChanges:
        """A snapshot was read; it is as old as it says, and never fresher than now."""
        news = TenantChanges()
        self._apply(tenants, RemovalVerdict(frozenset(), None), news)
        self.staleness.confirm(min(agreed_at, now))
        self.guard.source_server = home
        return news

    def apply_rules(self, rules: TenantRules) -> TenantChanges:
        """The operator sets other rules."""
        news = TenantChanges()
        if rules.trusted_networks != self.rules.trusted_networks:
            self.table.trust_networks(rules.trusted_networks)
        self.rules = rules
        self.guard.rules, self.staleness.rules, self.unknown_clients.rules = (
            rules.removal,
            rules.staleness,
            rules.unknown_clients,
        )
        accepted = self.guard.take_accepted(self.table.tenants)
        if accepted:
            self._apply((), RemovalVerdict(accepted, None), news)
        news.quotas.append(self.default_quota())
        return news

    def report_staleness(self, now: float) -> TenantChanges:
        """Time goes by: does the knowledge stand on another step?"""
        news = TenantChanges()
        stage = self.staleness.take_stage_change(now)
        if stage is not None:
            age = "" if stage is StalenessStage.NONE else f", {self.staleness.age_ms(now) / 1000.0:.0f} s old"
            news.add_log_line("tenants.age", f"what is known of tenants is {stage.value}{age}")
        return news

    # Within.

    def _without_outdated(self, upserts: Iterable[Tenant]) -> list[Tenant]:
        fresh = []
        for tenant in upserts:
            old = self.table.tenants.get(tenant.id)
            if (
                old is not None
                and old.modified_at
                and tenant.modified_at
                and tenant.modified_at < old.modified_at
            ):
                self.counts["older"] += 1  # a server with older contents
                continue
            fresh.append(tenant)
        return fresh

    def _apply(self, upserts: Iterable[Tenant], verdict: RemovalVerdict, news: TenantChanges) -> None:
        fresh = self._without_outdated(upserts)
        before = {t.id: self.table.tenants.get(t.id) for t in fresh}
        applied = self.table.apply(fresh, verdict.removed_ids)
        self._report_table_changes(applied, before, news)
        self._report_held_removal(verdict, news)
        if applied:
            self.unknown_clients.clear_negative_cache()

    def _report_held_removal(self, verdict: RemovalVerdict, news: TenantChanges) -> None:
        if verdict.newly_held and verdict.held is not None:
            held = verdict.held
            self.counts["held"] += 1
            news.add_log_line(
                "tenants.removal_held",
                f"{len(held.tenant_ids)} tenants are missing and stay for now ({held.reason}); removal {held.digest}",
            )

    def _report_table_changes(
        self,
        applied: TableChanges,
        before: Mapping[str, Tenant | None] | Mapping[str, Tenant],
        news: TenantChanges,
    ) -> None:
        for tenant in applied.changed:
            old = before.get(tenant.id)
            if old is None or _quota_of(old) != _quota_of(tenant):
                news.quotas.append(_quota_of(tenant))
            if old is not None and old.status is not tenant.status:
                news.add_log_line(
                    "tenants.status", f"{tenant.name} ({tenant.id}) is {tenant.status.value} now"
                )
            if old is not None and old.name != tenant.name:
                news.add_log_line("tenants.renamed", f"{old.name} is called {tenant.name} now ({tenant.id})")
        for tenant in applied.removed:
            news.removed_ids.append(tenant.id)
            news.add_log_line("tenants.removed", f"{tenant.name} ({tenant.id}) is no tenant any more")
        for conflict in applied.conflicts:
            self.counts["conflicts"] += 1
            news.add_log_line("tenants.conflict", conflict.describe())

    def _report_bad_entries(self, bad: Iterable[BadEntry], news: TenantChanges) -> None:
        for entry in bad:
            self.counts["bad_entries"] += 1
            news.add_log_line("tenants.bad_entry", f"{entry.dn!r} can't be used: {entry.reason}")


def _quota_of(tenant: Tenant) -> Share:
    return Share(
        tenant.id, tenant.quota_per_s, tenant.status is Status.SUSPENDED, tuple(sorted(tenant.classes))
    )
