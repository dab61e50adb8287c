"""Statistics of a fleet's traffic: the outcomes of requests, by the second in which clients sent them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

from emulators.traffic_plan import RequestClass, TrafficPlan

# Allowed time from a deadline to the answer: 60 ms from the node's rules, 50 ms for its transmission.
LATE_TOLERANCE_MS = 110.0
# An attempt that was open within this time of a node's outage may stay unanswered. The lab reports the outage
# and may be delayed itself, and stopping a node takes time.
OUTAGE_TOLERANCE_MS = 400.0


class Outcome(StrEnum):
    """The outcome of a client's request; its values are keys of the report."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A client's request: its attempts and its outcome."""

    request_class: RequestClass
    idempotency_key: str  # Empty for a request without an idempotency key.
    sent_ms: float
    source: str  # Address of the balancer that received the request.
    is_foreign: bool = False  # Whether the client belongs to another site.
    attempts: int = 0  # Number of attempts, without those for the client's repeat of the request.
    sticky_node: str = ""  # Node that may have run an attempt with a key; no other node may run the request.
    nodes_tried: list[str] = field(default_factory=list)
    value: float = 0.0  # Value of the best answer.
    outcome: Outcome | None = None

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome, unless the request has one already."""
        if self.outcome is None:
            self.outcome = outcome


class Attempt(NamedTuple):
    """One request sent to a node on behalf of a client's request."""

    request: ClientRequest
    node: str
    deadline_ms: float


class UnansweredAttempt(NamedTuple):
    """An attempt without an answer; ``ended_ms`` is its deadline, or when its connection was lost."""

    node: str
    sent_ms: float
    ended_ms: float


class TrafficStatistics:
    """Collects the requests of all clients and counts of their attempts, and reports on them."""

    def __init__(self, plan: TrafficPlan) -> None:
        """Start without requests; the owner sets ``begin_ms`` when the traffic begins."""
        self._plan = plan
        self.begin_ms = 0.0
        self.requests: list[ClientRequest] = []
        self.counts: Counter[str] = Counter()  # Counts of attempts, by the keys of the report's "tries".
        self.connections_lost: list[UnansweredAttempt] = []
        self._outages_ms: dict[str, list[float]] = {name: [] for name in plan.nodes}

    def record_outage(self, node: str, now: float) -> None:
        """Record that a node was killed, stopped or cut off: its open attempts may stay unanswered."""
        self._outages_ms[node].append(now)

    def is_late(self, attempt: Attempt, sent_ms: float, now: float) -> bool:
        """Return whether an answer at the time ``now`` is late, unless an outage of its node explains it."""
        if now <= attempt.deadline_ms + LATE_TOLERANCE_MS:
            return False
        return not self._overlaps_outage(UnansweredAttempt(attempt.node, sent_ms, now))

    def _overlaps_outage(self, attempt: UnansweredAttempt) -> bool:
        begin_ms = attempt.sent_ms - OUTAGE_TOLERANCE_MS
        end_ms = attempt.ended_ms + OUTAGE_TOLERANCE_MS
        return any(begin_ms <= outage_ms <= end_ms for outage_ms in self._outages_ms[attempt.node])

    def report(self, overdue: Iterable[UnansweredAttempt]) -> dict[str, Any]:
        """Return the report; an attempt without an answer counts as lost unless its node had an outage.

        The keys are read by :mod:`snowthread.lab.summary`.
        """
        unanswered = [*self.connections_lost, *overdue]
        gone_with_node = sum(map(self._overlaps_outage, unanswered))
        return {
            "by_second": self._by_second(),
            "classes": self._values_by_class(),
            "tries": dict(self.counts),
            "begin": self.begin_ms,
            "homes": self._by_client_site(),
            "gone_with_node": gone_with_node,
            "lost": len(unanswered) - gone_with_node,
        }

    def _rows(self) -> Iterable[tuple[int, ClientRequest]]:
        """Yield each request within the plan's duration, after the second in which it was sent."""
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
        """Return the total value of the requests and of their answers, by class and second."""
        classes = {
            request_class.name: [[0.0, 0.0] for _ in range(self._seconds)]
            for request_class in self._plan.classes
        }
        for second, request in self._rows():
            row = classes[request.request_class.name][second]
            row[0] += request.request_class.priority_weight
            row[1] += request.value
        return classes

    def _by_client_site(self) -> dict[str, Counter[str]]:
        """Return counts of requests and outcomes by class, for clients of the own site and of another one."""
        sites: dict[str, Counter[str]] = {"own": Counter(), "foreign": Counter()}
        for request in self.requests:
            counts = sites["foreign" if request.is_foreign else "own"]
            name = request.request_class.name
            counts[f"{name} asked"] += 1
            counts[f"{name} {request.outcome or ''}"] += 1
        return sites
