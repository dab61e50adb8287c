"""Ejection of this server as an outlier."""

from __future__ import annotations

import pytest
from support.admission_controller import started_controller

from snowthread.admission.actions import SetHealth
from snowthread.admission.concurrency import UPDATE_PERIOD_S
from snowthread.admission.events import ShutdownNotice, TimerFired
from snowthread.admission.outlier_ejection import EJECTION_S
from snowthread.admission.timer_queue import UPDATE_TIMER


@pytest.mark.parametrize(("work_done", "requests_read", "is_ejected"), [(0.1, 1, True), (0.1, 8, False)])
def test_an_outlier_is_ejected_and_returns(work_done: float, requests_read: int, is_ejected: bool) -> None:
    # The cores are full throughout. The server becomes far slower, either by itself or because it reads and
    # rejects many more requests; only the former makes it an outlier.
    controller = started_controller()
    health: list[bool] = []
    for n in range(1, 160):
        slow = 60 <= n < 100
        estimates = controller.estimates
        estimates.work_done, estimates.requests_read = (work_done, requests_read) if slow else (2.0, 1)
        actions = controller.handle(n * UPDATE_PERIOD_S, TimerFired(UPDATE_TIMER, core_utilization=1.0))
        health += [a.healthy for a in actions if isinstance(a, SetHealth)]
    assert health == ([False, True] if is_ejected else [])


def test_an_ejection_lasts_for_the_ejection_time() -> None:
    controller = started_controller()
    controller.estimates.work_speed = 1.0
    controller.estimates.best_work_speed = 10.0
    changes: list[tuple[float, bool]] = []
    for n in range(1, 100):
        now = n * UPDATE_PERIOD_S
        actions = controller.handle(now, TimerFired(UPDATE_TIMER, core_utilization=0.1))
        changes += [(now, action.healthy) for action in actions if isinstance(action, SetHealth)]
    assert changes == [(UPDATE_PERIOD_S, False), (UPDATE_PERIOD_S + EJECTION_S, True)]


def test_a_server_that_shuts_down_does_not_become_healthy_again() -> None:
    controller = started_controller()
    controller.estimates.work_speed, controller.estimates.best_work_speed = 1.0, 10.0
    controller.handle(0.25, TimerFired(UPDATE_TIMER, core_utilization=1.0))
    controller.handle(0.5, ShutdownNotice(60.0))
    actions = [
        a
        for n in range(3, 80)
        for a in controller.handle(n * 0.25, TimerFired(UPDATE_TIMER, core_utilization=0.1))
    ]
    assert not any(isinstance(a, SetHealth) for a in actions)
