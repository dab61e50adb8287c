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
    ("upstreams", "idle_s", "early"), [(1000, 30.0, True), (4, 30.0, False), (1000, 0.0, False)]
)
def test_idle_connections_close_early_where_callers_hardly_come_back(
    upstreams: int, idle_s: float, early: bool
) -> None:
    # A thousand callers on a hundred slots: open for their full idle time they fill the table.
    controller = started_controller(caller_count=upstreams, idle_timeout_s=idle_s)
    said: list[float] = []
    for n in range(1, 120):
        arrive(controller, n * 0.2, n)
        said += [
            a.timeout_s
            for a in controller.handle(n * 0.2, TimerFired(UPDATE_TIMER))
            if isinstance(a, SetIdleTimeout)
        ]
    assert (0.0 < said[-1] < idle_s if said else False) is early


def test_idle_connections_stay_while_requests_lie_unread() -> None:
    # A storm of retries: with connections closed early each retry opens one; only a full table limits them.
    said: list[float] = []
    controller = started_controller(caller_count=1000, idle_timeout_s=30.0)
    for n in range(1, 240):
        backlog = 0.8 if 90 <= n < 120 else 0.0
        arrive(controller, n * 0.25, n, unread_s=backlog)
        said += [
            a.timeout_s
            for a in controller.handle(n * 0.25, TimerFired(UPDATE_TIMER))
            if isinstance(a, SetIdleTimeout)
        ]
        if n == 89:
            assert said[-1] == UPDATE_PERIOD_S
        elif n == 119:
            assert said[-1] == 30.0
    assert said[-1] < 2.0


def test_idle_connections_close_early_where_their_number_stays_at_its_most() -> None:
    cases: tuple[tuple[Callable[[int], int], bool], ...] = (
        (lambda n: min(90, 3 * n), True),
        (lambda n: 60 + n % 30, False),
    )
    for connections, early in cases:
        controller = started_controller(caller_count=150, idle_timeout_s=30.0)
        said: list[float] = []
        for n in range(1, 120):
            arrive(controller, n * 0.25, n)
            out = controller.handle(n * 0.25, TimerFired(UPDATE_TIMER, connections=float(connections(n))))
            said += [a.timeout_s for a in out if isinstance(a, SetIdleTimeout)]
        assert (bool(said) and 0.0 < said[-1] < 30.0) is early
