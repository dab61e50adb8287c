"""Limits how fast load returns to a recovering site: in steps, depending on measured health, with backoff.

Pure. The share is the part of its own load that the site receives.

| state   | event                                                  | next                                    |
| ------- | ------------------------------------------------------ | --------------------------------------- |
| lost    | the site is recovering and ``wait_ms`` has passed      | ramping with a share of one step        |
| ramping | a healthy period (served ratio and database load)      | share plus one step, or two from 0.5 on |
| ramping | an unhealthy period                                    | share halved, but at least one step     |
| ramping | the share is 1                                         | full                                    |
| any     | lost                                                   | lost with share 0                       |
| any     | lost, less than ``stable_after_ms`` after its recovery | as above, and ``wait_ms`` is doubled    |
| any     | lost, later than that                                  | as above, and ``wait_ms`` is reset      |

A site that flaps therefore receives load less and less often, at intervals of up to ``max_wait_ms``. A single
loss costs a site no more than the initial wait.
"""

from __future__ import annotations

from dataclasses import dataclass

SHARE_STEP = 0.1
HEALTHY_SERVED_RATIO = 0.9  # Lowest served ratio of a healthy site, relative to its ratio before the loss.
HEALTHY_DATABASE_LOAD = 1.0  # Highest number of calls in progress per slot of the database at a healthy site.
FAST_RAMP_FROM_SHARE = 0.5  # From this share on, the share grows in steps of double size.


@dataclass(frozen=True, slots=True)
class SiteHealth:
    """Measurements of a recovering site over one period."""

    # Weight served in time over weight requested, relative to the same ratio before the loss.
    served_ratio: float
    database_load: float  # Calls in progress over the slots of the site's database.

    @property
    def is_healthy(self) -> bool:
        """Whether the site served enough requests and its database was not overloaded."""
        return self.served_ratio >= HEALTHY_SERVED_RATIO and self.database_load <= HEALTHY_DATABASE_LOAD


@dataclass(slots=True)
class RecoveryRamp:
    """The share of its own load that one recovering site receives, as the other sites limit it."""

    period_ms: float = 1000.0
    initial_wait_ms: float = 2000.0
    max_wait_ms: float = 300_000.0
    stable_after_ms: float = 60_000.0
    share: float = 1.0
    wait_ms: float = 0.0
    recovering_since_ms: float | None = None
    last_step_at_ms: float = 0.0
    loss_count: int = 0

    def __post_init__(self) -> None:
        self.wait_ms = self.wait_ms or self.initial_wait_ms

    def mark_lost(self, now_ms: float) -> None:
        """Set the share to 0 at once; double the wait if the site was lost again soon after its recovery."""
        if self.loss_count and self.recovering_since_ms is not None:
            lost_early = now_ms - self.recovering_since_ms < self.stable_after_ms
            self.wait_ms = min(self.max_wait_ms, 2.0 * self.wait_ms) if lost_early else self.initial_wait_ms
        self.loss_count += 1
        self.share = 0.0
        self.recovering_since_ms = None

    def mark_recovering(self, now_ms: float) -> None:
        """Record that the site is reachable again; it receives no load before the wait is over."""
        if self.recovering_since_ms is None:
            self.recovering_since_ms = now_ms
            self.last_step_at_ms = now_ms

    def tick(self, now_ms: float, health: SiteHealth | None) -> float:
        """Advance the ramp and return the current share.

        Args:
            now_ms: Current time in ms.
            health: Measurements of the last period. Without them, the share of a site that already receives
                load does not change.
        """
        if self.recovering_since_ms is None or self.share >= 1.0:
            return self.share
        if self.share == 0.0:
            if now_ms - self.recovering_since_ms >= self.wait_ms:
                self.share = SHARE_STEP
                self.last_step_at_ms = now_ms
        elif health is not None and now_ms - self.last_step_at_ms >= self.period_ms:
            self.last_step_at_ms = now_ms
            self.share = self._next_share(health)
        return self.share

    def _next_share(self, health: SiteHealth) -> float:
        if not health.is_healthy:
            return max(SHARE_STEP, self.share / 2.0)
        step = SHARE_STEP if self.share < FAST_RAMP_FROM_SHARE else 2.0 * SHARE_STEP
        return min(1.0, self.share + step)
