"""What the host tells a controller: requests, ends of runs and calls, timers, notices and new settings.

Types only. Times are seconds, memory is kilobytes; request ids are integers that the host chooses and never
uses twice.
"""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.admission.settings import Outcome, Settings, Tenant


@dataclass(frozen=True, slots=True)
class Started:
    """The worker starts; sent once, before anything else."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read and is now held."""

    request_id: int
    class_name: str
    memory_kb: float = 0.0
    tenant: str = ""
    partition_key: str = ""
    time_left_s: float | None = None
    work_hint_s: float | None = None
    rank: float | None = None
    is_retry: bool = False
    caller_id: int = 0
    unread_s: float = 0.0
    original_id: int | None = None


@dataclass(frozen=True, slots=True)
class RequestEvent:
    """What happens to a request that has arrived."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RequestAbandoned(RequestEvent):
    """Nobody waits for this request any more; no answer is owed."""


@dataclass(frozen=True, slots=True)
class CallNeeded(RequestEvent):
    """A run stands at a call to what lies below."""


@dataclass(frozen=True, slots=True)
class CallFinished(RequestEvent):
    """A call came back."""

    outcome: Outcome
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RunFinished(RequestEvent):
    """A run or an attached request is over."""

    outcome: Outcome
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer fired; the gauges that the host has come with it (None: not measured)."""

    label: int
    core_utilization: float | None = None
    core_demand: float | None = None
    memory_utilization: float | None = None
    connections: float | None = None


@dataclass(frozen=True, slots=True)
class RunIndeterminate(RequestEvent):
    """The host lost sight of a run: its start, or the reply to its call, may never have come through."""

    at_call: bool = False


@dataclass(frozen=True, slots=True)
class ShutdownNotice:
    """The worker will be stopped this long from now. The notice itself came ``since_s`` ago."""

    time_left_s: float
    received_ago_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TenantsChanged:
    """Other tenants than before.

    ``changed`` were added or changed, ``removed`` are names; ``over_quota_weight`` is the weight of requests
    beyond their tenant's quota (None: as before).
    """

    changed: tuple[Tenant, ...] = ()
    removed: frozenset[str] = frozenset()
    over_quota_weight: float | None = None


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings, tenants apart.

    A class has its place among them as long as a request of it may be open; only then may another take it.
    """

    settings: Settings


Event = (
    Started
    | RequestArrived
    | RequestAbandoned
    | CallNeeded
    | CallFinished
    | RunFinished
    | TimerFired
    | RunIndeterminate
    | ShutdownNotice
    | TenantsChanged
    | SettingsChanged
)
