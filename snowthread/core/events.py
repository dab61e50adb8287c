"""What can happen to a node. No protocol's names: each peer's codec translates into these.

Times are Unix milliseconds as floats.
"""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.admission.learned_state import LearnedState
from snowthread.admission.settings import Outcome, Settings, Tenant

ResponseAddress = tuple[int, int]
"""Where an answer goes: a connection's number and the number of the message on it."""


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A whole request was read and checked."""

    response_address: ResponseAddress
    attempt_id: str
    class_name: str
    body: bytes
    sent_at_ms: float
    timeout_ms: float | None  # from ``at``; None where the site tells no deadlines: the class's holds then
    caller_id: int
    memory_kb: float
    rank: float
    idempotency_key: str | None = None
    partition_key: str = ""
    tenant: str = ""  # whose request it is, where tenants are told apart


def with_tenant(m: RequestReceived, tenant: str) -> RequestReceived:
    """The same request as this tenant's. Written out: dataclasses.replace takes three times as long."""
    return RequestReceived(
        m.response_address,
        m.attempt_id,
        m.class_name,
        m.body,
        m.sent_at_ms,
        m.timeout_ms,
        m.caller_id,
        m.memory_kb,
        m.rank,
        m.idempotency_key,
        m.partition_key,
        tenant,
    )


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """Nobody waits for this answer any more: told so, or the connection is gone."""

    response_address: ResponseAddress


@dataclass(frozen=True, slots=True)
class HealthCheckReceived:
    """A health check was read."""

    response_address: ResponseAddress


@dataclass(frozen=True, slots=True)
class RuntimeConnected:
    """The link to the runtime stands. Cold: it started so; ``age``: so long ago."""

    starts_cold: bool
    age_ms: float


@dataclass(frozen=True, slots=True)
class RuntimeDisconnected:
    """The link broke; of ``unsent`` commands not one byte was written. ``heard``: when the runtime was heard
    last (ms), where the link was given up for its silence: it may have been broken since then."""

    unsent_commands: tuple[object, ...] = ()
    last_heard_at_ms: float | None = None


@dataclass(frozen=True, slots=True)
class RunCompleted:
    """The runtime says how a run ended."""

    attempt_id: str
    outcome: Outcome
    duration_ms: float
    result: bytes


@dataclass(frozen=True, slots=True)
class CommandRejected:
    """The runtime did not carry out a command about this run; ``starting``: it was the one to start it."""

    attempt_id: str
    is_start: bool


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A run waits for a call with this body; ``pos`` names the notice that said so."""

    attempt_id: str
    notice_number: int
    body: bytes


@dataclass(frozen=True, slots=True)
class LoadSampleReceived:
    """The runtime's gauges, in the order of the settings."""

    tag: str
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class CallCompleted:
    """A call to the index came to its end."""

    attempt_id: str
    outcome: Outcome
    duration_ms: float
    reply: bytes = b""


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer of the decisions is due."""

    label: int


@dataclass(frozen=True, slots=True)
class LoadSampleDue:
    """Gauges should be asked for, ahead of a timer."""


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process will be killed this many milliseconds from now; the notice came ``since`` ms ago."""

    time_left_ms: float
    received_ago_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The operators want the node off the list, or back on it. It serves all that comes, either way."""

    drain: bool


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """Other settings, and the gauges' names in their order."""

    settings: Settings
    gauge_names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PeerProcessConnected:
    """Another process of this node is there. ``judge``: this one is the older and decides who has a key."""

    is_predecessor: bool


@dataclass(frozen=True, slots=True)
class PeerLoadReported:
    """What the other process has of what both share: runs, memory booked (KB), calls made, descriptors."""

    runs: int
    memory_kb: float
    calls: int
    descriptors: int = 0


@dataclass(frozen=True, slots=True)
class SuccessorReady:
    """The newer process takes the clients from now on."""


@dataclass(frozen=True, slots=True)
class PeerProcessExited:
    """The other process is gone, with all it said read."""


@dataclass(frozen=True, slots=True)
class KeyReplicated:
    """The other process holds a key, or holds it until another time."""

    idempotency_key: str
    attempt_id: str
    expires_at_ms: float
    body_digest: bytes
    completed: bool
    result: bytes | None


@dataclass(frozen=True, slots=True)
class KeyRunCompleted:
    """The run of the other process's try is over, with a result or without."""

    attempt_id: str
    result: bytes | None


@dataclass(frozen=True, slots=True)
class KeyReleased:
    """The other process's try holds its key no more: it never ran."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class KeyClaimRequested:
    """The newer process wants a key for a try that came ``at``."""

    idempotency_key: str
    attempt_id: str
    sent_at_ms: float
    body_digest: bytes


@dataclass(frozen=True, slots=True)
class KeyClaimDecided:
    """The older process's word on that."""

    idempotency_key: str
    attempt_id: str
    granted: bool


@dataclass(frozen=True, slots=True)
class KeyClaimTimedOut:
    """So long a request has waited for that word, and no longer."""

    response_address: ResponseAddress


@dataclass(frozen=True, slots=True)
class TenantQuotasChanged:
    """Tenants were added, changed or removed; ``over_share_worth`` of traffic over a share, or None."""

    changed: tuple[Tenant, ...] = ()
    removed: frozenset[str] = frozenset()
    over_quota_weight: float | None = None


@dataclass(frozen=True, slots=True)
class CallPacingChanged:
    """A node on its way back: the module may have so many calls in hand from now on, some of which wait for
    their turn outside of it. 0: as the settings say."""

    concurrent_calls: float = 0.0


@dataclass(frozen=True, slots=True)
class LearnedStateRestored:
    """What an earlier life of this node learned may be trusted: decisions begin with it."""

    learned_state: LearnedState
    relative_speed: float  # of the machine, of its warm speed


Event = (
    RequestReceived
    | RequestCancelled
    | HealthCheckReceived
    | RuntimeConnected
    | RuntimeDisconnected
    | RunCompleted
    | CommandRejected
    | CallRequested
    | LoadSampleReceived
    | CallCompleted
    | TimerExpired
    | LoadSampleDue
    | ShutdownRequested
    | DrainRequested
    | TenantQuotasChanged
    | SettingsReloaded
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
    | CallPacingChanged
    | LearnedStateRestored
)
