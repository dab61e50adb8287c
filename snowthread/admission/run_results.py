"""Ends of runs and of their calls: what is learned from them, and what happens to the request."""

from snowthread.admission.actions import Action, SkipCall
from snowthread.admission.downstream_calls import CallDecision
from snowthread.admission.events import CallFinished, CallNeeded, RunFinished
from snowthread.admission.reasons import RejectReason
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settings import Outcome
from snowthread.admission.settlement import fail, reject_or_fail, remove, requeue
from snowthread.admission.start_rule import may_start
from snowthread.admission.state import ControllerState


def run_finished(
    state: ControllerState, now: float, request: RequestRecord, event: RunFinished
) -> list[Action]:
    """Process the end of a run and remove its request.

    A run that was cancelled without a ``StopRun`` has ended at the host. Its request is queued again if it is
    idempotent, and fails otherwise.
    """
    never_ran = event.outcome is Outcome.NOT_STARTED
    if never_ran or request.state is RequestState.AWAITING_ORIGINAL:
        return remove(state, now, request, forget_key=never_ran)
    if event.outcome is Outcome.CANCELLED and not request.is_settled:
        requeue(state, now, request)
        is_queued = may_start(state, now, request)
        return [] if is_queued else reject_or_fail(state, now, request, RejectReason.PREEMPTED)
    was_running = request.state is RequestState.RUNNING
    actions = remove(state, now, request)
    if event.outcome is Outcome.SUCCESS and was_running:
        state.estimates.record_successful_run(now, request)
        base_s = state.estimates.base_core_time_s[request.class_index]
        state.concurrency.cut_if_slow(now, request, base_s)
    else:
        state.estimates.record_unsuccessful_run(request)
    return actions


def call_needed(state: ControllerState, now: float, request: RequestRecord, _: CallNeeded) -> list[Action]:
    """Take a run off the cores until its call has ended or is skipped."""
    state.calls.add(now, request)
    return []


def call_finished(
    state: ControllerState, now: float, request: RequestRecord, event: CallFinished
) -> list[Action]:
    """Continue the run with or without the result of its call, retry the call, or fail the request."""
    if request.state is not RequestState.CALLING:
        return []
    decision = state.calls.finish(now, request, event.outcome)
    if decision is CallDecision.FAIL_RUN:
        return fail(state, now, request, None)
    if decision is CallDecision.SKIP:
        return [SkipCall(request.id)]
    if decision is CallDecision.RETRY:
        state.deadlines.watch_deadline(request, request.retry_at)
    return []
