"""Paces runs and calls until this node and the fleet are warm, so that a recovery overloads nothing.

The methods take the time as ``now_ms``, in milliseconds of Unix time; random draws come from a
seeded generator::

    phase       event                                next
    ----------  -----------------------------------  ------------------------------------------
    recovering  the slow start is complete           recovered
    recovered   the registry lists cold nodes        recovered, calls still limited by the budget
    recovered   the registry lists no cold nodes     recovered, nothing is paced
    recovered   the slow start records a loss        recovering

A call that can't be skipped is queued. The calls of runs that have made the most calls go first, because the
most work would be lost with these runs. While calls are paced, a call that can be skipped is granted
only on a cold node, and only if no other call is queued, a slot is free and the budget holds the reserve of
``SKIPPABLE_RESERVE_TOKENS`` besides its own token.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from snowthread.admission.backoff import Backoff
from snowthread.admission.call_budget import CallBudget
from snowthread.admission.slow_start import SlowStart

# Tokens that must stay in the budget after a skippable call, for calls that can't be skipped.
SKIPPABLE_RESERVE_TOKENS = 0.3
IDLE_BUDGET_RATIO = 0.8  # part of the budget's capacity from which the budget counts as unused
MAX_QUEUED_CALLS = 64  # calls in the queue at most; further calls are denied at once
MIN_RELEASE_INTERVAL_MS = 5.0  # shortest time in milliseconds between two releases of queued calls
MAX_RELEASE_INTERVAL_MS = 50.0  # longest time in milliseconds between two releases of queued calls
AVERAGED_CALLS = 8.0  # calls that the usual duration of a call is averaged over


class CallPermission(Enum):
    """The decision on a call that a run wants to start."""

    GRANTED = "go"
    QUEUED = "wait"
    DENIED = "deny"


@dataclass(slots=True)
class QueuedCall:
    """A call that waits in the queue."""

    attempt_id: str
    calls_made: int  # calls that its run made before this one
    expires_at_ms: float  # when it is denied if it still waits, in milliseconds


class ReleasedCalls(NamedTuple):
    """Attempts whose calls have left the queue."""

    granted: list[str]
    expired: list[str]


@dataclass(slots=True)
class RecoveryPacer:
    """The recovery of one node, paced by its measurements and the registry's view of the fleet."""

    slow_start: SlowStart
    budget: CallBudget
    backoff: Backoff
    database_slots: float  # calls that the database works on at a time
    random: random.Random
    sharing_nodes: int = 1  # nodes that share the budget and the slots, this one included
    other_cold_nodes: int = 0
    queued_calls: list[QueuedCall] = field(default_factory=list)
    # Start of each call in milliseconds, by attempt.
    calls_in_flight: dict[str, float] = field(default_factory=dict)
    # Expected ends, in milliseconds, of the calls that were given up, on which the database still works.
    given_up_until_ms: list[float] = field(default_factory=list)
    usual_call_ms: float = 0.0  # average duration of recent calls in milliseconds; 0: unknown
    # The database could not be connected to, and no call is started before this time in milliseconds.
    unreachable_until_ms: float = 0.0
    last_loss_at_ms: float = -math.inf
    denied_calls: int = 0

    @property
    def cold(self) -> bool:
        """True while this node recovers: from its start, and again after a loss."""
        return not self.slow_start.is_complete

    @property
    def is_pacing(self) -> bool:
        """True while calls are limited by the budget."""
        return self.cold or self.other_cold_nodes > 0

    def update_fleet(self, listed: int, cold: int) -> None:
        """Update the counts of nodes from the registry.

        ``listed`` counts all nodes and ``cold`` the cold ones; this node is among them once the
        registry knows it.
        """
        self.sharing_nodes = max(1, listed)
        self.other_cold_nodes = max(0, cold - self.cold)
        self.budget.set_sharing_nodes(self.sharing_nodes)

    def _has_free_slot(self, now_ms: float) -> bool:
        """Return whether one more call may be in flight.

        The fractional part of this node's slots is the probability of one more slot.
        """
        self._drop_finished_given_up(now_ms)
        slots = max(1.0, self.database_slots / self.sharing_nodes)
        limit = int(slots) + (self.random.random() < slots % 1.0)
        in_use = len(self.calls_in_flight) + len(self.given_up_until_ms)
        return in_use < limit and now_ms >= self.unreachable_until_ms

    def _drop_finished_given_up(self, now_ms: float) -> None:
        self.given_up_until_ms = [ends_at_ms for ends_at_ms in self.given_up_until_ms if ends_at_ms > now_ms]

    def has_idle_budget(self, now_ms: float) -> bool:
        """Return whether this node is cold and its budget unused: then runs that warm it up go first."""
        self.budget.refill(now_ms)
        return self.cold and self.budget.tokens >= IDLE_BUDGET_RATIO * self.budget.capacity()

    def request_call(
        self, now_ms: float, attempt_id: str, calls_made: int, skippable: bool, expires_at_ms: float
    ) -> CallPermission:
        """Decide on a call that a run wants to start.

        The result is GRANTED if the call may start now. Otherwise it is DENIED if the call can be skipped
        or the queue is full, and else QUEUED until the call is released or expires.
        """
        if not self.is_pacing:
            self.calls_in_flight[attempt_id] = now_ms
            return CallPermission.GRANTED
        # While nodes are cold, a warm node skips its skippable calls, so that the calls that warm up a cold
        # node go first.
        is_next = not self.queued_calls and (self.cold or not skippable)
        min_remaining = SKIPPABLE_RESERVE_TOKENS if skippable else 0.0
        if is_next and self._has_free_slot(now_ms) and self.budget.try_acquire(now_ms, min_remaining):
            self.calls_in_flight[attempt_id] = now_ms
            return CallPermission.GRANTED
        if skippable or len(self.queued_calls) >= MAX_QUEUED_CALLS:
            self.denied_calls += 1
            return CallPermission.DENIED
        self.queued_calls.append(QueuedCall(attempt_id, calls_made, expires_at_ms))
        return CallPermission.QUEUED

    def release_calls(self, now_ms: float) -> ReleasedCalls:
        """Remove the calls that may start now, and the expired ones, from the queue."""
        expired = [call.attempt_id for call in self.queued_calls if call.expires_at_ms <= now_ms]
        self.queued_calls = [call for call in self.queued_calls if call.expires_at_ms > now_ms]
        self.denied_calls += len(expired)
        granted: list[str] = []
        self.queued_calls.sort(key=lambda call: (-call.calls_made, call.expires_at_ms))
        while self.queued_calls and (not self.is_pacing or self._try_acquire_call(now_ms)):
            attempt_id = self.queued_calls.pop(0).attempt_id
            self.calls_in_flight[attempt_id] = now_ms
            granted.append(attempt_id)
        return ReleasedCalls(granted, expired)

    def _try_acquire_call(self, now_ms: float) -> bool:
        return self._has_free_slot(now_ms) and self.budget.try_acquire(now_ms)

    def next_release_at_ms(self, now_ms: float) -> float:
        """Return when to call ``release_calls`` again while calls are queued."""
        token_at_ms = self.budget.next_token_at_ms(now_ms)
        return max(now_ms + MIN_RELEASE_INTERVAL_MS, min(token_at_ms, now_ms + MAX_RELEASE_INTERVAL_MS))

    def call_cancelled(self, now_ms: float, attempt_id: str) -> None:
        """Remove a call; the database works on it for as long as a call usually takes."""
        self.queued_calls = [call for call in self.queued_calls if call.attempt_id != attempt_id]
        called_at_ms = self.calls_in_flight.pop(attempt_id, None)
        if called_at_ms is None:
            return
        # A warm node does not look for free slots, so finished calls have to be removed here.
        self._drop_finished_given_up(now_ms)
        duration_ms = self.usual_call_ms or self.budget.base_latency_ms
        self.given_up_until_ms.append(max(now_ms, called_at_ms + duration_ms))

    def call_ended(self, now_ms: float, attempt_id: str, reached: bool, shows_latency: bool) -> None:
        """Process the end of a call.

        ``reached`` says whether there was a connection, ``shows_latency`` whether the duration of the
        call is the latency of the database.
        """
        called_at_ms = self.calls_in_flight.pop(attempt_id, None)
        if called_at_ms is None:
            return
        if not reached:
            self.unreachable_until_ms = now_ms + self.backoff.next_delay_ms(self.random)
            return
        self.backoff.reset()
        if shows_latency:
            duration_ms = now_ms - called_at_ms
            change_ms = (
                (duration_ms - self.usual_call_ms) / AVERAGED_CALLS if self.usual_call_ms else duration_ms
            )
            self.usual_call_ms += change_ms
            self.budget.record_latency(now_ms, duration_ms)

    def run_ended(self, now_ms: float, in_time: bool, objective_ms: float) -> None:
        """Process the end of a run, within its latency objective (``in_time``) or not.

        Losses within one latency objective count once: runs that began before the last cut say
        nothing about the window since then.
        """
        if in_time:
            self.slow_start.success(now_ms)
        elif now_ms - self.last_loss_at_ms >= objective_ms:
            self.last_loss_at_ms = now_ms
            self.slow_start.loss()
