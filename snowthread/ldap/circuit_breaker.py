"""A circuit breaker for one server, without I/O.

The circuit opens after a number of consecutive failures, for a time that doubles with each consecutive
opening up to a maximum. After that time it is half-open: one attempt is allowed, which closes the circuit if
it succeeds and opens it again if it fails.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from snowthread.ldap.retry_budget import RetryPolicy

MAX_DOUBLINGS = 16  # keeps the power finite; the maximum open time is reached much earlier


class CircuitState(Enum):
    """The state of a circuit."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(slots=True)
class CircuitBreaker:
    """The circuit breaker of one server; times are milliseconds."""

    policy: RetryPolicy
    consecutive_failures: int = 0  # failures since the last success or opening of the circuit
    consecutive_opens: int = 0  # openings of the circuit since the last success
    open_until_ms: float = -math.inf
    half_open_attempt_in_progress: bool = False  # the half-open state allows one attempt at a time

    def state(self, now: float) -> CircuitState:
        """Return the current state."""
        if not self.consecutive_opens:
            return CircuitState.CLOSED
        return CircuitState.OPEN if now < self.open_until_ms else CircuitState.HALF_OPEN

    def allows(self, now: float) -> bool:
        """Return whether an attempt may start; the half-open state allows one at a time."""
        state = self.state(now)
        return state is CircuitState.CLOSED or (
            state is CircuitState.HALF_OPEN and not self.half_open_attempt_in_progress
        )

    def start_attempt(self, now: float) -> None:
        """Record that an attempt starts."""
        self.half_open_attempt_in_progress = self.state(now) is CircuitState.HALF_OPEN

    def record_success(self) -> None:
        """Record that an attempt succeeded, and close the circuit."""
        self.consecutive_failures = 0
        self.consecutive_opens = 0
        self.half_open_attempt_in_progress = False

    def record_failure(self, now: float, open_at_once: bool = False) -> bool:
        """Record a failed attempt and return whether it opened the circuit.

        ``open_at_once`` opens it after this one failure, for failures that a retry can't resolve.
        """
        self.consecutive_failures += 1
        if not (
            self.half_open_attempt_in_progress
            or open_at_once
            or self.consecutive_failures >= self.policy.failures_to_open
        ):
            return False
        self.consecutive_opens += 1
        open_ms = self.policy.open_ms * 2.0 ** min(self.consecutive_opens - 1, MAX_DOUBLINGS)
        self.open_until_ms = now + min(self.policy.max_open_ms, open_ms)
        self.half_open_attempt_in_progress = False
        self.consecutive_failures = 0
        return True
