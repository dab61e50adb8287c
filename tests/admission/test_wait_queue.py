"""What runs next, and what cannot be served in time."""

from __future__ import annotations

from support.admission_controller import arrive, request_ids, started_controller

from snowthread.admission.actions import Action, Reject, StartRun
from snowthread.admission.controller import UPDATE_TIMER
from snowthread.admission.events import CallFinished, CallNeeded, RunFinished, TimerFired
from snowthread.admission.settings import LoadReportKind, Outcome


def test_runs_up_to_the_cores_and_queues_the_rest() -> None:
    controller = started_controller()
    assert request_ids(arrive(controller, 0.1, 1), StartRun) == [1]
    assert request_ids(arrive(controller, 0.1, 2), StartRun) == [2]
    assert request_ids(arrive(controller, 0.1, 3), StartRun) == []
    assert request_ids(controller.handle(0.3, RunFinished(1, Outcome.SUCCESS, 0.2)), StartRun) == [3]


def test_a_short_deadline_is_no_sign_of_age() -> None:
    # Calls between tiers come with whatever their caller has left: that says nothing of their aim.
    controller = started_controller(propagates_deadline=True)
    arrive(controller, 0.1, 1, time_left_s=3.0)
    controller.handle(0.3, RunFinished(1, Outcome.SUCCESS, 0.2))
    for n in (2, 3):
        arrive(controller, 0.4, n, time_left_s=1.6)
    actions = arrive(controller, 0.4, 4, time_left_s=1.6)
    assert request_ids(actions, Reject) == [] and 4 in controller._open.queued


def test_a_request_that_lay_unread_too_long_is_rejected_at_once() -> None:
    controller = started_controller()
    arrive(controller, 0.1, 1)
    controller.handle(0.5, RunFinished(1, Outcome.SUCCESS, 0.4))
    assert request_ids(arrive(controller, 2.0, 3, unread_s=0.1), StartRun) == [3]
    late = arrive(controller, 2.0, 2, unread_s=0.9)
    assert request_ids(late, StartRun) == [] and request_ids(late, Reject) == [2]


def test_run_times_learned_too_long_are_unlearned() -> None:
    controller = started_controller()
    controller.estimates.run_time_s[0] = controller.estimates.core_time_s[
        0
    ] = controller.estimates.base_core_time_s[0] = 50.0
    for n in range(1, 12):
        assert request_ids(arrive(controller, 1.5 * n, n), StartRun) == [n]
        controller.handle(1.5 * n + 0.2, RunFinished(n, Outcome.SUCCESS, 0.2))
    assert controller.estimates.run_time_s[0] * controller.estimates.work_of(0, None) < 5.0


def test_a_large_request_on_a_slow_server_is_rejected_early_for_a_retry_elsewhere() -> None:
    controller = started_controller()
    arrive(controller, 0.1, 1, work_hint_s=0.2)
    controller.handle(0.5, RunFinished(1, Outcome.SUCCESS, 0.4))
    assert request_ids(arrive(controller, 1.0, 3, work_hint_s=0.2), StartRun) == [3]
    large = [a for a in arrive(controller, 1.0, 2, work_hint_s=1.0) if isinstance(a, Reject)]
    assert [a.request_id for a in large] == [2] and not large[0].do_not_retry


def test_a_first_attempt_goes_before_a_retry_whose_age_is_not_told() -> None:
    for marked, first in ((True, 4), (False, 3)):
        controller = started_controller(memory_kb=1e6)
        for n in (1, 2, 3):
            arrive(controller, 0.1, n, is_retry=marked)
        arrive(controller, 0.1, 4)
        assert request_ids(controller.handle(0.3, RunFinished(1, Outcome.SUCCESS, 0.2)), StartRun) == [first]


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
    def play() -> list[Action]:
        controller = started_controller(load_report_kind=LoadReportKind.LEVEL)
        out: list[Action] = []
        for n in range(1, 60):
            out += arrive(controller, n * 0.05, n, ("read", "keyed", "once")[n % 3])
            if n % 4 == 0:
                out += controller.handle(n * 0.05, RunFinished(n // 4, Outcome.SUCCESS, 0.2))
            if n % 5 == 0:
                out += controller.handle(
                    n * 0.05, TimerFired(UPDATE_TIMER, core_utilization=1.0, core_demand=4.0)
                )
        return out

    assert play() == play()
