"""The objectives that the restart benchmarks report as missed; their load continues on a new process."""

from __future__ import annotations

from typing import Any

import pytest

from benchmarks import hot_restart, recovery

PASSING_RESTART = {
    "lost": 0,
    "doubled": 0,
    "late": 0,
    "keys_run_twice": 0,
    "left_behind_keys_run_twice": 0,
    "roster_off": 0,
    "left": [0, 0],
    "ready_ms": [500, 600],
}
PASSING_RECOVERY: dict[str, float] = {
    **dict.fromkeys(recovery.MUST_BE_ZERO, 0),
    "database_peak_over_capacity": recovery.MAX_DATABASE_PEAK_RATIO,
}
PASSING_VARIANT: dict[str, Any] = {"ratio": recovery.MAX_TIME_RATIO, "comeback": PASSING_RECOVERY}


@pytest.mark.parametrize(
    ("changes", "ratio", "missed"),
    [
        ({}, hot_restart.MIN_RATIO, []),
        ({"lost": 1, "late": 2}, 1.0, ["lost", "late"]),
        ({"left_behind_keys_run_twice": 1}, 1.0, ["left_behind_keys_run_twice"]),
        ({"left": [0, 1]}, 1.0, ["left"]),
        ({}, hot_restart.MIN_RATIO - 0.01, ["ratio"]),
        ({"ready_ms": [100, hot_restart.MAX_READY_MS + 1.0]}, 1.0, ["ready_ms"]),
        ({"ready_ms": []}, 1.0, ["ready_ms"]),
    ],
)
def test_hot_restart_figures_that_miss_their_objective_are_reported(
    changes: dict[str, Any], ratio: float, missed: list[str]
) -> None:
    figures = {"replaced": PASSING_RESTART | changes, "ratio": ratio}
    assert hot_restart.missed_objectives(figures) == missed


@pytest.mark.parametrize(
    ("cost", "variant", "missed"),
    [
        (recovery.MAX_COST_RATIO, PASSING_VARIANT, []),
        (recovery.MAX_COST_RATIO + 0.01, PASSING_VARIANT, ["cost"]),
        (1.0, PASSING_VARIANT | {"ratio": recovery.MAX_TIME_RATIO + 0.01}, ["wiped: ratio"]),
        (1.0, PASSING_VARIANT | {"comeback": PASSING_RECOVERY | {"lost": 1}}, ["wiped: lost"]),
        (
            1.0,
            PASSING_VARIANT | {"comeback": PASSING_RECOVERY | {"database_peak_over_capacity": 1.1}},
            ["wiped: database"],
        ),
    ],
)
def test_recovery_figures_that_miss_their_objective_are_reported(
    cost: float, variant: dict[str, Any], missed: list[str]
) -> None:
    assert recovery.missed_objectives({"cost": cost, "variants": {"wiped": variant}}) == missed


def test_load_of_the_hot_restart_benchmark_continues_on_the_new_process() -> None:
    figures = hot_restart.run_load(seed=1, seconds=1.5, restarts_at_s=[0.1])
    assert figures["asked"] > 20 and figures["served"] > 0.5
    assert len(figures["ready_ms"]) == len(figures["private_mb"]) == len(figures["left"]) == 1
    assert figures["keys_run"] > 0 and figures["keys_run_twice"] == 0
