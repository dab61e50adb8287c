"""How many requests are blocked on arrival, and which ones."""

from __future__ import annotations

import dataclasses

import pytest
from support.admission_controller import (
    KEYED,
    READ,
    arrive,
    is_blocked,
    record,
    request_ids,
    started_controller,
)

from snowthread.admission.actions import StartRun
from snowthread.admission.berger import blocking_probability, target_utilization
from snowthread.admission.blocking import MAX_DEFERRED_REJECTIONS_PER_CORE
from snowthread.admission.concurrency import UPDATE_PERIOD_S
from snowthread.admission.events import RunFinished, TimerFired
from snowthread.admission.settings import Dependency, Idempotency, LoadReportKind, Outcome, Tenant
from snowthread.admission.timer_queue import UPDATE_TIMER


def test_target_utilization_and_blocking_probability_follow_bergers_formulas() -> None:
    beta = 0.071
    assert target_utilization(0.5, 1.0, beta) == 0.5
    assert target_utilization(5.0, 1.0, beta) == pytest.approx(0.7952, abs=1e-4)
    assert blocking_probability(2.0, 1.0, beta) == pytest.approx(1 - 0.7952 / 2, abs=1e-4)
    assert blocking_probability(0.7, 1.0, beta) == 0.0
    assert blocking_probability(1.0, 0.0, beta) == 0.0


def test_rejections_pass_from_high_weight_to_low_weight_requests() -> None:
    # The probability sets how many requests are rejected, and mostly those of low weight are. Requests of
    # equal weight are rejected at random.
    high_weight = dataclasses.replace(KEYED, priority_weight=10.0, idempotency=Idempotency.IDEMPOTENT)
    for request_classes, max_high_weight_ratio in (
        ((READ, high_weight), 0.06),
        ((READ, dataclasses.replace(high_weight, priority_weight=1.0)), 0.5),
    ):
        controller = started_controller(classes=request_classes, memory_kb=1e6)
        controller.state.blocking.probability = 0.4
        rejected, count = {"read": 0, "keyed": 0}, {"read": 0, "keyed": 0}
        for n in range(1, 2000):
            class_name = ("read", "keyed")[n % 5 == 0]
            request = record(n, request_classes[class_name == "keyed"].priority_weight)
            rejected[class_name] += is_blocked(controller, request)
            count[class_name] += 1
        assert sum(rejected.values()) / 2000 == pytest.approx(0.4, abs=0.04)
        assert rejected["keyed"] / count["keyed"] <= max_high_weight_ratio
        assert max_high_weight_ratio < 0.1 or rejected["keyed"] / count["keyed"] == pytest.approx(
            0.4, abs=0.08
        )


def test_work_of_deferred_rejections_is_bounded() -> None:
    controller = started_controller(memory_kb=1e6)
    controller.state.blocking.probability = 1.0
    controller.state.blocking._mean_weight = 1.0  # no request of lower weight arrives
    requests = [record(n, 10.0 + n) for n in range(50)]
    assert (
        sum(not is_blocked(controller, request) for request in requests)
        == MAX_DEFERRED_REJECTIONS_PER_CORE * 2
    )


def test_nothing_is_rejected_for_deferred_work_while_the_blocking_probability_is_zero() -> None:
    controller = started_controller(memory_kb=1e6)
    controller.state.blocking._mean_weight, controller.state.blocking._deferred_work = 2.0, 3.0
    low_weight = record(1, 1.0)
    assert not is_blocked(controller, low_weight)
    controller.state.blocking.probability = 1e-9
    assert is_blocked(controller, low_weight)


def test_blocking_and_limit_recover_after_an_overload() -> None:
    controller = started_controller(load_report_kind=LoadReportKind.LEVEL)
    now = 0.0
    for _ in range(60):
        now += UPDATE_PERIOD_S
        controller.estimates.work_arrived, controller.estimates.work_done = 8.0, 1.0
        controller.handle(now, TimerFired(UPDATE_TIMER, core_utilization=1.0, core_demand=4.0))
    assert controller.blocking_probability > 0.5 and controller.state.load_report.published_share > 0.5
    for _ in range(40):  # ten seconds with little load
        now += UPDATE_PERIOD_S
        controller.estimates.work_arrived, controller.estimates.work_done = 0.3, 0.3
        controller.handle(now, TimerFired(UPDATE_TIMER, core_utilization=0.3, core_demand=1.0))
    assert (
        controller.blocking_probability == 0.0
        and controller.state.load_report.published_share < 0.05
        and controller.concurrency.limit == 2.0
    )


def test_settings_that_are_absent_zero_or_extreme_lead_to_a_working_default() -> None:
    unusual_settings: tuple[dict[str, object], ...] = (
        {"caller_count": 0},
        {"node_count": 0},
        {"caller_count": 10**9, "node_count": 10**9},
        {"call_quota": 0.0},
        {"tenants": (Tenant("t", 0.0),)},
        {"tenants": (Tenant("t", 1e-9),)},
        {"load_report_ttl_s": 0.0},
        {"idle_timeout_s": 1e12},
        {"warmup_s": 1e12, "starts_cold": True},
        {"collapse_after_s": 0.0},
    )
    for changes in unusual_settings:
        for load_report_kind in LoadReportKind:
            controller = started_controller(
                load_report_kind=load_report_kind,
                dependency=Dependency.SHARED,
                supports_retry_after=True,
                max_retry_after_s=1.0,
                **changes,
            )
            running: list[int] = []
            for n in range(1, 100):
                running += request_ids(
                    arrive(controller, n * 0.1, n, ("read", "skippable_call")[n % 2], tenant="t"), StartRun
                )
                if n % 3 == 0 and running:
                    controller.handle(n * 0.1, RunFinished(running.pop(0), Outcome.SUCCESS, 0.2))
                if n % 5 == 0:
                    controller.handle(
                        n * 0.1,
                        TimerFired(UPDATE_TIMER, core_utilization=1.0, core_demand=2.0, connections=float(n)),
                    )
            assert (
                0.0 <= controller.blocking_probability <= 1.0
                and 0.0 <= controller.state.load_report.published_share <= 1.0
                and controller.concurrency.limit >= 2.0
            )
