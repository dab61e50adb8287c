"""What one step of the tenant state changed: quotas for admission control, and the log lines about it.

A step is one call of a method of ``TenantState`` that can change it, for instance ``apply_refresh``.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from snowthread.admission import settings as admission_settings
from snowthread.tenants.conflicts import Conflict
from snowthread.tenants.entry import BadEntry
from snowthread.tenants.model import Tenant, TenantStatus
from snowthread.tenants.removal_guard import PendingRemoval
from snowthread.tenants.staleness import StalenessStage

TenantQuota = admission_settings.Tenant  # the quota settings are all that admission control knows of a tenant

MAX_LOG_LINES = 20  # log lines per step of the tenant state; one further line says that lines were omitted
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class TenantLogLine:
    """One log line: the event name and the message."""

    event: str
    text: str


LINES_OMITTED = TenantLogLine("tenants.more", "further messages of this step are omitted")


@dataclass(slots=True)
class TenantChanges:
    """The quota changes, removed tenants and log lines of one step: one call that can change TenantState."""

    quotas: list[TenantQuota] = field(default_factory=list)
    removed_ids: list[str] = field(default_factory=list)
    log_lines: list[TenantLogLine] = field(default_factory=list)

    def add_log_line(self, event: str, text: str) -> None:
        """Add a log line; above ``MAX_LOG_LINES`` only a notice that lines were omitted is added, once."""
        if len(self.log_lines) < MAX_LOG_LINES:
            self.log_lines.append(TenantLogLine(event, text))
        elif len(self.log_lines) == MAX_LOG_LINES:
            self.log_lines.append(LINES_OMITTED)

    def add_upsert(self, tenant: Tenant, old: Tenant | None) -> None:
        """Record a new or changed tenant; ``old`` is its previous value, or None for a new tenant."""
        quota = _quota_of(tenant)
        if old is None or _quota_of(old) != quota:
            self.quotas.append(quota)
        if old is None:
            return
        if old.status is not tenant.status:
            self.add_log_line("tenants.status", f"{tenant.name} ({tenant.id}) is now {tenant.status.value}")
        if old.name != tenant.name:
            self.add_log_line("tenants.renamed", f"{old.name} was renamed to {tenant.name} ({tenant.id})")

    def add_removal(self, tenant: Tenant) -> None:
        """Record that a tenant was removed."""
        self.removed_ids.append(tenant.id)
        self.add_log_line("tenants.removed", f"{tenant.name} ({tenant.id}) was removed")

    def add_pending_removal(self, removal: PendingRemoval) -> None:
        """Log a removal that has started to wait for confirmation."""
        self.add_log_line(
            "tenants.removal_held",
            f"{len(removal.tenant_ids)} tenants are missing from the directory and are kept until "
            f"the removal is confirmed ({removal.reason}); removal digest {removal.digest}; "
            "to accept the removal, set accept in the block tenants.removal to this digest",
        )

    def add_conflict(self, conflict: Conflict) -> None:
        """Log that two tenants claim the same network or balancer number."""
        self.add_log_line("tenants.conflict", conflict.describe())

    def add_bad_entry(self, entry: BadEntry) -> None:
        """Log a directory entry that could not be parsed into a tenant."""
        self.add_log_line(
            "tenants.bad_entry", f"entry {entry.dn!r} is invalid and was ignored: {entry.reason}"
        )

    def add_staleness_stage(self, stage: StalenessStage, age_ms: float) -> None:
        """Log the staleness stage that was reached, with the age of the tenant data."""
        age = "" if stage is StalenessStage.NONE else f", last confirmed {age_ms / MS_PER_S:.0f} s ago"
        self.add_log_line("tenants.age", f"tenant data: stage {stage.value}{age}")


def _quota_of(tenant: Tenant) -> TenantQuota:
    suspended = tenant.status is TenantStatus.SUSPENDED
    return TenantQuota(tenant.id, tenant.quota_per_s, suspended, tuple(sorted(tenant.classes)))
