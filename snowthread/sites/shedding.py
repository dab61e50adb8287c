"""Decides which requests of other sites' clients a site rejects first.

Pure. The decision is made when a request is read, before any resource is reserved for it.

| request                                                       | decision                         |
| ------------------------------------------------------------- | -------------------------------- |
| of this site's own client                                     | ADMIT: admission control decides |
| of another site's client, not idempotent                      | FAIL: its home site may run it   |
| of another site's client, share of requests in flight used up | REJECT                           |
| of another site's client, pressure at or over the threshold   | REJECT                           |
| of another site's client, otherwise                           | ADMIT                            |

The pressure is the blocking probability of admission control or the fill ratio of its queue, whichever is
higher; it is 0 at a site with free capacity. The threshold of a request grows with the position of its class
in the shedding order (by priority weight per unit of work, lowest first) and with its rank within the class.
At any pressure, a request of less weight is therefore rejected before one of more weight. From
``MAX_OTHER_SITE_PRESSURE`` on, all requests of other sites' clients are rejected. Requests of the site's own
clients are never rejected here; admission control may reject them at any pressure, by its own rules.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

MAX_OTHER_SITE_PRESSURE = 0.3  # From this pressure on, no request of another site's client is admitted.
FULL_QUEUE_REQUESTS_PER_CORE = 4.0  # The queue counts as full from this number of queued requests per core.
# Requests of other sites' clients may use this share of the concurrency limit; the rest stays free for the
# site's own clients.
MAX_OTHER_SITE_SHARE = 0.5


class SheddingDecision(Enum):
    """What is done with a request; the values appear in the log line of ``client_filter``."""

    ADMIT = "own"  # Admission control decides on the request as on one of the site's own clients.
    FAIL = "fail"  # Answered as failed.
    REJECT = "refuse"  # Answered as rejected.


@dataclass(frozen=True, slots=True)
class SiteBalancers:
    """Inclusive ranges of balancer numbers, by the name of the site whose clients these balancers serve."""

    own_site: str
    ranges: Mapping[str, Sequence[tuple[int, int]]]

    def site_of(self, caller_id: int) -> str:
        """Return the home site of a balancer's clients; a number in no range belongs to the own site."""
        for site, ranges in self.ranges.items():
            if any(first <= caller_id <= last for first, last in ranges):
                return site
        return self.own_site


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """The load of one node."""

    blocking_probability: float
    queued_requests: int
    cores: int
    concurrency_limit: float
    other_site_requests: int  # Requests of other sites' clients in flight.


def shedding_order(weight_per_work: Mapping[str, float]) -> dict[str, int]:
    """Return each class's position in the shedding order; the lowest weight per unit of work comes first."""
    by_weight = sorted(weight_per_work.items(), key=lambda item: item[1])
    return {name: position for position, (name, _) in enumerate(by_weight)}


def load_pressure(load: NodeLoad) -> float:
    """Return the pressure of a load, from 0 (free capacity) to 1."""
    queue_fill = min(1.0, load.queued_requests / (FULL_QUEUE_REQUESTS_PER_CORE * max(1, load.cores)))
    return max(load.blocking_probability, queue_fill)


def decide_request(
    *,
    is_own_client: bool,
    is_idempotent: bool,
    class_position: int,
    class_count: int,
    rank: float,
    load: NodeLoad,
) -> SheddingDecision:
    """Decide on a request.

    Args:
        is_own_client: Whether the request comes from a client of this site.
        is_idempotent: Whether the request's class is idempotent.
        class_position: Position of the request's class in the shedding order.
        class_count: Number of request classes.
        rank: Rank of the request within its class, from 0 (rejected first) to 1.
        load: The load of the node.
    """
    if is_own_client:
        return SheddingDecision.ADMIT
    if not is_idempotent:
        return SheddingDecision.FAIL
    if load.other_site_requests >= max(1.0, MAX_OTHER_SITE_SHARE * load.concurrency_limit):
        return SheddingDecision.REJECT
    position = class_position + min(1.0, max(0.0, rank))
    threshold = MAX_OTHER_SITE_PRESSURE * position / max(1, class_count)
    current = load_pressure(load)
    return SheddingDecision.REJECT if current > 0.0 and current >= threshold else SheddingDecision.ADMIT
