"""Quotas of tenants."""

from __future__ import annotations

import pytest
from support.admission_controller import started_controller

from snowthread.admission.settings import Tenant


@pytest.mark.parametrize(("run_interval", "low", "high"), [(1, 0.04, 0.2), (5, 0.8, 1.0)])
def test_a_tenant_is_over_its_quota_by_its_runs_not_by_its_requests(
    run_interval: int, low: float, high: float
) -> None:
    # The tenant's quota at this node is one request per second, and it sends four. If all of them run, the
    # next one is over the quota; if one in five runs, the next one keeps its full weight.
    controller = started_controller(
        tenants=(Tenant("t", 100.0), Tenant("none", 0.0)), node_count=100, over_quota_weight=0.05
    )
    now, weights = 0.0, []
    for n in range(200):
        now += 0.25
        weights.append(controller.state.quotas.weight_ratio(now, "t"))
        if n % run_interval == 0:
            controller.state.quotas.count_run(now, "t")
    assert low <= sum(weights[100:]) / 100 <= high
    quotas = controller.state.quotas
    assert quotas.weight_ratio(now, "none") == 1.0 and quotas.weight_ratio(now, "nobody") == 1.0
