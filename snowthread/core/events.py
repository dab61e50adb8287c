"""The events that the reducer handles; the codecs translate each protocol into them.

Timestamps (``..._at_ms``) are Unix times in milliseconds and durations (``..._ms``) are milliseconds, both as
floats.
"""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.admission.learned_state import LearnedState
from snowthread.admission.settings import Outcome, Settings, Tenant

ResponseAddress = tuple[int, int]
"""The destination of a response: the number of the connection and the number of the message on it.

A plain tuple is cheaper than a class; one is created and hashed for each request.
"""


# Requests and health checks.


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A complete request was read, and its syntax was checked."""

    response_address: ResponseAddress
    attempt_id: str
    class_name: str
    body: bytes
    # When the request reached the node's host, as its message states; this may be well before it is read.
    arrived_at_ms: float
    timeout_ms: float | None  # counted from ``arrived_at_ms``; None if the deadline of the class applies
    caller_id: int  # identifies the balancer that sent the request
    memory_kb: float  # memory that the request occupies while it is queued
    rank: float  # rank among the requests of its class, from 0 to 1
    idempotency_key: str | None = None
    partition_key: str = ""
    tenant: str = ""  # id of the tenant; empty unless the node identifies tenants


def with_tenant(request: RequestReceived, tenant: str) -> RequestReceived:
    """Return a copy of the request that belongs to this tenant.

    The fields are passed one by one because ``dataclasses.replace`` takes three times as long.
    """
    return RequestReceived(
        request.response_address,
        request.attempt_id,
        request.class_name,
        request.body,
        request.arrived_at_ms,
        request.timeout_ms,
        request.caller_id,
        request.memory_kb,
        request.rank,
        request.idempotency_key,
        request.partition_key,
        tenant,
    )


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The balancer cancelled a request or closed its connection, so no response is owed any more."""

    response_address: ResponseAddress


@dataclass(frozen=True, slots=True)
class HealthCheckReceived:
    """A health check was read."""

    response_address: ResponseAddress


# The runtime.


@dataclass(frozen=True, slots=True)
class RuntimeConnected:
    """A link to the runtime was established."""

    starts_cold: bool  # whether the runtime reports that it has just started and is still warming up
    runtime_age_ms: float  # time since the runtime started


@dataclass(frozen=True, slots=True)
class RuntimeDisconnected:
    """The link to the runtime was lost."""

    # Commands of which no byte was written. The reducer ignores those that don't concern a run.
    unsent_commands: tuple[object, ...] = ()


@dataclass(frozen=True, slots=True)
class RunCompleted:
    """The runtime reported the end of a run."""

    attempt_id: str
    outcome: Outcome
    duration_ms: float
    result: bytes  # the result of a successful run; not used for other outcomes


@dataclass(frozen=True, slots=True)
class CommandRejected:
    """The runtime rejected a command for a run."""

    attempt_id: str
    is_start: bool  # whether the rejected command is the start of the run, and not a later command


@dataclass(frozen=True, slots=True)
class LoadSampleReceived:
    """A load sample of the runtime was read."""

    tag: str  # the tag of the load sample request, which the runtime echoes
    values: tuple[float, ...]  # the values of the gauges, in the configured order


# Downstream calls.


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A run requested a downstream call and waits for it."""

    attempt_id: str
    notice_number: int  # number of the notice that requests the call; a command to skip the call refers to it
    body: bytes


@dataclass(frozen=True, slots=True)
class CallCompleted:
    """A downstream call to the formula database ended."""

    attempt_id: str
    outcome: Outcome
    duration_ms: float
    reply: bytes = b""  # the body of the reply if the call succeeded


# Timers.


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer of the admission controller expired."""

    label: int  # the label by which the admission controller identifies its timer


@dataclass(frozen=True, slots=True)
class LoadSampleDue:
    """It is time to request the load sample for the next update of the admission controller."""


# Operators and configuration.


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process was told to shut down and will be killed ``time_left_ms`` from now."""

    time_left_ms: float
    notice_age_ms: float = 0.0  # time since the shutdown notice was received


@dataclass(frozen=True, slots=True)
class OperatorCalled:
    """An operator drained the node or resumed it, at this process. Requests are served in either case."""

    drain: bool  # whether to take the node out of the registry; False registers it again
    called_at_ns: int  # when, on the monotonic clock that all processes of the host share


@dataclass(frozen=True, slots=True)
class NameTaken:
    """The registry knows a later process by this node's name."""


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """The configuration was reloaded."""

    settings: Settings
    gauge_names: tuple[str, ...]  # names of the gauges, in the order of the values in a load sample


@dataclass(frozen=True, slots=True)
class TenantsChanged:
    """Tenants were added, changed or removed, or the weight of requests over quota changed."""

    changed: tuple[Tenant, ...] = ()  # tenants that were added or changed
    removed: frozenset[str] = frozenset()  # names of removed tenants
    # Factor on the weight of requests beyond their tenant's quota; None leaves it unchanged.
    over_quota_weight: float | None = None


# Recovery.


@dataclass(frozen=True, slots=True)
class CallPacingChanged:
    """The call quota during recovery changed; 0 restores the configured one.

    Calls beyond the quota wait, and those that can be skipped may be skipped instead.
    """

    call_quota: float = 0.0  # limit of calls in flight, averaged over ``Settings.call_quota_window_s``


@dataclass(frozen=True, slots=True)
class LearnedStateRestored:
    """The learned state of an earlier incarnation was found valid; the controller starts from it."""

    learned_state: LearnedState
    relative_speed: float  # present speed of the runtime's host as a ratio of its speed when warm


# The peer process of a hot restart.


@dataclass(frozen=True, slots=True)
class NoPeerProcessFound:
    """This process looked for a predecessor, and there is none."""


@dataclass(frozen=True, slots=True)
class PeerProcessConnected:
    """The peer process of a hot restart connected."""

    is_predecessor: bool  # whether this process, not the peer, is the older one and decides claims of keys
    stamps_calls: bool = False  # whether the successor understands ``DrainStateReported``; the older one asks


@dataclass(frozen=True, slots=True)
class DrainStateReported:
    """The peer process reported the operator's call that holds there."""

    called_at_ns: int  # when the call was made, on the monotonic clock; 0 if there was none yet
    drained: bool


@dataclass(frozen=True, slots=True)
class DrainStateAcknowledged:
    """The peer process holds the call of this time, or a later one."""

    called_at_ns: int


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The peer process, of an earlier release, reported whether the node is drained."""

    drain: bool


@dataclass(frozen=True, slots=True)
class PeerLoadReported:
    """The peer process reported what it uses of the limits that both processes share."""

    runs: int
    memory_kb: float  # memory booked for the requests of the process
    calls: int  # number of downstream calls in flight
    descriptors: int = 0  # number of file descriptors in use


@dataclass(frozen=True, slots=True)
class SuccessorReady:
    """The successor process now accepts the connections of balancers."""


@dataclass(frozen=True, slots=True)
class PeerProcessExited:
    """The peer process exited, and all its messages were read."""


@dataclass(frozen=True, slots=True)
class KeyReplicated:
    """The peer process reported a key that it owns, or a new expiry of such a key."""

    idempotency_key: str
    attempt_id: str
    expires_at_ms: float
    body_digest: bytes
    completed: bool
    result: bytes | None  # the result of the run; None if there is none or it was dropped


@dataclass(frozen=True, slots=True)
class KeyRunCompleted:
    """The run of an attempt of the peer process ended."""

    attempt_id: str
    result: bytes | None  # the result of the run; None if the run failed


@dataclass(frozen=True, slots=True)
class KeyReleased:
    """An attempt of the peer process released its key because it never ran."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class KeyClaimRequested:
    """The successor process claims an idempotency key for an attempt."""

    idempotency_key: str
    attempt_id: str
    arrived_at_ms: float  # when the attempt reached the node's host
    body_digest: bytes


@dataclass(frozen=True, slots=True)
class KeyClaimDecided:
    """The predecessor process granted or denied a claim of an idempotency key."""

    idempotency_key: str
    attempt_id: str
    granted: bool


@dataclass(frozen=True, slots=True)
class KeyClaimTimedOut:
    """The wait of a request for the decision on its key claim timed out."""

    response_address: ResponseAddress


Event = (
    RequestReceived
    | RequestCancelled
    | HealthCheckReceived
    | RuntimeConnected
    | RuntimeDisconnected
    | RunCompleted
    | CommandRejected
    | LoadSampleReceived
    | CallRequested
    | CallCompleted
    | TimerExpired
    | LoadSampleDue
    | ShutdownRequested
    | OperatorCalled
    | NameTaken
    | SettingsReloaded
    | TenantsChanged
    | CallPacingChanged
    | LearnedStateRestored
    | NoPeerProcessFound
    | PeerProcessConnected
    | DrainStateReported
    | DrainStateAcknowledged
    | DrainRequested
    | PeerLoadReported
    | SuccessorReady
    | PeerProcessExited
    | KeyReplicated
    | KeyRunCompleted
    | KeyReleased
    | KeyClaimRequested
    | KeyClaimDecided
    | KeyClaimTimedOut
)
