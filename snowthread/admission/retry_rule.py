"""Retries: what a retry weighs, and what a rejection says about retrying: whether elsewhere, and when."""

from snowthread.admission.actions import Reject
from snowthread.admission.berger import blocking_probability
from snowthread.admission.estimators import READ_WORK_RATIO
from snowthread.admission.reasons import RejectReason
from snowthread.admission.request import RequestRecord
from snowthread.admission.settings import LoadReportKind
from snowthread.admission.state import State

RETRY_WEIGHT_RATIO = 0.25  # of a first attempt's: a retry does not say its age and may be late already
MIN_RETRY_TIME_RATIO = 0.25  # of the expected run: in less time even a much faster server can't serve it


def attempt_weight_ratio(is_retry: bool) -> float:
    """Return the weight of an attempt relative to a first one, so that cores do no work that is late."""
    return RETRY_WEIGHT_RATIO if is_retry else 1.0


def rejection(state: State, now: float, request: RequestRecord, reason: RejectReason) -> Reject:
    """Return the rejection of a request, with what it says about retries."""
    do_not_retry = is_too_late_to_retry(state, now, request) or (
        state.generator.random() < elsewhere_rejection_probability(state, now)
    )
    return Reject(request.id, retry_after_s(state), do_not_retry, reason)


def is_too_late_to_retry(state: State, now: float, request: RequestRecord) -> bool:
    """Return whether no other server, however fast, could serve a retry within the objective."""
    run_s = state.estimates.expected_run_s(request)
    return now >= request.objective_at - MIN_RETRY_TIME_RATIO * run_s


def elsewhere_rejection_probability(state: State, now: float) -> float:
    """Return the probability that another server rejects a retry: how full the fleet seems.

    It is what this server would block at its best speed, as others may not be slowed down; 0 at warm-up.
    """
    estimates = state.estimates
    if not state.blocking.probability or state.settings.is_warming_up(state.age_s(now)):
        return 0.0
    blocked_elsewhere = 1.0
    service_rate = estimates.best_work_speed - READ_WORK_RATIO * estimates.request_rate
    if service_rate > 0.0:
        abandonment_ratio = estimates.abandonment_ratio()
        blocked_elsewhere = blocking_probability(estimates.arrival_rate, service_rate, abandonment_ratio)
    return 1.0 - (1.0 - blocked_elsewhere) * (1.0 - state.load_report.effective_share)


def retry_after_s(state: State) -> float:
    """Return a caller's usual interval between requests, in seconds; 0: it may retry at once.

    Where no load report is published, it is so much longer that a caller sends what is not blocked.
    """
    settings = state.settings
    blocked_ratio = state.blocking.probability
    if not settings.supports_retry_after or not blocked_ratio * state.estimates.request_rate:
        return 0.0
    admitted_ratio = 1.0 - blocked_ratio if settings.load_report_kind is LoadReportKind.NONE else 1.0
    return round(min(settings.max_retry_after_s, state.estimates.caller_interval_s() / admitted_ratio), 3)
