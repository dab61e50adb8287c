"""Where the load of a site that can't serve it goes: dealt by measured spare capacity and delay. Pure.

Each taker gets a part in proportion to ``spare / (1 + delay / aim)`` and never more than ``CAP`` of its
spare, so that what it was wrong about does not make it fall; what goes over one's cap is dealt among the
others. What nobody can take is left over: it is to be refused where it is asked for, with ``after``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

MAX_SPARE_SHARE = (
    0.8  # of what a site says it can spare: its measure is a beat old, and its own load moves meanwhile
)
NEGLIGIBLE_RATE_PER_S = 1e-9


@dataclass(frozen=True, slots=True)
class SpilloverTarget:
    """A site that is up: requests a second that it can spare, and the way there and back."""

    spare_capacity_per_s: float
    delay_ms: float


@dataclass(frozen=True, slots=True)
class Allocation:
    """Requests a second to each taker, and what is left over."""

    rates_per_s: Mapping[str, float]
    unallocated_per_s: float


def allocate(
    load_per_s: float, targets: Mapping[str, SpilloverTarget], latency_objective_ms: float
) -> Allocation:
    """Deal a load of requests whose aim is this. Sites whose way takes half of the aim take nothing: an
    answer from there comes too late to be worth the work."""
    room = {
        name: MAX_SPARE_SHARE * max(0.0, taker.spare_capacity_per_s)
        for name, taker in targets.items()
        if taker.delay_ms < latency_objective_ms / 2.0 and taker.spare_capacity_per_s > 0.0
    }
    weight = {name: room[name] / (1.0 + targets[name].delay_ms / latency_objective_ms) for name in room}
    parts, left = dict.fromkeys(room, 0.0), max(0.0, load_per_s)
    open_ = set(room)
    while (
        open_ and left > NEGLIGIBLE_RATE_PER_S
    ):  # each round fills at least one taker or deals all: at most so many rounds
        total = sum(weight[name] for name in open_)
        share = {name: left * weight[name] / total for name in open_}
        full = {name for name in open_ if parts[name] + share[name] >= room[name] - NEGLIGIBLE_RATE_PER_S}
        for name in full or open_:
            part = min(share[name], room[name] - parts[name])
            parts[name] += part
            left -= part
        if not full:
            left = 0.0
        open_ -= full
    return Allocation(parts, max(0.0, left))
