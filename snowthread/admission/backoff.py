"""Exponential backoff with decorrelated jitter: ``delay = min(cap, uniform(base, 3 * delay))``.

Because of the jitter, peers that failed at the same time retry at different times. The random generator is an
argument.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

GROWTH_FACTOR = 3.0  # the next delay is at most this many times the last one


@dataclass(slots=True)
class Backoff:
    """The delays before a peer is retried after a failed connection or call.

    Raises:
        ValueError: the base is not positive, or it exceeds the cap.
    """

    base_ms: float = 50.0
    cap_ms: float = 5000.0
    delay_ms: float = 0.0  # delay before the last retry

    def __post_init__(self) -> None:
        if not 0 < self.base_ms <= self.cap_ms:
            raise ValueError(
                f"backoff: base must be above 0 and at most the cap, but they are "
                f"{self.base_ms} ms and {self.cap_ms} ms"
            )
        self.delay_ms = self.delay_ms or self.base_ms

    def next_delay_ms(self, generator: random.Random) -> float:
        """Return the delay after a failed attempt, in milliseconds."""
        self.delay_ms = min(self.cap_ms, generator.uniform(self.base_ms, GROWTH_FACTOR * self.delay_ms))
        return self.delay_ms

    def reset(self) -> None:
        """Start again from the base, because an attempt has succeeded."""
        self.delay_ms = self.base_ms
