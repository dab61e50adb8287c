"""Coming back without a stampede: the decisions of a cold node, beside the module and outside its 800 lines.

Pure: every call takes ``now_ms`` (float ms of the one clock) and, where it draws, a seeded ``random.Random``.

``Ramp``, an admission window in runs in flight (TCP's slow start, grown on measured success, not a timer)::

    state    event                          next
    -------  -----------------------------  ------------------------------------------------
    growing  success within the goal time   window += 1 (doubles a round), <= ceiling
    growing  loss (refused, late, timeout)  window = max(start, window * cut); ssthresh = that
    growing  success over ssthresh          window += 1 / window (one a round)
    growing  window == ceiling for settle   full
    full     loss                           growing, as above

``Backoff``: AWS's decorrelated jitter, ``sleep = min(cap, uniform(base, 3 * sleep))``; ``reset`` on success.

``ColdBudget``: cold calls to the shared database a second allowed to this node, the fleet's budget over the
number of cold nodes the roster tells (at least 1); cut by half where the database's latency is over
``slow_factor`` times its prior, grown back by a tenth a second (AIMD). A token bucket of one second's worth.

``Aged``: a learned value with the time it was learned; read within ``fresh_ms`` it is itself, past ``max_ms``
the prior, marked stale, and in between blended linearly.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass


@dataclass(slots=True)
class Ramp:
    """How many runs a cold node lets in at a time."""

    ceiling: float  # the run limit the node would have warm
    start: float = 1.0
    cut: float = 0.5
    settle_ms: float = 2000.0
    window: float = 0.0
    ssthresh: float = math.inf
    at_ceiling_since: float | None = None
    full: bool = False
    losses: int = 0

    def __post_init__(self) -> None:
        if not 0 < self.cut < 1 or self.start < 1 or self.ceiling < self.start:
            raise ValueError(f"a ramp of start {self.start}, ceiling {self.ceiling}, cut {self.cut}")
        self.window = max(self.window, self.start)

    def admits(self, in_flight: int) -> bool:
        """Whether one more run may start now, with ``in_flight`` going on."""
        return self.full or in_flight < math.floor(self.window)

    def success(self, now_ms: float) -> None:
        """A run ended within its goal time."""
        if self.full:
            return
        step = 1.0 if self.window < self.ssthresh else 1.0 / self.window
        self.window = min(self.ceiling, self.window + step)
        if self.window >= self.ceiling:
            if self.at_ceiling_since is None:
                self.at_ceiling_since = now_ms
            elif now_ms - self.at_ceiling_since >= self.settle_ms:
                self.full = True

    def loss(self, now_ms: float) -> None:
        """The runtime refused, or a run was late or timed out: too much was let in."""
        self.losses += 1
        self.full = False
        self.window = max(self.start, self.window * self.cut)
        self.ssthresh = self.window
        self.at_ceiling_since = None


@dataclass(slots=True)
class Backoff:
    """When to try a peer again after a failed connection or call."""

    base_ms: float = 50.0
    cap_ms: float = 5000.0
    sleep_ms: float = 0.0

    def __post_init__(self) -> None:
        if not 0 < self.base_ms <= self.cap_ms:
            raise ValueError(f"a backoff of base {self.base_ms} ms and cap {self.cap_ms} ms")
        self.sleep_ms = self.sleep_ms or self.base_ms

    def failed(self, draw: random.Random) -> float:
        """A try failed: how long to wait before the next, in ms."""
        self.sleep_ms = min(self.cap_ms, draw.uniform(self.base_ms, 3.0 * self.sleep_ms))
        return self.sleep_ms

    def reset(self) -> None:
        self.sleep_ms = self.base_ms


@dataclass(slots=True)
class ColdBudget:
    """Cold calls to the shared formula database that this node may make."""

    fleet_per_s: float  # what the database bears of cold calls from the whole fleet
    prior_ms: float  # its latency when well
    slow_factor: float = 3.0
    cold_nodes: int = 1
    share: float = 1.0  # of the fair rate, cut on slowness
    tokens: float = 0.0
    at_ms: float | None = None
    refused: int = 0

    def rate(self) -> float:
        """Calls a second allowed now."""
        return self.fleet_per_s * self.share / max(1, self.cold_nodes)

    def told(self, cold_nodes: int) -> None:
        """The roster's count of cold nodes in the fleet, this one included."""
        self.cold_nodes = max(1, cold_nodes)

    def _refill(self, now_ms: float) -> None:
        if self.at_ms is None:
            self.at_ms, self.tokens = now_ms, min(1.0, self.rate())
            return
        elapsed_s = max(0.0, now_ms - self.at_ms) / 1000.0
        self.at_ms = now_ms
        self.share = min(1.0, self.share + 0.1 * elapsed_s)
        self.tokens = min(max(1.0, self.rate()), self.tokens + self.rate() * elapsed_s)

    def take(self, now_ms: float) -> bool:
        """Whether one cold call may go now; it is counted where it may not."""
        self._refill(now_ms)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return True
        self.refused += 1
        return False

    def latency(self, now_ms: float, took_ms: float) -> None:
        """A call's time: over ``slow_factor`` times the prior halves the share."""
        self._refill(now_ms)
        if took_ms > self.slow_factor * self.prior_ms:
            self.share = max(0.05, self.share * 0.5)
            self.tokens = min(self.tokens, max(1.0, self.rate()))


@dataclass(frozen=True, slots=True)
class Read:
    value: float
    stale: bool  # past ``max_ms``: the prior, not what was learned
    age_ms: float


@dataclass(frozen=True, slots=True)
class Aged:
    """A learned value and when it was learned."""

    value: float
    learned_ms: float
    prior: float
    fresh_ms: float = 10_000.0
    max_ms: float = 60_000.0

    def read(self, now_ms: float) -> Read:
        age = max(0.0, now_ms - self.learned_ms)
        if age >= self.max_ms:
            return Read(self.prior, True, age)
        if age <= self.fresh_ms:
            return Read(self.value, False, age)
        weight = (age - self.fresh_ms) / (self.max_ms - self.fresh_ms)
        return Read(self.value + (self.prior - self.value) * weight, False, age)
