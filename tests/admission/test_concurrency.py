"""The run limit, its ceiling, and the memory limit."""

from __future__ import annotations

from support.admission_controller import arrive, request_ids, started_controller

from snowthread.admission.actions import StartRun
from snowthread.admission.events import CallNeeded, TimerFired
from snowthread.admission.memory_limit import MAX_MEMORY_RATIO
from snowthread.admission.settings import Dependency
from snowthread.admission.timer_queue import UPDATE_TIMER


def test_memory_is_never_exceeded() -> None:
    controller = started_controller(cores=50, memory_kb=385.0)
    ran = sum(len(request_ids(arrive(controller, 0.1, n), StartRun)) for n in range(1, 40))
    assert ran == 8  # a ninth run of 40 kB would exceed the part of the memory that may be used
    assert controller.state.open_requests.memory.used_kb <= MAX_MEMORY_RATIO * 385.0


def test_the_ceiling_follows_the_warm_up() -> None:
    controller = started_controller(starts_cold=True, cold_speed=0.25, warmup_s=10.0)
    assert (
        controller.concurrency.ceiling(0.0)
        < controller.concurrency.ceiling(5.0)
        < controller.concurrency.ceiling(10.0)
        <= 2 * 4.0
    )
    assert controller.concurrency.ceiling(0.0) >= 2


def test_the_limit_grows_while_cores_idle_and_requests_wait() -> None:
    controller = started_controller()
    for n in range(1, 6):
        arrive(controller, 0.1, n)
    controller.handle(0.25, TimerFired(UPDATE_TIMER, core_utilization=0.3))
    # Utilization covers two periods, and in the first one there was not a run for each core throughout.
    assert controller.concurrency.limit == 2
    controller.handle(0.5, TimerFired(UPDATE_TIMER, core_utilization=0.3))
    controller.handle(0.75, TimerFired(UPDATE_TIMER, core_utilization=0.3))
    assert 2 < controller.concurrency.limit <= controller.concurrency.ceiling(0.75)


def test_runs_and_calls_together_stay_under_the_ceiling() -> None:
    # All runs that wait for calls may return to the cores at the same time.
    controller = started_controller(dependency=Dependency.TIER, memory_kb=1e6)
    for n in range(1, 20):
        for started in request_ids(arrive(controller, 0.1, n, "skippable_call"), StartRun):
            controller.handle(0.1, CallNeeded(started))
    assert (
        controller.state.open_requests.cores.running
        + len(controller.state.open_requests.call_table.in_flight)
        <= controller.concurrency.ceiling(0.1) + 1
    )
