"""Deadlines: the latest time at which a run may start, and when a request without an answer is given up."""

from snowthread.admission.actions import Action
from snowthread.admission.estimators import TIME_TOLERANCE_S, Estimates
from snowthread.admission.reasons import RejectReason
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settlement import reject_or_fail
from snowthread.admission.state import ControllerState

# Seconds before its deadline at which a request is answered, so that the answer arrives in time.
ANSWER_MARGIN_S = 0.03
MIN_CHECK_INTERVAL_S = 0.02  # seconds between two deadline checks of one queued request, at least
# Factor on the expected run time that gives the latest start of a request without a work hint. It is the
# ratio of median to mean of the skewed run times, so a run that starts then has an even chance to end in
# time.
MEDIAN_RUN_RATIO = 0.75
# Factor on the expected run time that gives the latest start of a request with a work hint. Its run time is
# known better, and an early rejection leaves time for a retry elsewhere.
HINTED_RUN_RATIO = 1.25


def latest_start_at(estimates: Estimates, request: RequestRecord) -> float:
    """Return the time from which on a run that starts can't be expected to end in time."""
    ratio = HINTED_RUN_RATIO if request.work_hint_s else MEDIAN_RUN_RATIO
    return request.expires_at - ratio * estimates.expected_run_s(request)


def check_deadline(state: ControllerState, now: float, request: RequestRecord) -> list[Action]:
    """Reject or fail a request whose time is over, or else schedule its next check."""
    horizon = now + ANSWER_MARGIN_S + TIME_TOLERANCE_S
    check_at = request.deadline_at
    is_due = request.deadline_at <= horizon
    if request.state is RequestState.QUEUED:
        latest_start = latest_start_at(state.estimates, request)
        is_due = is_due or latest_start <= horizon
        check_at = min(check_at, max(latest_start, horizon + MIN_CHECK_INTERVAL_S))
    elif request.state is RequestState.RUNNING and state.open_requests.queued:
        # The answer of this run would have no weight any more, and queued requests can use its core.
        has_no_weight = not request.request_class.late_weight_factor
        is_due = is_due or (request.objective_at <= horizon and has_no_weight)
    if is_due:
        return reject_or_fail(state, now, request, RejectReason.DEADLINE_REACHED)
    if request.state is RequestState.CALL_PENDING and request.retry_at > now + TIME_TOLERANCE_S:
        # ``watch_deadline`` subtracts the margin, so the check is due at the time of the retry itself.
        check_at = request.retry_at + ANSWER_MARGIN_S
    state.deadlines.watch_deadline(request, check_at)
    return []
