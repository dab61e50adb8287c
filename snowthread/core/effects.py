"""What the reducer asks the outside to do. No protocol's names; times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.core.events import (
    DrainAsked,
    GaugesDue,
    KeyAsked,
    KeyFreed,
    KeyJudged,
    KeyLate,
    KeyOver,
    LoadTold,
    Ticket,
    TimerDue,
)
from snowthread.core.idempotency import Key


@dataclass(frozen=True, slots=True)
class Served:
    """The result of a run, unchanged."""

    result: bytes


@dataclass(frozen=True, slots=True)
class Refused:
    """Turned away: this try never ran."""

    after: float = 0.0
    last: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """No promise."""


@dataclass(frozen=True, slots=True)
class Healthy:
    """The answer of a health check."""

    good: bool


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer to what was read; ``say`` is the free value, None before there is one."""

    ticket: Ticket
    answer: Served | Refused | Failed | Healthy
    say: float | None


@dataclass(frozen=True, slots=True)
class StartRun:
    """Have the runtime run a request."""

    uid: str
    class_name: str
    body: bytes


@dataclass(frozen=True, slots=True)
class StopRun:
    """Have the runtime stop a run."""

    uid: str


@dataclass(frozen=True, slots=True)
class GiveReply:
    """Hand a run the reply to its call."""

    uid: str
    reply: bytes


@dataclass(frozen=True, slots=True)
class OmitCall:
    """Let a run go on without the call that notice ``pos`` asked for."""

    uid: str
    pos: int


@dataclass(frozen=True, slots=True)
class AskGauges:
    """Ask the runtime for its gauges."""

    tag: str


@dataclass(frozen=True, slots=True)
class MakeCall:
    """Make a call to the index for a run; give it up after ``budget``. ``again``: it may be made again."""

    uid: str
    body: bytes
    budget: float
    again: bool = False


@dataclass(frozen=True, slots=True)
class DropCall:
    """Give up the call made for a run; its end is of no interest."""

    uid: str


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Send the message back at this time."""

    at: float
    message: TimerDue | GaugesDue | KeyLate


@dataclass(frozen=True, slots=True)
class CloseIdleAfter:
    """Part with connections that carried nothing for so long."""

    after: float


@dataclass(frozen=True, slots=True)
class Announce:
    """Be listed as taking work, or as taking none."""

    taking: bool


@dataclass(frozen=True, slots=True)
class TellBeside:
    """Tell the other process of this node. A key is told as it stands when its turn comes, so that thousands
    of them wait as references, not as bytes."""

    word: Key | KeyOver | KeyFreed | KeyAsked | KeyJudged | DrainAsked | LoadTold


@dataclass(frozen=True, slots=True)
class AllTold:
    """All keys were told: the other process may begin."""


@dataclass(frozen=True, slots=True)
class Room:
    """So many of the descriptors are the other process's."""

    taken: int


@dataclass(frozen=True, slots=True)
class Door:
    """Take new connections, or leave them to the other process and part with those there are."""

    open: bool


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the people on call."""

    text: str


Command = StartRun | StopRun | GiveReply | OmitCall
Effect = (Answer | Command | AskGauges | MakeCall | DropCall | WakeAt | CloseIdleAfter | Announce | Note
          | TellBeside | AllTold | Door | Room)
