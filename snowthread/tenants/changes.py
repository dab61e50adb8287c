"""What a step of the tenant state changed: quotas for admission control, log lines for operators."""

from __future__ import annotations

from dataclasses import dataclass, field

from snowthread.admission import settings as admission_settings
from snowthread.tenants.conflicts import Conflict
from snowthread.tenants.entry import BadEntry
from snowthread.tenants.model import Tenant, TenantStatus
from snowthread.tenants.removal_guard import PendingRemoval
from snowthread.tenants.staleness import StalenessStage

TenantQuota = admission_settings.Tenant  # admission control knows a tenant by its quota alone

MAX_LOG_LINES = 20  # per step; one more line says that there were more
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class TenantLogLine:
    """One line for the log: the event's name and the text."""

    event: str
    text: str


LINES_OMITTED = TenantLogLine("tenants.more", "and more of the kind")


@dataclass(slots=True)
class TenantChanges:
    """What one step changed."""

    quotas: list[TenantQuota] = field(default_factory=list)
    removed_ids: list[str] = field(default_factory=list)
    log_lines: list[TenantLogLine] = field(default_factory=list)

    def add_log_line(self, event: str, text: str) -> None:
        """Add a line unless there are too many already."""
        if len(self.log_lines) < MAX_LOG_LINES:
            self.log_lines.append(TenantLogLine(event, text))
        elif len(self.log_lines) == MAX_LOG_LINES:
            self.log_lines.append(LINES_OMITTED)

    def add_upsert(self, tenant: Tenant, old: Tenant | None) -> None:
        """Add a tenant that is new, if ``old`` is None, or has changed."""
        quota = _quota_of(tenant)
        if old is None or _quota_of(old) != quota:
            self.quotas.append(quota)
        if old is None:
            return
        if old.status is not tenant.status:
            self.add_log_line("tenants.status", f"{tenant.name} ({tenant.id}) is {tenant.status.value} now")
        if old.name != tenant.name:
            self.add_log_line("tenants.renamed", f"{old.name} is called {tenant.name} now ({tenant.id})")

    def add_removal(self, tenant: Tenant) -> None:
        """Add a tenant that was removed."""
        self.removed_ids.append(tenant.id)
        self.add_log_line("tenants.removed", f"{tenant.name} ({tenant.id}) is no tenant any more")

    def add_pending_removal(self, removal: PendingRemoval) -> None:
        """Add a removal that waits for its confirmation from now on."""
        self.add_log_line(
            "tenants.removal_held",
            f"{len(removal.tenant_ids)} tenants are missing and stay for now ({removal.reason}); "
            f"removal {removal.digest}",
        )

    def add_conflict(self, conflict: Conflict) -> None:
        """Add a claim of two tenants to the same network or number."""
        self.add_log_line("tenants.conflict", conflict.describe())

    def add_bad_entry(self, entry: BadEntry) -> None:
        """Add an entry that describes no tenant."""
        self.add_log_line("tenants.bad_entry", f"{entry.dn!r} can't be used: {entry.reason}")

    def add_staleness_stage(self, stage: StalenessStage, age_ms: float) -> None:
        """Add the stage of staleness that was reached."""
        age = "" if stage is StalenessStage.NONE else f", {age_ms / MS_PER_S:.0f} s old"
        self.add_log_line("tenants.age", f"what is known of tenants is {stage.value}{age}")


def _quota_of(tenant: Tenant) -> TenantQuota:
    suspended = tenant.status is TenantStatus.SUSPENDED
    return TenantQuota(tenant.id, tenant.quota_per_s, suspended, tuple(sorted(tenant.classes)))
