"""Why a request was rejected, or failed in place of a rejection, for the log. Types only."""

from __future__ import annotations

from enum import Enum


class RejectReason(Enum):
    """The rule by which a request was given up; the value is the text in the debug log."""

    # The settings have no class of this name (``arrivals.request_arrived``).
    UNKNOWN_CLASS = "unknown class"
    # The request arrived after the shutdown grace period (``admission_rule.reject_reason``), or it was still
    # open shortly before the end of the process (``graceful_shutdown.answer_all_before_exit``).
    SHUTDOWN = "shutting down"
    # The tenant is suspended or may not send the class (``admission_rule.reject_reason``, and ``controller``
    # when tenants change).
    TENANT = "tenant not allowed"
    # The request would exceed the memory limit (``admission_rule.reject_reason``, by
    # ``memory_limit.exceeds_memory_limit``).
    MEMORY = "memory limit reached"
    # The request was drawn by the blocking probability (``admission_rule.reject_reason``, by
    # ``blocking.BlockingRule.is_blocked``).
    BLOCKED = "blocked under overload"
    # Queued work leaves the request too little time (``admission_rule.wait_is_too_long``).
    WAIT_TOO_LONG = "wait too long"
    # A run that starts on arrival would probably end too late (``admission_rule.cannot_meet_deadline``).
    CANNOT_MEET_DEADLINE = "cannot meet the deadline"
    # The retry can't wait for its original attempt (``idempotency.await_original``).
    ORIGINAL_UNAVAILABLE = "original attempt unavailable"
    # The deadline, or the latest start of the run, was reached (``deadline_rule.check_deadline``).
    DEADLINE_REACHED = "deadline reached"
    # The runtime cancelled the run, and it may not start again (``run_results.run_finished``).
    PREEMPTED = "run preempted"
