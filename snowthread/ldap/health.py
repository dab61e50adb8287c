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
    AGAIN = "again"  # the same server may do it after a pause
    ELSEWHERE = "elsewhere"  # this server can't now: count it against it and go to the next
    SMALLER = "smaller"  # ask for less at a time: pages
    RESTART = "restart"  # the cookie is of no use: a whole refresh (RFC 4533, section 3.3)
    WITHOUT = "without"  # this server lacks what was asked: go down the ladder of modes
    OPERATOR = "operator"  # only people can put this right; try slowly, elsewhere first


# RFC 4511, section 4.1.9 and appendix A; 4096 is e-syncRefreshRequired of RFC 4533.
_REACTIONS: dict[int, Reaction] = {
    0: Reaction.DONE,
    1: Reaction.ELSEWHERE,  # operationsError
    2: Reaction.ELSEWHERE,  # protocolError: also what servers say to an extension they don't know
    3: Reaction.AGAIN,  # timeLimitExceeded
    4: Reaction.SMALLER,  # sizeLimitExceeded
    7: Reaction.OPERATOR,  # authMethodNotSupported
    8: Reaction.OPERATOR,  # strongerAuthRequired
    10: Reaction.ELSEWHERE,  # referral: not followed to addresses that no operator named
    11: Reaction.SMALLER,  # adminLimitExceeded
    12: Reaction.WITHOUT,  # unavailableCriticalExtension
    13: Reaction.OPERATOR,  # confidentialityRequired
    32: Reaction.OPERATOR,  # noSuchObject
    34: Reaction.OPERATOR,  # invalidDNSyntax
    48: Reaction.OPERATOR,  # inappropriateAuthentication
    49: Reaction.OPERATOR,  # invalidCredentials
    50: Reaction.OPERATOR,  # insufficientAccessRights
    51: Reaction.AGAIN,  # busy
    52: Reaction.ELSEWHERE,  # unavailable
    53: Reaction.WITHOUT,  # unwillingToPerform
    80: Reaction.ELSEWHERE,  # other
    4096: Reaction.RESTART,
}


def reaction(code: int) -> Reaction:
    """What to do about a result; a code that is not known is the server's trouble, not ours."""
    return _REACTIONS.get(code, Reaction.ELSEWHERE)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often and how soon things are tried again. Times are milliseconds."""

    pause_ms: float = 200.0  # before the first repeat, doubled for each further one
    pause_most_ms: float = 30_000.0
    budget_share: float = 0.2  # repeats as a share of first tries
    budget_floor_per_s: float = 0.1  # and so many a second in any case, or nothing would ever come back
    budget_saved: float = 10.0  # repeats that may be saved up
    failures: int = 3  # in a row, from which a server's breaker opens
    open_ms: float = 5_000.0  # first time, doubled up to
    open_most_ms: float = 120_000.0


def backoff_ms(attempt: int, patience: RetryPolicy, rng: random.Random) -> float:
    """Milliseconds before repeat number ``attempt`` (from 1): full jitter, uniform from 0 to the cap."""
    cap = min(patience.pause_most_ms, patience.pause_ms * 2.0 ** min(attempt - 1, 32))
    return rng.uniform(0.0, cap)


class Budget:
    """Repeats as a share of first tries, with a floor in time."""

    def __init__(self, patience: RetryPolicy, now: float) -> None:
        self._p, self._at = patience, now
        self.left = patience.budget_saved
        self.refused = 0  # repeats that had to wait

    def first(self) -> None:
        """A first try goes out: it earns its share of a repeat."""
        self.left = min(self._p.budget_saved, self.left + self._p.budget_share)

    def again(self, now: float) -> float:
        """May a repeat go out? 0 and it is paid for; else the milliseconds until one may."""
        self.left = min(
            self._p.budget_saved, self.left + max(0.0, now - self._at) / 1000.0 * self._p.budget_floor_per_s
        )
        self._at = now
        if self.left >= 1.0:
            self.left -= 1.0
            return 0.0
        self.refused += 1
        if self._p.budget_floor_per_s <= 0.0:
            return math.inf
        return (1.0 - self.left) / self._p.budget_floor_per_s * 1000.0


class Circuit(Enum):
    """A breaker's state."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


@dataclass(slots=True)
class Breaker:
    """One server's breaker."""

    patience: RetryPolicy
    failures: int = 0
    opened: int = 0  # times in a row that it opened
    until: float = -math.inf
    probing: bool = False

    def state(self, now: float) -> Circuit:
        """Where it stands now."""
        if not self.opened:
            return Circuit.CLOSED
        return Circuit.OPEN if now < self.until else Circuit.HALF_OPEN

    def lets(self, now: float) -> bool:
        """May the server be tried? Half open it takes one probe at a time."""
        state = self.state(now)
        return state is Circuit.CLOSED or (state is Circuit.HALF_OPEN and not self.probing)

    def begin(self, now: float) -> None:
        """A try goes out."""
        self.probing = self.state(now) is Circuit.HALF_OPEN

    def succeeded(self) -> None:
        """The server did what was asked."""
        self.failures = self.opened = 0
        self.probing = False

    def failed(self, now: float, at_once: bool = False) -> bool:
        """A try failed; True where the breaker opens by it. ``at_once``: repeats can't help."""
        self.failures += 1
        if self.probing or at_once or self.failures >= self.patience.failures:
            self.opened += 1
            length = self.patience.open_ms * 2.0 ** min(self.opened - 1, 16)
            self.until = now + min(self.patience.open_most_ms, length)
            self.probing, self.failures = False, 0
            return True
        return False


class Servers:
    """The servers in their order: whom to ask now."""

    def __init__(self, names: tuple[str, ...], patience: RetryPolicy, now: float) -> None:
        self.names = names
        self.patience = patience
        self.budget = Budget(patience, now)
        self.breakers = [Breaker(patience) for _ in names]
        self.fail_overs = 0
        self.current: int | None = None
        self._from = 0  # where the search for a server begins
        self._attempt = 0  # failures since the last success

    def choose(self, now: float) -> int | None:
        """The number of the server to try now, None while no breaker lets one be tried. The one last used
        goes first while it works; after a failure the order counts from the next one on, so that a server
        that accepts and then fails is not tried over and over before the others."""
        count = len(self.names)
        for step in range(count):
            n = (self._from + step) % count
            if self.breakers[n].lets(now):
                self.breakers[n].begin(now)
                if self.current is not None and n != self.current:
                    self.fail_overs += 1
                self.current = self._from = n
                return n
        return None

    def wait(self, now: float, rng: random.Random) -> float:
        """Milliseconds until the next try after a failure: jitter, budget and breakers together."""
        ms = backoff_ms(max(1, self._attempt), self.patience, rng)
        ms = max(ms, min(self.budget.again(now), self.patience.pause_most_ms))
        if not any(b.lets(now + ms) for b in self.breakers):
            ms = max(ms, min(b.until for b in self.breakers) - now)
        return ms

    def succeeded(self, n: int) -> None:
        """A session stands and works."""
        self._attempt = 0
        self._from = n
        self.breakers[n].succeeded()
        self.budget.first()

    def failed(self, n: int, now: float, what: Reaction = Reaction.ELSEWHERE) -> bool:
        """A try failed; True where the breaker of that server opens."""
        self._attempt += 1
        self._from = n if what is Reaction.AGAIN else (n + 1) % len(self.names)
        return self.breakers[n].failed(now, at_once=what is Reaction.OPERATOR)

    def lines(self, now: float) -> list[str]:
        """For people."""
        return [
            f"{name}: {b.state(now).value}, {b.failures} failures in a row"
            for name, b in zip(self.names, self.breakers, strict=True)
        ]
