"""The table of tenants, with counts of their runs. Accounting only."""

from __future__ import annotations

from collections import defaultdict

from snowthread.admission.events import TenantsChanged
from snowthread.admission.request import RequestRecord
from snowthread.admission.settings import Settings, Tenant
from snowthread.admission.statistics import DecayingCount


class TenantTable:
    """The tenants by name, and the number of runs of each, in which older runs count less."""

    def __init__(self, settings: Settings) -> None:
        self.tenants: dict[str, Tenant] = {tenant.name: tenant for tenant in settings.tenants}
        # Factor on the weight of requests beyond their tenant's quota.
        self.over_quota_weight = settings.over_quota_weight
        self._runs: defaultdict[str, DecayingCount] = defaultdict(DecayingCount)

    def apply_changes(self, event: TenantsChanged) -> None:
        """Use the changed tenants from now on."""
        self.tenants.update((tenant.name, tenant) for tenant in event.changed)
        for name in event.removed:
            self.tenants.pop(name, None)
            self._runs.pop(name, None)
        if event.over_quota_weight is not None:
            self.over_quota_weight = event.over_quota_weight

    def allows(self, request: RequestRecord) -> bool:
        """Return whether the request's tenant may send its class; an unknown tenant may send any."""
        tenant = self.tenants.get(request.tenant) if self.tenants else None
        return tenant is None or tenant.allows(request.request_class.name)

    def count_runs(self, now: float, name: str, new_runs: float, span: float) -> float:
        """Add runs of a tenant and return their count, which is 0 for a tenant without a quota.

        A run has decayed to 1/e after the time that ``span`` runs take at the quota.
        """
        tenant = self.tenants.get(name) if self.tenants else None
        if tenant is None or tenant.quota_per_s <= 0.0:
            return 0.0
        return self._runs[name].add(now, new_runs, tenant.quota_per_s, span)
