"""What a site refuses first of what comes from other sites' clients. Pure: measures in, a verdict out.

| a request                                         | verdict                                              |
| ------------------------------------------------- | ---------------------------------------------------- |
| of this site's own clients                        | own: the module's, as always                         |
| of another site's, keyed or not safe to repeat    | fail: its home may have run it, or be running it     |
| of another site's, the cap is reached             | refuse                                               |
| of another site's, pressure over its place        | refuse                                               |
| of another site's, else                           | own: the module's, as always                         |

Pressure is the module's b, or how full the hold is if that is more; 0 at a site with room. A request's place
is its class's, by worth for its work from the least, and within the class its rank: so a cheaper one is
refused before a worthier one at every pressure, all of them before ``MOST``, and with them all gone it is the
site's own that the module refuses. It is one look-up as a request is read, before anything is booked for it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

MAX_FOREIGN_PRESSURE = 0.3  # pressure from which nothing of other sites is taken
FULL_QUEUE_PER_CORE = 4.0  # requests held a core that count as full
MAX_FOREIGN_SHARE = (
    0.5  # of the run limit: so many of other sites' requests may be in flight, so that own ones find room
)


class Verdict(Enum):
    ADMIT = "own"
    FAIL = "fail"
    REJECT = "refuse"


@dataclass(frozen=True, slots=True)
class SiteRanges:
    """Whose clients a balancer's number stands for: ranges, both ends included, by site."""

    own_site: str
    ranges: Mapping[str, Sequence[tuple[int, int]]]

    def site_of(self, caller: int) -> str:
        """The site, or this one where no range has the number: nobody else's clients are its own."""
        for site, ranges in self.ranges.items():
            if any(low <= caller <= high for low, high in ranges):
                return site
        return self.own_site


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """A node as it stands."""

    blocking_probability: float  # the module's b
    queued: int
    cores: int
    concurrency_limit: float  # the module's run limit
    foreign_in_flight: int  # requests of other sites in flight


def shedding_order(worth_for_work: Mapping[str, float]) -> dict[str, int]:
    """Classes in the order in which they are refused: the least worth for its work first."""
    return {name: n for n, (name, _) in enumerate(sorted(worth_for_work.items(), key=lambda item: item[1]))}


def pressure(load: NodeLoad) -> float:
    """How little room there is, 0 to 1."""
    return max(load.blocking_probability, min(1.0, load.queued / (FULL_QUEUE_PER_CORE * max(1, load.cores))))


def decide(
    is_own_client: bool, idempotent: bool, class_position: int, class_count: int, rank: float, load: NodeLoad
) -> Verdict:
    """What becomes of a request as it is read."""
    if is_own_client:
        return Verdict.ADMIT
    if not idempotent:
        return Verdict.FAIL
    if load.foreign_in_flight >= max(1.0, MAX_FOREIGN_SHARE * load.concurrency_limit):
        return Verdict.REJECT
    allowed = MAX_FOREIGN_PRESSURE * (class_position + min(1.0, max(0.0, rank))) / max(1, class_count)
    felt = pressure(load)
    return Verdict.REJECT if felt > 0.0 and felt >= allowed else Verdict.ADMIT
