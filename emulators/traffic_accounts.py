"""What became of the traffic of a fleet, counted by the second in which clients sent their requests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from emulators.traffic_plan import RequestClass, TrafficPlan

LATE_TOLERANCE_MS = 110.0  # after a deadline: 60 of the rules for the answer, and 50 for its way
# Around a node's death: the lab reports it, and may be delayed itself; a stop also lasts.
DOWN_TOLERANCE_MS = 400.0


class Outcome(StrEnum):
    """What became of a client's request; the values are keys of the report."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request: its attempts, and what became of it."""

    request_class: RequestClass
    key: str  # the idempotency key; empty: none
    sent_ms: float
    source: str  # the address of the balancer that took it
    foreign: bool = False  # from another site's client
    attempts: int = 0  # without those of the client's repeat
    sticky_node: str = ""  # where an attempt with a key may have run: no other node may run it
    nodes_tried: list[str] = field(default_factory=list)
    value: float = 0.0  # of the best answer
    outcome: Outcome | None = None

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome; the first one stays."""
        if self.outcome is None:
            self.outcome = outcome


class Attempt(NamedTuple):
    """One request to a node for a client's request."""

    request: ClientRequest
    node: str
    deadline_ms: float


class Unanswered(NamedTuple):
    """An attempt without an answer: when it was sent, and when it was given up or due."""

    node: str
    sent_ms: float
    ended_ms: float


class Accounts:
    """The requests of all clients, and counts of their attempts."""

    def __init__(self, plan: TrafficPlan) -> None:
        """Begin with nothing; ``begin_ms`` is set when the traffic begins."""
        self._plan = plan
        self.begin_ms = 0.0
        self.requests: list[ClientRequest] = []
        self.counts: Counter[str] = Counter()  # of attempts; its keys are those of the report
        self.connections_lost: list[Unanswered] = []
        self._down_ms: dict[str, list[float]] = {name: [] for name in plan.nodes}

    def note_down(self, node: str, now: float) -> None:
        """Note that a node was killed, stopped or cut off: what is open there may stay without an answer."""
        self._down_ms[node].append(now)

    def is_late(self, attempt: Attempt, sent_ms: float, now: float) -> bool:
        """Return whether an answer now is late, and its node was not down meanwhile."""
        if now <= attempt.deadline_ms + LATE_TOLERANCE_MS:
            return False
        return not self._was_down(Unanswered(attempt.node, sent_ms, now))

    def _was_down(self, attempt: Unanswered) -> bool:
        begin_ms = attempt.sent_ms - DOWN_TOLERANCE_MS
        end_ms = attempt.ended_ms + DOWN_TOLERANCE_MS
        return any(begin_ms <= down_ms <= end_ms for down_ms in self._down_ms[attempt.node])

    def report(self, overdue: Iterable[Unanswered]) -> dict[str, Any]:
        """Return the accounts; an attempt without an answer is lost unless its node went down.

        The keys are read by :mod:`snowthread.lab.summary`.
        """
        unanswered = [*self.connections_lost, *overdue]
        gone_with_node = sum(map(self._was_down, unanswered))
        return {
            "by_second": self._by_second(),
            "classes": self._values_by_class(),
            "tries": dict(self.counts),
            "begin": self.begin_ms,
            "homes": self._by_home(),
            "gone_with_node": gone_with_node,
            "lost": len(unanswered) - gone_with_node,
        }

    def _rows(self) -> Iterable[tuple[int, ClientRequest]]:
        """Yield each request within the plan's time with the second in which it was sent."""
        for request in self.requests:
            second = int((request.sent_ms - self.begin_ms) // 1000.0)
            if second < self._seconds:
                yield second, request

    @property
    def _seconds(self) -> int:
        return int(self._plan.seconds)

    def _by_second(self) -> dict[str, list[float]]:
        names = ("asked", "worth_asked", "worth", *Outcome)
        table = {str(name): [0.0] * self._seconds for name in names}
        for second, request in self._rows():
            table["asked"][second] += 1
            table["worth_asked"][second] += request.request_class.priority_weight
            table["worth"][second] += request.value
            if request.outcome:
                table[request.outcome][second] += 1
        return table

    def _values_by_class(self) -> dict[str, list[list[float]]]:
        """Return the value asked for and the value served, by class and second."""
        classes = {kind.name: [[0.0, 0.0] for _ in range(self._seconds)] for kind in self._plan.classes}
        for second, request in self._rows():
            row = classes[request.request_class.name][second]
            row[0] += request.request_class.priority_weight
            row[1] += request.value
        return classes

    def _by_home(self) -> dict[str, Counter[str]]:
        """Return counts by the site that the clients belong to."""
        homes: dict[str, Counter[str]] = {"own": Counter(), "foreign": Counter()}
        for request in self.requests:
            counts = homes["foreign" if request.foreign else "own"]
            name = request.request_class.name
            counts[f"{name} asked"] += 1
            counts[f"{name} {request.outcome or ''}"] += 1
        return homes
