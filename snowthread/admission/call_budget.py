"""The call budget of a node for the shared formula database while nodes of the fleet warm up.

The budget is a token bucket. Its rate is the budget of the fleet divided by the number of nodes that share
it. The rate is halved, at most once per duration of a call, if the latency of the database is far above its
baseline. It grows back by a tenth of the fair rate per second, and by a tenth of itself with each quick call.
Times are arguments, in milliseconds of Unix time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Part of the database's throughput that the fleet may use: the database also works on calls that were given
# up.
FLEET_BUDGET_RATIO = 0.95
BURST_S = 0.5  # seconds of a node's rate that may go at once, since the bursts of a fleet add up
QUICK_CALL_GROWTH_FACTOR = 1.1  # growth of the rate with each quick call
GROWTH_RATIO_PER_S = 0.1  # growth of the rate per second, as a part of the fair rate
SLOW_CALL_CUT_FACTOR = 0.5  # factor applied to the rate after a slow call
MIN_RATE_RATIO = 0.2  # lowest rate, as a part of the fair rate
MS_PER_S = 1000.0


@dataclass(slots=True)
class CallBudget:
    """The calls to the database that this node may start."""

    fleet_per_s: float  # calls per second that the database sustains from the whole fleet
    base_latency_ms: float  # baseline latency of the database
    # A call is slow if it takes longer than this many times the baseline latency.
    slow_call_factor: float = 3.0
    sharing_nodes: int = 1  # nodes that share the budget, this one included
    burst_s: float = 1.0  # seconds of the rate that the bucket holds
    rate_ratio: float = 1.0  # present rate, as a part of the fair rate
    tokens: float = 0.0  # calls that may start now
    refilled_at_ms: float | None = None  # when tokens were last added, in milliseconds; None: never
    denied_count: int = 0  # calls that were denied so far
    cut_at_ms: float = -math.inf  # when the rate was last cut, in milliseconds

    def rate(self) -> float:
        """Return the calls per second that are allowed now."""
        return self.fleet_per_s * self.rate_ratio / max(1, self.sharing_nodes)

    def capacity(self) -> float:
        """Return the number of calls that the bucket can hold."""
        return max(1.0, self.rate() * self.burst_s)

    def set_sharing_nodes(self, sharing_nodes: int) -> None:
        """Set the number of nodes that share the budget, as counted by the registry."""
        self.sharing_nodes = max(1, sharing_nodes)

    def refill(self, now_ms: float) -> None:
        """Add the tokens for the time that has passed, and let the rate grow back."""
        if self.refilled_at_ms is None:
            self.refilled_at_ms = now_ms
            self.tokens = min(1.0, self.rate())
            return
        elapsed_s = max(0.0, now_ms - self.refilled_at_ms) / MS_PER_S
        self.refilled_at_ms = now_ms
        self.rate_ratio = min(1.0, self.rate_ratio + GROWTH_RATIO_PER_S * elapsed_s)
        self.tokens = min(self.capacity(), self.tokens + self.rate() * elapsed_s)

    def next_token_at_ms(self, now_ms: float) -> float:
        """Return when the token for the next call is available, at the present rate."""
        return now_ms + max(0.0, 1.0 - self.tokens) * MS_PER_S / self.rate()

    def try_acquire(self, now_ms: float, min_remaining: float = 0.0) -> bool:
        """Take the token of a call if at least ``min_remaining`` tokens stay, or count a denial."""
        self.refill(now_ms)
        if self.tokens >= 1.0 + min_remaining:
            self.tokens -= 1.0
            return True
        self.denied_count += 1
        return False

    def record_latency(self, now_ms: float, duration_ms: float) -> None:
        """Adapt the rate to the duration of a call that has ended.

        A slow call cuts the rate, unless it was started before the last cut. A quick call lets the
        rate grow, so that it is back at its full value a few calls after a fault is over.
        """
        self.refill(now_ms)
        if duration_ms <= self.slow_call_factor * self.base_latency_ms:
            self.rate_ratio = min(1.0, self.rate_ratio * QUICK_CALL_GROWTH_FACTOR)
        elif now_ms - duration_ms >= self.cut_at_ms:
            self.cut_at_ms = now_ms
            self.rate_ratio = max(MIN_RATE_RATIO, self.rate_ratio * SLOW_CALL_CUT_FACTOR)
            self.tokens = min(self.tokens, max(1.0, self.rate()))
