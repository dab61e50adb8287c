"""All that a node knows; only the reducer changes it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from snowthread.admission import interface as api
from snowthread.admission.controller import Controller
from snowthread.admission.interface import RequestClass, Settings
from snowthread.core.effects import Command
from snowthread.core.events import LoadTold, Paced, Recalled, RequestRead, Ticket
from snowthread.core.idempotency import KeyTable, Unknown


class Place(Enum):
    """Where a request stands."""

    HELD = 0
    RUNNING = 1
    ATTACHED = 2


class Side(Enum):
    """Who else is this node."""

    ALONE = 0
    JUDGE = 1  # the older of two processes: decides who has a key
    ASKER = 2  # the newer one: asks before it takes a key


@dataclass(slots=True, eq=False)
class Request:
    """One try that was read. ``ticket`` is None once it is answered or nobody waits."""

    number: int
    uid: str
    class_name: str
    body: bytes
    ticket: Ticket | None
    once: str | None
    prior: int | None
    read_at: float
    kind: RequestClass  # as it was then
    kb: float  # booked while it is held, and the run factor times that while it runs
    content: bytes = b""  # a digest of class and body, where it is keyed
    place: Place = Place.HELD
    link: int = 0  # the runtime link on which its start was sent; 0: not sent yet
    wants: int | None = None  # the notice of the call it waits for
    call: bytes = b""
    calling: bool = False
    told: Command | None = None  # the last command that lets it go on, and when it was given
    told_at: float = 0.0
    asked: int = 0  # the notice of the call that was answered last
    doubted: bool = False  # nothing was heard of it since a link broke that its last command went over
    stopping: bool = False
    followers: list[int] = field(default_factory=list)  # repeats that wait for its result


class ModuleTime:
    """The one place where milliseconds become the module's seconds and back. Its zero lies a second before
    the start: the module takes a time of 0 for none."""

    def __init__(self, start: float) -> None:
        self._zero = start - 1000.0

    def at(self, now: float) -> float:
        """A time as the module's clock has it."""
        return max(0.001, (now - self._zero) / 1000.0)

    @staticmethod
    def span(ms: float) -> float:
        """A length of time in the module's seconds."""
        return ms / 1000.0

    @staticmethod
    def ms(seconds: float) -> float:
        """A length of time of the module in milliseconds."""
        return seconds * 1000.0


@dataclass(slots=True)
class State:
    """A node. The controller comes into being when the runtime is there, or with the first request."""

    settings: Settings
    seed: int
    meters: tuple[str, ...]
    time: ModuleTime
    controller: Controller | None = None
    shares: api.TenantsChanged | None = None  # told before there was a controller
    keys: KeyTable = field(default_factory=KeyTable)
    requests: dict[int, Request] = field(default_factory=dict)
    by_uid: dict[str, Request] = field(default_factory=dict)
    by_ticket: dict[Ticket, Request] = field(default_factory=dict)
    number: int = 0
    link: int = 0  # links to the runtime so far
    linked: bool = False
    lost_at: float = 0.0  # when a link broke last
    waiting: list[Command] = field(default_factory=list)  # commands that wait for a link
    gauges: tuple[float, ...] = ()
    gauges_at: float = float("-inf")
    gauges_for: float = float("-inf")  # the latest timer that gauges were or will be asked for
    asked: int = 0
    gauges_old: int = 0  # questions up to this one were asked when the gauges had another order
    say: float | None = None
    healthy: bool = True
    leaving: bool = False
    gone: dict[str, float] = field(default_factory=dict)  # classes dropped: until when they are still taken
    drained: bool = False  # by the operators, until they take it back
    side: Side = Side.ALONE
    beside: LoadTold | None = None  # what the other process has of what both share
    unknown: Unknown | None = None  # keys of an earlier life
    pace: Paced | None = None  # the limit of a node on its way back
    recalled: Recalled | None = None  # what decisions begin with, until there is a controller
    succeeded: bool = False  # the newer process takes the clients
    # The key that was asked for: for which try, and the requests that wait for the word
    asking: dict[str, tuple[str, list[RequestRead]]] = field(default_factory=dict)

    @property
    def taking(self) -> bool:
        """Should the node be on the list? A process that leaves does not take it off while another stays."""
        return self.healthy and not self.drained and (self.succeeded or not self.leaving)
