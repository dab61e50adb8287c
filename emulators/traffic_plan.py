"""The plan of a fleet's traffic, which the lab writes as JSON for ``emulators.balancers``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests, and the value of its answers."""

    name: str
    share: float  # Share of this class among the requests without an idempotency key.
    has_key: bool
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    late_value: float  # Factor on the value of an answer after the latency objective, from 0 to 1.
    value_without_calls: (
        float  # Factor on the value of an answer made without its database call, from 0 to 1.
    )

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> RequestClass:
        """Return the class that a JSON object of the plan describes."""
        return cls(
            name=fields["name"],
            share=fields["share"],
            has_key=fields["keyed"],
            latency_objective_ms=fields["goal_ms"],
            deadline_ms=fields["deadline_ms"],
            priority_weight=fields["worth"],
            late_value=fields["late_value"],
            value_without_calls=fields["skip_worth"],
        )

    def answer_value(self, age_ms: float, without_calls: bool) -> float:
        """Return the value of an answer that comes ``age_ms`` after its request; 0 after the deadline."""
        if age_ms > self.deadline_ms:
            return 0.0
        value = self.value_without_calls if without_calls else 1.0
        if age_ms > self.latency_objective_ms:
            value *= self.late_value
        return value * self.priority_weight


@dataclass(frozen=True, slots=True)
class TrafficPlan:
    """The plan of all traffic."""

    nodes: dict[str, str]  # Address of each node as host:port, by node name.
    registry: str
    source_network: str  # First three numbers of the balancers' IPv4 addresses.
    seed: int
    per_s: float
    seconds: float
    keyed_share: float  # Share of all requests that have an idempotency key.
    repeated_share: float  # Share of the requests with an idempotency key that their client sends twice.
    foreign_share: float  # Share of all requests that come from another site's clients.
    repeat_after_ms: tuple[float, float]  # Minimum and maximum time until a client sends a request again.
    own_balancer_number: int
    foreign_balancer_number: int
    classes: tuple[RequestClass, ...]

    @classmethod
    def from_json(cls, fields: dict[str, Any]) -> TrafficPlan:
        """Return the plan that the JSON object of the plan's file describes."""
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
            own_balancer_number=fields["own_number"],
            foreign_balancer_number=fields["others_number"],
            classes=tuple(map(RequestClass.from_json, fields["classes"])),
        )
