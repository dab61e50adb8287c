"""Learned state: what is restored at a start, and what is discarded when it is too old."""

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


def new_controller(is_cold: bool = False) -> Controller:
    controller = Controller(
        Settings(classes=CLASSES, cores=2, memory_kb=1e6, starts_cold=is_cold, cold_speed=0.25, warmup_s=8.0),
        1,
    )
    controller.handle(1.0, Started())
    return controller


def complete_runs(controller: Controller, duration_s: float, count: int, now_s: float = 1.0) -> float:
    for n in range(count):
        for number, request_class in enumerate(CLASSES):
            controller.handle(now_s, RequestArrived(1 + n * 2 + number, request_class.name, time_left_s=9.0))
        now_s += duration_s
        for number in range(2):
            controller.handle(now_s, RunFinished(1 + n * 2 + number, Outcome.SUCCESS, duration_s))
    return now_s


def test_restored_run_times_are_scaled_by_the_speed_of_the_cold_machine() -> None:
    warm = new_controller()
    complete_runs(warm, 0.3, 30)
    learned = learned_state.export_learned_state(warm)
    assert learned.times["match"].core_time_s == pytest.approx(0.3, rel=0.1)
    assert learned.times["match"].run_time_s >= learned.times["match"].core_time_s
    cold_controller = new_controller(is_cold=True)
    learned_state.restore_learned_state(cold_controller, learned, 0.25)
    estimates = cold_controller.estimates
    assert estimates.core_time_s[0] * estimates.work_units(0, None) == pytest.approx(
        4 * learned.times["match"].core_time_s
    )
    # The rates of the warm machine do not apply to a cold one and are not restored.
    assert (
        estimates.service_rate == 0.0
        and estimates.best_work_speed == 0.0
        and cold_controller.blocking_probability == 0.0
    )
    assert learned_state.core_times_within_factor(cold_controller, learned, 1.25) is False


def test_restoring_never_replaces_what_this_process_has_measured() -> None:
    warm, other = new_controller(), new_controller()
    complete_runs(warm, 0.3, 30)
    complete_runs(other, 0.6, 30)
    before = list(other.estimates.core_time_s)
    learned_state.restore_learned_state(other, learned_state.export_learned_state(warm), 0.25)
    assert other.estimates.core_time_s == before


def test_run_times_that_no_run_confirms_are_discarded_at_their_maximum_age() -> None:
    controller = new_controller()
    end = complete_runs(controller, 1.8, 5)
    aging = learned_state.LearnedStateAging(learned_state.LearnedState({}))
    aging.update(controller, end + 0.4)
    assert controller.estimates.run_time_s[0] > 0.0
    assert learned_state.confirmation_ages_s(controller, end + 0.4)["recalc"] == pytest.approx(0.4)
    aging.update(controller, end + 6.1)
    assert controller.estimates.run_time_s == [0.0, 0.0] and aging.discarded_count == 2
    assert learned_state.confirmation_ages_s(controller, end + 9.0) == {}


def test_run_times_age_towards_the_restored_times() -> None:
    controller = new_controller()
    end = complete_runs(controller, 1.8, 5)
    aging = learned_state.LearnedStateAging(
        learned_state.LearnedState({"match": learned_state.LearnedClassTimes(0.3, 0.5, 0.1)})
    )
    for update_number in range(40):
        aging.update(controller, end + update_number * 0.25)
    work = controller.estimates.work_units(0, None)
    assert controller.estimates.core_time_s[0] * work == pytest.approx(0.3)
    assert controller.estimates.run_time_s[0] * work == pytest.approx(0.5)


def test_a_service_rate_of_the_cold_machine_is_replaced_once_runs_are_faster() -> None:
    controller = new_controller()
    end = complete_runs(controller, 0.3, 30)
    controller.estimates.service_rate = 0.5
    aging = learned_state.LearnedStateAging(learned_state.LearnedState({}))
    aging.update(controller, end)
    assert controller.estimates.service_rate == 0.5
    aging.update(controller, end + 1.1)
    assert controller.estimates.service_rate == pytest.approx(
        controller.estimates.full_core_rate(controller.estimates.core_time_s)
    )


def test_the_speed_of_a_cold_machine_grows_with_its_age() -> None:
    assert learned_state.warmup_speed(new_controller(), 1.0) == 1.0
    controller = new_controller(is_cold=True)
    assert learned_state.warmup_speed(controller, 1.0) == 0.25
    assert learned_state.warmup_speed(controller, 5.0) == pytest.approx(0.625)
    assert learned_state.warmup_speed(controller, 50.0) == 1.0
