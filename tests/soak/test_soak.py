"""Seeded soaks of a real node: faults, signals in series, and clients that go on until an early kill.

``python -m emulators.soak SEED ...`` plays more seeds by hand.
"""

from __future__ import annotations

import pytest

from emulators.soak import run_soak
from emulators.soak_plan import FAULTS_BEGIN_MS, KILL_AFTER_DEADLINE_MS, FaultKind, draw_plan

SEEDS = (14, 30, 40, 44, 45)
"""Seeds that broke a rule once: machines that fell while links broke until the kill (14, 40, 45), a reload in
the moment of the exit (30), requests that came while the process stood still just before it (44)."""


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken(seed: int) -> None:
    result = run_soak(seed)
    assert result.broken == []
    assert result.outcomes.get("served", 0) > 0 and result.requests > 50


def test_plan_of_a_seed_is_always_the_same() -> None:
    for seed in range(20):
        assert draw_plan(seed) == draw_plan(seed)
    assert draw_plan(1) != draw_plan(2)


def test_kill_comes_at_the_earliest_time_that_is_allowed() -> None:
    for seed in range(20):
        scenario = draw_plan(seed).scenario
        longest_ms = 1000.0 * max(c["deadline_s"] for c in scenario.settings()["classes"])
        assert scenario.stop_ms == longest_ms + KILL_AFTER_DEADLINE_MS


def test_faults_of_all_kinds_are_drawn_and_come_while_there_is_traffic() -> None:
    plans = [draw_plan(seed) for seed in range(50)]
    assert {fault.kind for plan in plans for fault in plan.faults} == set(FaultKind)
    assert {plan.terminations for plan in plans} == {1, 2, 4}
    for plan in plans:
        assert plan.faults[0].at_ms >= FAULTS_BEGIN_MS
        assert plan.faults[0].at_ms < plan.traffic_ms
