"""All that a node knows of tenants, as one state free of I/O: what the directory says goes in, who a caller
is comes out, and with each change what the decisions and the people on call are to be told.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Generator, Iterable, Mapping
from dataclasses import dataclass, field

from snowthread.admission.settings import Tenant as Share
from snowthread.tenants.entry import BadEntry
from snowthread.tenants.model import DEFAULT_ID, UNKNOWN, IdentifiedBy, Identity, Network, Status, Tenant
from snowthread.tenants.removal_guard import RemovalGuard, RemovalRules, Verdict
from snowthread.tenants.staleness import Stage, StalenessRules, StalenessTracker
from snowthread.tenants.sync import Changed, Refreshed
from snowthread.tenants.table import Applied, TenantTable
from snowthread.tenants.unknown_clients import UnknownClientRules, UnknownClients

SLICE = 300  # tenants and networks taken up in one turn: one or two milliseconds
LINES_MAX = 20  # a change says no more than so many lines, and how many it left out


@dataclass(frozen=True, slots=True)
class TenantRules:
    """What the operator sets."""

    removal: RemovalRules = field(default_factory=RemovalRules)
    staleness: StalenessRules = field(default_factory=StalenessRules)
    unknown_clients: UnknownClientRules = field(default_factory=UnknownClientRules)
    default_quota_per_s: float = 0.0
    default_refused: bool = False  # callers nobody knows are turned away
    trusted: tuple[Network, ...] = ()


@dataclass(slots=True)
class TenantChanges:
    """What a step changed: shares for the decisions, and lines for people (event, text)."""

    shares: list[Share] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)
    lines: list[tuple[str, str]] = field(default_factory=list)

    def add_line(self, event: str, text: str) -> None:
        """A line, while there are not too many."""
        if len(self.lines) < LINES_MAX:
            self.lines.append((event, text))
        elif len(self.lines) == LINES_MAX:
            self.lines.append(("tenants.more", "and more of the kind"))


class TenantState:
    """Tenants, who calls, and how far that is to be believed."""

    def __init__(self, rules: TenantRules) -> None:
        self.rules = rules
        self.table = TenantTable(rules.trusted)
        self.guard = RemovalGuard(rules.removal)
        self.staleness = StalenessTracker(rules.staleness)
        self.unknown_clients = UnknownClients(rules.unknown_clients)
        self.counts: Counter[str] = Counter()

    def default_share(self) -> Share:
        """The share of callers that nobody knows."""
        return Share(DEFAULT_ID, self.rules.default_quota_per_s, self.rules.default_refused)

    # Who calls.

    def whois(self, address: str, number: int | None, now: float) -> Identity:
        """Whose request it is, as far as may be acted on now."""
        who = self.table.whois(address, number)
        if who.identified_by is IdentifiedBy.UNKNOWN:
            self.counts["unknown"] += 1
            return who
        self.counts["known"] += 1
        if self.rules.staleness.default_when_old and self.staleness.stage(now) is Stage.OLD:
            tenant = self.table.tenants[who.id]
            return who if tenant.status is Status.SUSPENDED else UNKNOWN
        return who

    # What the directory says.

    def refreshed(self, step: Refreshed, server: str, now: float) -> TenantChanges:
        """A refresh went through; all of it in one go."""
        steps = self.refreshing(step, server, now)
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                news: TenantChanges = stop.value
                return news

    def refreshing(self, step: Refreshed, server: str, now: float) -> Generator[None, None, TenantChanges]:
        """The same in slices: it yields where others may have a turn, and takes the whole up in the last one.
        A table of a hundred thousand networks takes most of a second to build, and callers must not wait for
        that. Nothing else may be taken in meanwhile; what is given up half way has changed nothing here."""
        news = TenantChanges()
        self.counts["refreshes"] += 1
        seen = step.present | step.upserts.keys()
        if step.whole:
            missing = self.table.tenants.keys() - seen
            verdict = self.guard.whole(missing, len(self.table), server, now)
        else:
            self.guard.returned(seen)
            verdict = self.guard.named(step.gone & self.table.tenants.keys(), len(self.table), server, now)
        self._bad(step.bad, news)
        fresh = self._newer(step.upserts.values())
        old = self.table.tenants
        changes = [t for t in fresh if old.get(t.id) != t]
        if sum(1 + len(t.networks) for t in changes) + len(verdict.remove) <= SLICE:
            self._take(changes, verdict, news)
        else:
            whole = {**old, **{t.id: t for t in changes}}
            for tenant_id in verdict.remove:
                del whole[tenant_id]
            table, applied, size = TenantTable(self.rules.trusted), Applied(), 0
            table.version = self.table.version
            for tenant in whole.values():
                applied.conflicts += table.apply((tenant,)).conflicts
                size += 1 + len(tenant.networks)
                if size >= SLICE:
                    size = 0
                    yield
            known = set(self.table.conflicts)
            applied.conflicts = [c for c in applied.conflicts if c not in known]
            applied.changed, applied.removed = changes, [old[i] for i in verdict.remove]
            self.table = table
            self._tell(applied, old, news)
            self._held(verdict, news)
            self.unknown_clients.changed()
        self.staleness.confirm(now)
        return news

    def changed(self, step: Changed, server: str, now: float) -> TenantChanges:
        """Something changed while following."""
        news = TenantChanges()
        self.counts["changes"] += 1
        self.guard.returned(step.upserts.keys())
        verdict = Verdict(frozenset(), None)
        gone = step.gone & self.table.tenants.keys()
        if gone:
            verdict = self.guard.named(gone, len(self.table), server, now)
        self._bad(step.bad, news)
        self._take(step.upserts.values(), verdict, news)
        self.staleness.confirm(now)
        return news

    def found(
        self, address: str, tenants: Collection[Tenant], bad: Iterable[BadEntry], now: float
    ) -> TenantChanges:
        """The answer to a question about an unknown caller. It only ever adds."""
        news = TenantChanges()
        self._bad(bad, news)
        # Spoilt contents of a known tenant stay what a refresh made of them: this answer is but one entry.
        self._take([t for t in tenants if t.id not in self.table.tenants], Verdict(frozenset(), None), news)
        known = self.table.whois(address).identified_by is not IdentifiedBy.UNKNOWN
        self.unknown_clients.answered(address, known, now)
        self.counts["found" if known else "nobodys"] += 1
        return news

    def restored(self, tenants: Iterable[Tenant], agreed_at: float, home: str, now: float) -> TenantChanges:
        """A snapshot was read; it is as old as it says, and never fresher than now."""
        news = TenantChanges()
        self._take(tenants, Verdict(frozenset(), None), news)
        self.staleness.confirm(min(agreed_at, now))
        self.guard.home = home
        return news

    def apply_rules(self, rules: TenantRules) -> TenantChanges:
        """The operator sets other rules."""
        news = TenantChanges()
        if rules.trusted != self.rules.trusted:
            self.table.trust(rules.trusted)
        self.rules = rules
        self.guard.rules, self.staleness.rules, self.unknown_clients.rules = (
            rules.removal,
            rules.staleness,
            rules.unknown_clients,
        )
        accepted = self.guard.accepted(self.table.tenants)
        if accepted:
            self._take((), Verdict(accepted, None), news)
        news.shares.append(self.default_share())
        return news

    def aged(self, now: float) -> TenantChanges:
        """Time goes by: does the knowledge stand on another step?"""
        news = TenantChanges()
        stage = self.staleness.changed_stage(now)
        if stage is not None:
            age = "" if stage is Stage.NONE else f", {self.staleness.age(now) / 1000.0:.0f} s old"
            news.add_line("tenants.age", f"what is known of tenants is {stage.value}{age}")
        return news

    # Within.

    def _newer(self, upserts: Iterable[Tenant]) -> list[Tenant]:
        fresh = []
        for tenant in upserts:
            old = self.table.tenants.get(tenant.id)
            if old is not None and old.stamp and tenant.stamp and tenant.stamp < old.stamp:
                self.counts["older"] += 1  # a server with older contents
                continue
            fresh.append(tenant)
        return fresh

    def _take(self, upserts: Iterable[Tenant], verdict: Verdict, news: TenantChanges) -> None:
        fresh = self._newer(upserts)
        before = {t.id: self.table.tenants.get(t.id) for t in fresh}
        applied = self.table.apply(fresh, verdict.remove)
        self._tell(applied, before, news)
        self._held(verdict, news)
        if applied:
            self.unknown_clients.changed()

    def _held(self, verdict: Verdict, news: TenantChanges) -> None:
        if verdict.news and verdict.held is not None:
            held = verdict.held
            self.counts["held"] += 1
            news.add_line(
                "tenants.removal_held",
                f"{len(held.ids)} tenants are missing and stay for now ({held.why}); removal {held.digest}",
            )

    def _tell(
        self,
        applied: Applied,
        before: Mapping[str, Tenant | None] | Mapping[str, Tenant],
        news: TenantChanges,
    ) -> None:
        for tenant in applied.changed:
            old = before.get(tenant.id)
            if old is None or _share(old) != _share(tenant):
                news.shares.append(_share(tenant))
            if old is not None and old.status is not tenant.status:
                news.add_line("tenants.status", f"{tenant.name} ({tenant.id}) is {tenant.status.value} now")
            if old is not None and old.name != tenant.name:
                news.add_line("tenants.renamed", f"{old.name} is called {tenant.name} now ({tenant.id})")
        for tenant in applied.removed:
            news.removed.append(tenant.id)
            news.add_line("tenants.removed", f"{tenant.name} ({tenant.id}) is no tenant any more")
        for conflict in applied.conflicts:
            self.counts["conflicts"] += 1
            news.add_line("tenants.conflict", conflict.line())

    def _bad(self, bad: Iterable[BadEntry], news: TenantChanges) -> None:
        for entry in bad:
            self.counts["bad_entries"] += 1
            news.add_line("tenants.bad_entry", f"{entry.dn!r} can't be used: {entry.reason}")


def _share(tenant: Tenant) -> Share:
    return Share(
        tenant.id, tenant.quota_per_s, tenant.status is Status.SUSPENDED, tuple(sorted(tenant.classes))
    )
