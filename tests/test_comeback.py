"""A cold node's ramp, its backoff, its share of cold calls, and values that grow old."""

from __future__ import annotations

import random

import pytest

from clovertack.comeback import Aged, Backoff, ColdBudget, Ramp


def test_the_ramp_starts_at_one_and_doubles_a_round_on_success() -> None:
    ramp = Ramp(ceiling=16.0)
    widths = []
    for _ in range(4):
        width = int(ramp.window)
        widths.append(width)
        for _ in range(width):
            ramp.success(0.0)
    assert widths == [1, 2, 4, 8] and ramp.admits(15) and not ramp.admits(16)


def test_a_loss_halves_the_window_and_growth_goes_on_slowly_after() -> None:
    ramp = Ramp(ceiling=64.0)
    for _ in range(15):
        ramp.success(0.0)
    assert ramp.window == 16.0
    ramp.loss(0.0)
    assert ramp.window == 8.0 and ramp.losses == 1
    for _ in range(8):
        ramp.success(0.0)
    assert 8.9 < ramp.window < 9.1  # one a round over the threshold
    for _ in range(10):
        ramp.loss(0.0)
    assert ramp.window == 1.0 and ramp.admits(0)


def test_the_ramp_is_full_only_after_it_held_the_ceiling() -> None:
    ramp = Ramp(ceiling=2.0, settle_ms=1000.0)
    ramp.success(0.0)
    ramp.success(500.0)
    assert not ramp.full
    ramp.success(1500.0)
    assert ramp.full and ramp.admits(1000)
    ramp.loss(1600.0)
    assert not ramp.full and not ramp.admits(1)


def test_a_ramp_that_could_not_grow_is_refused() -> None:
    with pytest.raises(ValueError):
        Ramp(ceiling=0.5)
    with pytest.raises(ValueError):
        Ramp(ceiling=4.0, cut=1.0)


def test_backoff_stays_within_base_and_cap_and_spreads_those_who_failed_together() -> None:
    draws = [random.Random(seed) for seed in range(100)]
    backoffs = [Backoff(base_ms=50.0, cap_ms=2000.0) for _ in draws]
    for _ in range(6):
        sleeps = [backoff.failed(draw) for backoff, draw in zip(backoffs, draws, strict=True)]
        assert all(50.0 <= sleep <= 2000.0 for sleep in sleeps)
    assert len({round(sleep) for sleep in sleeps}) > 60  # not all at one moment
    backoffs[0].reset()
    assert backoffs[0].sleep_ms == 50.0


def test_cold_calls_of_the_whole_fleet_stay_within_its_budget() -> None:
    nodes = 160
    budgets = [ColdBudget(fleet_per_s=400.0, prior_ms=5.0) for _ in range(nodes)]
    for budget in budgets:
        budget.told(nodes)
    calls = 0
    for step in range(1000):  # ten seconds, each node asking every 10 ms
        calls += sum(budget.take(step * 10.0) for budget in budgets)
    assert calls <= 400.0 * 10 + nodes  # the first token of each bucket is the only excess
    assert calls >= 400.0 * 9


def test_a_slow_database_halves_the_share_and_it_grows_back() -> None:
    budget = ColdBudget(fleet_per_s=100.0, prior_ms=5.0)
    budget.take(0.0)
    budget.latency(0.0, took_ms=40.0)
    assert budget.rate() == 50.0
    budget.latency(0.0, took_ms=4.0)
    assert budget.rate() == 50.0
    budget.take(5000.0)
    assert budget.rate() == 100.0


def test_a_learned_value_decays_to_its_prior_and_is_marked() -> None:
    value = Aged(value=10.0, learned_ms=0.0, prior=2.0, fresh_ms=1000.0, max_ms=3000.0)
    assert value.read(500.0).value == 10.0 and not value.read(500.0).stale
    assert value.read(2000.0).value == pytest.approx(6.0)
    late = value.read(3000.0)
    assert late.value == 2.0 and late.stale
