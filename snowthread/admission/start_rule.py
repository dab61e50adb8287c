"""The start rule: which queued requests may start, in which order, and how many."""

import math

from snowthread.admission.actions import Action, StartRun
from snowthread.admission.memory_limit import exceeds_memory_limit
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.state import State

PRIORITY_REFRESH_INTERVAL_S = (
    0.02  # between two computations of all priorities, which cost more than most events
)
MIN_PRIORITY_TIME_S = 0.05  # added to the time left: bounds the priority of what is due now


def start_queued(state: State, now: float) -> list[Action]:
    """Start queued requests, the highest priority first, as long as one more is allowed."""
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


def _next_request(state: State, now: float) -> RequestRecord | None:
    """Return the request that starts next, or None where the ceiling or memory allows no other run."""
    open_requests = state.open_requests
    # Whatever may come to be on the cores at once: runs at calls return to them without a decision here.
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


def may_start(state: State, now: float, request: RequestRecord) -> bool:
    """Return whether a request may start or resume: not once it is answered, not twice with effects."""
    if request.is_settled or state.shutdown.forbids_start(now, request):
        return False
    return not request.may_have_run or request.state is not RequestState.QUEUED or request.is_idempotent


def priority(state: State, now: float, request: RequestRecord) -> float:
    """Return the weight, times the chance to end in time if started now, over the time left.

    So the most urgent goes first, unless it would probably be late: the chance is 1 - exp(-time left / run
    time). The time left is that up to the latency objective, and after it that up to the deadline.
    """
    is_late = now >= request.objective_at
    weight = request.weight * (request.request_class.late_weight_factor if is_late else 1.0)
    run_s = state.estimates.expected_run_s(request)
    left_s = max(0.0, (request.deadline_at if is_late else request.objective_at) - now)
    chance = 1.0 - math.exp(-left_s / run_s) if run_s > 0.0 else 1.0
    return weight * chance / (left_s + run_s + MIN_PRIORITY_TIME_S)


def refresh_priorities(state: State, now: float) -> None:
    """Compute all priorities anew, unless that was done a moment ago."""
    if now >= state.priorities_refreshed_at + PRIORITY_REFRESH_INTERVAL_S:
        state.priorities_refreshed_at = now
        for request in state.open_requests.queued.values():
            request.priority = priority(state, now, request)
