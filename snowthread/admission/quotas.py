"""Tenants: which classes each may send, and the weight of requests beyond its quota."""

from snowthread.admission.controller_context import ControllerContext
from snowthread.admission.estimators import AVERAGED_REQUESTS
from snowthread.admission.events import TenantsChanged
from snowthread.admission.request import RequestRecord
from snowthread.admission.tenant_table import TenantTable

# Use of a tenant's quota, as a ratio, from which its next request gets the full reduction of weight.
MAX_QUOTA_USE_RATIO = 1.5
# Time constant with which counted runs of a tenant decay, expressed as the number of runs that a tenant which
# uses exactly its quota makes in that time.
QUOTA_WINDOW_RUNS = AVERAGED_REQUESTS / 2.0


class TenantQuotas:
    """Tracks how much of its quota each tenant has used at this node lately.

    Runs count, rejections do not. The node's part of a quota is the quota divided by the number of nodes.
    """

    def __init__(self, state: ControllerContext) -> None:
        self._state = state
        self.table = TenantTable(state.settings)

    def apply_tenant_changes(self, event: TenantsChanged) -> list[RequestRecord]:
        """Apply changed tenants and return the queued requests that are no longer allowed.

        Requests that may have run already are left out.
        """
        self.table.apply_changes(event)
        return [
            request
            for request in self._state.open_requests.queued.values()
            if (request.tenant in event.removed or not self.table.allows(request))
            and not request.may_have_run
        ]

    def weight_ratio(self, now: float, tenant: str) -> float:
        """Return the factor on the weight of a tenant's next request.

        It is 1 up to the quota and falls beyond it to ``over_quota_weight``.
        """
        used_ratio = self._add_runs(now, tenant, 0.0) / QUOTA_WINDOW_RUNS
        quota_headroom_ratio = min(
            1.0, max(0.0, (MAX_QUOTA_USE_RATIO - used_ratio) / (MAX_QUOTA_USE_RATIO - 1.0))
        )
        return quota_headroom_ratio + (1.0 - quota_headroom_ratio) * self.table.over_quota_weight

    def count_run(self, now: float, tenant: str) -> None:
        """Count a run of a tenant that starts."""
        self._add_runs(now, tenant, 1.0)

    def _add_runs(self, now: float, tenant: str, new_runs: float) -> float:
        """Add runs of a tenant and return their count, in which older runs count less."""
        span_runs = QUOTA_WINDOW_RUNS * max(1, self._state.settings.node_count)
        return self.table.count_runs(now, tenant, new_runs, span_runs)
