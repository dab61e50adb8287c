"""Learned state: what is restored at a start, and what is given up once too old."""

from __future__ import annotations

import pytest

from snowthread.admission import learned_state
from snowthread.admission.controller import Controller
from snowthread.admission.events import RequestArrived, RunFinished, Started
from snowthread.admission.settings import Outcome, RequestClass, Settings

CLASSES = (
    RequestClass("match", latency_objective_s=3.0, deadline_s=9.0),
    RequestClass("recalc", latency_objective_s=2.0, deadline_s=6.0),
)


def controller(cold: bool = False) -> Controller:
    made = Controller(
        Settings(classes=CLASSES, cores=2, memory_kb=1e6, starts_cold=cold, cold_speed=0.25, warmup_s=8.0), 1
    )
    made.handle(1.0, Started())
    return made


def runs(made: Controller, took_s: float, count: int, at: float = 1.0) -> float:
    for n in range(count):
        for number, kind in enumerate(CLASSES):
            made.handle(at, RequestArrived(1 + n * 2 + number, kind.name, time_left_s=9.0))
        at += took_s
        for number in range(2):
            made.handle(at, RunFinished(1 + n * 2 + number, Outcome.SUCCESS, took_s))
    return at


def test_restored_run_times_are_slower_by_the_cold_machines_speed() -> None:
    warm = controller()
    runs(warm, 0.3, 30)
    known = learned_state.export_learned_state(warm)
    assert known.times["match"].core_time_s == pytest.approx(0.3, rel=0.1)
    assert known.times["match"].run_time_s >= known.times["match"].core_time_s
    fresh = controller(cold=True)
    learned_state.restore_learned_state(fresh, known, 0.25)
    estimates = fresh.estimates
    assert estimates.core_time_s[0] * estimates.work_units(0, None) == pytest.approx(
        4 * known.times["match"].core_time_s
    )
    # Those of a warm machine would be stale here.
    assert (
        estimates.service_rate == 0.0
        and estimates.best_work_speed == 0.0
        and fresh.blocking_probability == 0.0
    )
    assert learned_state.runs_within_factor(fresh, known, 1.25) is False


def test_restoring_never_replaces_what_this_process_has_measured() -> None:
    warm, other = controller(), controller()
    runs(warm, 0.3, 30)
    runs(other, 0.6, 30)
    before = list(other.estimates.core_time_s)
    learned_state.restore_learned_state(other, learned_state.export_learned_state(warm), 0.25)
    assert other.estimates.core_time_s == before


def test_run_times_that_nothing_confirms_are_given_up_after_their_bound() -> None:
    made = controller()
    end = runs(made, 1.8, 5)
    ages = learned_state.LearnedStateAging(learned_state.LearnedState({}))
    ages.update(made, end + 0.4)
    assert made.estimates.run_time_s[0] > 0.0
    assert learned_state.confirmation_ages_s(made, end + 0.4)["recalc"] == pytest.approx(0.4)
    ages.update(made, end + 6.1)
    assert made.estimates.run_time_s == [0.0, 0.0] and ages.discarded_count == 2
    assert learned_state.confirmation_ages_s(made, end + 9.0) == {}


def test_run_times_age_towards_what_was_recalled() -> None:
    made = controller()
    end = runs(made, 1.8, 5)
    ages = learned_state.LearnedStateAging(
        learned_state.LearnedState({"match": learned_state.LearnedClassTimes(0.3, 0.5, 0.1)})
    )
    for tick in range(40):
        ages.update(made, end + tick * 0.25)
    work = made.estimates.work_units(0, None)
    assert made.estimates.core_time_s[0] * work == pytest.approx(0.3)
    assert made.estimates.run_time_s[0] * work == pytest.approx(0.5)


def test_a_service_rate_of_the_cold_machine_is_given_up_once_runs_are_quicker() -> None:
    made = controller()
    end = runs(made, 0.3, 30)
    made.estimates.service_rate = 0.5
    ages = learned_state.LearnedStateAging(learned_state.LearnedState({}))
    ages.update(made, end)
    assert made.estimates.service_rate == 0.5
    ages.update(made, end + 1.1)
    assert made.estimates.service_rate == pytest.approx(
        made.estimates.saturated_rate(made.estimates.core_time_s)
    )


def test_the_speed_of_a_cold_machine_grows_with_its_age() -> None:
    assert learned_state.warmup_speed(controller(), 1.0) == 1.0
    cold = controller(cold=True)
    assert learned_state.warmup_speed(cold, 1.0) == 0.25
    assert learned_state.warmup_speed(cold, 5.0) == pytest.approx(0.625)
    assert learned_state.warmup_speed(cold, 50.0) == 1.0
