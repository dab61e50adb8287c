"""What goes into and comes out of a controller: settings, events and actions.

Types only; every rule and every number that decides something is in
:mod:`snowthread.admission.controller`. Times are seconds, memory is kilobytes, request ids are integers that
the host chooses and never uses twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Outcome(Enum):
    """How a run or a call ended."""

    SUCCESS = "success"
    FAILURE = "failure"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    WITHDRAWN = "withdrawn"
    VOID = "void"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that nothing was begun."""
        return self in (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.VOID)


class Preemption(Enum):
    """What the host can do to running work."""

    NONE = "none"
    DROP = "drop"
    PAUSE = "pause"


class Signal(Enum):
    """What callers make of the published value."""

    NONE = "none"
    LEVEL = "level"
    CREDIT = "credit"
    WEIGHT = "weight"


class Below(Enum):
    """What requests call while they run."""

    NONE = "none"
    SHARED = "shared"
    TIER = "tier"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests and what its answers are worth."""

    name: str
    goal_s: float
    deadline_s: float
    effect: Effect = Effect.SAFE
    worth: float = 1.0
    late_value: float = 0.0
    window_s: float = 0.0
    aim_stretch: float = 0.0
    may_call: bool = False
    skip_worth: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the request rate, over the whole fleet, inside its share (0: no quota). Barred: its new
    requests are turned away; ``classes``: only these are taken, where any are named."""

    name: str
    quota_per_s: float = 0.0
    barred: bool = False
    classes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Settings:
    """What a worker is told at its start. Defaults mean 'the site does not have this'."""

    classes: tuple[RequestClass, ...]
    cores: int
    memory_kb: float
    tenants: tuple[Tenant, ...] = ()
    run_factor: float = 1.0
    key_kb: float = 0.0
    cold: bool = False
    cold_share: float = 1.0
    ramp_s: float = 0.0
    fall_multiple: float = 3.0
    overload_for_s: float = 2.0
    drain_grace_s: float = 1.0
    preemption: Preemption = Preemption.NONE
    passes_deadline: bool = False
    marks_retry: bool = False
    signal: Signal = Signal.NONE
    signal_heard_s: float = 0.0
    upstreams: int = 1
    peers: int = 1
    below: Below = Below.NONE
    calls_share: float = 0.0
    calls_over_s: float = 0.0
    linger_s: float = 0.0
    retry_after: bool = False
    max_retry_after_s: float = 0.0
    fresh_s: float = 0.0
    idle_s: float = 0.0
    value_by_work: bool = False
    over_share_worth: float = 1.0
    deep_checks: bool = False


# Events


@dataclass(frozen=True, slots=True)
class Started:
    """The worker starts; sent once, before anything else."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request was read and is now held."""

    request: int
    class_name: str
    held_kb: float = 0.0
    tenant: str = ""
    key: str = ""
    left_s: float | None = None
    work_hint_s: float | None = None
    rank: float | None = None
    is_retry: bool = False
    caller: int = 0
    backlog_s: float = 0.0
    prior: int | None = None


@dataclass(frozen=True, slots=True)
class CallerGone:
    """Nobody waits for this request any more; no answer is owed."""

    request: int


@dataclass(frozen=True, slots=True)
class AtCall:
    """A run stands at a call to what lies below."""

    request: int


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call came back."""

    request: int
    outcome: Outcome
    took_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RunEnded:
    """A run or an attached request is over."""

    request: int
    outcome: Outcome
    took_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer fired; the gauges that the host has come with it (None: not measured)."""

    label: int
    core_use: float | None = None
    on_cores: float | None = None
    memory_share: float | None = None
    connections: float | None = None


@dataclass(frozen=True, slots=True)
class RunDoubted:
    """The host lost sight of a run: its start, or the reply to its call, may never have come through."""

    request: int
    at_call: bool = False


@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """The worker will be stopped this long from now. The notice itself came ``since_s`` ago."""

    left_s: float
    since_s: float = 0.0


@dataclass(frozen=True, slots=True)
class TenantsChanged:
    """Other tenants than before: those added or changed, the names of those removed, and what traffic over a
    share is worth from now on (None: as before)."""

    changed: tuple[Tenant, ...] = ()
    removed: frozenset[str] = frozenset()
    over_share_worth: float | None = None


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings, tenants apart. A class has its place among them as long as anything of it may be open;
    only then may another take it."""

    settings: Settings


Event = (Started | Arrival | CallerGone | AtCall | CallEnded | RunEnded | TimerFired | RunDoubted
         | LeaveNotice | TenantsChanged | SettingsChanged)


# Actions


@dataclass(frozen=True, slots=True)
class Run:
    """Start a held request or take up a paused one."""

    request: int


@dataclass(frozen=True, slots=True)
class KeepKey:
    """Remember the request's key from now on."""

    request: int
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class ForgetKey:
    """Drop the request's key."""

    request: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away, it never ran (or was safe to repeat)."""

    request: int
    hold_off_s: float = 0.0
    last: bool = False


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, no promise."""

    request: int


@dataclass(frozen=True, slots=True)
class Call:
    """Make the call a run stands at."""

    request: int
    give_up_s: float


@dataclass(frozen=True, slots=True)
class SkipCall:
    """Go on without the call."""

    request: int


@dataclass(frozen=True, slots=True)
class Preempt:
    """Stop running work."""

    request: int


@dataclass(frozen=True, slots=True)
class Attach:
    """Serve a held request from the result of the one it repeats."""

    request: int


@dataclass(frozen=True, slots=True)
class Publish:
    """The value sent with every answer from now on."""

    value: float


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close connections idle this long (0: the host's default)."""

    after_s: float


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a :class:`TimerFired` this long from now."""

    after_s: float
    label: int


@dataclass(frozen=True, slots=True)
class SetHealth:
    """The answer of health checks from now on."""

    good: bool
    shallow: bool = True


@dataclass(frozen=True, slots=True)
class Report:
    """A line for the people on call."""

    text: str


Action = (Run | KeepKey | ForgetKey | Refuse | Fail | Call | SkipCall | Preempt | Attach | Publish
          | CloseIdle | SetTimer | SetHealth | Report)
