"""The count of runs while the host has lost sight of some, compared with the runs measured on the cores."""

from __future__ import annotations

from support.admission_controller import arrive, request_ids, started_controller

from snowthread.admission.actions import StartRun
from snowthread.admission.controller import Controller
from snowthread.admission.events import RunCountUncertain, RunFinished, RunIndeterminate, TimerFired
from snowthread.admission.lost_runs import RUN_COUNT_UNCERTAIN_S
from snowthread.admission.settings import Outcome
from snowthread.admission.timer_queue import UPDATE_TIMER


def controller_without_link(runs: int) -> Controller:
    """Return a controller of two cores whose keyed runs are indeterminate after a broken link."""
    controller = started_controller()
    controller.concurrency.limit = float(runs)
    for number in range(1, runs + 1):
        assert request_ids(arrive(controller, 0.1, number, "keyed"), StartRun) == [number]
    controller.handle(0.2, RunCountUncertain())
    for number in range(1, runs + 1):
        controller.handle(0.2, RunIndeterminate(number))
    return controller


def measure(controller: Controller, now_s: float, measured_runs: float | None) -> None:
    controller.handle(now_s, TimerFired(UPDATE_TIMER, core_utilization=1.0, core_demand=measured_runs))


def test_indeterminate_runs_that_are_measured_keep_their_cores() -> None:
    controller = controller_without_link(2)
    measure(controller, 0.25, 2.0)
    assert not request_ids(arrive(controller, 0.3, 9), StartRun)


def test_indeterminate_runs_measured_as_absent_leave_their_cores_to_others() -> None:
    controller = controller_without_link(2)
    measure(controller, 0.25, 0.0)
    assert request_ids(arrive(controller, 0.3, 9), StartRun) == [9]
    assert controller.run_load().running == 3  # all of them may still run


def test_indeterminate_runs_keep_their_cores_where_nothing_is_measured() -> None:
    controller = controller_without_link(2)
    measure(controller, 0.25, None)
    assert not request_ids(arrive(controller, 0.3, 9), StartRun)


def test_measured_excess_runs_count_only_while_the_run_count_is_uncertain() -> None:
    controller = started_controller()
    measure(controller, 0.25, 7.0)
    # The count of runs is certain, so what is measured beyond it may be the reading of requests.
    assert request_ids(arrive(controller, 0.3, 1), StartRun) == [1]
    controller.handle(0.4, RunFinished(1, Outcome.SUCCESS))
    controller.handle(0.4, RunCountUncertain())
    measure(controller, 0.5, 7.0)
    assert controller.run_load().excess_runs == 7.0
    assert not request_ids(arrive(controller, 0.6, 2), StartRun)
    measure(controller, 0.5 + RUN_COUNT_UNCERTAIN_S, 7.0)
    assert controller.run_load().excess_runs == 0.0


def test_end_of_an_indeterminate_run_is_counted_once() -> None:
    controller = controller_without_link(2)
    controller.handle(0.3, RunFinished(1, Outcome.SUCCESS))
    controller.handle(0.3, RunFinished(1, Outcome.SUCCESS))
    load = controller.run_load()
    assert (load.running, load.indeterminate) == (1, 1)


def test_all_runs_that_may_be_active_stay_below_what_the_machine_survives() -> None:
    """Runs that were not measured still count, because they may have been waiting to start."""
    controller = controller_without_link(6)
    ceiling = controller.run_load().ceiling
    measure(controller, 0.25, 0.0)
    started = sum(bool(request_ids(arrive(controller, 0.3, n), StartRun)) for n in range(10, 20))
    assert 6 + started < 8  # the machine survives four runs per core, on two cores
    assert 6 + started < ceiling + 1.0


def test_cold_machine_of_few_cores_gets_no_more_runs_than_it_survives() -> None:
    """The ceiling is not an integer: a run started just below it was one more than the machine survives."""
    controller = started_controller(
        cores=2, collapse_multiple=5.0, starts_cold=True, cold_speed=0.23, warmup_s=17.0
    )
    survived = 2 * (1.0 + 4.0 * 0.23)
    controller.concurrency.limit = 10.0
    for number in range(1, 10):
        arrive(controller, 0.01, number, "keyed")
    assert 2 <= controller.run_load().running < survived
