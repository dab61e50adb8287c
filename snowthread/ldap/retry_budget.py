"""How often and how soon operations are retried: policy, backoff with full jitter, retry budget. Pure."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

MAX_DOUBLINGS = 32  # keeps the power finite; the maximum is reached long before
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """The limits of retries and of the circuit breakers. Times are milliseconds."""

    first_backoff_ms: float = 200.0  # before the first retry, doubled for each further one
    max_backoff_ms: float = 30_000.0
    budget_share: float = 0.2  # retries as a share of successes
    budget_floor_per_s: float = 0.1  # and so many a second in any case, or no server would be tried again
    max_saved_retries: float = 10.0
    failures_to_open: int = 3  # in a row, from which a server's circuit opens
    open_ms: float = 5_000.0  # the first time, doubled each further time
    max_open_ms: float = 120_000.0


def backoff_ms(retry: int, policy: RetryPolicy, rng: random.Random) -> float:
    """Return the wait before a retry (counted from 1): full jitter, uniform from 0 to the cap."""
    cap_ms = min(policy.max_backoff_ms, policy.first_backoff_ms * 2.0 ** min(retry - 1, MAX_DOUBLINGS))
    return rng.uniform(0.0, cap_ms)


class RetryBudget:
    """Retries as a share of successes, with a floor in time."""

    def __init__(self, policy: RetryPolicy, now: float) -> None:
        self.retries_left = policy.max_saved_retries
        self.retries_delayed = 0
        self._policy = policy
        self._refilled_at_ms = now

    def record_success(self) -> None:
        """Earn a share of a retry."""
        self._deposit(self._policy.budget_share)

    def take_retry(self, now: float) -> float:
        """Take a retry out of the budget and return 0, or else return the milliseconds until there is one."""
        floor_per_s = self._policy.budget_floor_per_s
        self._deposit(max(0.0, now - self._refilled_at_ms) / MS_PER_S * floor_per_s)
        self._refilled_at_ms = now
        if self.retries_left >= 1.0:
            self.retries_left -= 1.0
            return 0.0
        self.retries_delayed += 1
        if floor_per_s <= 0.0:
            return math.inf
        return (1.0 - self.retries_left) / floor_per_s * MS_PER_S

    def _deposit(self, retries: float) -> None:
        self.retries_left = min(self._policy.max_saved_retries, self.retries_left + retries)
