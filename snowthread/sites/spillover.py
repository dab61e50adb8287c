"""Allocate the load of a site that can't serve it to other sites. Pure.

Each target gets a part in proportion to ``spare capacity / (1 + delay / latency objective)`` and never more
than ``MAX_SPARE_SHARE`` of its spare capacity, so that an error in its measurement does not overload it. What
exceeds one target's cap is allocated among the others. What no target can take stays unallocated: the site
that received it rejects it with Retry-After.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

MAX_SPARE_SHARE = 0.8  # a measurement is one heartbeat old, and the target's own load changes meanwhile
MAX_DELAY_RATIO = 0.5  # of the round trip to the latency objective
NEGLIGIBLE_RATE_PER_S = 1e-9


@dataclass(frozen=True, slots=True)
class SpilloverTarget:
    """A site that is up: its spare capacity (requests a second) and the round-trip time to it."""

    spare_capacity_per_s: float
    delay_ms: float


@dataclass(frozen=True, slots=True)
class Allocation:
    """Requests a second for each target, and the rate that no target can take."""

    rates_per_s: Mapping[str, float]
    unallocated_per_s: float


def allocate(
    load_per_s: float, targets: Mapping[str, SpilloverTarget], latency_objective_ms: float
) -> Allocation:
    """Allocate a load to the targets.

    A target whose round trip takes half of the latency objective gets nothing: its responses would come too
    late to be of use.
    """
    capacities = {
        name: MAX_SPARE_SHARE * target.spare_capacity_per_s
        for name, target in targets.items()
        if target.delay_ms < MAX_DELAY_RATIO * latency_objective_ms and target.spare_capacity_per_s > 0.0
    }
    weights = {
        name: capacity / (1.0 + targets[name].delay_ms / latency_objective_ms)
        for name, capacity in capacities.items()
    }
    rates = dict.fromkeys(capacities, 0.0)
    remaining = max(0.0, load_per_s)
    open_targets = set(capacities)
    # Each round fills at least one target or allocates the rest, so there are at most as many as targets.
    while open_targets and remaining > NEGLIGIBLE_RATE_PER_S:
        total_weight = sum(weights[name] for name in open_targets)
        shares = {name: remaining * weights[name] / total_weight for name in open_targets}
        full = {
            name
            for name in open_targets
            if rates[name] + shares[name] >= capacities[name] - NEGLIGIBLE_RATE_PER_S
        }
        for name in full or open_targets:
            rate = min(shares[name], capacities[name] - rates[name])
            rates[name] += rate
            remaining -= rate
        if not full:
            remaining = 0.0
        open_targets -= full
    return Allocation(rates, max(0.0, remaining))
