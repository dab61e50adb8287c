"""Distributes load that a site cannot serve among other sites.

Pure. Each target receives load in proportion to ``spare capacity / (1 + round trip / latency objective)``,
but never more than ``MAX_SPARE_SHARE`` of its spare capacity, so that an error in the measured capacity does
not overload it. Load above the cap of one target is distributed among the others. Load that no target can
take stays unallocated: the site that received it rejects it with Retry-After.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

# The spare capacity of a target is as old as its last heartbeat, and the target's own load changes meanwhile;
# so only this share of it is used.
MAX_SPARE_SHARE = 0.8
# Targets whose round trip is at least this part of the latency objective receive no load.
MAX_DELAY_RATIO = 0.5
NEGLIGIBLE_RATE_PER_S = 1e-9


@dataclass(frozen=True, slots=True)
class SpilloverTarget:
    """A site that is up: its spare capacity in requests per second, and the round trip to it in ms."""

    spare_capacity_per_s: float
    round_trip_ms: float


@dataclass(frozen=True, slots=True)
class Allocation:
    """The rate in requests per second for each target, and the rate that no target can take."""

    rates_per_s: Mapping[str, float]
    unallocated_per_s: float


def allocate_spillover(
    load_per_s: float, targets: Mapping[str, SpilloverTarget], latency_objective_ms: float
) -> Allocation:
    """Distribute a load among targets.

    ``targets`` are given by site name. A target whose round trip takes half of the latency objective or more
    receives nothing, because its responses would arrive too late to be of use.
    """
    capacities = {
        name: MAX_SPARE_SHARE * target.spare_capacity_per_s
        for name, target in targets.items()
        if target.round_trip_ms < MAX_DELAY_RATIO * latency_objective_ms and target.spare_capacity_per_s > 0.0
    }
    weights = {
        name: capacity / (1.0 + targets[name].round_trip_ms / latency_objective_ms)
        for name, capacity in capacities.items()
    }
    rates = dict.fromkeys(capacities, 0.0)
    remaining = max(0.0, load_per_s)
    open_targets = set(capacities)
    # Each round fills at least one target or distributes the rest, so there are at most as many rounds as
    # targets.
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
