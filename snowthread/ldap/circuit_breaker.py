"""A circuit breaker per server. Pure.

It counts failures in a row. From a number on it is open for a time that doubles with each opening, up to a
maximum; then it is half open: one attempt goes through, and its end closes or reopens the circuit.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from snowthread.ldap.retry_budget import RetryPolicy

MAX_DOUBLINGS = 16  # keeps the power finite; the maximum is reached long before


class CircuitState(Enum):
    """The state of a circuit."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(slots=True)
class CircuitBreaker:
    """The circuit breaker of one server."""

    policy: RetryPolicy
    failures: int = 0  # in a row
    consecutive_opens: int = 0
    open_until_ms: float = -math.inf
    probing: bool = False  # the one attempt of the half-open state is in flight

    def state(self, now: float) -> CircuitState:
        """Return the present state."""
        if not self.consecutive_opens:
            return CircuitState.CLOSED
        return CircuitState.OPEN if now < self.open_until_ms else CircuitState.HALF_OPEN

    def allows(self, now: float) -> bool:
        """Return whether an attempt may be started; half open, there is one at a time."""
        state = self.state(now)
        return state is CircuitState.CLOSED or (state is CircuitState.HALF_OPEN and not self.probing)

    def start_attempt(self, now: float) -> None:
        """Record that an attempt starts."""
        self.probing = self.state(now) is CircuitState.HALF_OPEN

    def record_success(self) -> None:
        """Close the circuit."""
        self.failures = 0
        self.consecutive_opens = 0
        self.probing = False

    def record_failure(self, now: float, open_at_once: bool = False) -> bool:
        """Record a failed attempt and return whether the circuit opens by it.

        ``open_at_once`` is for failures that a retry can't repair.
        """
        self.failures += 1
        if not (self.probing or open_at_once or self.failures >= self.policy.failures_to_open):
            return False
        self.consecutive_opens += 1
        open_ms = self.policy.open_ms * 2.0 ** min(self.consecutive_opens - 1, MAX_DOUBLINGS)
        self.open_until_ms = now + min(self.policy.max_open_ms, open_ms)
        self.probing = False
        self.failures = 0
        return True
