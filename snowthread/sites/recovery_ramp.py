"""How a site that is back gets its load again: by steps of share, on measured health, with hysteresis. Pure.

| state  | event                                              | next                                        |
| ------ | -------------------------------------------------- | ------------------------------------------- |
| away   | back, and ``wait_ms`` over                         | giving, share ``STEP``                      |
| giving | a period well (worth in aim, and database, both)   | share + ``STEP``, twice that over a half    |
| giving | a period not well                                  | share halved, ``STEP`` at the least         |
| giving | share 1                                            | whole                                       |
| any    | lost                                               | away, share 0                               |
| any    | lost, and back for less than ``calm_ms`` before    | the same, and ``wait_ms`` doubled           |
| any    | lost, and back for longer before                   | the same, and ``wait_ms`` as at first       |

So a site that flaps is sent load ever more seldom, up to ``wait_most_ms``, and one that was lost once is not
made to wait for it.
"""

from __future__ import annotations

from dataclasses import dataclass

SHARE_STEP = 0.1
HEALTHY_SERVED_RATIO = 0.9  # of the worth in aim that it had before
HEALTHY_DATABASE_LOAD = 1.0  # calls held over what its database works on


@dataclass(frozen=True, slots=True)
class SiteHealth:
    """A period's measure of the site that is back."""

    served_ratio: float  # worth in aim over worth asked, over the same before its loss
    database_load: float  # calls held over its slots


@dataclass(slots=True)
class RecoveryRamp:
    """One site's return, as the others pace it."""

    period_ms: float = 1000.0
    first_wait_ms: float = 2000.0
    max_wait_ms: float = 300_000.0
    stable_after_ms: float = 60_000.0
    share: float = 1.0
    wait_ms: float = 0.0
    recovering_since_ms: float | None = None  # since when it is back
    last_step_ms: float = 0.0
    losses: int = 0

    def __post_init__(self) -> None:
        self.wait_ms = self.wait_ms or self.first_wait_ms

    def mark_lost(self, now_ms: float) -> None:
        """It is gone: all of its load is others' at once."""
        if self.losses and self.recovering_since_ms is not None:
            short = now_ms - self.recovering_since_ms < self.stable_after_ms
            self.wait_ms = min(self.max_wait_ms, 2.0 * self.wait_ms) if short else self.first_wait_ms
        self.losses += 1
        self.share, self.recovering_since_ms = 0.0, None

    def mark_recovering(self, now_ms: float) -> None:
        """It is there again; it gets nothing before its wait is over."""
        if self.recovering_since_ms is None:
            self.recovering_since_ms, self.last_step_ms = now_ms, now_ms

    def tick(self, now_ms: float, health: SiteHealth | None) -> float:
        """Once in a while: the share of its load that it gets now. No health: nothing measured, no step."""
        if self.recovering_since_ms is None or self.share >= 1.0:
            return self.share
        if self.share == 0.0:
            if now_ms - self.recovering_since_ms >= self.wait_ms:
                self.share, self.last_step_ms = SHARE_STEP, now_ms
        elif health is not None and now_ms - self.last_step_ms >= self.period_ms:
            self.last_step_ms = now_ms
            if health.served_ratio >= HEALTHY_SERVED_RATIO and health.database_load <= HEALTHY_DATABASE_LOAD:
                self.share = min(1.0, self.share + (SHARE_STEP if self.share < 0.5 else 2.0 * SHARE_STEP))
            else:
                self.share = max(SHARE_STEP, self.share / 2.0)
        return self.share
