"""What the reducer asks the outside to do, independent of any protocol.

Points in time (``at_ms``) are float Unix milliseconds, lengths of time (``..._ms``) are float milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from snowthread.core.events import (
    DrainRequested,
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
    """The response with the result of a run, unchanged."""

    result: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """The response to an attempt that never ran."""

    retry_after_ms: float = 0.0  # for how long the balancer should send this node nothing; 0: not said
    do_not_retry: bool = False  # nor should the balancer try another node
    attempt_id: str = field(default="", compare=False)  # this and the reason are for the log
    reason: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Failed:
    """The response that promises nothing: the request may have run."""

    attempt_id: str = field(default="", compare=False)  # this and the reason are for the log
    reason: str = field(default="", compare=False)  # "": it failed by itself, not by a rule


@dataclass(frozen=True, slots=True)
class HealthStatus:
    """The response to a health check."""

    healthy: bool


@dataclass(frozen=True, slots=True)
class SendResponse:
    """Send the one final response to a request; ``load_report`` is None before there is one."""

    response_address: ResponseAddress
    response: Served | Rejected | Failed | HealthStatus
    load_report: float | None


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
    """Let a run go on without the call that the notice asked for."""

    attempt_id: str
    notice_number: int


@dataclass(frozen=True, slots=True)
class RequestLoadSample:
    """Request a load sample from the runtime; the sample carries the same tag."""

    tag: str


@dataclass(frozen=True, slots=True)
class StartCall:
    """Make a call to the formula database for a run; cancel it after ``timeout_ms``."""

    attempt_id: str
    body: bytes
    timeout_ms: float
    retryable: bool = False  # it may be sent again where its connection broke


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancel the call made for a run: its end is not reported."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class ScheduleTimer:
    """Hand the event to the reducer at this time."""

    at_ms: float
    event: TimerExpired | LoadSampleDue | KeyClaimTimedOut


@dataclass(frozen=True, slots=True)
class SetIdleTimeout:
    """Close connections of balancers that were idle for this time."""

    timeout_ms: float


@dataclass(frozen=True, slots=True)
class SetRegistration:
    """Register the node as accepting work, or as accepting none."""

    accepts_work: bool


PeerProcessMessage = (
    IdempotencyRecord
    | KeyRunCompleted
    | KeyReleased
    | KeyClaimRequested
    | KeyClaimDecided
    | DrainRequested
    | PeerLoadReported
)


@dataclass(frozen=True, slots=True)
class SendToPeerProcess:
    """Send a message to the other process of this node during a hot restart.

    An idempotency record is encoded only when it is written to the socket: thousands of them wait as
    references and not as bytes.
    """

    message: PeerProcessMessage


@dataclass(frozen=True, slots=True)
class SendHandoverComplete:
    """Notify the successor that all idempotency records were sent: it may accept clients."""


@dataclass(frozen=True, slots=True)
class ReserveDescriptors:
    """Reserve this number of file descriptors for the peer process."""

    count: int


@dataclass(frozen=True, slots=True)
class SetAccepting:
    """Accept new connections, or leave them to the successor and close the present ones."""

    accepting: bool


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Log a line for the operators; a detail is logged at the level DEBUG."""

    text: str
    event: str = "decision.note"
    is_detail: bool = False


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
