"""Estimates of arrivals, of the service rate and of run times."""

from __future__ import annotations

import pytest
from support.admission_controller import arrive, started_controller

from snowthread.admission.concurrency import UPDATE_PERIOD_S
from snowthread.admission.estimators import AVERAGED_REQUESTS
from snowthread.admission.events import RunFinished, TimerFired
from snowthread.admission.settings import Outcome
from snowthread.admission.timer_queue import UPDATE_TIMER


def test_the_service_rate_is_right_from_the_first_full_cores_on() -> None:
    # Two cores and runs of one second on an idle server: the first runs end one second after the start. The
    # service rate must not include the time before that.
    controller = started_controller()
    for n in (1, 2, 3, 4):
        arrive(controller, 0.01, n, "skippable_call", time_left_s=60.0)
    # The run time is known from the end of the first run on.
    controller.handle(1.01, RunFinished(1, Outcome.SUCCESS, 1.0))
    controller.handle(1.01, RunFinished(2, Outcome.SUCCESS, 1.0))
    rates, now = [], 1.01
    for period in range(1, 20):
        now = 1.01 + 0.25 * period
        if period % 4 == 0:
            # Requests are numbered in the order of arrival. Once a second the two runs on the cores end and
            # two more requests arrive, so the cores stay full.
            for n in (3, 4):
                controller.handle(now - 0.001, RunFinished(period // 4 * 2 + n - 2, Outcome.SUCCESS, 1.0))
            for n in (1, 2):
                arrive(controller, now - 0.001, period // 4 * 2 + n + 2, "skippable_call", time_left_s=60.0)
        controller.handle(now, TimerFired(UPDATE_TIMER, core_utilization=1.0, core_demand=2.0))
        if controller.estimates.service_rate:
            rates.append(controller.estimates.service_rate)
    assert len(rates) > 10 and all(1.9 < rate < 2.1 for rate in rates), rates


def test_arrivals_are_averaged_over_a_number_of_requests_not_over_a_time() -> None:
    spans = []
    for rate in (4, 40):
        controller = started_controller()
        for _ in range(1, 40):
            controller.estimates.work_arrived = 2.0 * rate * UPDATE_PERIOD_S
            controller.estimates.requests_read = rate // 4
            controller.estimates.update(UPDATE_PERIOD_S, is_full=False)
            assert controller.estimates.arrival_rate == pytest.approx(2.0 * rate)  # from the first period on
        spans.append(controller.estimates.averaging_span_s() * rate)
    assert spans[1] == pytest.approx(AVERAGED_REQUESTS) and spans[0] <= AVERAGED_REQUESTS


@pytest.mark.parametrize(("exponent", "low", "high"), [(1.0, 3.0, 4.01), (0.0, 0.99, 1.5)])
def test_hints_count_as_far_as_core_times_confirm_them(exponent: float, low: float, high: float) -> None:
    controller = started_controller()
    for n in range(1, 200):
        hint = (0.1, 0.4)[n % 2]
        arrive(controller, n * 1.0, n, work_hint_s=hint)
        duration_s = 0.2 * (hint / 0.2) ** exponent
        controller.handle(n * 1.0 + duration_s, RunFinished(n, Outcome.SUCCESS, duration_s))
    ratio = controller.estimates.work_units(0, 0.4) / controller.estimates.work_units(0, 0.1)
    assert low <= ratio <= high


def test_a_run_of_no_duration_causes_no_division_by_zero() -> None:
    controller = started_controller()
    for n in range(1, 4):
        arrive(controller, 1.0, n, work_hint_s=0.2)
        controller.handle(1.0, RunFinished(n, Outcome.SUCCESS, 0.0))
    assert controller.estimates.work_units(0, 0.2) > 0.0
