"""The idle timeout of connections."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from support.admission_controller import arrive, started_controller

from snowthread.admission.actions import SetIdleTimeout
from snowthread.admission.concurrency import UPDATE_PERIOD_S
from snowthread.admission.events import TimerFired
from snowthread.admission.timer_queue import UPDATE_TIMER


@pytest.mark.parametrize(
    ("caller_count", "idle_timeout_s", "closes_early"),
    [(1000, 30.0, True), (4, 30.0, False), (1000, 0.0, False)],
)
def test_idle_connections_close_early_where_callers_rarely_send_again(
    caller_count: int, idle_timeout_s: float, closes_early: bool
) -> None:
    # If a thousand callers keep their connections open for the full idle timeout, they fill a table of a
    # hundred connections.
    controller = started_controller(caller_count=caller_count, idle_timeout_s=idle_timeout_s)
    timeouts_s: list[float] = []
    for n in range(1, 120):
        arrive(controller, n * 0.2, n)
        timeouts_s += [
            a.timeout_s
            for a in controller.handle(n * 0.2, TimerFired(UPDATE_TIMER))
            if isinstance(a, SetIdleTimeout)
        ]
    assert (0.0 < timeouts_s[-1] < idle_timeout_s if timeouts_s else False) is closes_early


def test_idle_connections_stay_open_while_requests_wait_unread() -> None:
    # In a retry storm each retry would open a new connection if idle ones were closed early. Only a full
    # connection table limits the retries.
    timeouts_s: list[float] = []
    controller = started_controller(caller_count=1000, idle_timeout_s=30.0)
    for n in range(1, 240):
        unread_s = 0.8 if 90 <= n < 120 else 0.0
        arrive(controller, n * 0.25, n, unread_s=unread_s)
        timeouts_s += [
            a.timeout_s
            for a in controller.handle(n * 0.25, TimerFired(UPDATE_TIMER))
            if isinstance(a, SetIdleTimeout)
        ]
        if n == 89:
            assert timeouts_s[-1] == UPDATE_PERIOD_S
        elif n == 119:
            assert timeouts_s[-1] == 30.0
    assert timeouts_s[-1] < 2.0


def test_idle_connections_close_early_where_their_number_stays_at_its_peak() -> None:
    cases: tuple[tuple[Callable[[int], int], bool], ...] = (
        (lambda n: min(90, 3 * n), True),
        (lambda n: 60 + n % 30, False),
    )
    for connections, closes_early in cases:
        controller = started_controller(caller_count=150, idle_timeout_s=30.0)
        timeouts_s: list[float] = []
        for n in range(1, 120):
            arrive(controller, n * 0.25, n)
            actions = controller.handle(n * 0.25, TimerFired(UPDATE_TIMER, connections=float(connections(n))))
            timeouts_s += [a.timeout_s for a in actions if isinstance(a, SetIdleTimeout)]
        assert (bool(timeouts_s) and 0.0 < timeouts_s[-1] < 30.0) is closes_early
