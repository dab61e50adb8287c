"""Calls to the dependency: quota, limit, retries and skipping."""

from __future__ import annotations

import pytest
from support.admission_controller import arrive, arrive_and_call, request_ids, started_controller

from snowthread.admission.actions import Action, Fail, SkipCall, StartCall, StartRun
from snowthread.admission.events import CallFinished, CallNeeded, RequestCancelled, RunFinished, TimerFired
from snowthread.admission.settings import Dependency, Outcome, Preemption
from snowthread.admission.timer_queue import DEADLINE_TIMER, UPDATE_TIMER


@pytest.mark.parametrize(
    ("outcome", "is_retried"),
    [(Outcome.TIMED_OUT, False), (Outcome.DISCONNECTED, False), (Outcome.OVERLOADED, True)],
)
def test_a_call_with_effects_is_retried_only_where_it_never_ran(outcome: Outcome, is_retried: bool) -> None:
    controller = started_controller(dependency=Dependency.TIER)
    arrive(controller, 0.1, 1, "non_idempotent")
    assert request_ids(controller.handle(0.2, CallNeeded(1)), StartCall) == [1]
    now = controller.handle(0.3, CallFinished(1, outcome, 0.1))
    later = controller.handle(0.4, TimerFired(DEADLINE_TIMER))
    assert (request_ids(later, StartCall) == [1]) is is_retried
    assert (request_ids(now, Fail) == [1]) is not is_retried


def test_calls_in_flight_stay_within_the_quota() -> None:
    controller = started_controller(
        dependency=Dependency.SHARED, call_quota=1.0, call_quota_window_s=5.0, cores=20, memory_kb=1e6
    )
    started_calls = skipped = 0
    for n in range(1, 16):
        actions = arrive(controller, 0.1 * n, n, "skippable_call") + controller.handle(0.1 * n, CallNeeded(n))
        started_calls += len(request_ids(actions, StartCall))
        skipped += len(request_ids(actions, SkipCall))
    assert skipped > 0 and started_calls * 1.0 < 10


def test_a_slow_dependency_has_fewer_calls_in_flight_and_required_ones_go_first() -> None:
    controller = started_controller(
        dependency=Dependency.SHARED, call_quota=20.0, call_quota_window_s=5.0, cores=40, memory_kb=1e6
    )

    def started_at_once(now: float, duration_s: float) -> int:
        """Let twenty requests need calls at once, each taking ``duration_s``; return how many start."""
        actions: list[Action] = []
        for n in range(20):
            actions += arrive_and_call(controller, now + n * 1e-4, round(now * 1000) + n)
        at_once = len(request_ids(actions, StartCall))
        for step in range(1, 200):
            calls, skipped, actions = request_ids(actions, StartCall), request_ids(actions, SkipCall), []
            for request in calls:
                actions += controller.handle(now + duration_s * step, CallFinished(request, Outcome.SUCCESS))
            for request in calls + skipped:
                actions += controller.handle(now + duration_s * step, RunFinished(request, Outcome.SUCCESS))
            actions += controller.handle(now + duration_s * step, TimerFired(UPDATE_TIMER))
            if not (request_ids(actions, StartCall) or request_ids(actions, SkipCall)):
                break
        return at_once

    quick = [started_at_once(10.0 * n, 0.01) for n in range(1, 9)]
    slow = [started_at_once(100.0 + n, 0.1) for n in range(1, 13)]
    assert quick[-1] > quick[0] == 4  # the lower bound of the limit is a fifth of the quota
    assert slow[-1] == 4
    assert request_ids(arrive_and_call(controller, 200.0, 1), StartCall) == [1]
    waiting = [
        request
        for request in (2, 3, 4, 5)
        if not request_ids(arrive_and_call(controller, 200.0, request), StartCall)
    ]
    assert waiting == [5] and not request_ids(
        arrive_and_call(controller, 200.0, 6, "non_idempotent"), StartCall
    )
    assert request_ids(controller.handle(200.01, CallFinished(1, Outcome.SUCCESS)), StartCall) == [6]
    # A skippable call is skipped once a quarter of the time until its objective has passed.
    assert request_ids(controller.handle(200.5, TimerFired(DEADLINE_TIMER)), SkipCall) == [5]


def test_a_disconnected_call_is_retried_before_it_is_skipped() -> None:
    controller = started_controller(dependency=Dependency.SHARED, call_quota=20.0, call_quota_window_s=5.0)
    assert request_ids(arrive_and_call(controller, 0.1, 1), StartCall) == [1]
    assert not request_ids(controller.handle(0.2, CallFinished(1, Outcome.DISCONNECTED)), SkipCall)
    assert request_ids(controller.handle(0.3, TimerFired(DEADLINE_TIMER)), StartCall) == [1]
    # A call that the dependency rejects as overloaded would probably fail again, so it is skipped.
    assert request_ids(controller.handle(0.4, CallFinished(1, Outcome.OVERLOADED)), SkipCall) == [1]


def test_a_few_hung_calls_do_not_count_as_an_overload() -> None:
    controller = started_controller(
        dependency=Dependency.SHARED, call_quota=20.0, call_quota_window_s=5.0, cores=40, memory_kb=1e6
    )
    now = 1.0
    for n in range(1, 200):  # one in ten hangs and times out; the others are quick
        now += 1.0
        arrive_and_call(controller, now, n, "non_idempotent")
        hung = n % 10 == 0
        controller.handle(
            now + (0.4 if hung else 0.02), CallFinished(n, Outcome.TIMED_OUT if hung else Outcome.SUCCESS)
        )
        controller.handle(now + 0.45, RunFinished(n, Outcome.CANCELLED if hung else Outcome.SUCCESS))
        controller.handle(now + 0.5, TimerFired(UPDATE_TIMER))
    assert controller.estimates.call_time_s[2] < 0.06 and controller.estimates.slow_call_share < 0.5
    started_calls = [arrive_and_call(controller, 300.0, n, "non_idempotent") for n in range(301, 306)]
    # As many calls as the lower bound of the limit start.
    assert sum(len(request_ids(actions, StartCall)) for actions in started_calls) == 4
    for n in range(301, 305):
        controller.handle(300.02, CallFinished(n, Outcome.SUCCESS))
    assert controller.state.calls._limit >= 4.0


def test_hung_calls_time_out_and_do_not_block_other_calls() -> None:
    controller = started_controller(
        dependency=Dependency.SHARED, call_quota=20.0, call_quota_window_s=5.0, cores=40, memory_kb=1e6
    )
    for n in range(1, 6):  # the usual call time is learned here
        for class_name, request in (("skippable_call", n), ("non_idempotent", 10 + n)):
            assert request_ids(arrive_and_call(controller, 0.1 * n, request, class_name), StartCall) == [
                request
            ]
            controller.handle(0.1 * n + 0.02, CallFinished(request, Outcome.SUCCESS))
    hung = [arrive_and_call(controller, 1.0, request, "non_idempotent") for request in range(21, 25)]
    assert [action.timeout_s for actions in hung for action in actions if isinstance(action, StartCall)] == [
        pytest.approx(20 * 0.02)
    ] * 4
    # The calls in flight do not count as hung yet, so no slot is free.
    assert not request_ids(arrive_and_call(controller, 1.01, 31, "non_idempotent"), StartCall)
    assert request_ids(controller.handle(1.13, TimerFired(DEADLINE_TIMER)), StartCall) == [31]


@pytest.mark.parametrize(("call_quota", "max_calls"), [(0.0, 0), (0.02, 2)])
def test_a_quota_of_zero_makes_no_call_and_a_tiny_one_is_charged_what_calls_used(
    call_quota: float, max_calls: int
) -> None:
    controller = started_controller(
        dependency=Dependency.SHARED, call_quota=call_quota, call_quota_window_s=5.0, given_up_call_s=0.2
    )
    started_calls = 0
    for n in range(1, 12):
        arrive(controller, 3.0 * n, n, "non_idempotent")
        calls = request_ids(controller.handle(3.0 * n, CallNeeded(n)), StartCall)
        started_calls += len(calls)
        if calls:
            controller.handle(3.0 * n + 0.05, CallFinished(n, Outcome.TIMED_OUT, 0.05))
        controller.handle(3.0 * n + 1.0, RequestCancelled(n))
        controller.handle(3.0 * n + 1.0, RunFinished(n, Outcome.CANCELLED, 1.0))
    assert started_calls <= max_calls


@pytest.mark.parametrize("preemption", Preemption)
@pytest.mark.parametrize("waits_for_retry", [False, True])
def test_a_run_that_ended_at_its_call_takes_no_place_of_later_calls(
    preemption: Preemption, waits_for_retry: bool
) -> None:
    """Guards against a node that starts nothing any more after clients gave up while their runs called."""
    controller = started_controller(
        preemption=preemption, dependency=Dependency.SHARED, call_quota=20.0, call_quota_window_s=5.0
    )
    for n in range(1, 40):
        assert request_ids(arrive_and_call(controller, 2.0 * n, n), StartCall) == [n]
        if waits_for_retry:
            controller.handle(2.0 * n + 0.01, CallFinished(n, Outcome.DISCONNECTED))
        restarted = controller.handle(2.0 * n + 0.02, RunFinished(n, Outcome.CANCELLED, 0.02))
        assert request_ids(restarted, StartRun) == [n]
        assert request_ids(controller.handle(2.0 * n + 0.1, TimerFired(DEADLINE_TIMER)), StartCall) == []
        controller.handle(2.0 * n + 0.2, RunFinished(n, Outcome.NOT_STARTED))
