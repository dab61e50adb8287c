"""Quotas: what one more request of a tenant is worth."""

from snowthread.admission.estimators import AVERAGED_REQUESTS
from snowthread.admission.settings import Settings
from snowthread.admission.tenant_table import TenantTable

QUOTA_TOLERANCE = 1.5  # times its quota from which a tenant's next request counts as over it altogether
QUOTA_WINDOW_RUNS = AVERAGED_REQUESTS / 2.0  # of a tenant at its quota, in which its runs are counted


class TenantQuotas:
    """How much of its quota each tenant has used at this node lately: runs count, rejections don't."""

    # A tenant that sends thrice its quota gets it. Harm: where callers keep to few nodes, a part lies idle.

    def __init__(self, settings: Settings) -> None:
        self.settings, self.table = settings, TenantTable(settings)

    def weight(self, now: float, name: str) -> float:
        """Return 1 while a tenant is under its quota, falling to the weight of what is over it."""
        used = self._runs(now, name, 0.0) / QUOTA_WINDOW_RUNS
        within = min(1.0, max(0.0, (QUOTA_TOLERANCE - used) / (QUOTA_TOLERANCE - 1.0)))
        return within + (1.0 - within) * self.table.over_quota_weight

    def run_started(self, now: float, name: str) -> None:
        """Count a run."""
        self._runs(now, name, 1.0)

    def _runs(self, now: float, name: str, new_runs: float) -> float:
        span = QUOTA_WINDOW_RUNS * max(1, self.settings.node_count)
        return self.table.count_runs(now, name, new_runs, span)
