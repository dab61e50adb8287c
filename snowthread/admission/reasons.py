"""Why a request was rejected, or failed in place of a rejection, for the log. Types only."""

from __future__ import annotations

from enum import Enum


class RejectReason(Enum):
    """The rule that gave up a request; the value is what the debug log says."""

    UNKNOWN_CLASS = "unknown class"  # arrivals.request_arrived: no such class in the settings
    SHUTDOWN = "shutting down"  # admission_rule.reject_reason, graceful_shutdown.answer_all_before_stop
    TENANT = "tenant not allowed"  # admission_rule.reject_reason, and controller when tenants change
    MEMORY = "memory limit reached"  # admission_rule.reject_reason, by memory_limit.exceeds_memory_limit
    BLOCKED = "blocked under overload"  # admission_rule.reject_reason, by blocking.BlockingRule.is_blocked
    WAIT_TOO_LONG = "wait too long"  # admission_rule.wait_is_too_long
    CANNOT_MEET_DEADLINE = "cannot meet the deadline"  # admission_rule.cannot_meet_deadline
    ORIGINAL_UNAVAILABLE = "original attempt unavailable"  # idempotency.await_original
    DEADLINE_REACHED = "deadline reached"  # deadline_rule.check_deadline
    PREEMPTED = "run preempted"  # run_results.run_finished: a stopped run that may not start again
