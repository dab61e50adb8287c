"""Decisions about directory servers: which one is next, when, and what each result code asks for. Pure.

The servers have an order. The first whose circuit breaker allows it is used, and stays in use until it fails.
Retries come after a backoff with full jitter, and only as far as a budget that is a share of the successes
lasts: a fleet of nodes then adds a bounded load to a failing directory, however long it fails.
"""

from __future__ import annotations

import random
from enum import Enum

from snowthread.ldap.circuit_breaker import CircuitBreaker
from snowthread.ldap.result_codes import ResultCode
from snowthread.ldap.retry_budget import RetryBudget, RetryPolicy, backoff_ms


class Reaction(Enum):
    """What the result of an operation asks for."""

    DONE = "done"
    RETRY = "retry"  # the same server may do it after a backoff
    FAIL_OVER = "fail_over"  # this server can't do it now: count a failure and use the next
    REDUCE_PAGE_SIZE = "reduce_page_size"  # ask for less at a time
    FULL_REFRESH = "full_refresh"  # the cookie is of no use (RFC 4533, section 3.8)
    FALL_BACK = "fall_back"  # this server lacks what was asked for: use the next replication mode
    NEEDS_OPERATOR = "needs_operator"  # retries can't repair it: open the circuit, use another server


_REACTIONS: dict[int, Reaction] = {
    ResultCode.SUCCESS: Reaction.DONE,
    ResultCode.OPERATIONS_ERROR: Reaction.FAIL_OVER,
    ResultCode.PROTOCOL_ERROR: Reaction.FAIL_OVER,
    ResultCode.TIME_LIMIT_EXCEEDED: Reaction.RETRY,
    ResultCode.SIZE_LIMIT_EXCEEDED: Reaction.REDUCE_PAGE_SIZE,
    ResultCode.AUTH_METHOD_NOT_SUPPORTED: Reaction.NEEDS_OPERATOR,
    ResultCode.STRONGER_AUTH_REQUIRED: Reaction.NEEDS_OPERATOR,
    ResultCode.REFERRAL: Reaction.FAIL_OVER,  # not followed to addresses that no operator named
    ResultCode.ADMIN_LIMIT_EXCEEDED: Reaction.REDUCE_PAGE_SIZE,
    ResultCode.UNAVAILABLE_CRITICAL_EXTENSION: Reaction.FALL_BACK,
    ResultCode.CONFIDENTIALITY_REQUIRED: Reaction.NEEDS_OPERATOR,
    ResultCode.NO_SUCH_OBJECT: Reaction.NEEDS_OPERATOR,
    ResultCode.INVALID_DN_SYNTAX: Reaction.NEEDS_OPERATOR,
    ResultCode.INAPPROPRIATE_AUTHENTICATION: Reaction.NEEDS_OPERATOR,
    ResultCode.INVALID_CREDENTIALS: Reaction.NEEDS_OPERATOR,
    ResultCode.INSUFFICIENT_ACCESS_RIGHTS: Reaction.NEEDS_OPERATOR,
    ResultCode.BUSY: Reaction.RETRY,
    ResultCode.UNAVAILABLE: Reaction.FAIL_OVER,
    ResultCode.UNWILLING_TO_PERFORM: Reaction.FALL_BACK,
    ResultCode.OTHER: Reaction.FAIL_OVER,
    ResultCode.SYNC_REFRESH_REQUIRED: Reaction.FULL_REFRESH,
}


def reaction_to(code: int) -> Reaction:
    """Return the reaction to a result code; an unknown one is the server's failure."""
    return _REACTIONS.get(code, Reaction.FAIL_OVER)


class ServerSelector:
    """Selects the server to use, in their order."""

    def __init__(self, names: tuple[str, ...], policy: RetryPolicy, now: float) -> None:
        self.names = names
        self.policy = policy
        self.budget = RetryBudget(policy, now)
        self.breakers = [CircuitBreaker(policy) for _ in names]
        self.fail_overs = 0
        self.current: int | None = None
        self._next_index = 0  # where the search for a server begins
        self._consecutive_failures = 0

    def choose(self, now: float) -> int | None:
        """Return the index of the server to use now, or None if no circuit allows an attempt.

        The one in use is preferred while it works. After a failure the order counts from the next one on, so
        that a server that accepts connections and then fails is not retried over and over before the others.
        """
        count = len(self.names)
        for offset in range(count):
            index = (self._next_index + offset) % count
            if not self.breakers[index].allows(now):
                continue
            self.breakers[index].start_attempt(now)
            if self.current is not None and index != self.current:
                self.fail_overs += 1
            self.current = index
            self._next_index = index
            return index
        return None

    def backoff_ms(self, now: float, rng: random.Random) -> float:
        """Return the milliseconds until the next attempt after a failure.

        It is the largest of the jittered backoff, the wait for the retry budget (capped) and the wait until
        the first circuit allows an attempt.
        """
        wait_ms = backoff_ms(max(1, self._consecutive_failures), self.policy, rng)
        wait_ms = max(wait_ms, min(self.budget.take_retry(now), self.policy.max_backoff_ms))
        if not any(breaker.allows(now + wait_ms) for breaker in self.breakers):
            wait_ms = max(wait_ms, min(breaker.open_until_ms for breaker in self.breakers) - now)
        return wait_ms

    def record_success(self, index: int) -> None:
        """Record that a server does its work."""
        self._consecutive_failures = 0
        self._next_index = index
        self.breakers[index].record_success()
        self.budget.record_success()

    def record_failure(self, index: int, now: float, reaction: Reaction = Reaction.FAIL_OVER) -> bool:
        """Record a failed attempt and return whether the server's circuit opens by it."""
        self._consecutive_failures += 1
        self._next_index = index if reaction is Reaction.RETRY else (index + 1) % len(self.names)
        return self.breakers[index].record_failure(now, open_at_once=reaction is Reaction.NEEDS_OPERATOR)
