"""What a step of the tenant state changed: quotas for admission control, log lines for operators."""

from __future__ import annotations

from dataclasses import dataclass, field

from snowthread.admission.settings import Tenant

TenantQuota = Tenant  # admission control knows a tenant by its quota alone

MAX_LOG_LINES = 20  # per step; one more line says that there were more


@dataclass(frozen=True, slots=True)
class TenantLogLine:
    """One line for the log: the event's name and the text."""

    event: str
    text: str


MORE_LINES = TenantLogLine("tenants.more", "and more of the kind")


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
            self.log_lines.append(MORE_LINES)
