"""Events: what the host notifies a controller of: requests, runs and calls, timers, notices and settings.

Types only. Times are seconds, memory is kilobytes; request ids are integers that the host chooses and never
uses twice.
"""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.admission.settings import Outcome, Settings, Tenant


@dataclass(frozen=True, slots=True)
class Started:
    """The node has started; sent once, before anything else."""


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request was read; it is queued until the controller answers.

    ``time_left_s`` is the caller's deadline and ``work_hint_s`` its estimate of the core time, where it sends
    them; ``unread_s`` is how long the request lay unread; ``original_id`` is the attempt that it repeats.
    ``partition_key``, ``rank`` and ``caller_id``: not used by a rule; part of the host's interface.
    ``is_retry`` is set by the simulator only.
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
    """What happens to a request that has arrived."""

    request_id: int


@dataclass(frozen=True, slots=True)
class RequestCancelled(RequestEvent):
    """The caller has cancelled it, or is gone: no answer is owed any more."""


@dataclass(frozen=True, slots=True)
class CallNeeded(RequestEvent):
    """A run needs a call to its dependency."""


@dataclass(frozen=True, slots=True)
class CallFinished(RequestEvent):
    """A downstream call has ended.

    ``duration_s``: not used by a rule; part of the host's interface.
    """

    outcome: Outcome
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RunFinished(RequestEvent):
    """A run has ended, or a retry that awaited its original was answered.

    ``duration_s``: not used by a rule; part of the host's interface.
    """

    outcome: Outcome
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer fired; with it come the load figures that the host has (None: not measured).

    ``memory_utilization``: not used by a rule; part of the host's interface.
    """

    label: int
    core_utilization: float | None = None
    core_demand: float | None = None
    memory_utilization: float | None = None
    connections: float | None = None


@dataclass(frozen=True, slots=True)
class RunIndeterminate(RequestEvent):
    """The host lost sight of a run: its start, or the reply to its call, may not have been delivered."""

    at_call: bool = False


@dataclass(frozen=True, slots=True)
class RunCountUncertain:
    """The host lost its link to the machine: for a while more may run there than is counted."""


@dataclass(frozen=True, slots=True)
class ShutdownNotice:
    """The node will be stopped in ``time_left_s``; the notice itself came ``received_ago_s`` ago."""

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
