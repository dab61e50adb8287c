"""Decisions about directory servers, free of I/O: whom to ask, when again, what each result code means.

Servers stand in an order. The first whose breaker lets it be tried is asked; one in use stays so until it
fails. A breaker counts failures in a row: from a number on it is open for a while that doubles up to a most,
then half open: one probe goes through, and its end closes or reopens it. Repeats come after a pause with full
jitter, and only while a budget that is a share of the operations lasts: a fleet of nodes then adds a bounded
load to a directory in trouble, however long that lasts.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import Enum


class Reaction(Enum):
    """What an operation's result asks for."""

    DONE = "done"
    RETRY = "again"  # the same server may do it after a pause
    FAIL_OVER = "elsewhere"  # this server can't now: count it against it and go to the next
    REDUCE_PAGE_SIZE = "smaller"  # ask for less at a time: pages
    FULL_REFRESH = "restart"  # the cookie is of no use: a whole refresh (RFC 4533, section 3.3)
    FALL_BACK = "without"  # this server lacks what was asked: go down the ladder of modes
    NEEDS_OPERATOR = "operator"  # only people can put this right; try slowly, elsewhere first


# RFC 4511, section 4.1.9 and appendix A; 4096 is e-syncRefreshRequired of RFC 4533.
_REACTIONS: dict[int, Reaction] = {
    0: Reaction.DONE,
    1: Reaction.FAIL_OVER,  # operationsError
    2: Reaction.FAIL_OVER,  # protocolError: also what servers say to an extension they don't know
    3: Reaction.RETRY,  # timeLimitExceeded
    4: Reaction.REDUCE_PAGE_SIZE,  # sizeLimitExceeded
    7: Reaction.NEEDS_OPERATOR,  # authMethodNotSupported
    8: Reaction.NEEDS_OPERATOR,  # strongerAuthRequired
    10: Reaction.FAIL_OVER,  # referral: not followed to addresses that no operator named
    11: Reaction.REDUCE_PAGE_SIZE,  # adminLimitExceeded
    12: Reaction.FALL_BACK,  # unavailableCriticalExtension
    13: Reaction.NEEDS_OPERATOR,  # confidentialityRequired
    32: Reaction.NEEDS_OPERATOR,  # noSuchObject
    34: Reaction.NEEDS_OPERATOR,  # invalidDNSyntax
    48: Reaction.NEEDS_OPERATOR,  # inappropriateAuthentication
    49: Reaction.NEEDS_OPERATOR,  # invalidCredentials
    50: Reaction.NEEDS_OPERATOR,  # insufficientAccessRights
    51: Reaction.RETRY,  # busy
    52: Reaction.FAIL_OVER,  # unavailable
    53: Reaction.FALL_BACK,  # unwillingToPerform
    80: Reaction.FAIL_OVER,  # other
    4096: Reaction.FULL_REFRESH,
}


def reaction_to(code: int) -> Reaction:
    """What to do about a result; a code that is not known is the server's trouble, not ours."""
    return _REACTIONS.get(code, Reaction.FAIL_OVER)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often and how soon things are tried again. Times are milliseconds."""

    first_backoff_ms: float = 200.0  # before the first repeat, doubled for each further one
    max_backoff_ms: float = 30_000.0
    budget_share: float = 0.2  # repeats as a share of first tries
    budget_floor_per_s: float = 0.1  # and so many a second in any case, or nothing would ever come back
    max_saved_retries: float = 10.0  # repeats that may be saved up
    failures_to_open: int = 3  # in a row, from which a server's breaker opens
    open_ms: float = 5_000.0  # first time, doubled up to
    max_open_ms: float = 120_000.0


def backoff_ms(attempt: int, policy: RetryPolicy, rng: random.Random) -> float:
    """Milliseconds before repeat number ``attempt`` (from 1): full jitter, uniform from 0 to the cap."""
    cap = min(policy.max_backoff_ms, policy.first_backoff_ms * 2.0 ** min(attempt - 1, 32))
    return rng.uniform(0.0, cap)


class RetryBudget:
    """Repeats as a share of first tries, with a floor in time."""

    def __init__(self, policy: RetryPolicy, now: float) -> None:
        self._policy, self._refilled_at_ms = policy, now
        self.retries_left = policy.max_saved_retries
        self.retries_delayed = 0  # repeats that had to wait

    def record_success(self) -> None:
        """A first try goes out: it earns its share of a repeat."""
        self.retries_left = min(self._policy.max_saved_retries, self.retries_left + self._policy.budget_share)

    def take_retry(self, now: float) -> float:
        """May a repeat go out? 0 and it is paid for; else the milliseconds until one may."""
        self.retries_left = min(
            self._policy.max_saved_retries,
            self.retries_left
            + max(0.0, now - self._refilled_at_ms) / 1000.0 * self._policy.budget_floor_per_s,
        )
        self._refilled_at_ms = now
        if self.retries_left >= 1.0:
            self.retries_left -= 1.0
            return 0.0
        self.retries_delayed += 1
        if self._policy.budget_floor_per_s <= 0.0:
            return math.inf
        return (1.0 - self.retries_left) / self._policy.budget_floor_per_s * 1000.0


class CircuitState(Enum):
    """A breaker's state."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(slots=True)
class CircuitBreaker:
    """One server's breaker."""

    policy: RetryPolicy
    failures: int = 0
    consecutive_opens: int = 0  # times in a row that it opened
    open_until_ms: float = -math.inf
    probing: bool = False

    def state(self, now: float) -> CircuitState:
        """Where it stands now."""
        if not self.consecutive_opens:
            return CircuitState.CLOSED
        return CircuitState.OPEN if now < self.open_until_ms else CircuitState.HALF_OPEN

    def allows(self, now: float) -> bool:
        """May the server be tried? Half open it takes one probe at a time."""
        state = self.state(now)
        return state is CircuitState.CLOSED or (state is CircuitState.HALF_OPEN and not self.probing)

    def start_attempt(self, now: float) -> None:
        """A try goes out."""
        self.probing = self.state(now) is CircuitState.HALF_OPEN

    def record_success(self) -> None:
        """The server did what was asked."""
        self.failures = self.consecutive_opens = 0
        self.probing = False

    def record_failure(self, now: float, at_once: bool = False) -> bool:
        """A try failed; True where the breaker opens by it. ``at_once``: repeats can't help."""
        self.failures += 1
        if self.probing or at_once or self.failures >= self.policy.failures_to_open:
            self.consecutive_opens += 1
            length = self.policy.open_ms * 2.0 ** min(self.consecutive_opens - 1, 16)
            self.open_until_ms = now + min(self.policy.max_open_ms, length)
            self.probing, self.failures = False, 0
            return True
        return False


class ServerSelector:
    """The servers in their order: whom to ask now."""

    def __init__(self, names: tuple[str, ...], policy: RetryPolicy, now: float) -> None:
        self.names = names
        self.policy = policy
        self.budget = RetryBudget(policy, now)
        self.breakers = [CircuitBreaker(policy) for _ in names]
        self.fail_overs = 0
        self.current: int | None = None
        self._next_index = 0  # where the search for a server begins
        self._consecutive_failures = 0  # failures since the last success

    def choose(self, now: float) -> int | None:
        """The number of the server to try now, None while no breaker lets one be tried. The one last used
        goes first while it works; after a failure the order counts from the next one on, so that a server
        that accepts and then fails is not tried over and over before the others."""
        count = len(self.names)
        for step in range(count):
            n = (self._next_index + step) % count
            if self.breakers[n].allows(now):
                self.breakers[n].start_attempt(now)
                if self.current is not None and n != self.current:
                    self.fail_overs += 1
                self.current = self._next_index = n
                return n
        return None

    def backoff_ms(self, now: float, rng: random.Random) -> float:
        """Milliseconds until the next try after a failure: jitter, budget and breakers together."""
        ms = backoff_ms(max(1, self._consecutive_failures), self.policy, rng)
        ms = max(ms, min(self.budget.take_retry(now), self.policy.max_backoff_ms))
        if not any(b.allows(now + ms) for b in self.breakers):
            ms = max(ms, min(b.open_until_ms for b in self.breakers) - now)
        return ms

    def record_success(self, n: int) -> None:
        """A session stands and works."""
        self._consecutive_failures = 0
        self._next_index = n
        self.breakers[n].record_success()
        self.budget.record_success()

    def record_failure(self, n: int, now: float, what: Reaction = Reaction.FAIL_OVER) -> bool:
        """A try failed; True where the breaker of that server opens."""
        self._consecutive_failures += 1
        self._next_index = n if what is Reaction.RETRY else (n + 1) % len(self.names)
        return self.breakers[n].record_failure(now, at_once=what is Reaction.NEEDS_OPERATOR)

    def lines(self, now: float) -> list[str]:
        """For people."""
        return [
            f"{name}: {b.state(now).value}, {b.failures} failures in a row"
            for name, b in zip(self.names, self.breakers, strict=True)
        ]
