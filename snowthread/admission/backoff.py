"""Exponential backoff with decorrelated jitter: ``delay = min(cap, uniform(base, 3 * delay))``.

Peers that failed together retry at different times. Pure: the random generator is passed in.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

GROWTH_FACTOR = 3.0  # of the last delay, that the next one has at most


@dataclass(slots=True)
class Backoff:
    """When to retry a peer after a failed connection or call."""

    base_ms: float = 50.0
    cap_ms: float = 5000.0
    delay_ms: float = 0.0  # of the last retry

    def __post_init__(self) -> None:
        if not 0 < self.base_ms <= self.cap_ms:
            raise ValueError(f"backoff: base {self.base_ms} ms, cap {self.cap_ms} ms")
        self.delay_ms = self.delay_ms or self.base_ms

    def next_delay_ms(self, generator: random.Random) -> float:
        """Return how long to wait after a failed attempt, in ms."""
        self.delay_ms = min(self.cap_ms, generator.uniform(self.base_ms, GROWTH_FACTOR * self.delay_ms))
        return self.delay_ms

    def reset(self) -> None:
        """Start again from the base: an attempt has succeeded."""
        self.delay_ms = self.base_ms
