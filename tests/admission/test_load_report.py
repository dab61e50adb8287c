"""What callers are told under overload: the published share, Retry-After, and not to retry."""

from __future__ import annotations

import pytest
from support.admission_controller import arrive, started_controller

from snowthread.admission.actions import PublishLoad, Reject
from snowthread.admission.berger import target_utilization
from snowthread.admission.concurrency import UPDATE_PERIOD_S
from snowthread.admission.events import RunFinished, TimerFired
from snowthread.admission.settings import LoadReportKind, Outcome
from snowthread.admission.timer_queue import UPDATE_TIMER


@pytest.mark.parametrize(
    ("load_report_kind", "retry_after_s"), [(LoadReportKind.NONE, 1.0), (LoadReportKind.LEVEL, 0.2)]
)
def test_retry_after_grows_with_blocking_only_where_no_load_report_is_published(
    load_report_kind: LoadReportKind, retry_after_s: float
) -> None:
    controller = started_controller(
        supports_retry_after=True, max_retry_after_s=1.0, caller_count=4, load_report_kind=load_report_kind
    )
    for n in (1, 2, 3):
        arrive(controller, 0.1, n)
    controller.state.blocking.probability, controller.estimates.request_rate = 1.0 - 1e-9, 20.0
    (rejection,) = [a for a in arrive(controller, 0.2, 4) if isinstance(a, Reject)]
    assert rejection.retry_after_s == retry_after_s


def test_the_published_share_converges_without_overshooting() -> None:
    # Callers apply a share one second late. If the computation ignored this lag, the share would rise to its
    # maximum in the meantime.
    controller = started_controller(load_report_kind=LoadReportKind.LEVEL, cores=4, memory_kb=1e6)
    now = 0.0
    published_shares: list[float] = []
    for n in range(80):
        now += UPDATE_PERIOD_S
        passed_ratio = 1.0 - (published_shares[n - 4] if n >= 4 else 0.0)
        controller.estimates.work_arrived = 14.0 * passed_ratio * UPDATE_PERIOD_S
        controller.estimates.requests_read = round(40 * passed_ratio * UPDATE_PERIOD_S)
        controller.estimates.work_done = 10.0 * UPDATE_PERIOD_S
        controller.handle(now, TimerFired(UPDATE_TIMER, core_utilization=1.0))
        published_shares.append(controller.state.load_report.published_share)
    target_share = (
        1.0 - target_utilization(99.0, 10.0, controller.estimates.abandonment_ratio()) * 10.0 / 14.0
    )
    assert max(published_shares) < target_share + 0.12 and abs(published_shares[-1] - target_share) < 0.05


@pytest.mark.parametrize(
    ("blocking_probability", "service_rate", "best_work_speed", "is_cold", "low", "high"),
    [
        (0.0, 10.0, 10.0, False, 0.0, 0.0),
        (0.5, 10.0, 10.0, False, 0.4, 0.7),
        (0.9, 2.0, 30.0, False, 0.0, 0.0),
        (0.9, 2.0, 10.0, False, 0.4, 0.7),
        (0.5, 10.0, 10.0, True, 0.0, 0.0),
    ],
)
def test_do_not_retry_is_drawn_with_the_blocking_probability_at_the_best_speed(
    blocking_probability: float,
    service_rate: float,
    best_work_speed: float,
    is_cold: bool,
    low: float,
    high: float,
) -> None:
    # 20 units of work arrive per second: twice what a server can do at a best speed of 10, less than at 30.
    controller = started_controller(starts_cold=is_cold, warmup_s=10.0)
    arrive(controller, 0.1, 1)
    controller.handle(0.5, RunFinished(1, Outcome.SUCCESS, 0.4))
    (
        controller.state.blocking.probability,
        controller.estimates.service_rate,
        controller.estimates.best_work_speed,
        controller.estimates.arrival_rate,
    ) = blocking_probability, service_rate, best_work_speed, 20.0
    do_not_retry = []
    for n in range(2, 402):
        do_not_retry += [
            a.do_not_retry for a in arrive(controller, 1.0, n, unread_s=0.65) if isinstance(a, Reject)
        ]
    assert len(do_not_retry) > 300 and low <= sum(do_not_retry) / len(do_not_retry) <= high


@pytest.mark.parametrize(
    "load_report_kind", [LoadReportKind.LEVEL, LoadReportKind.CREDIT, LoadReportKind.WEIGHT]
)
def test_each_kind_of_load_report_asks_for_fewer_requests_in_an_overload(
    load_report_kind: LoadReportKind,
) -> None:
    controller = started_controller(load_report_kind=load_report_kind, caller_count=2)
    values: list[float] = []
    for n in range(1, 30):
        controller.estimates.work_arrived, controller.estimates.work_done = 5.0, 2.0
        actions = controller.handle(n * UPDATE_PERIOD_S, TimerFired(UPDATE_TIMER, core_utilization=1.0))
        values += [a.value for a in actions if isinstance(a, PublishLoad)]
    assert len(values) > 5
    assert (values[-1] > values[0]) is (load_report_kind is LoadReportKind.LEVEL)


def test_a_published_share_that_few_callers_receive_does_not_count_as_applied() -> None:
    # Hundreds of callers send one request per minute and keep a load report for one second, so the arrivals
    # are not reduced by the share. Blocking limits the load, and the share must stay at the blocking
    # probability instead of rising to its maximum.
    shares = []
    for caller_count in (1, 400):
        controller = started_controller(
            load_report_kind=LoadReportKind.LEVEL,
            cores=4,
            memory_kb=1e6,
            caller_count=caller_count,
            load_report_ttl_s=1.0,
        )
        for n in range(1, 100):
            controller.estimates.work_arrived = 14.0 * UPDATE_PERIOD_S
            controller.estimates.requests_read = 4
            controller.estimates.work_done = 10.0 * UPDATE_PERIOD_S
            controller.handle(n * UPDATE_PERIOD_S, TimerFired(UPDATE_TIMER, core_utilization=1.0))
        assert controller.blocking_probability > 0.3
        shares.append(controller.state.load_report.published_share - controller.blocking_probability)
    assert shares[0] > 0.2 and abs(shares[1]) < 0.05
