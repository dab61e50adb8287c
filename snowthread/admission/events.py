"""Events: what the host tells a controller about requests, runs, calls, timers, shutdown and settings.

Types only. Times are seconds, memory is kilobytes. Request ids are integers that the host chooses and never
reuses.
"""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.admission.settings import Outcome, Settings, Tenant


@dataclass(frozen=True, slots=True)
class Started:
    """The node has started. Sent once, before any other event."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read. The controller queues it until it is started or answered.

    ``time_left_s`` is the time until the caller's deadline and ``work_hint_s`` the caller's estimate of
    the core time, if the caller sends them. ``unread_s`` is how long the request waited unread, and
    ``original_id`` is the attempt that it repeats, if it is a retry. No rule uses ``partition_key``,
    ``rank`` and ``caller_id``, which are part of the host's interface. Only the simulator sets
    ``is_retry``.
    """

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
    """The base class of events about a request that has arrived."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RequestCancelled(RequestEvent):
    """The caller has cancelled the request or disconnected: no answer is owed any more."""


@dataclass(frozen=True, slots=True)
class CallNeeded(RequestEvent):
    """A run needs the result of a call to its dependency."""


@dataclass(frozen=True, slots=True)
class CallFinished(RequestEvent):
    """A downstream call has ended.

    No rule uses ``duration_s``, which is part of the host's interface.
    """

    outcome: Outcome
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RunFinished(RequestEvent):
    """A run has ended, or a retry that awaited its original was answered.

    No rule uses ``duration_s``, which is part of the host's interface.
    """

    outcome: Outcome
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer has fired; the event carries the host's load measurements (None: not measured).

    ``core_utilization`` is the utilization of the cores, 0 to 1, ``core_demand`` the number of runs that
    want a core, and ``connections`` the number of open connections. No rule uses ``memory_utilization``,
    which is part of the host's interface.
    """

    label: int
    core_utilization: float | None = None
    core_demand: float | None = None
    memory_utilization: float | None = None
    connections: float | None = None


@dataclass(frozen=True, slots=True)
class RunIndeterminate(RequestEvent):
    """The host lost sight of a run: its start, or the result of its call, may not have been delivered.

    ``at_call`` says whether it is the result of a call.
    """

    at_call: bool = False


@dataclass(frozen=True, slots=True)
class RunCountUncertain:
    """More runs may be active at the runtime than are counted.

    A link to the runtime was lost, this process has just started, or a peer process exited.
    """


@dataclass(frozen=True, slots=True)
class ShutdownNotice:
    """The process will end in ``time_left_s``; the notice arrived ``received_ago_s`` ago."""

    time_left_s: float
    received_ago_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TenantsChanged:
    """Tenants have changed.

    ``changed`` holds tenants that were added or changed, ``removed`` the names of removed ones.
    ``over_quota_weight`` is the factor on the weight of requests beyond their tenant's quota (None:
    unchanged).
    """

    changed: tuple[Tenant, ...] = ()
    removed: frozenset[str] = frozenset()
    over_quota_weight: float | None = None


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The settings, apart from the tenants, have changed.

    A class keeps its position in the list as long as a request of it may be open; only then may another
    class take the position.
    """

    settings: Settings


Event = (
    Started
    | RequestArrived
    | RequestCancelled
    | CallNeeded
    | CallFinished
    | RunFinished
    | TimerFired
    | RunIndeterminate
    | RunCountUncertain
    | ShutdownNotice
    | TenantsChanged
    | SettingsChanged
)
