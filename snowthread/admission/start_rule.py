"""The start rule: which queued requests start, in which order, and how many of them."""

import math

from snowthread.admission.actions import Action, StartRun
from snowthread.admission.memory_limit import exceeds_memory_limit
from snowthread.admission.request import RequestRecord
from snowthread.admission.state import ControllerState

# Seconds between two computations of all priorities, which cost more than most events.
PRIORITY_REFRESH_INTERVAL_S = 0.02
# Seconds added to the time left, so that the priority of a request that is due now stays finite.
MIN_PRIORITY_TIME_S = 0.05


def start_queued(state: ControllerState, now: float) -> list[Action]:
    """Start queued requests, the highest priority first, as long as the limits allow one more."""
    queued = state.open_requests.queued
    cores = state.open_requests.cores
    actions: list[Action] = []
    while queued and cores.occupied < int(state.concurrency.limit):
        request = _next_request(state, now)
        if request is None:
            break
        if not request.may_have_run:
            state.quotas.count_run(now, request.tenant)
        state.open_requests.start(now, request)
        actions.append(StartRun(request.id))
        state.deadlines.watch_deadline(request, min(request.deadline_at, request.objective_at))
    return actions


def _next_request(state: ControllerState, now: float) -> RequestRecord | None:
    """Return the request that starts next.

    The result is None if the ceiling or the memory allows no other run, or no queued request may start.
    """
    open_requests = state.open_requests
    # All runs that may be on the cores at the same time. Runs that wait for calls return to the cores
    # without another decision here.
    possible_runs = (
        open_requests.cores.running + open_requests.cores.excess_runs + len(open_requests.call_table)
    )
    if not state.concurrency.allows_another_run(possible_runs, state.age_s(now)):
        return None
    startable = [request for request in open_requests.queued.values() if may_start(state, now, request)]
    if not startable:
        return None
    refresh_priorities(state, now)
    request = max(startable, key=lambda r: (r.priority, -r.id))
    memory = open_requests.memory
    return None if exceeds_memory_limit(memory, memory.start_extra_kb(request)) else request


def may_start(state: ControllerState, now: float, request: RequestRecord) -> bool:
    """Return whether a request may start.

    It may not once it is answered or the shutdown forbids it. A request with effects is started once only.
    """
    if request.is_settled or state.shutdown.forbids_start(now, request):
        return False
    return request.is_idempotent or not request.may_have_run


def priority(state: ControllerState, now: float, request: RequestRecord) -> float:
    """Return the priority: weight, times the chance to end in time if started now, over the time left.

    So the most urgent request goes first, unless it would probably be late. The chance is 1 - exp(-time
    left / run time). The time left counts to the latency objective, and after that to the deadline.
    """
    is_late = now >= request.objective_at
    weight = request.weight * (request.request_class.late_weight_factor if is_late else 1.0)
    run_s = state.estimates.expected_run_s(request)
    left_s = max(0.0, (request.deadline_at if is_late else request.objective_at) - now)
    chance = 1.0 - math.exp(-left_s / run_s) if run_s > 0.0 else 1.0
    return weight * chance / (left_s + run_s + MIN_PRIORITY_TIME_S)


def refresh_priorities(state: ControllerState, now: float) -> None:
    """Compute the priorities of all queued requests again, unless that was done a moment ago."""
    if now >= state.priorities_refreshed_at + PRIORITY_REFRESH_INTERVAL_S:
        state.priorities_refreshed_at = now
        for request in state.open_requests.queued.values():
            request.priority = priority(state, now, request)
