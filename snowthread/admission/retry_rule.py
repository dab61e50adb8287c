"""Retries: the weight of a retry, and what a rejection says about retrying elsewhere and later."""

from snowthread.admission.actions import Reject
from snowthread.admission.berger import blocking_probability
from snowthread.admission.estimators import READ_WORK_RATIO
from snowthread.admission.reasons import RejectReason
from snowthread.admission.request import RequestRecord
from snowthread.admission.settings import LoadReportKind
from snowthread.admission.state import ControllerState

# Weight of a retry relative to a first attempt. A retry does not say how old it is and may be late already.
RETRY_WEIGHT_RATIO = 0.25
# Part of the expected run time that a retry elsewhere needs at least: in less time even a much faster node
# can't serve it.
MIN_RETRY_TIME_RATIO = 0.25


def attempt_weight_ratio(is_retry: bool) -> float:
    """Return the weight of an attempt relative to a first attempt.

    A lower weight for retries keeps the cores from work that is too late already.
    """
    return RETRY_WEIGHT_RATIO if is_retry else 1.0


def rejection(state: ControllerState, now: float, request: RequestRecord, reason: RejectReason) -> Reject:
    """Return the rejection of a request, with the advice on retries that it carries."""
    do_not_retry = is_too_late_to_retry(state, now, request) or (
        state.generator.random() < elsewhere_rejection_probability(state, now)
    )
    return Reject(request.id, retry_after_s(state), do_not_retry, reason)


def is_too_late_to_retry(state: ControllerState, now: float, request: RequestRecord) -> bool:
    """Return whether no other node, however fast, could serve a retry within the latency objective."""
    run_s = state.estimates.expected_run_s(request)
    return now >= request.objective_at - MIN_RETRY_TIME_RATIO * run_s


def elsewhere_rejection_probability(state: ControllerState, now: float) -> float:
    """Return the probability that another node would reject a retry, estimated from this one.

    It is the probability with which this node would block requests at its best speed, since others may
    not be slowed down. During warm-up, and while nothing is blocked here, it is 0.
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


def retry_after_s(state: ControllerState) -> float:
    """Return the Retry-After of a rejection in seconds: a caller's usual interval between its requests.

    It is at most ``max_retry_after_s``. It is 0 if the site does not support Retry-After, while nothing is
    blocked, or while the request rate is unknown. If no load report is published, the interval is extended so
    that callers send only as much as is not blocked.
    """
    settings = state.settings
    probability = state.blocking.probability
    if not settings.supports_retry_after or not probability * state.estimates.request_rate:
        return 0.0
    admitted_ratio = 1.0 - probability if settings.load_report_kind is LoadReportKind.NONE else 1.0
    return round(min(settings.max_retry_after_s, state.estimates.caller_interval_s() / admitted_ratio), 3)
