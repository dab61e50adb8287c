"""Idempotency: how long keys are remembered, and which retries get the result of their original attempt."""

from snowthread.admission.actions import Action, AwaitOriginal, RememberKey
from snowthread.admission.memory_limit import exceeds_memory_limit
from snowthread.admission.reasons import RejectReason
from snowthread.admission.request import RequestRecord
from snowthread.admission.settings import Idempotency
from snowthread.admission.settlement import reject_or_fail
from snowthread.admission.state import ControllerState

KEY_LIFETIME_MARGIN_S = 0.1  # seconds added to the idempotency window, since the clocks of callers differ
MIN_KEY_LIFETIME_S = 0.01  # shortest time in seconds for which a key is remembered


def shares_result(state: ControllerState, request: RequestRecord) -> bool:
    """Return whether a retry never runs, but gets the result of its original attempt."""
    is_keyed = request.request_class.idempotency is Idempotency.KEYED
    return is_keyed or state.settings.shared_result_ttl_s > 0.0


def await_original(
    state: ControllerState, now: float, request: RequestRecord, original_id: int
) -> list[Action]:
    """Let a retry wait for the result of its original attempt, or answer it at once if it can't wait.

    A retry that can't wait is rejected, or failed if its original may have run and is not idempotent.
    """
    original = state.open_requests.by_id.get(original_id)
    # An original that is no longer open has run; a rejection would tell the caller that it has not.
    request.may_have_run = original.may_have_run if original else True
    # The original needs no answer any more and its run may be lost, so a result may never come.
    is_given_up = original is not None and original.is_settled and original.is_indeterminate
    must_answer = is_given_up or state.shutdown.must_answer_all(now)
    if must_answer or exceeds_memory_limit(state.open_requests.memory):
        return reject_or_fail(state, now, request, RejectReason.ORIGINAL_UNAVAILABLE)
    state.open_requests.await_original(request)
    state.deadlines.watch_deadline(request, request.deadline_at)
    return [AwaitOriginal(request.id)]


def remember_key(state: ControllerState, now: float, request: RequestRecord) -> RememberKey:
    """Remember the key of a request from now until the end of its idempotency window."""
    window_s = request.request_class.idempotency_window_s
    lifetime_s = window_s - (now - request.arrived_at) + KEY_LIFETIME_MARGIN_S
    return state.open_requests.memory.remember_key(now, request, max(MIN_KEY_LIFETIME_S, lifetime_s))
