"""Answers at the deadline, and the timers for them."""

from __future__ import annotations

import heapq
import random

from support.admission_controller import arrive, request_ids, started_controller

from snowthread.admission.actions import (
    Fail,
    ForgetLostRun,
    Reject,
    SetTimer,
    SkipCall,
    StartCall,
    StartRun,
    StopRun,
)
from snowthread.admission.events import (
    CallFinished,
    CallNeeded,
    Event,
    RequestArrived,
    RunFinished,
    RunIndeterminate,
    TimerFired,
)
from snowthread.admission.settings import Dependency, Outcome, Preemption
from snowthread.admission.timer_queue import DEADLINE_TIMER


def test_a_running_request_is_answered_at_its_deadline() -> None:
    controller = started_controller(preemption=Preemption.PAUSE)
    arrive(controller, 0.1, 1)
    actions = controller.handle(3.08, TimerFired(DEADLINE_TIMER))
    assert request_ids(actions, Reject) == [1] and request_ids(actions, StopRun) == [1]
    assert request_ids(controller.handle(3.09, TimerFired(DEADLINE_TIMER)), Reject) == []


def test_a_running_request_with_effects_fails_at_its_deadline() -> None:
    controller = started_controller()
    arrive(controller, 0.1, 1, "keyed")
    actions = controller.handle(3.08, TimerFired(DEADLINE_TIMER))
    assert request_ids(actions, Fail) == [1] and request_ids(actions, Reject) == []


def test_a_propagated_deadline_is_used() -> None:
    controller = started_controller(propagates_deadline=True)
    actions = arrive(controller, 0.1, 1, time_left_s=0.5)
    assert min(a.delay_s for a in actions if isinstance(a, SetTimer)) <= 0.5


def test_an_indeterminate_run_keeps_its_core_and_fails_before_its_deadline() -> None:
    controller = started_controller(cores=1)
    arrive(controller, 0.1, 1, "keyed")
    controller.handle(0.3, RunIndeterminate(1))
    assert controller.run_load().running == 1  # it may still run
    assert not request_ids(controller.handle(1.25, TimerFired(DEADLINE_TIMER)), Fail)
    actions = controller.handle(1.4, TimerFired(DEADLINE_TIMER))
    assert request_ids(actions, Fail) == [1] and request_ids(actions, Reject) == []
    assert not request_ids(arrive(controller, 1.5, 2), StartRun)  # it is answered but may still run


def test_an_indeterminate_run_frees_its_core_once_it_is_presumed_lost() -> None:
    controller = started_controller(cores=1)
    arrive(controller, 0.1, 1, "keyed")
    controller.handle(0.3, RunIndeterminate(1))
    controller.handle(1.4, TimerFired(DEADLINE_TIMER))
    assert not request_ids(arrive(controller, 2.2, 2), StartRun)
    actions = controller.handle(2.5, TimerFired(DEADLINE_TIMER))
    assert request_ids(actions, ForgetLostRun) == [1] and request_ids(actions, StartRun) == [2]


def test_an_indeterminate_run_that_makes_progress_is_not_failed() -> None:
    controller = started_controller(cores=1)
    arrive(controller, 0.1, 1, "non_idempotent")
    controller.handle(0.3, RunIndeterminate(1))
    controller.handle(0.4, CallNeeded(1))
    assert not request_ids(controller.handle(1.5, TimerFired(DEADLINE_TIMER)), Fail)
    assert controller.run_load().indeterminate == 0


def test_a_retry_of_a_run_that_was_given_up_fails_at_once() -> None:
    controller = started_controller(cores=1)
    arrive(controller, 0.1, 1, "keyed")
    controller.handle(0.3, RunIndeterminate(1))
    controller.handle(1.4, TimerFired(DEADLINE_TIMER))
    assert request_ids(arrive(controller, 1.5, 2, "keyed", original_id=1), Fail) == [2]


def test_a_skippable_call_of_an_indeterminate_run_is_skipped() -> None:
    controller = started_controller()
    arrive(controller, 1.0, 2)
    arrive(controller, 1.1, 3)
    arrive(controller, 1.5, 4, "skippable_call")
    assert request_ids(controller.handle(1.6, RunFinished(2, Outcome.SUCCESS)), StartRun) == [4]
    assert request_ids(controller.handle(1.7, RunIndeterminate(4, at_call=True)), SkipCall) == [4]


def test_deadline_timers_do_not_multiply() -> None:
    controller, generator = started_controller(propagates_deadline=True, cores=4), random.Random(1)
    due: list[tuple[float, int]] = []
    deadline_timers, now, next_arrival_at, arrived = 0, 0.0, 0.02, 0

    def post(event: Event) -> None:
        for action in controller.handle(now, event):
            if isinstance(action, SetTimer):
                heapq.heappush(due, (now + action.delay_s, action.label))

    while now < 20.0:
        if due and due[0][0] < next_arrival_at:
            now, label = heapq.heappop(due)
            deadline_timers += label == DEADLINE_TIMER
            post(TimerFired(label))
        else:
            now, next_arrival_at, arrived = next_arrival_at, next_arrival_at + 0.02, arrived + 1
            post(RequestArrived(arrived, "read", time_left_s=generator.uniform(0.2, 3.0)))
            post(RunFinished(arrived - 10, Outcome.SUCCESS))
    assert deadline_timers < 300 < arrived


def test_a_retry_timer_that_fires_slightly_early_is_not_armed_again_and_again() -> None:
    controller = started_controller(dependency=Dependency.TIER)
    arrive(controller, 0.1, 1, "non_idempotent")
    controller.handle(0.2, CallNeeded(1))
    controller.handle(0.3, CallFinished(1, Outcome.OVERLOADED, 0.1))
    retry_at = controller.state.open_requests.by_id[1].retry_at
    controller.handle(retry_at - 0.01, TimerFired(DEADLINE_TIMER))
    assert request_ids(controller.handle(retry_at - 1e-7, TimerFired(DEADLINE_TIMER)), StartCall) == [1]
