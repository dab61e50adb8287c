"""A node's budget for calls to the shared database."""

from __future__ import annotations

import pytest

from snowthread.admission.call_budget import CallBudget


def test_calls_of_the_whole_fleet_stay_within_its_budget() -> None:
    nodes = 160
    budgets = [CallBudget(fleet_per_s=400.0, base_latency_ms=5.0) for _ in range(nodes)]
    for budget in budgets:
        budget.set_sharing_nodes(nodes)
    calls = 0
    for step in range(1000):  # ten seconds in which each node asks every 10 ms
        calls += sum(budget.try_acquire(step * 10.0) for budget in budgets)
    assert calls <= 400.0 * 10 + nodes  # the first token of each bucket is the only excess
    assert calls >= 400.0 * 9


def test_a_slow_database_halves_the_rate_and_it_grows_back() -> None:
    budget = CallBudget(fleet_per_s=100.0, base_latency_ms=5.0)
    budget.try_acquire(0.0)
    budget.record_latency(0.0, duration_ms=40.0)
    assert budget.rate() == 50.0
    budget.record_latency(10.0, duration_ms=40.0)
    assert budget.rate() == pytest.approx(50.1)  # a call from before the cut does not cut again
    budget.try_acquire(4000.0)
    assert budget.rate() == pytest.approx(90.0)
    budget.record_latency(4000.0, duration_ms=4.0)
    assert budget.rate() == pytest.approx(99.0)
