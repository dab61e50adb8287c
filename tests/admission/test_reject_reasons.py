"""Each reason for a rejection, caused by the situation that its rule is for."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from support.admission_controller import arrive, started_controller

from snowthread.admission.actions import Action, Fail, Reject
from snowthread.admission.controller import Controller
from snowthread.admission.events import RunFinished, ShutdownNotice, TenantsChanged, TimerFired
from snowthread.admission.reasons import RejectReason
from snowthread.admission.settings import Outcome, Preemption, Tenant
from snowthread.admission.timer_queue import DEADLINE_TIMER

SUSPENDED = Tenant("suspended", suspended=True)


def controller_with_full_cores(**changes: object) -> Controller:
    """Return a controller both of whose cores are busy until 1 s, with one request queued."""
    controller = started_controller(memory_kb=1e6, **changes)
    for request in (1, 2, 3):
        arrive(controller, 0.1, request)
    return controller


def unknown_class() -> list[Action]:
    return arrive(started_controller(), 0.1, 1, "no such class")


def shutting_down() -> list[Action]:
    controller = started_controller()
    controller.handle(0.1, ShutdownNotice(5.0))
    return arrive(controller, 1.2, 1)


def near_the_exit() -> list[Action]:
    controller = controller_with_full_cores()
    controller.handle(0.2, ShutdownNotice(1.0))
    return controller.handle(0.95, TimerFired(DEADLINE_TIMER))


def suspended_tenant() -> list[Action]:
    return arrive(started_controller(tenants=(SUSPENDED,)), 0.1, 1, tenant=SUSPENDED.name)


def tenant_suspended_while_queued() -> list[Action]:
    controller = controller_with_full_cores(tenants=(Tenant(SUSPENDED.name),))
    arrive(controller, 0.2, 4, tenant=SUSPENDED.name)
    return controller.handle(0.3, TenantsChanged(changed=(SUSPENDED,)))


def memory_limit_reached() -> list[Action]:
    return arrive(started_controller(memory_kb=100.0), 0.1, 1, memory_kb=93.0)


def blocked() -> list[Action]:
    controller = controller_with_full_cores()
    controller.state.blocking.probability = 1.0
    return arrive(controller, 0.2, 4)


def too_much_work_queued() -> list[Action]:
    controller = started_controller(memory_kb=1e6)
    return [action for request in range(1, 20) for action in arrive(controller, 0.1, request)]


def late_request_on_idle_cores() -> list[Action]:
    controller = started_controller()
    arrive(controller, 0.1, 1)
    controller.handle(0.5, RunFinished(1, Outcome.SUCCESS, 0.4))
    return arrive(controller, 1.0, 2, unread_s=0.9)


def retry_without_memory() -> list[Action]:
    controller = started_controller(memory_kb=130.0)
    arrive(controller, 0.1, 1, memory_kb=25.0)
    # The original stays queued, because its run would need more memory.
    arrive(controller, 0.1, 2, "keyed", memory_kb=5.0)
    return arrive(controller, 0.2, 3, "keyed", memory_kb=20.0, original_id=2)


def deadline_reached_while_queued() -> list[Action]:
    return controller_with_full_cores().handle(1.08, TimerFired(DEADLINE_TIMER))


def deadline_reached_while_running() -> list[Action]:
    controller = started_controller()
    arrive(controller, 0.1, 1, "keyed")
    return controller.handle(3.08, TimerFired(DEADLINE_TIMER))


def cancelled_shortly_before_the_exit() -> list[Action]:
    controller = started_controller(preemption=Preemption.DROP)
    arrive(controller, 0.1, 1)
    controller.handle(0.2, ShutdownNotice(1.0))
    return controller.handle(0.95, RunFinished(1, Outcome.CANCELLED, 0.85))


@pytest.mark.parametrize(
    ("cause_rejection", "reason"),
    [
        (unknown_class, RejectReason.UNKNOWN_CLASS),
        (shutting_down, RejectReason.SHUTDOWN),
        (near_the_exit, RejectReason.SHUTDOWN),
        (suspended_tenant, RejectReason.TENANT),
        (tenant_suspended_while_queued, RejectReason.TENANT),
        (memory_limit_reached, RejectReason.MEMORY),
        (blocked, RejectReason.BLOCKED),
        (too_much_work_queued, RejectReason.WAIT_TOO_LONG),
        (late_request_on_idle_cores, RejectReason.CANNOT_MEET_DEADLINE),
        (retry_without_memory, RejectReason.ORIGINAL_UNAVAILABLE),
        (deadline_reached_while_queued, RejectReason.DEADLINE_REACHED),
        (cancelled_shortly_before_the_exit, RejectReason.PREEMPTED),
    ],
)
def test_rejection_gives_the_reason_of_its_rule(
    cause_rejection: Callable[[], list[Action]], reason: RejectReason
) -> None:
    rejections = [action for action in cause_rejection() if isinstance(action, Reject)]
    assert rejections
    assert {rejection.reason for rejection in rejections} == {reason}


def test_failure_in_place_of_a_rejection_gives_the_same_reason() -> None:
    failures = [action for action in deadline_reached_while_running() if isinstance(action, Fail)]
    assert [failure.reason for failure in failures] == [RejectReason.DEADLINE_REACHED]
