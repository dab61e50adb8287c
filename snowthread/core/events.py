"""What can happen to a node, independent of any protocol: the codecs translate into these events.

Points in time (``..._at_ms``) are float Unix milliseconds, lengths of time (``..._ms``) are float
milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.admission.learned_state import LearnedState
from snowthread.admission.settings import Outcome, Settings, Tenant

ResponseAddress = tuple[int, int]
"""Where a response goes: the number of the connection, and of the message on it.

A plain tuple and no class, because one is made and hashed for each request.
"""


# Requests and health checks.


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A complete request was read and validated."""

    response_address: ResponseAddress
    attempt_id: str
    class_name: str
    body: bytes
    arrived_at_ms: float  # when it reached the machine; it is read later, where the node is busy
    timeout_ms: float | None  # from ``arrived_at_ms``; None: the deadline of the class applies
    caller_id: int  # of the balancer
    memory_kb: float  # that it occupies while it is queued
    rank: float  # among the requests of its class, 0 to 1
    idempotency_key: str | None = None
    partition_key: str = ""
    tenant: str = ""  # where tenants are identified


def with_tenant(request: RequestReceived, tenant: str) -> RequestReceived:
    """Return the same request with this tenant.

    The fields are written out because dataclasses.replace takes three times as long.
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
    """No answer is owed any more: the client cancelled the request, or its connection closed."""

    response_address: ResponseAddress


@dataclass(frozen=True, slots=True)
class HealthCheckReceived:
    """A health check was read."""

    response_address: ResponseAddress


# The runtime.


@dataclass(frozen=True, slots=True)
class RuntimeConnected:
    """A link to the runtime was established."""

    starts_cold: bool  # the runtime is warming up
    runtime_age_ms: float  # since the runtime started


@dataclass(frozen=True, slots=True)
class RuntimeDisconnected:
    """The link to the runtime broke."""

    unsent_commands: tuple[object, ...] = ()  # no byte of them was written; only those for runs matter


@dataclass(frozen=True, slots=True)
class RunCompleted:
    """The runtime reported the end of a run."""

    attempt_id: str
    outcome: Outcome
    duration_ms: float
    result: bytes  # of a run that succeeded


@dataclass(frozen=True, slots=True)
class CommandRejected:
    """The runtime rejected a command for a run."""

    attempt_id: str
    is_start: bool  # else a later command


@dataclass(frozen=True, slots=True)
class LoadSampleReceived:
    """A load sample of the runtime: its gauges, in the order of the configuration."""

    tag: str  # of the request that it answers
    values: tuple[float, ...]


# Downstream calls.


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A run waits for a downstream call."""

    attempt_id: str
    notice_number: int  # of the notice that requests the call: a command to skip the call names it
    body: bytes


@dataclass(frozen=True, slots=True)
class CallCompleted:
    """A call to the formula database ended."""

    attempt_id: str
    outcome: Outcome
    duration_ms: float
    reply: bytes = b""  # to a call that succeeded


# Timers.


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer of the admission controller is due."""

    label: int  # which one, as the controller labelled it


@dataclass(frozen=True, slots=True)
class LoadSampleDue:
    """A load sample should be requested, ahead of a timer."""


# Operators and configuration.


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process will be killed ``time_left_ms`` from now."""

    time_left_ms: float
    notice_age_ms: float = 0.0  # how long ago the notice was received


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The operators drain the node, or put it back in the registry. It serves requests either way."""

    drain: bool


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """The configuration was reloaded: the settings, and the names of the gauges in their order."""

    settings: Settings
    gauge_names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TenantQuotasChanged:
    """Tenants were added, changed or removed."""

    changed: tuple[Tenant, ...] = ()
    removed: frozenset[str] = frozenset()
    over_quota_weight: float | None = None  # priority factor of requests over their quota; None: as before


# Recovery.


@dataclass(frozen=True, slots=True)
class CallPacingChanged:
    """The limit of concurrent calls during recovery changed; some of the calls wait to be sent."""

    concurrent_calls: float = 0.0  # 0: as the settings say


@dataclass(frozen=True, slots=True)
class LearnedStateRestored:
    """What an earlier incarnation of this node learned is valid: the controller begins with it."""

    learned_state: LearnedState
    relative_speed: float  # of the machine now, as a ratio to its warm speed


# The peer process of a hot restart.


@dataclass(frozen=True, slots=True)
class PeerProcessConnected:
    """The peer process of a hot restart connected."""

    is_predecessor: bool  # whether this process is the older one, which decides claims of keys


@dataclass(frozen=True, slots=True)
class PeerLoadReported:
    """What the peer process uses of the limits that both share."""

    runs: int
    memory_kb: float  # booked
    calls: int  # in flight
    descriptors: int = 0  # file descriptors in use


@dataclass(frozen=True, slots=True)
class SuccessorReady:
    """The successor accepts the connections of clients from now on."""


@dataclass(frozen=True, slots=True)
class PeerProcessExited:
    """The peer process exited; all its messages were read."""


@dataclass(frozen=True, slots=True)
class KeyReplicated:
    """The peer process owns a key, or owns it until another time than before."""

    idempotency_key: str
    attempt_id: str
    expires_at_ms: float
    body_digest: bytes
    completed: bool
    result: bytes | None  # None: there is none, or it was dropped


@dataclass(frozen=True, slots=True)
class KeyRunCompleted:
    """The run of an attempt of the peer process ended."""

    attempt_id: str
    result: bytes | None  # None: it failed


@dataclass(frozen=True, slots=True)
class KeyReleased:
    """An attempt of the peer process released its key: it never ran."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class KeyClaimRequested:
    """The successor claims a key for an attempt."""

    idempotency_key: str
    attempt_id: str
    arrived_at_ms: float  # when the request of this attempt reached the machine
    body_digest: bytes


@dataclass(frozen=True, slots=True)
class KeyClaimDecided:
    """The predecessor decided on a claim."""

    idempotency_key: str
    attempt_id: str
    granted: bool


@dataclass(frozen=True, slots=True)
class KeyClaimTimedOut:
    """A request has waited too long for the decision on its key."""

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
    | DrainRequested
    | SettingsReloaded
    | TenantQuotasChanged
    | CallPacingChanged
    | LearnedStateRestored
    | PeerProcessConnected
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
