"""Which request starts next, and which events have no effect."""

from __future__ import annotations

import pytest
from support.admission_controller import arrive, request_ids, started_controller

from snowthread.admission.actions import Action, StartRun
from snowthread.admission.events import CallFinished, CallNeeded, RunFinished, TimerFired
from snowthread.admission.settings import LoadReportKind, Outcome
from snowthread.admission.timer_queue import UPDATE_TIMER


def test_as_many_requests_as_cores_run_and_the_next_one_starts_when_a_run_ends() -> None:
    controller = started_controller()
    assert request_ids(arrive(controller, 0.1, 1), StartRun) == [1]
    assert request_ids(arrive(controller, 0.1, 2), StartRun) == [2]
    assert request_ids(arrive(controller, 0.1, 3), StartRun) == []
    assert request_ids(controller.handle(0.3, RunFinished(1, Outcome.SUCCESS, 0.2)), StartRun) == [3]


@pytest.mark.parametrize(("is_retry", "first_started"), [(True, 4), (False, 3)])
def test_a_first_attempt_goes_before_a_marked_retry(is_retry: bool, first_started: int) -> None:
    controller = started_controller(memory_kb=1e6)
    for n in (1, 2, 3):
        arrive(controller, 0.1, n, is_retry=is_retry)
    arrive(controller, 0.1, 4)
    assert request_ids(controller.handle(0.3, RunFinished(1, Outcome.SUCCESS, 0.2)), StartRun) == [
        first_started
    ]


def test_events_of_finished_and_unknown_requests_do_nothing() -> None:
    controller = started_controller()
    arrive(controller, 0.1, 1)
    controller.handle(0.2, RunFinished(1, Outcome.SUCCESS, 0.1))
    assert controller.handle(0.3, RunFinished(1, Outcome.SUCCESS, 0.1)) == []
    assert (
        controller.handle(0.3, CallNeeded(9)) == []
        and controller.handle(0.3, CallFinished(9, Outcome.SUCCESS)) == []
    )


def test_the_same_events_lead_to_the_same_actions() -> None:
    def run_events() -> list[Action]:
        controller = started_controller(load_report_kind=LoadReportKind.LEVEL)
        actions: list[Action] = []
        for n in range(1, 60):
            actions += arrive(controller, n * 0.05, n, ("read", "keyed", "non_idempotent")[n % 3])
            if n % 4 == 0:
                actions += controller.handle(n * 0.05, RunFinished(n // 4, Outcome.SUCCESS, 0.2))
            if n % 5 == 0:
                actions += controller.handle(
                    n * 0.05, TimerFired(UPDATE_TIMER, core_utilization=1.0, core_demand=4.0)
                )
        return actions

    assert run_events() == run_events()
