"""Deadlines: until when a start makes sense, and when an unanswered request is given up."""

from snowthread.admission.actions import Action
from snowthread.admission.estimators import TIME_TOLERANCE_S, Estimates
from snowthread.admission.reasons import RejectReason
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settlement import reject_or_fail
from snowthread.admission.state import State

ANSWER_MARGIN_S = 0.03  # before the deadline: the answer has to reach the caller in time
MIN_CHECK_INTERVAL_S = 0.02  # between two checks of one queued request
MEDIAN_RUN_RATIO = 0.75  # median over mean of skewed run times: the start has an even chance to end in time
HINTED_RUN_RATIO = 1.25  # with a work hint the run time is known better, and rejecting early leaves time


def latest_start_at(estimates: Estimates, request: RequestRecord) -> float:
    """Return the time from which on a started run could not be expected to end in time."""
    ratio = HINTED_RUN_RATIO if request.work_hint_s else MEDIAN_RUN_RATIO
    return request.expires_at - ratio * estimates.expected_run_s(request)


def check_deadline(state: State, now: float, request: RequestRecord) -> list[Action]:
    """Reject an unanswered request whose time is over, or plan its next check."""
    horizon = now + ANSWER_MARGIN_S + TIME_TOLERANCE_S
    check_at = request.deadline_at
    is_due = request.deadline_at <= horizon
    if request.state is RequestState.QUEUED:
        latest_start = latest_start_at(state.estimates, request)
        is_due = is_due or latest_start <= horizon
        check_at = min(check_at, max(latest_start, horizon + MIN_CHECK_INTERVAL_S))
    elif request.state is RequestState.RUNNING and state.open_requests.queued:
        # A run whose answer would have no weight gives its core to those that wait for it.
        has_no_weight = not request.request_class.late_weight_factor
        is_due = is_due or (request.objective_at <= horizon and has_no_weight)
    if is_due:
        return reject_or_fail(state, now, request, RejectReason.DEADLINE_REACHED)
    if request.state is RequestState.CALL_PENDING and request.retry_at > now + TIME_TOLERANCE_S:
        check_at = request.retry_at + ANSWER_MARGIN_S  # at the retry itself: the margin is taken off again
    state.deadlines.watch_deadline(request, check_at)
    return []
