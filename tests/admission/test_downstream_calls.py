"""Calls to the dependency: quota, limit, retries and skipping."""

from __future__ import annotations

import pytest
from support.admission_controller import arrive, arrive_and_call, request_ids, started_controller

from snowthread.admission.actions import Action, Fail, SkipCall, StartCall
from snowthread.admission.events import CallFinished, CallNeeded, RequestCancelled, RunFinished, TimerFired
from snowthread.admission.settings import Dependency, Outcome
from snowthread.admission.timer_queue import DEADLINE_TIMER, UPDATE_TIMER


@pytest.mark.parametrize(
    ("outcome", "again"),
    [(Outcome.TIMED_OUT, False), (Outcome.DISCONNECTED, False), (Outcome.OVERLOADED, True)],
)
def test_a_call_with_effects_is_retried_only_where_it_never_ran(outcome: Outcome, again: bool) -> None:
    controller = started_controller(dependency=Dependency.TIER)
    arrive(controller, 0.1, 1, "non_idempotent")
    assert request_ids(controller.handle(0.2, CallNeeded(1)), StartCall) == [1]
    now = controller.handle(0.3, CallFinished(1, outcome, 0.1))
    later = controller.handle(0.4, TimerFired(DEADLINE_TIMER))
    assert (request_ids(later, StartCall) == [1]) is again
    assert (request_ids(now, Fail) == [1]) is not again


def test_calls_in_flight_stay_within_the_quota() -> None:
    controller = started_controller(
        dependency=Dependency.SHARED, call_quota=1.0, call_quota_window_s=5.0, cores=20, memory_kb=1e6
    )
    made = skipped = 0
    for n in range(1, 16):
        actions = arrive(controller, 0.1 * n, n, "skippable_call") + controller.handle(0.1 * n, CallNeeded(n))
        made += len(request_ids(actions, StartCall))
        skipped += len(request_ids(actions, SkipCall))
    assert skipped > 0 and made * 1.0 < 10


def test_a_slow_dependency_has_fewer_calls_in_flight_and_required_ones_go_first() -> None:
    controller = started_controller(
        dependency=Dependency.SHARED, call_quota=20.0, call_quota_window_s=5.0, cores=40, memory_kb=1e6
    )

    def started_at_once(now: float, took: float) -> int:
        """Let twenty requests need their calls at once, and all calls take so long."""
        actions: list[Action] = []
        for n in range(20):
            actions += arrive_and_call(controller, now + n * 1e-4, round(now * 1000) + n)
        at_once = len(request_ids(actions, StartCall))
        for step in range(1, 200):
            calls, skipped, actions = request_ids(actions, StartCall), request_ids(actions, SkipCall), []
            for request in calls:
                actions += controller.handle(now + took * step, CallFinished(request, Outcome.SUCCESS))
            for request in calls + skipped:
                actions += controller.handle(now + took * step, RunFinished(request, Outcome.SUCCESS))
            actions += controller.handle(now + took * step, TimerFired(UPDATE_TIMER))
            if not (request_ids(actions, StartCall) or request_ids(actions, SkipCall)):
                break
        return at_once

    quick = [started_at_once(10.0 * n, 0.01) for n in range(1, 9)]
    slow = [started_at_once(100.0 + n, 0.1) for n in range(1, 13)]
    assert quick[-1] > quick[0] == 4  # the least: a fifth of the quota
    assert slow[-1] == 4
    assert request_ids(arrive_and_call(controller, 200.0, 1), StartCall) == [1]
    waits = [
        request
        for request in (2, 3, 4, 5)
        if not request_ids(arrive_and_call(controller, 200.0, request), StartCall)
    ]
    assert waits == [5] and not request_ids(
        arrive_and_call(controller, 200.0, 6, "non_idempotent"), StartCall
    )
    assert request_ids(controller.handle(200.01, CallFinished(1, Outcome.SUCCESS)), StartCall) == [6]
    assert request_ids(controller.handle(200.5, TimerFired(DEADLINE_TIMER)), SkipCall) == [
        5
    ]  # a quarter of its time is over


def test_a_disconnected_call_is_retried_before_it_is_skipped() -> None:
    controller = started_controller(dependency=Dependency.SHARED, call_quota=20.0, call_quota_window_s=5.0)
    assert request_ids(arrive_and_call(controller, 0.1, 1), StartCall) == [1]
    assert not request_ids(controller.handle(0.2, CallFinished(1, Outcome.DISCONNECTED)), SkipCall)
    assert request_ids(controller.handle(0.3, TimerFired(DEADLINE_TIMER)), StartCall) == [1]
    assert request_ids(controller.handle(0.4, CallFinished(1, Outcome.OVERLOADED)), SkipCall) == [
        1
    ]  # not spoilt


def test_a_few_calls_that_hang_do_not_pass_for_an_overload() -> None:
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
    made = [arrive_and_call(controller, 300.0, n, "non_idempotent") for n in range(301, 306)]
    assert sum(len(request_ids(actions, StartCall)) for actions in made) == 4  # the floor, and none less
    for n in range(301, 305):
        controller.handle(300.02, CallFinished(n, Outcome.SUCCESS))
    assert controller.state.calls._limit >= 4.0


def test_calls_that_hang_keep_no_others_waiting_and_time_out() -> None:
    controller = started_controller(
        dependency=Dependency.SHARED, call_quota=20.0, call_quota_window_s=5.0, cores=40, memory_kb=1e6
    )
    for n in range(1, 6):  # how long a call takes is known by now
        for kind, request in (("skippable_call", n), ("non_idempotent", 10 + n)):
            assert request_ids(arrive_and_call(controller, 0.1 * n, request, kind), StartCall) == [request]
            controller.handle(0.1 * n + 0.02, CallFinished(request, Outcome.SUCCESS))
    hung = [arrive_and_call(controller, 1.0, request, "non_idempotent") for request in range(21, 25)]
    assert [action.timeout_s for actions in hung for action in actions if isinstance(action, StartCall)] == [
        pytest.approx(20 * 0.02)
    ] * 4
    assert not request_ids(
        arrive_and_call(controller, 1.01, 31, "non_idempotent"), StartCall
    )  # no slot is free, as far as is known
    assert request_ids(controller.handle(1.13, TimerFired(DEADLINE_TIMER)), StartCall) == [31]


@pytest.mark.parametrize(("share", "most"), [(0.0, 0), (0.02, 2)])
def test_a_quota_of_zero_makes_no_call_and_a_tiny_one_is_charged_what_calls_used(
    share: float, most: int
) -> None:
    controller = started_controller(
        dependency=Dependency.SHARED, call_quota=share, call_quota_window_s=5.0, given_up_call_s=0.2
    )
    made = 0
    for n in range(1, 12):
        arrive(controller, 3.0 * n, n, "non_idempotent")
        calls = request_ids(controller.handle(3.0 * n, CallNeeded(n)), StartCall)
        made += len(calls)
        if calls:
            controller.handle(3.0 * n + 0.05, CallFinished(n, Outcome.TIMED_OUT, 0.05))
        controller.handle(3.0 * n + 1.0, RequestCancelled(n))
        controller.handle(3.0 * n + 1.0, RunFinished(n, Outcome.CANCELLED, 1.0))
    assert made <= most
