"""What can happen to a node. No protocol's names: each peer's codec translates into these.

Times are Unix milliseconds as floats.
"""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.admission import learned_state as recall
from snowthread.admission.interface import Outcome, Settings, Tenant

Ticket = tuple[int, int]
"""Where an answer goes: a connection's number and the number of the message on it."""


@dataclass(frozen=True, slots=True)
class RequestRead:
    """A whole request was read and checked."""

    ticket: Ticket
    uid: str
    class_name: str
    body: bytes
    at: float
    wait: float | None  # from ``at``; None where the site tells no deadlines: the class's holds then
    caller: int
    kb: float
    rank: float
    once: str | None = None
    key: str = ""
    tenant: str = ""  # whose request it is, where tenants are told apart


def of_tenant(m: RequestRead, tenant: str) -> RequestRead:
    """The same request as this tenant's. Written out: dataclasses.replace takes three times as long."""
    return RequestRead(m.ticket, m.uid, m.class_name, m.body, m.at, m.wait, m.caller, m.kb, m.rank, m.once,
                       m.key, tenant)


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """Nobody waits for this answer any more: told so, or the connection is gone."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class HealthAsked:
    """A health check was read."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class RuntimeUp:
    """The link to the runtime stands. Cold: it started so; ``age``: so long ago."""

    cold: bool
    age: float


@dataclass(frozen=True, slots=True)
class RuntimeLost:
    """The link broke; of ``unsent`` commands not one byte was written. ``heard``: when the runtime was heard
    last (ms), where the link was given up for its silence: it may have been broken since then."""

    unsent: tuple[object, ...] = ()
    heard: float | None = None


@dataclass(frozen=True, slots=True)
class RunOver:
    """The runtime says how a run ended."""

    uid: str
    outcome: Outcome
    took: float
    result: bytes


@dataclass(frozen=True, slots=True)
class CommandRefused:
    """The runtime did not carry out a command about this run; ``starting``: it was the one to start it."""

    uid: str
    starting: bool


@dataclass(frozen=True, slots=True)
class CallWanted:
    """A run waits for a call with this body; ``pos`` names the notice that said so."""

    uid: str
    pos: int
    body: bytes


@dataclass(frozen=True, slots=True)
class GaugesRead:
    """The runtime's gauges, in the order of the settings."""

    tag: str
    values: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class CallBack:
    """A call to the index came to its end."""

    uid: str
    outcome: Outcome
    took: float
    reply: bytes = b""


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer of the decisions is due."""

    label: int


@dataclass(frozen=True, slots=True)
class GaugesDue:
    """Gauges should be asked for, ahead of a timer."""


@dataclass(frozen=True, slots=True)
class LeaveAsked:
    """The process will be killed this many milliseconds from now; the notice came ``since`` ms ago."""

    left: float
    since: float = 0.0


@dataclass(frozen=True, slots=True)
class DrainAsked:
    """The operators want the node off the list, or back on it. It serves all that comes, either way."""

    drain: bool


@dataclass(frozen=True, slots=True)
class SettingsRead:
    """Other settings, and the gauges' names in their order."""

    settings: Settings
    meters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class BesideUp:
    """Another process of this node is there. ``judge``: this one is the older and decides who has a key."""

    judge: bool


@dataclass(frozen=True, slots=True)
class LoadTold:
    """What the other process has of what both share: runs, memory booked (KB), calls made, descriptors."""

    runs: int
    memory_kb: float
    calls: int
    descriptors: int = 0


@dataclass(frozen=True, slots=True)
class BesideTakes:
    """The newer process takes the clients from now on."""


@dataclass(frozen=True, slots=True)
class BesideGone:
    """The other process is gone, with all it said read."""


@dataclass(frozen=True, slots=True)
class KeyTold:
    """The other process holds a key, or holds it until another time."""

    once: str
    uid: str
    until: float
    content: bytes
    over: bool
    result: bytes | None


@dataclass(frozen=True, slots=True)
class KeyOver:
    """The run of the other process's try is over, with a result or without."""

    uid: str
    result: bytes | None


@dataclass(frozen=True, slots=True)
class KeyFreed:
    """The other process's try holds its key no more: it never ran."""

    uid: str


@dataclass(frozen=True, slots=True)
class KeyAsked:
    """The newer process wants a key for a try that came ``at``."""

    once: str
    uid: str
    at: float
    content: bytes


@dataclass(frozen=True, slots=True)
class KeyJudged:
    """The older process's word on that."""

    once: str
    uid: str
    granted: bool


@dataclass(frozen=True, slots=True)
class KeyLate:
    """So long a request has waited for that word, and no longer."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class SharesChanged:
    """Tenants were added, changed or removed; ``over_share_worth`` of traffic over a share, or None."""

    changed: tuple[Tenant, ...] = ()
    removed: frozenset[str] = frozenset()
    over_share_worth: float | None = None


@dataclass(frozen=True, slots=True)
class Paced:
    """A node on its way back: the module may have so many calls in hand from now on, some of which wait for
    their turn outside of it. 0: as the settings say."""

    calls: float = 0.0


@dataclass(frozen=True, slots=True)
class Recalled:
    """What an earlier life of this node learned may be trusted: decisions begin with it."""

    learned: recall.Recalled
    speed: float  # of the machine, of its warm speed


Message = (RequestRead | CallerLeft | HealthAsked | RuntimeUp | RuntimeLost | RunOver | CommandRefused
           | CallWanted | GaugesRead | CallBack | TimerDue | GaugesDue | LeaveAsked | DrainAsked
           | SharesChanged | SettingsRead | BesideUp | LoadTold | BesideTakes | BesideGone | KeyTold
           | KeyOver | KeyFreed | KeyAsked | KeyJudged | KeyLate | Paced | Recalled)
