"""Pace the return of load to a recovering site: steps of its share, on measured health, with backoff. Pure.

| state   | event                                                  | next                              |
| ------- | ------------------------------------------------------ | --------------------------------- |
| lost    | recovering, and ``wait_ms`` has passed                 | ramping, share one step           |
| ramping | a healthy period (served ratio and database load)      | share + one step, over a half two |
| ramping | an unhealthy period                                    | share halved, at least one step   |
| ramping | share 1                                                | full                              |
| any     | lost                                                   | lost, share 0                     |
| any     | lost, less than ``stable_after_ms`` after its recovery | the same, and ``wait_ms`` doubled |
| any     | lost, later than that                                  | the same, and ``wait_ms`` reset   |

So a site that flaps gets load ever less often, up to ``max_wait_ms`` apart, and a single loss costs a site no
more than the first wait.
"""

from __future__ import annotations

from dataclasses import dataclass

SHARE_STEP = 0.1
HEALTHY_SERVED_RATIO = 0.9  # of the ratio before the loss
HEALTHY_DATABASE_LOAD = 1.0  # calls in hand per slot of the database
FAST_RAMP_FROM_SHARE = 0.5  # from here on the share grows in double steps


@dataclass(frozen=True, slots=True)
class SiteHealth:
    """Measurements of a recovering site over one period."""

    served_ratio: float  # weight served in time over weight requested, relative to before the loss
    database_load: float  # calls in hand over the database's slots

    @property
    def is_healthy(self) -> bool:
        """Whether the site served enough and its database is not overloaded."""
        return self.served_ratio >= HEALTHY_SERVED_RATIO and self.database_load <= HEALTHY_DATABASE_LOAD


@dataclass(slots=True)
class RecoveryRamp:
    """The share of its own load that one recovering site gets, as the other sites pace it."""

    period_ms: float = 1000.0
    first_wait_ms: float = 2000.0
    max_wait_ms: float = 300_000.0
    stable_after_ms: float = 60_000.0
    share: float = 1.0
    wait_ms: float = 0.0
    recovering_since_ms: float | None = None
    last_step_ms: float = 0.0
    losses: int = 0

    def __post_init__(self) -> None:
        self.wait_ms = self.wait_ms or self.first_wait_ms

    def mark_lost(self, now_ms: float) -> None:
        """Take all of its load from the site at once; double the wait if it was lost again early."""
        if self.losses and self.recovering_since_ms is not None:
            lost_early = now_ms - self.recovering_since_ms < self.stable_after_ms
            self.wait_ms = min(self.max_wait_ms, 2.0 * self.wait_ms) if lost_early else self.first_wait_ms
        self.losses += 1
        self.share = 0.0
        self.recovering_since_ms = None

    def mark_recovering(self, now_ms: float) -> None:
        """Note that the site is reachable again; it gets no load before its wait is over."""
        if self.recovering_since_ms is None:
            self.recovering_since_ms = now_ms
            self.last_step_ms = now_ms

    def tick(self, now_ms: float, health: SiteHealth | None) -> float:
        """Advance the ramp and return the current share; without a measurement the share does not change."""
        if self.recovering_since_ms is None or self.share >= 1.0:
            return self.share
        if self.share == 0.0:
            if now_ms - self.recovering_since_ms >= self.wait_ms:
                self.share = SHARE_STEP
                self.last_step_ms = now_ms
        elif health is not None and now_ms - self.last_step_ms >= self.period_ms:
            self.last_step_ms = now_ms
            self.share = self._next_share(health)
        return self.share

    def _next_share(self, health: SiteHealth) -> float:
        if not health.is_healthy:
            return max(SHARE_STEP, self.share / 2.0)
        step = SHARE_STEP if self.share < FAST_RAMP_FROM_SHARE else 2.0 * SHARE_STEP
        return min(1.0, self.share + step)
