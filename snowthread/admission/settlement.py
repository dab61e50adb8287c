"""Settlement: final answers other than results, and the removal of requests that are over."""

from snowthread.admission.actions import Action, Fail, StopRun
from snowthread.admission.events import RequestCancelled
from snowthread.admission.reasons import RejectReason
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.retry_rule import rejection
from snowthread.admission.settings import Preemption
from snowthread.admission.state import ControllerState

WAITING_STATES = (RequestState.QUEUED, RequestState.PAUSED, RequestState.AWAITING_ORIGINAL)


def reject_or_fail(
    state: ControllerState, now: float, request: RequestRecord, reason: RejectReason
) -> list[Action]:
    """Reject a request, or fail it if it may have run and is not idempotent."""
    if request.may_have_run and not request.is_idempotent:
        return fail(state, now, request, reason)
    return [rejection(state, now, request, reason), *settle(state, now, request)]


def fail(
    state: ControllerState, now: float, request: RequestRecord, reason: RejectReason | None
) -> list[Action]:
    """Fail a request: the answer leaves open whether it ran."""
    return [Fail(request.id, reason), *settle(state, now, request)]


def request_cancelled(
    state: ControllerState, now: float, request: RequestRecord, _: RequestCancelled
) -> list[Action]:
    """Settle a request whose caller has cancelled it or disconnected."""
    return settle(state, now, request)


def settle(state: ControllerState, now: float, request: RequestRecord) -> list[Action]:
    """Mark that no answer is owed any more: remove the request, or stop its run if possible."""
    request.is_settled = True
    if request.state in WAITING_STATES:
        return remove(state, now, request, forget_key=not request.may_have_run)
    if request.state is RequestState.RUNNING and state.settings.preemption is not Preemption.NONE:
        return [StopRun(request.id)]
    return []


def remove(
    state: ControllerState, now: float, request: RequestRecord, forget_key: bool = False
) -> list[Action]:
    """Remove a request that is over, and forget its key if it never ran."""
    actions = state.open_requests.memory.forget_key(request) if forget_key else []
    state.calls.remove(now, request)
    state.open_requests.remove(request)
    return actions


def requeue(state: ControllerState, now: float, request: RequestRecord) -> None:
    """Queue a request again whose run has ended without a result; the run's call has ended with it."""
    keeps_progress = state.settings.preemption is not Preemption.DROP
    state.calls.remove(now, request)
    state.open_requests.requeue(request, keeps_progress)
