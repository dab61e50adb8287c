"""The effects that the reducer returns for the node to carry out, independent of any protocol.

Timestamps (``at_ms``) are Unix times in milliseconds and durations (``..._ms``) are milliseconds, both as
floats.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from snowthread.core.events import (
    DrainRequested,
    DrainStateAcknowledged,
    DrainStateReported,
    KeyClaimDecided,
    KeyClaimRequested,
    KeyClaimTimedOut,
    KeyReleased,
    KeyRunCompleted,
    LoadSampleDue,
    PeerLoadReported,
    ResponseAddress,
    TimerExpired,
)
from snowthread.core.idempotency import IdempotencyRecord


@dataclass(frozen=True, slots=True)
class Served:
    """The response that carries the result of a run, byte for byte."""

    result: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """The response to an attempt that never ran, or whose request may safely run again."""

    # Time before the balancer should send its next request to this node; 0 if it may do so at once.
    retry_after_ms: float = 0.0
    do_not_retry: bool = False  # whether the balancer should not retry the request on another node either
    attempt_id: str = field(default="", compare=False)  # id of the attempt; logged, not sent to the balancer
    reason: str = field(default="", compare=False)  # why it was rejected; logged, not sent to the balancer


@dataclass(frozen=True, slots=True)
class Failed:
    """The response without a result that leaves open whether the request has run."""

    attempt_id: str = field(default="", compare=False)  # id of the attempt; logged, not sent to the balancer
    reason: str = field(default="", compare=False)  # the admission rule that failed it, or empty; logged only


@dataclass(frozen=True, slots=True)
class HealthStatus:
    """The response to a health check."""

    healthy: bool


Response = Served | Rejected | Failed | HealthStatus
"""What a request or a health check can be answered with."""


@dataclass(frozen=True, slots=True)
class SendResponse:
    """Send the only response to a request or a health check."""

    response_address: ResponseAddress
    response: Response
    load_report: float | None  # as ``LoadReportKind`` defines it; None if no load report was published


@dataclass(frozen=True, slots=True)
class StartRun:
    """Command the runtime to run a request."""

    attempt_id: str
    class_name: str
    body: bytes


@dataclass(frozen=True, slots=True)
class StopRun:
    """Command the runtime to stop a run."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class DeliverReply:
    """Deliver the reply to a downstream call to its run."""

    attempt_id: str
    reply: bytes


@dataclass(frozen=True, slots=True)
class SkipCall:
    """Let a run continue without the downstream call that it requested."""

    attempt_id: str
    notice_number: int  # number of the notice that requested the call


@dataclass(frozen=True, slots=True)
class RequestLoadSample:
    """Request a load sample from the runtime, which echoes the tag in the sample."""

    tag: str


@dataclass(frozen=True, slots=True)
class StartCall:
    """Make a downstream call to the formula database for a run, and give it up after ``timeout_ms``."""

    attempt_id: str
    body: bytes
    timeout_ms: float
    retryable: bool = False  # whether the call may be sent again if its connection broke


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancel the downstream call of a run; no event reports its end."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class ScheduleTimer:
    """Pass an event to the reducer at a given time."""

    at_ms: float
    event: TimerExpired | LoadSampleDue | KeyClaimTimedOut


@dataclass(frozen=True, slots=True)
class SetIdleTimeout:
    """Close connections of balancers that have been idle for ``timeout_ms``."""

    timeout_ms: float


@dataclass(frozen=True, slots=True)
class SetRegistration:
    """Report to the registry whether the node accepts work."""

    accepts_work: bool


PeerProcessMessage = (
    IdempotencyRecord
    | KeyRunCompleted
    | KeyReleased
    | KeyClaimRequested
    | KeyClaimDecided
    | DrainStateReported
    | DrainStateAcknowledged
    | DrainRequested
    | PeerLoadReported
)


@dataclass(frozen=True, slots=True)
class SendToPeerProcess:
    """Send a message to the other process of this node during a hot restart.

    An idempotency record is encoded only when it is written to the socket, so thousands of queued records are
    held as references and not as bytes.
    """

    message: PeerProcessMessage


@dataclass(frozen=True, slots=True)
class SendHandoverComplete:
    """Notify the successor that all idempotency records were sent, so that it may accept connections."""


@dataclass(frozen=True, slots=True)
class ReserveDescriptors:
    """Reserve ``count`` file descriptors for the peer process; 0 releases them."""

    count: int


@dataclass(frozen=True, slots=True)
class SetAccepting:
    """Accept new connections, or leave them to the successor and ask balancers to close the existing ones."""

    accepting: bool


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log for operators."""

    text: str
    event: str = "decision.note"  # name of the log event
    is_detail: bool = False  # whether to log at the level DEBUG instead of INFO


Command = StartRun | StopRun | DeliverReply | SkipCall
Effect = (
    SendResponse
    | Command
    | RequestLoadSample
    | StartCall
    | CancelCall
    | ScheduleTimer
    | SetIdleTimeout
    | SetRegistration
    | LogMessage
    | SendToPeerProcess
    | SendHandoverComplete
    | SetAccepting
    | ReserveDescriptors
)
