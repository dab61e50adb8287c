"""Which requests are admitted and answered between the shutdown notice and the end of the process."""

from __future__ import annotations

import pytest
from support.admission_controller import arrive, request_ids, started_controller

from snowthread.admission.actions import AwaitOriginal, Fail, Reject, SetHealth, StartRun
from snowthread.admission.events import ShutdownNotice, TimerFired
from snowthread.admission.timer_queue import DEADLINE_TIMER


@pytest.mark.parametrize("busy", [0, 6])
def test_a_request_read_just_before_the_exit_is_answered_at_once(busy: int) -> None:
    # The request reached the host within the grace period and waited unread until all others were
    # answered. No timer of its own fires before the end of the process.
    controller = started_controller(propagates_deadline=True)
    for n in range(busy):
        arrive(controller, 0.5, 10 + n, time_left_s=9.0)
    controller.handle(1.0, ShutdownNotice(2.6))
    controller.handle(3.3, TimerFired(DEADLINE_TIMER))
    actions = arrive(controller, 3.4, 1, time_left_s=2.0, unread_s=1.9)
    assert request_ids(actions, Reject) == [1] and request_ids(actions, StartRun) == []
    # An original whose key is remembered but which is no longer open has run, so its retry is failed and
    # never rejected.
    again = arrive(controller, 3.4, 2, "keyed", time_left_s=2.0, unread_s=1.9, original_id=99)
    assert (
        request_ids(again, Fail) == [2]
        and request_ids(again, Reject)
        == request_ids(again, StartRun)
        == request_ids(again, AwaitOriginal)
        == []
    )


def test_no_request_runs_that_arrived_after_the_grace_period() -> None:
    controller = started_controller()
    actions = controller.handle(1.0, ShutdownNotice(5.0))
    assert any(isinstance(a, SetHealth) and not a.healthy for a in actions)
    assert request_ids(arrive(controller, 1.5, 1), StartRun) == [1]
    late = arrive(controller, 2.2, 2)
    assert request_ids(late, StartRun) == [] and request_ids(late, Reject) == [2]
    assert request_ids(arrive(controller, 2.2, 3, unread_s=0.5), StartRun) == [3]


def test_all_requests_are_answered_before_the_exit() -> None:
    controller = started_controller(cores=1)
    arrive(controller, 0.1, 1)
    arrive(controller, 0.1, 2)
    controller.handle(0.2, ShutdownNotice(1.0))
    actions = controller.handle(0.95, TimerFired(DEADLINE_TIMER))
    assert sorted(request_ids(actions, Reject) + request_ids(actions, Fail)) == [1, 2]
