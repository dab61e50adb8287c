"""Requests with effects never run twice; keys are remembered and forgotten."""

from __future__ import annotations

import pytest
from support.admission_controller import arrive, request_ids, started_controller

from snowthread.admission.actions import AwaitOriginal, Fail, ForgetKey, Reject, RememberKey, StartRun
from snowthread.admission.events import RunFinished, TimerFired
from snowthread.admission.settings import Outcome, Preemption
from snowthread.admission.timer_queue import DEADLINE_TIMER


def test_a_keyed_retry_awaits_its_original_and_never_runs() -> None:
    controller = started_controller()
    first = arrive(controller, 0.1, 1, "keyed")
    assert request_ids(first, RememberKey) == [1]
    second = arrive(controller, 0.2, 2, "keyed", original_id=1)
    assert request_ids(second, AwaitOriginal) == [2] and request_ids(second, StartRun) == []


def test_a_key_is_forgotten_when_its_request_never_ran_and_kept_when_it_did() -> None:
    controller = started_controller()
    for n in (1, 2, 3):
        arrive(controller, 0.1, n, "keyed")
    actions = controller.handle(3.08, TimerFired(DEADLINE_TIMER))
    assert request_ids(actions, ForgetKey) == [3]
    assert sorted(request_ids(actions, Fail)) == [1, 2]


@pytest.mark.parametrize("preemption", Preemption)
@pytest.mark.parametrize("class_name", ["keyed", "non_idempotent"])
def test_a_preempted_run_with_effects_does_not_run_again_and_fails_at_once(
    preemption: Preemption, class_name: str
) -> None:
    """Guards against a second start of a run that the host has ended, as if it had only been paused."""
    controller = started_controller(preemption=preemption)
    arrive(controller, 0.1, 1, class_name)
    actions = controller.handle(0.2, RunFinished(1, Outcome.CANCELLED, 0.1))
    assert request_ids(actions, StartRun) == [] and request_ids(actions, Fail) == [1]


@pytest.mark.parametrize(("other_requests", "is_rejected"), [(0, False), (4, True)])
def test_a_retry_is_rejected_only_where_its_original_never_ran(
    other_requests: int, is_rejected: bool
) -> None:
    controller = started_controller(memory_kb=700.0)
    for n in range(other_requests):
        arrive(controller, 0.1, 100 + n, "keyed")
    assert request_ids(arrive(controller, 0.1, 1, "keyed"), StartRun) == ([] if is_rejected else [1])
    outcomes = []
    for n in range(2, 80):
        actions = arrive(controller, 0.2, n, "keyed", original_id=1)
        outcomes += [
            type(a) for a in actions if isinstance(a, Reject | Fail | AwaitOriginal) and a.request_id == n
        ]
    assert AwaitOriginal in outcomes and outcomes[-1] is (Reject if is_rejected else Fail)
    assert (Fail if is_rejected else Reject) not in outcomes


def test_retries_of_one_request_do_not_fill_the_memory() -> None:
    # Each retry uses memory while it awaits the result of its original attempt.
    controller = started_controller(memory_kb=200.0)
    arrive(controller, 0.1, 1, "keyed")
    waiting = [
        n
        for n in range(2, 40)
        if request_ids(arrive(controller, 0.2, n, "keyed", original_id=1), AwaitOriginal)
    ]
    assert 41.0 + 10.0 * len(waiting) <= 200.0 and len(waiting) > 5


def test_a_key_is_forgotten_where_nothing_was_started() -> None:
    controller = started_controller()
    assert request_ids(arrive(controller, 0.1, 1, "keyed"), RememberKey) == [1]
    assert request_ids(controller.handle(0.2, RunFinished(1, Outcome.NOT_STARTED)), ForgetKey) == [1]
