"""Limit how often and how soon operations are retried: backoff with full jitter, and a retry budget."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

MAX_DOUBLINGS = 32  # keeps the power finite; the maximum backoff is reached much earlier
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """The settings of retries and circuit breakers; times are milliseconds.

    With a ``budget_floor_per_s`` of 0, only successes refill the budget. Without them, ServerSelector waits
    at least ``max_backoff_ms`` before each attempt once the budget is used up.
    """

    first_backoff_ms: float = 200.0  # upper bound of the wait before the first retry; doubles with each retry
    max_backoff_ms: float = 30_000.0  # largest upper bound of the wait before a retry
    budget_share: float = 0.2  # retries that each success adds to the retry budget
    budget_floor_per_s: float = 0.1  # retries per second that are added without any success
    max_saved_retries: float = 10.0  # the most retries that the retry budget can hold
    failures_to_open: int = 3  # consecutive failures that open a server's circuit
    open_ms: float = 5_000.0  # time for which a circuit first opens; doubles with each consecutive opening
    max_open_ms: float = 120_000.0  # the longest time for which a circuit opens


def backoff_ms(retry: int, policy: RetryPolicy, generator: random.Random) -> float:
    """Return the milliseconds to wait before a retry; ``retry`` is its number, counted from 1.

    The wait has full jitter: it is uniform from 0 to an upper bound that doubles with each retry.
    """
    cap_ms = min(policy.max_backoff_ms, policy.first_backoff_ms * 2.0 ** min(retry - 1, MAX_DOUBLINGS))
    return generator.uniform(0.0, cap_ms)


class RetryBudget:
    """A budget that allows retries as a share of successes, plus a minimum rate over time."""

    def __init__(self, policy: RetryPolicy, now: float) -> None:
        self.retries_left = policy.max_saved_retries
        self.retries_delayed = 0
        self._policy = policy
        self._refilled_at_ms = now

    def record_success(self) -> None:
        """Add the share of a retry that a success earns to the budget."""
        self._deposit(self._policy.budget_share)

    def take_retry(self, now: float) -> float:
        """Take a retry from the budget and return 0, or return the milliseconds until one is available.

        Nothing is taken if the result is above 0. The result is infinity if the budget holds no retry and
        none is added over time.
        """
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
