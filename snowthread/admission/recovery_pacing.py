"""Coming back without a stampede: the decisions of a cold node, beside the module and outside its 800 lines.

Pure: every call takes ``now_ms`` (float ms of the one clock) and, where it draws, a seeded ``random.Random``.

``Ramp``, an admission window in runs in flight (TCP's slow start, grown on measured success, not a timer)::

    state    event                          next
    -------  -----------------------------  ------------------------------------------------
    growing  success within the goal time   window += 1 (doubles a round), <= ceiling
    growing  loss (refused, late, timeout)  window = max(start, window * cut); ssthresh = that
    growing  success over ssthresh          window += 1 / window (one a round)
    growing  window == ceiling for settle   full
    full     loss                           growing, as above

``Backoff``: AWS's decorrelated jitter, ``sleep = min(cap, uniform(base, 3 * sleep))``; ``reset`` on success.

``ColdBudget``: calls to the shared database a second allowed to this node, the fleet's budget over the number
of nodes that share it (at least 1); cut by half, once a call's time, where the database's latency is over
``slow_factor`` times its prior, grown back by a tenth a second and by each quick call. A token bucket of
``burst_s`` worth.

``Return``: what a node does about its calls and its runs from its start until it is warm, and while others of
the fleet are cold::

    phase      event                                   next
    ---------  --------------------------------------  --------------------------------------------------
    returning  the ramp is full                        settled
    settled    the roster tells of cold nodes          settled, calls still within the budget
    settled    the roster tells of none                settled, nothing is held back
    settled    -                                       (a new start is a new ``Return``)

A call that can't be skipped waits its turn: those of runs that have made most calls first, as theirs would be
lost else. One that can be skipped goes only while none waits and there is more than a call's room.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from enum import Enum

QUICK_GROWS = 1.1  # factor of the share for each quick call: doubled after seven
SHARE_LEAST = 0.2  # of the fair rate: a database five times slower bears as much
FLEET_SHARE = 0.95  # of what the database gets done is given out: what is abandoned is done all the same
BURST_S = 0.5  # of a node's rate that may go at once: a fleet's bursts add up
SPARE = 0.3  # of a call that has to be left for those that can't be skipped
IDLE = 0.8  # of what may be saved up of the budget: so much saved, it lies idle
WAITING_MOST = 64  # calls that wait for their turn; more are turned away at once


@dataclass(slots=True)
class SlowStart:
    """How many runs a cold node lets in at a time."""

    max_window: float  # the run limit the node would have warm
    min_window: float = 1.0
    backoff_factor: float = 0.5
    settle_ms: float = 2000.0
    window: float = 0.0
    ssthresh: float = math.inf
    at_ceiling_since: float | None = None
    complete: bool = False
    held_open: bool = False  # not full yet, whatever the window: the machine is known to be cold still
    loss_count: int = 0

    def __post_init__(self) -> None:
        if not 0 < self.backoff_factor < 1 or self.min_window < 1 or self.max_window < self.min_window:
            raise ValueError(
                f"a ramp of start {self.min_window}, ceiling {self.max_window}, cut {self.backoff_factor}"
            )
        self.window = max(self.window, self.min_window)

    def admits(self, in_flight: int) -> bool:
        """Whether one more run may start now, with ``in_flight`` going on."""
        return self.complete or in_flight < math.floor(self.window)

    def success(self, now_ms: float) -> None:
        """A run ended within its goal time."""
        if self.complete:
            return
        step = 1.0 if self.window < self.ssthresh else 1.0 / self.window
        self.window = min(self.max_window, self.window + step)
        if self.window >= self.max_window:
            if self.at_ceiling_since is None:
                self.at_ceiling_since = now_ms
            elif now_ms - self.at_ceiling_since >= self.settle_ms and not self.held_open:
                self.complete = True

    def loss(self, now_ms: float) -> None:
        """The runtime refused, or a run was late or timed out: too much was let in."""
        self.loss_count += 1
        self.complete = False
        self.window = max(self.min_window, self.window * self.backoff_factor)
        self.ssthresh = self.window
        self.at_ceiling_since = None


@dataclass(slots=True)
class Backoff:
    """When to try a peer again after a failed connection or call."""

    base_ms: float = 50.0
    cap_ms: float = 5000.0
    delay_ms: float = 0.0

    def __post_init__(self) -> None:
        if not 0 < self.base_ms <= self.cap_ms:
            raise ValueError(f"a backoff of base {self.base_ms} ms and cap {self.cap_ms} ms")
        self.delay_ms = self.delay_ms or self.base_ms

    def next_delay_ms(self, draw: random.Random) -> float:
        """A try failed: how long to wait before the next, in ms."""
        self.delay_ms = min(self.cap_ms, draw.uniform(self.base_ms, 3.0 * self.delay_ms))
        return self.delay_ms

    def reset(self) -> None:
        self.delay_ms = self.base_ms


@dataclass(slots=True)
class CallBudget:
    """Cold calls to the shared formula database that this node may make."""

    fleet_per_s: float  # what the database bears of cold calls from the whole fleet
    prior_ms: float  # its latency when well
    slow_factor: float = 3.0
    sharing_nodes: int = 1  # that share the budget
    burst_s: float = 1.0
    share: float = 1.0  # of the fair rate, cut on slowness
    tokens: float = 0.0
    at_ms: float | None = None
    refused: int = 0
    cut_at: float = -math.inf

    def rate(self) -> float:
        """Calls a second allowed now."""
        return self.fleet_per_s * self.share / max(1, self.sharing_nodes)

    def set_sharing_nodes(self, cold_nodes: int) -> None:
        """The roster's count of nodes that share the budget, this one included."""
        self.sharing_nodes = max(1, cold_nodes)

    def _refill(self, now_ms: float) -> None:
        if self.at_ms is None:
            self.at_ms, self.tokens = now_ms, min(1.0, self.rate())
            return
        elapsed_s = max(0.0, now_ms - self.at_ms) / 1000.0
        self.at_ms = now_ms
        self.share = min(1.0, self.share + 0.1 * elapsed_s)
        self.tokens = min(max(1.0, self.rate() * self.burst_s), self.tokens + self.rate() * elapsed_s)

    def next_token_at_ms(self, now_ms: float) -> float:
        """When the next call's token is there, at this rate."""
        return now_ms + max(0.0, 1.0 - self.tokens) * 1000.0 / self.rate()

    def try_acquire(self, now_ms: float, more: float = 0.0) -> bool:
        """Whether one cold call may go now, leaving ``more`` calls' room; it is counted where it may not."""
        self._refill(now_ms)
        if self.tokens >= 1.0 + more:
            self.tokens -= 1.0
            return True
        self.refused += 1
        return False

    def record_latency(self, now_ms: float, took_ms: float) -> None:
        """A call's time: over ``slow_factor`` times the prior halves the share, once for calls made before
        the last cut; a quick one lets it grow, so that it is whole some calls after a trouble is over.
        """
        self._refill(now_ms)
        if took_ms <= self.slow_factor * self.prior_ms:
            self.share = min(1.0, self.share * QUICK_GROWS)
        elif now_ms - took_ms >= self.cut_at:
            self.cut_at = now_ms
            self.share = max(SHARE_LEAST, self.share * 0.5)
            self.tokens = min(self.tokens, max(1.0, self.rate()))


class CallPermission(Enum):
    """What is to be done about a call that a run wants to make."""

    GRANTED = "go"
    QUEUED = "wait"
    DENIED = "deny"


@dataclass(slots=True)
class QueuedCall:
    """A call that waits for its turn."""

    attempt_id: str
    calls_made: int  # calls that its run has had
    expires_at_ms: float  # then it is given up


@dataclass(slots=True)
class RecoveryPacer:
    """A node's return to full service, by what it measures and what the roster tells."""

    slow_start: SlowStart
    budget: CallBudget
    backoff: Backoff
    database_slots: float  # calls that the database works on at a time
    random: random.Random
    sharing_nodes: int = 1  # nodes that share the budget
    other_cold_nodes: int = 0
    queued_calls: list[QueuedCall] = field(default_factory=list)
    calls_in_flight: dict[str, float] = field(
        default_factory=dict
    )  # calls in hand at the database, and since when
    abandoned_until_ms: list[float] = field(default_factory=list)  # until when calls given up are worked on
    usual_call_ms: float = 0.0  # a call's time lately
    unreachable_until_ms: float = 0.0  # the database took no connection: nobody tries before
    last_loss_at_ms: float = -math.inf
    denied_calls: int = 0

    @property
    def cold(self) -> bool:
        """Is this node on its way back?"""
        return not self.slow_start.complete

    @property
    def is_pacing(self) -> bool:
        """Are calls held within the budget?"""
        return self.cold or self.other_cold_nodes > 0

    def update_fleet(self, listed: int, cold: int) -> None:
        """The roster's word on the fleet; this node counts among the listed once it is heard of."""
        self.sharing_nodes = max(1, listed)
        self.other_cold_nodes = max(0, cold - self.cold)
        self.budget.set_sharing_nodes(self.sharing_nodes)

    def _room(self, now_ms: float) -> bool:
        """May one more be in hand? Each node has its part of the slots; a part of one is had so often."""
        self.abandoned_until_ms = [until for until in self.abandoned_until_ms if until > now_ms]
        part = max(1.0, self.database_slots / self.sharing_nodes)
        most = int(part) + (self.random.random() < part % 1.0)
        return (
            len(self.calls_in_flight) + len(self.abandoned_until_ms) < most
            and now_ms >= self.unreachable_until_ms
        )

    def has_idle_budget(self, now_ms: float) -> bool:
        """Does the node's part of the budget lie idle, while it is cold? Then what warms it goes first."""
        budget = self.budget
        budget._refill(now_ms)
        return self.cold and budget.tokens >= IDLE * max(1.0, budget.rate() * budget.burst_s)

    def request_call(
        self, now_ms: float, uid: str, made: int, skippable: bool, until_ms: float
    ) -> CallPermission:
        """A run wants to make a call; one that may not go now waits until this time at the most."""
        if not self.is_pacing:
            self.calls_in_flight[uid] = now_ms
            return CallPermission.GRANTED
        # What makes a cold machine warm goes before what a warm one can do without.
        free = not self.queued_calls and (self.cold or not skippable) and self._room(now_ms)
        if free and self.budget.try_acquire(now_ms, SPARE if skippable else 0.0):
            self.calls_in_flight[uid] = now_ms
            return CallPermission.GRANTED
        if skippable or len(self.queued_calls) >= WAITING_MOST:
            self.denied_calls += 1
            return CallPermission.DENIED
        self.queued_calls.append(QueuedCall(uid, made, until_ms))
        return CallPermission.QUEUED

    def release_calls(self, now_ms: float) -> tuple[list[str], list[str]]:
        """Whose turn it is now, and who has waited too long."""
        late = [turn.attempt_id for turn in self.queued_calls if turn.expires_at_ms <= now_ms]
        self.queued_calls = [turn for turn in self.queued_calls if turn.expires_at_ms > now_ms]
        self.denied_calls += len(late)
        go: list[str] = []
        self.queued_calls.sort(key=lambda turn: (-turn.calls_made, turn.expires_at_ms))
        while self.queued_calls and (
            not self.is_pacing or (self._room(now_ms) and self.budget.try_acquire(now_ms))
        ):
            uid = self.queued_calls.pop(0).attempt_id
            self.calls_in_flight[uid] = now_ms
            go.append(uid)
        return go, late

    def next_release_at_ms(self, now_ms: float) -> float:
        """When to look for turns again, while some wait."""
        return max(now_ms + 5.0, min(self.budget.next_token_at_ms(now_ms), now_ms + 50.0))

    def call_cancelled(self, now_ms: float, uid: str) -> None:
        """A call was given up. What is at the database goes on there for as long as a call usually takes."""
        self.queued_calls = [turn for turn in self.queued_calls if turn.attempt_id != uid]
        since = self.calls_in_flight.pop(uid, None)
        if since is not None:
            # A warm node asks for no room, so nothing else would ever take the old ones out.
            self.abandoned_until_ms = [until for until in self.abandoned_until_ms if until > now_ms]
            self.abandoned_until_ms.append(max(now_ms, since + (self.usual_call_ms or self.budget.prior_ms)))

    def call_ended(self, now_ms: float, uid: str, reached: bool, answered: bool) -> None:
        """A call came back: whether a connection stood, and whether its time tells of the database."""
        since = self.calls_in_flight.pop(uid, None)
        if since is None:
            return
        if not reached:
            self.unreachable_until_ms = now_ms + self.backoff.next_delay_ms(self.random)
            return
        self.backoff.reset()
        if answered:
            took = now_ms - since
            self.usual_call_ms += (took - self.usual_call_ms) / 8.0 if self.usual_call_ms else took
            self.budget.record_latency(now_ms, took)

    def run_ended(self, now_ms: float, in_aim: bool, aim_ms: float) -> None:
        """A run went through, in time or not. Losses of one moment count once: runs begun before the last cut
        tell nothing of the window since.
        """
        if in_aim:
            self.slow_start.success(now_ms)
        elif now_ms - self.last_loss_at_ms >= aim_ms:
            self.last_loss_at_ms = now_ms
            self.slow_start.loss(now_ms)
