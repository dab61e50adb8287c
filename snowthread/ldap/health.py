"""Choose the directory server to use, the time of the next attempt and the reaction to a result code.

This module does no I/O. The first server whose circuit breaker allows an attempt is used until it fails. Then
the search for the next one starts at the server after it, in the configured order and cyclically. Retries
wait for a backoff with full jitter, and a retry budget limits them to a share of the successes, so that a
fleet of nodes adds a bounded load to a failing directory, however long the failure lasts.
"""

from __future__ import annotations

import random
from enum import Enum

from snowthread.ldap.circuit_breaker import CircuitBreaker
from snowthread.ldap.result_codes import ResultCode
from snowthread.ldap.retry_budget import RetryBudget, RetryPolicy, backoff_ms


class Reaction(Enum):
    """How the client reacts to the result of an operation."""

    DONE = "done"
    RETRY = "retry"  # try the same server again after a backoff
    FAIL_OVER = "fail_over"  # record a failure of this server and use the next one
    REDUCE_PAGE_SIZE = "reduce_page_size"  # request fewer entries at a time
    FULL_REFRESH = "full_refresh"  # the cookie is invalid, so request all content (RFC 4533, section 3.8)
    FALL_BACK = "fall_back"  # this server lacks a feature, so use the next replication mode
    NEEDS_OPERATOR = "needs_operator"  # retries can't resolve it: open the circuit and use another server


_REACTIONS: dict[int, Reaction] = {
    ResultCode.SUCCESS: Reaction.DONE,
    ResultCode.OPERATIONS_ERROR: Reaction.FAIL_OVER,
    ResultCode.PROTOCOL_ERROR: Reaction.FAIL_OVER,
    ResultCode.TIME_LIMIT_EXCEEDED: Reaction.RETRY,
    ResultCode.SIZE_LIMIT_EXCEEDED: Reaction.REDUCE_PAGE_SIZE,
    ResultCode.AUTH_METHOD_NOT_SUPPORTED: Reaction.NEEDS_OPERATOR,
    ResultCode.STRONGER_AUTH_REQUIRED: Reaction.NEEDS_OPERATOR,
    ResultCode.REFERRAL: Reaction.FAIL_OVER,  # referrals are not followed: no operator configured the targets
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
    """Return the reaction to a result code; an unknown code counts as a failure of the server."""
    return _REACTIONS.get(code, Reaction.FAIL_OVER)


class ServerSelector:
    """Selects the server to use; servers are identified by their index in ``names``."""

    def __init__(self, names: tuple[str, ...], policy: RetryPolicy, now: float) -> None:
        self.names = names
        self.policy = policy
        self.budget = RetryBudget(policy, now)
        self.breakers = [CircuitBreaker(policy) for _ in names]
        self.fail_overs = 0
        self.current: int | None = None
        self._next_index = 0  # the server that is tried first by the next choice
        self._consecutive_failures = 0

    def choose(self, now: float) -> int | None:
        """Return the index of the server to use now, or None if no circuit allows an attempt.

        The server in use is preferred until it fails. After a failure the choice starts at the server after
        it, or at the same server if the reaction was RETRY. If it started at the first server instead, one
        that accepts connections and then fails would be retried before the others.
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

    def backoff_ms(self, now: float, generator: random.Random) -> float:
        """Return the milliseconds to wait before the next attempt after a failure.

        This takes a retry from the budget if one is available. The wait is the largest of the jittered
        backoff, the wait for the retry budget (at most the maximum backoff) and the time until the first
        circuit allows an attempt.
        """
        wait_ms = backoff_ms(max(1, self._consecutive_failures), self.policy, generator)
        wait_ms = max(wait_ms, min(self.budget.take_retry(now), self.policy.max_backoff_ms))
        if not any(breaker.allows(now + wait_ms) for breaker in self.breakers):
            wait_ms = max(wait_ms, min(breaker.open_until_ms for breaker in self.breakers) - now)
        return wait_ms

    def record_success(self, index: int) -> None:
        """Record that the server with this index works."""
        self._consecutive_failures = 0
        self._next_index = index
        self.breakers[index].record_success()
        self.budget.record_success()

    def record_failure(self, index: int, now: float, reaction: Reaction = Reaction.FAIL_OVER) -> bool:
        """Record a failed attempt and return whether it opened the circuit of the server."""
        self._consecutive_failures += 1
        self._next_index = index if reaction is Reaction.RETRY else (index + 1) % len(self.names)
        return self.breakers[index].record_failure(now, open_at_once=reaction is Reaction.NEEDS_OPERATOR)
