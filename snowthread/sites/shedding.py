"""Decide which requests of other sites' clients a site sheds first. Pure.

| request                                               | verdict                          |
| ----------------------------------------------------- | -------------------------------- |
| of this site's own client                             | ADMIT: admission control decides |
| of another site's client, not idempotent              | FAIL: its home site may run it   |
| of another site's client, the share in flight is full | REJECT                           |
| of another site's client, pressure over its threshold | REJECT                           |
| of another site's client, otherwise                   | ADMIT                            |

Pressure is the blocking probability of admission control, or how full its queue is if that is more; it is 0
at a site with free capacity. A request's threshold grows with its class's position in the shedding order
(priority weight per unit of work, the least first) and with its rank within the class. So a request of less
weight is rejected before one of more weight at every pressure; from ``MAX_FOREIGN_PRESSURE`` on all of them
are rejected, and only then does admission control reject the site's own clients.

The decision is taken as a request is read, before any resource is reserved for it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

MAX_FOREIGN_PRESSURE = 0.3  # from this pressure on no request of another site's client is admitted
FULL_QUEUE_PER_CORE = 4.0  # requests queued per core that count as a full queue
MAX_FOREIGN_SHARE = 0.5  # of the concurrency limit; the rest stays free for the site's own clients


class Verdict(Enum):
    """What happens to a request."""

    ADMIT = "own"
    FAIL = "fail"
    REJECT = "refuse"


@dataclass(frozen=True, slots=True)
class SiteRanges:
    """Ranges of balancers' numbers, both ends included, by the site whose clients they serve."""

    own_site: str
    ranges: Mapping[str, Sequence[tuple[int, int]]]

    def site_of(self, caller_id: int) -> str:
        """Return the home site of a balancer's clients; a number in no range belongs to this site."""
        for site, ranges in self.ranges.items():
            if any(first <= caller_id <= last for first, last in ranges):
                return site
        return self.own_site


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """The load of one node."""

    blocking_probability: float
    queued: int
    cores: int
    concurrency_limit: float
    foreign_in_flight: int  # requests of other sites' clients


def shedding_order(weight_per_work: Mapping[str, float]) -> dict[str, int]:
    """Return each class's position in the order of shedding; the least weight for its work comes first."""
    by_weight = sorted(weight_per_work.items(), key=lambda item: item[1])
    return {name: position for position, (name, _) in enumerate(by_weight)}


def pressure(load: NodeLoad) -> float:
    """Return the load's pressure, from 0 (free capacity) to 1."""
    queue_fill = min(1.0, load.queued / (FULL_QUEUE_PER_CORE * max(1, load.cores)))
    return max(load.blocking_probability, queue_fill)


def decide(
    *,
    is_own_client: bool,
    idempotent: bool,
    class_position: int,
    class_count: int,
    rank: float,
    load: NodeLoad,
) -> Verdict:
    """Return the verdict on a request; ``class_position`` is its class's place in the shedding order."""
    if is_own_client:
        return Verdict.ADMIT
    if not idempotent:
        return Verdict.FAIL
    if load.foreign_in_flight >= max(1.0, MAX_FOREIGN_SHARE * load.concurrency_limit):
        return Verdict.REJECT
    position = class_position + min(1.0, max(0.0, rank))
    threshold = MAX_FOREIGN_PRESSURE * position / max(1, class_count)
    current = pressure(load)
    return Verdict.REJECT if current > 0.0 and current >= threshold else Verdict.ADMIT
