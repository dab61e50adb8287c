"""What the reducer asks the outside to do. No protocol's names; times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

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
    """The result of a run, unchanged."""

    result: bytes


@dataclass(frozen=True, slots=True)
class Rejected:
    """Turned away: this try never ran."""

    retry_after_ms: float = 0.0
    do_not_retry: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """No promise."""


@dataclass(frozen=True, slots=True)
class HealthStatus:
    """The answer of a health check."""

    healthy: bool


@dataclass(frozen=True, slots=True)
class SendResponse:
    """The one final answer to what was read; ``say`` is the free value, None before there is one."""

    response_address: ResponseAddress
    response: Served | Rejected | Failed | HealthStatus
    load_report: float | None


@dataclass(frozen=True, slots=True)
class StartRun:
    """Have the runtime run a request."""

    attempt_id: str
    class_name: str
    body: bytes


@dataclass(frozen=True, slots=True)
class StopRun:
    """Have the runtime stop a run."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class DeliverReply:
    """Hand a run the reply to its call."""

    attempt_id: str
    reply: bytes


@dataclass(frozen=True, slots=True)
class SkipCall:
    """Let a run go on without the call that notice ``pos`` asked for."""

    attempt_id: str
    notice_number: int


@dataclass(frozen=True, slots=True)
class RequestLoadSample:
    """Ask the runtime for its gauges."""

    tag: str


@dataclass(frozen=True, slots=True)
class StartCall:
    """Make a call to the index for a run; give it up after ``budget``. ``again``: it may be made again."""

    attempt_id: str
    body: bytes
    timeout_ms: float
    retryable: bool = False


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Give up the call made for a run; its end is of no interest."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class ScheduleTimer:
    """Send the message back at this time."""

    at_ms: float
    event: TimerExpired | LoadSampleDue | KeyClaimTimedOut


@dataclass(frozen=True, slots=True)
class SetIdleTimeout:
    """Part with connections that carried nothing for so long."""

    timeout_ms: float


@dataclass(frozen=True, slots=True)
class SetRegistration:
    """Be listed as taking work, or as taking none."""

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

    An idempotency record is sent as it is when its turn comes, so that thousands of them wait as references
    and not as bytes.
    """

    message: PeerProcessMessage


@dataclass(frozen=True, slots=True)
class SendHandoverComplete:
    """All keys were told: the other process may begin."""


@dataclass(frozen=True, slots=True)
class ReserveDescriptors:
    """So many of the descriptors are the other process's."""

    count: int


@dataclass(frozen=True, slots=True)
class SetAccepting:
    """Take new connections, or leave them to the other process and part with those there are."""

    accepting: bool


@dataclass(frozen=True, slots=True)
class LogNote:
    """A line for the people on call."""

    text: str


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
    | LogNote
    | SendToPeerProcess
    | SendHandoverComplete
    | SetAccepting
    | ReserveDescriptors
)
