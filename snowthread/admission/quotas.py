"""Tenants: which classes they may send, and the weight of requests beyond their quota."""

from snowthread.admission.controller_context import ControllerContext
from snowthread.admission.estimators import AVERAGED_REQUESTS
from snowthread.admission.events import TenantsChanged
from snowthread.admission.request import RequestRecord
from snowthread.admission.tenant_table import TenantTable

MAX_QUOTA_USE_RATIO = 1.5  # of its quota, from which a tenant's next request has the full reduction
QUOTA_WINDOW_RUNS = AVERAGED_REQUESTS / 2.0  # of a tenant at its quota: over which its runs are counted


class TenantQuotas:
    """How much of its quota each tenant has used at this node lately: runs count, rejections don't.

    The node's part of a quota is that over the number of nodes.
    """

    def __init__(self, state: ControllerContext) -> None:
        self._state = state
        self.table = TenantTable(state.settings)

    def apply_tenant_changes(self, event: TenantsChanged) -> list[RequestRecord]:
        """Use changed tenants; return the queued requests that have not run and are not allowed any more."""
        self.table.apply_changes(event)
        return [
            request
            for request in self._state.open_requests.queued.values()
            if (request.tenant in event.removed or not self.table.allows(request))
            and not request.may_have_run
        ]

    def weight_ratio(self, now: float, tenant: str) -> float:
        """Return the weight of a tenant's next request: 1 under its quota, falling to that beyond it."""
        used_ratio = self._add_runs(now, tenant, 0.0) / QUOTA_WINDOW_RUNS
        quota_headroom_ratio = min(
            1.0, max(0.0, (MAX_QUOTA_USE_RATIO - used_ratio) / (MAX_QUOTA_USE_RATIO - 1.0))
        )
        return quota_headroom_ratio + (1.0 - quota_headroom_ratio) * self.table.over_quota_weight

    def count_run(self, now: float, tenant: str) -> None:
        """Count a run that starts."""
        self._add_runs(now, tenant, 1.0)

    def _add_runs(self, now: float, tenant: str, new_runs: float) -> float:
        span_runs = QUOTA_WINDOW_RUNS * max(1, self._state.settings.node_count)
        return self.table.count_runs(now, tenant, new_runs, span_runs)
