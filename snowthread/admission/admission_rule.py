"""The admission rule: whether an arriving request stays queued, or why it is rejected at once."""

from snowthread.admission.deadline_rule import latest_start_at
from snowthread.admission.memory_limit import exceeds_memory_limit
from snowthread.admission.reasons import RejectReason
from snowthread.admission.request import RequestRecord
from snowthread.admission.start_rule import refresh_priorities
from snowthread.admission.state import ControllerState

# Longest wait, as a part of the time until the latency objective less the expected run time.
MAX_WAIT_RATIO = 0.7
MAX_QUEUED_PER_CORE = 4  # queued requests per core that are allowed as long as the service rate is unknown
# Seconds without a successful run or a probe of a class, after which a request of the class may be admitted
# as a probe.
PROBE_INTERVAL_S = 1.0


def reject_reason(
    state: ControllerState, now: float, request: RequestRecord, key_memory_kb: float
) -> RejectReason | None:
    """Return why an arriving request is rejected, or None if it stays queued.

    The request must be in the queue already. ``key_memory_kb`` is the memory, in kilobytes, that its
    idempotency key would use.
    """
    open_requests = state.open_requests
    if state.shutdown.forbids_start(now, request):
        return RejectReason.SHUTDOWN
    if not state.quotas.table.allows(request):
        return RejectReason.TENANT
    if exceeds_memory_limit(open_requests.memory, key_memory_kb):
        return RejectReason.MEMORY
    are_cores_busy = open_requests.cores.occupied >= int(state.concurrency.limit)
    are_others_queued = len(open_requests.queued) > 1  # the arriving request itself is in the queue already
    must_wait = are_cores_busy or are_others_queued
    if must_wait and state.blocking.is_blocked(request):
        return RejectReason.BLOCKED
    if must_wait and wait_is_too_long(state, now, request):
        return RejectReason.WAIT_TOO_LONG
    is_too_late = cannot_meet_deadline(state, now, request) and not admits_probe(state, now, request)
    return RejectReason.CANNOT_MEET_DEADLINE if is_too_late else None


def wait_is_too_long(state: ControllerState, now: float, request: RequestRecord) -> bool:
    """Return whether queued work of the same or higher priority leaves the request too little time."""
    estimates = state.estimates
    queued = state.open_requests.queued.values()
    work_per_s = estimates.service_rate or estimates.full_core_rate(estimates.core_time_s)
    if work_per_s <= 0.0:
        return len(queued) > MAX_QUEUED_PER_CORE * estimates.cores
    time_left_s = request.objective_at - now - estimates.expected_run_s(request)
    max_work = MAX_WAIT_RATIO * time_left_s * work_per_s
    other_work = sum([r.work for r in queued]) - request.work  # noqa: C419  # summing a list is faster
    if other_work <= max_work:
        return False
    refresh_priorities(state, now)
    work_ahead = [r.work for r in queued if r.priority >= request.priority and r is not request]
    return sum(work_ahead) > max_work


def cannot_meet_deadline(state: ControllerState, now: float, request: RequestRecord) -> bool:
    """Return whether a run that starts now would probably end too late."""
    return now >= latest_start_at(state.estimates, request)


def admits_probe(state: ControllerState, now: float, request: RequestRecord) -> bool:
    """Return whether to admit a late request as a probe of its class, and record the time of the probe.

    A probe is admitted if no run is on the cores and no run of the class succeeded lately. Without
    probes, a run time that was learned too long would never be corrected, and the class would be rejected
    forever.
    """
    last_run_at = state.estimates.last_run_at_s
    index = request.class_index
    are_cores_idle = not state.open_requests.cores.running
    if are_cores_idle and now < request.objective_at and now - last_run_at[index] >= PROBE_INTERVAL_S:
        last_run_at[index] = now  # delays the next probe by a full interval
        return True
    return False
