"""Why a request was rejected, for the log. Types only."""

from __future__ import annotations

from enum import Enum


class RejectReason(Enum):
    """The rule that rejected a request."""

    UNKNOWN_CLASS = "unknown class"
    BLOCKED = "blocking probability"
    WAIT_TOO_LONG = "wait too long"
    HOPELESS = "cannot end in time"
    MEMORY = "memory short"
    TENANT = "tenant not allowed"
    SHUTDOWN = "shutting down"
    ORIGINAL_UNAVAILABLE = "original attempt can't be awaited"
    DUE = "due time reached"
    PREEMPTED = "run stopped"
