"""The budget of a node for calls to the shared formula database while nodes of the fleet warm up.

A token bucket whose rate is the fleet's budget over the number of nodes that share it. The rate is halved,
once a call's time, where the database's latency is far over that of good times; it grows back by a tenth a
second and with each quick call. Pure: times are passed in, in milliseconds of the one clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

FLEET_BUDGET_RATIO = 0.95  # of what the database completes: it also works on calls that were given up
BURST_S = 0.5  # of a node's rate that may go at once: the bursts of a fleet add up
QUICK_CALL_GROWTH_FACTOR = 1.1  # of the rate, for each quick call
GROWTH_RATIO_PER_S = 0.1  # of the fair rate
SLOW_CALL_CUT_FACTOR = 0.5  # of the rate
MIN_RATE_RATIO = 0.2  # of the fair rate
MS_PER_S = 1000.0


@dataclass(slots=True)
class CallBudget:
    """Calls to the database that this node may make."""

    fleet_per_s: float  # calls a second that the database sustains from the whole fleet
    base_latency_ms: float  # its latency in good times
    slow_call_factor: float = 3.0  # times that latency, over which a call is slow
    sharing_nodes: int = 1  # nodes that share the budget, this one included
    burst_s: float = 1.0  # seconds of its rate that the bucket holds
    rate_ratio: float = 1.0  # of the fair rate
    tokens: float = 0.0
    refilled_at_ms: float | None = None  # when tokens were added last
    denied_count: int = 0
    cut_at_ms: float = -math.inf  # ms: when the rate was cut last

    def rate(self) -> float:
        """Return the calls a second that are allowed now."""
        return self.fleet_per_s * self.rate_ratio / max(1, self.sharing_nodes)

    def capacity(self) -> float:
        """Return how many calls may be saved up."""
        return max(1.0, self.rate() * self.burst_s)

    def set_sharing_nodes(self, sharing_nodes: int) -> None:
        """Set the number of nodes that share the budget, as the registry counts them."""
        self.sharing_nodes = max(1, sharing_nodes)

    def refill(self, now_ms: float) -> None:
        """Add the tokens of the time that has passed, and let the rate grow back."""
        if self.refilled_at_ms is None:
            self.refilled_at_ms = now_ms
            self.tokens = min(1.0, self.rate())
            return
        elapsed_s = max(0.0, now_ms - self.refilled_at_ms) / MS_PER_S
        self.refilled_at_ms = now_ms
        self.rate_ratio = min(1.0, self.rate_ratio + GROWTH_RATIO_PER_S * elapsed_s)
        self.tokens = min(self.capacity(), self.tokens + self.rate() * elapsed_s)

    def next_token_at_ms(self, now_ms: float) -> float:
        """Return when the token of the next call is available, at the present rate."""
        return now_ms + max(0.0, 1.0 - self.tokens) * MS_PER_S / self.rate()

    def try_acquire(self, now_ms: float, min_remaining: float = 0.0) -> bool:
        """Take the token of a call if as many as ``min_remaining`` remain; count a denial if not."""
        self.refill(now_ms)
        if self.tokens >= 1.0 + min_remaining:
            self.tokens -= 1.0
            return True
        self.denied_count += 1
        return False

    def record_latency(self, now_ms: float, duration_ms: float) -> None:
        """Adapt the rate to the duration of a call, ``duration_ms``.

        A slow one cuts it, unless it was made before the last cut; a quick one lets it grow, so that it has
        its full value some calls after a fault is over.
        """
        self.refill(now_ms)
        if duration_ms <= self.slow_call_factor * self.base_latency_ms:
            self.rate_ratio = min(1.0, self.rate_ratio * QUICK_CALL_GROWTH_FACTOR)
        elif now_ms - duration_ms >= self.cut_at_ms:
            self.cut_at_ms = now_ms
            self.rate_ratio = max(MIN_RATE_RATIO, self.rate_ratio * SLOW_CALL_CUT_FACTOR)
            self.tokens = min(self.tokens, max(1.0, self.rate()))
