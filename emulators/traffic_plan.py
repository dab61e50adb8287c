"""The traffic of a fleet: the plan that the lab writes for ``emulators.balancers``, read from JSON."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests, and the value of its answers."""

    name: str
    share: float  # of the requests without an idempotency key
    keyed: bool
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    late_value: float  # of an answer after the objective, as a share
    value_without_calls: float  # of an answer made without its calls, as a share

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> RequestClass:
        """Read a class of the plan."""
        return cls(
            name=fields["name"],
            share=fields["share"],
            keyed=fields["keyed"],
            latency_objective_ms=fields["goal_ms"],
            deadline_ms=fields["deadline_ms"],
            priority_weight=fields["worth"],
            late_value=fields["late_value"],
            value_without_calls=fields["skip_worth"],
        )

    def answer_value(self, age_ms: float, without_calls: bool) -> float:
        """Return the value of an answer at this age of its request."""
        if age_ms > self.deadline_ms:
            return 0.0
        value = self.value_without_calls if without_calls else 1.0
        if age_ms > self.latency_objective_ms:
            value *= self.late_value
        return value * self.priority_weight


@dataclass(frozen=True, slots=True)
class TrafficPlan:
    """The plan of all traffic."""

    nodes: dict[str, str]  # name to address
    registry: str
    source_network: str  # the first three numbers of the balancers' addresses
    seed: int
    per_s: float
    seconds: float
    keyed_share: float  # of all requests
    repeated_share: float  # of keyed requests: those that the client sends twice
    foreign_share: float  # of all requests: those from another site's clients
    repeat_after_ms: tuple[float, float]  # the range of the time after which a client repeats
    own_balancer: int
    foreign_balancer: int
    classes: tuple[RequestClass, ...]

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> TrafficPlan:
        """Read the plan's file."""
        repeat_min_ms, repeat_max_ms = fields["again_ms"]
        return cls(
            nodes=fields["nodes"],
            registry=fields["roster"],
            source_network=fields["sources"],
            seed=fields["seed"],
            per_s=fields["per_s"],
            seconds=fields["seconds"],
            keyed_share=fields["keyed"],
            repeated_share=fields["repeats"],
            foreign_share=fields["foreign"],
            repeat_after_ms=(repeat_min_ms, repeat_max_ms),
            own_balancer=fields["own_number"],
            foreign_balancer=fields["others_number"],
            classes=tuple(map(RequestClass.from_json, fields["classes"])),
        )
