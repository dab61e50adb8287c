"""Arrivals: creates the record of an arriving request and queues, rejects or attaches it to its original."""

from snowthread.admission.actions import Action, Reject
from snowthread.admission.admission_rule import reject_reason
from snowthread.admission.deadline_rule import latest_start_at
from snowthread.admission.events import RequestArrived
from snowthread.admission.idempotency import await_original, remember_key, shares_result
from snowthread.admission.reasons import RejectReason
from snowthread.admission.request import RequestRecord
from snowthread.admission.retry_rule import attempt_weight_ratio
from snowthread.admission.settings import Idempotency
from snowthread.admission.settlement import reject_or_fail
from snowthread.admission.start_rule import priority
from snowthread.admission.state import ControllerState


def request_arrived(state: ControllerState, now: float, event: RequestArrived) -> list[Action]:
    """Queue an arriving request, reject it, or make it wait for the result of its original attempt."""
    class_index = state.class_index.get(event.class_name)
    if class_index is None:
        return [Reject(event.request_id, reason=RejectReason.UNKNOWN_CLASS)]
    request = _record(state, now, event, class_index)
    state.open_requests.add(request)
    if event.original_id is not None and shares_result(state, request):
        return await_original(state, now, request, event.original_id)
    state.estimates.record_arrival(request.work, event.is_retry, event.unread_s)
    is_keyed = request.request_class.idempotency is Idempotency.KEYED
    reason = reject_reason(state, now, request, state.settings.key_memory_kb if is_keyed else 0.0)
    if reason is not None:
        return reject_or_fail(state, now, request, reason)
    latest_start = latest_start_at(state.estimates, request)
    state.deadlines.watch_deadline(request, min(request.deadline_at, latest_start))
    return [remember_key(state, now, request)] if is_keyed else []


def _record(state: ControllerState, now: float, event: RequestArrived, class_index: int) -> RequestRecord:
    """Return the record of an arriving request, with its deadline, work, weight and priority."""
    settings = state.settings
    request_class = settings.classes[class_index]
    arrived_at = now - event.unread_s
    time_left_s = event.time_left_s if settings.propagates_deadline else None
    deadline_at = now + time_left_s if time_left_s else max(now, arrived_at + request_class.deadline_s)
    work = state.estimates.work_units(class_index, event.work_hint_s)
    stretch_s = request_class.objective_stretch * (state.estimates.run_time_s[class_index] * work)
    objective_at = min(deadline_at, arrived_at + request_class.latency_objective_s + stretch_s)
    request = RequestRecord.of_arrival(
        event, class_index, request_class, work, arrived_at, deadline_at, objective_at
    )
    weight = request_class.priority_weight * state.quotas.weight_ratio(now, event.tenant)
    weight *= attempt_weight_ratio(event.is_retry)
    request.weight = weight if settings.weighs_by_work else weight / work
    request.priority = priority(state, now, request)
    return request
