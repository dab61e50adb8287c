"""Actions: what a controller asks its host to do. Types only; times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from snowthread.admission.reasons import RejectReason


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start the run of a queued request, or resume a paused run."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RememberKey:
    """Remember the idempotency key of a request for ``lifetime_s`` from now on."""

    request_id: int
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class ForgetKey:
    """Forget the idempotency key of a request."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer that a request was rejected: it never ran, or running it again does no harm.

    ``retry_after_s`` is the time before the caller should send its next request to this node; 0: at once.
    ``do_not_retry`` asks the caller not to retry elsewhere either.
    """

    request_id: int
    retry_after_s: float = 0.0
    do_not_retry: bool = False
    reason: RejectReason | None = field(default=None, compare=False)  # rule that rejected it, for the log


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer that a request failed: it may have run."""

    request_id: int
    # For the log: the rule that gave the request up. None if the run or its call failed.
    reason: RejectReason | None = field(default=None, compare=False)


@dataclass(frozen=True, slots=True)
class StartCall:
    """Start the downstream call that a run waits for, and give it up after ``timeout_s``."""

    request_id: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class SkipCall:
    """Continue a run without the result of its downstream call."""

    request_id: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run, if the host can."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ForgetLostRun:
    """Forget a run that is presumed lost.

    No answer is owed to its request any more, and nothing was heard of the run for several times its expected
    duration.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class AwaitOriginal:
    """Answer a retry with the result of the attempt that it repeats."""

    request_id: int


@dataclass(frozen=True, slots=True)
class PublishLoad:
    """Send this load report with every answer from now on."""

    value: float


@dataclass(frozen=True, slots=True)
class SetIdleTimeout:
    """Close connections that have been idle for ``timeout_s`` (0: the host's default)."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send a ``TimerFired`` with this label ``delay_s`` from now."""

    delay_s: float
    label: int


@dataclass(frozen=True, slots=True)
class SetHealth:
    """Answer health checks with ``healthy`` from now on.

    ``shallow`` asks to answer them from this value alone, without any further checks.
    """

    healthy: bool
    shallow: bool = True


class OperatorMessage(Enum):
    """A message for the operators; the value is the line in the node's log."""

    GRACEFUL_SHUTDOWN_BEGUN = (
        "shutting down gracefully: open requests are answered, "
        "requests that arrive after the grace period are rejected"
    )
    EJECTED_AS_OUTLIER = (
        "ejected as an outlier: far slower than at its best; leaving the registry for a fixed time"
    )
    OUTLIER_EJECTION_ENDED = "outlier ejection ended: returning to the registry"


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Log a message for the operators."""

    message: OperatorMessage


Action = (
    StartRun
    | RememberKey
    | ForgetKey
    | Reject
    | Fail
    | StartCall
    | SkipCall
    | StopRun
    | ForgetLostRun
    | AwaitOriginal
    | PublishLoad
    | SetIdleTimeout
    | SetTimer
    | SetHealth
    | LogMessage
)
