"""Actions: what a controller asks its host to do. Types only; times are seconds of the controller's clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from snowthread.admission.reasons import RejectReason


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start the run of a queued request, or resume a paused one."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RememberKey:
    """Remember the idempotency key of a request for so long from now."""

    request_id: int
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class ForgetKey:
    """Forget the idempotency key of a request."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer that a request was rejected: it never ran, or is idempotent.

    ``retry_after_s`` is 0 where the caller may retry at once; ``do_not_retry`` asks not to retry elsewhere.
    """

    request_id: int
    retry_after_s: float = 0.0
    do_not_retry: bool = False
    reason: RejectReason | None = field(default=None, compare=False)  # for the log


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer that a request failed: it may have run."""

    request_id: int
    reason: RejectReason | None = field(default=None, compare=False)  # for the log, of what was no rejection


@dataclass(frozen=True, slots=True)
class StartCall:
    """Make the downstream call that a run waits for."""

    request_id: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class SkipCall:
    """Let a run go on without its downstream call."""

    request_id: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run, as far as the host can."""

    request_id: int


@dataclass(frozen=True, slots=True)
class ForgetLostRun:
    """Forget a run that is presumed lost: it is answered, and silent for longer than it can take."""

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
    """Close connections that have been idle for so long (0: the host's default)."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send a ``TimerFired`` with this label so long from now."""

    delay_s: float
    label: int


@dataclass(frozen=True, slots=True)
class SetHealth:
    """Answer health checks so from now on; ``shallow``: from this setting alone, without any work."""

    healthy: bool
    shallow: bool = True


class OperatorMessage(Enum):
    """What is logged for the operators; the value is the line of the node's log."""

    GRACEFUL_SHUTDOWN_BEGUN = (
        "shutting down gracefully: what is open is answered, what arrives after the grace period is rejected"
    )
    EJECTED_AS_OUTLIER = "ejected as an outlier: far slower than before, out of the registry"
    OUTLIER_EJECTION_ENDED = "outlier ejection ended: back in the registry"


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
