"""Calls to the dependency: which are made, delayed, skipped or retried, and how long they may take.

A call is skippable if an answer without its result still has some weight; otherwise it is required.
"""

from enum import Enum

from snowthread.admission.actions import Action, SkipCall, StartCall
from snowthread.admission.controller_context import ControllerContext
from snowthread.admission.estimators import TIME_TOLERANCE_S
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settings import Dependency, Outcome, Settings

# Seconds between two checks of the pending calls, unless a call is added or ends or a timer fires.
PENDING_CHECK_INTERVAL_S = 0.02
MAX_CALL_TRIES = 4  # tries of one call, the first one included
BACKOFF_S = 0.05  # seconds before the first retry of a call
BACKOFF_FACTOR = 2.0  # growth of the delay with each further retry of a call
BUDGET_RATE_RATIO = 0.55  # part of the quota that calls may use on average
# Part of the quota's window that the budget can save up. Together with ``BUDGET_RATE_RATIO`` it stays below
# 1, so that a burst can't exceed the quota.
BUDGET_CAPACITY_RATIO = 0.35
REQUIRED_RESERVE_RATIO = 0.25  # part of the budget's capacity that skippable calls leave to required ones
SKIPPABLE_BUDGET_RATIO = 0.25  # part of the budget's capacity that one skippable call may take
REQUIRED_BUDGET_RATIO = 0.5  # part of the budget's capacity that one required call may take
SKIPPABLE_TIME_RATIO = 0.6  # part of the time left to its request that one skippable call may take
REQUIRED_TIME_RATIO = 1.0  # part of the time left to its request that one required call may take
# Part of the time until the objective that a skippable call may wait; then it is skipped.
SKIPPABLE_WAIT_RATIO = 0.25
SKIPPABLE_TIMEOUT_FACTOR = 6.0  # timeout of a skippable call, in multiples of the usual call time
REQUIRED_TIMEOUT_FACTOR = 20.0  # timeout of a required call, in multiples of the usual call time
SKIPPABLE_MIN_TIMEOUT_S = 0.05  # shortest timeout of a skippable call; no call gets a shorter one
REQUIRED_MIN_TIMEOUT_S = 0.25  # shortest timeout of a required call that follows from the usual call time
# A call in flight for longer than this many times the usual call time is hung; the dependency no longer works
# on it.
HUNG_CALL_FACTOR = 6.0
# Call quota, the calls in flight that the dependency survives, divided by the calls that it works on at once.
QUOTA_PER_SLOT = 5.0
OVERLOAD_SLOW_CALL_RATIO = 0.3  # share of slow calls from which the dependency counts as overloaded
LIMIT_GROWTH_FACTOR = 1.15  # growth of the limit on calls in flight, per update in which it was reached
# Factor applied to the limit on calls in flight, per update with an overloaded dependency.
LIMIT_CUT_FACTOR = 0.8


class CallDecision(Enum):
    """What happens to a run after its call has ended."""

    NONE = 0  # the run continues with the result, or no answer is owed any more
    SKIP = 1  # the run continues without the result
    RETRY = 2  # the call is made again after a delay
    FAIL_RUN = 3  # the request fails


class DownstreamCalls:
    """Decides on the downstream calls of runs, within a budget and a limit that all calls share.

    The budget holds call-seconds, which refill at a part of the call quota of the settings. The limit bounds
    the number of calls in flight. Both apply only to a dependency that is shared with other nodes.
    """

    def __init__(self, state: ControllerContext) -> None:
        self._estimates = state.estimates
        self._table = state.open_requests.call_table
        self._budget = self._table.budget
        self.apply_settings(state.settings)
        self._budget.available = self._budget.capacity
        self._limit = self._min_limit  # limit on calls in flight
        self._is_limit_reached = False  # a call had to wait for the limit since the last update
        self.next_check_at = 0.0

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings. Calls in flight are not affected."""
        self._settings = settings
        self._is_dependency_shared = settings.dependency is Dependency.SHARED
        self._budget.capacity = BUDGET_CAPACITY_RATIO * settings.call_quota * settings.call_quota_window_s
        # The calls of this node that the dependency works on at once.
        self._min_limit = max(1.0, settings.call_quota / QUOTA_PER_SLOT)

    def advance(self, elapsed_s: float) -> None:
        """Refill the budget for the time that has passed, in seconds."""
        if self._is_dependency_shared:
            self._budget.refill(BUDGET_RATE_RATIO * self._settings.call_quota * elapsed_s)

    def update_limit(self) -> None:
        """Adapt the limit on calls in flight, once per update.

        An overloaded dependency completes fewer calls, so the limit falls while calls are slow.
        """
        if self._estimates.slow_call_share > OVERLOAD_SLOW_CALL_RATIO:
            self._limit *= LIMIT_CUT_FACTOR
        elif self._is_limit_reached:
            self._limit *= LIMIT_GROWTH_FACTOR
        self._limit = max(self._min_limit, min(self._limit, self._settings.call_quota))
        self._is_limit_reached = False

    def add(self, now: float, request: RequestRecord) -> None:
        """Take a run off the cores until its call has ended or is skipped."""
        self._table.add(now, request)
        self.next_check_at = now

    def check_pending(self, now: float) -> list[Action]:
        """Start, skip or delay the pending calls, required ones first."""
        pending = self._table.pending
        if not pending or now < self.next_check_at:
            return []
        self.next_check_at = now + PENDING_CHECK_INTERVAL_S
        actions: list[Action] = []
        in_flight = self._active_calls(now)
        waiting_calls = 0
        for request in sorted(pending.values(), key=lambda r: (r.can_skip_call, r.objective_at)):
            if request.is_settled or request.retry_at > now + TIME_TOLERANCE_S:
                continue
            if self._is_dependency_shared and in_flight >= self._limit:
                self._is_limit_reached = True
                waiting_calls += 1
                is_skipped = self._waits_too_long(now, request, waiting_calls)
            else:
                start = self._start(now, request)
                is_skipped = start is None
                if start is not None:
                    in_flight += 1
                    actions.append(start)
            if is_skipped and request.can_skip_call:
                actions.append(self._skip(request))
        return actions

    def _active_calls(self, now: float) -> int:
        """Return the number of calls in flight that the dependency works on; hung calls do not count.

        As long as the usual call time of a class is unknown, its calls practically never count as hung:
        ``expires_at``, a point in time on the controller's clock, stands in for the unknown duration.
        """
        usual_s = self._estimates.call_time_s
        return sum(
            now - r.called_at <= HUNG_CALL_FACTOR * (usual_s[r.class_index] or r.expires_at)
            for r in self._table.in_flight.values()
        )

    def _waits_too_long(self, now: float, request: RequestRecord, waiting_calls: int) -> bool:
        """Return whether a call at this position in the queue leaves its run too little time.

        ``waiting_calls`` is the position: 1 for the call that is next.
        """
        usual_s = self._estimates.call_time_s[request.class_index]
        wait_s = max(now - request.retry_at, waiting_calls * usual_s / self._limit)
        return wait_s > SKIPPABLE_WAIT_RATIO * (request.objective_at - request.retry_at)

    def _start(self, now: float, request: RequestRecord) -> StartCall | None:
        """Start a call if the budget has enough call-seconds for it, or return None.

        The reservation covers the timeout of the call and the time for which the dependency works on
        it after it was given up.
        """
        timeout_s = self.timeout_s(now, request)
        if self._is_dependency_shared:
            capacity_s = self._budget.capacity
            max_use_s = min(timeout_s + self._settings.given_up_call_s, capacity_s)
            min_remaining_s = REQUIRED_RESERVE_RATIO * capacity_s
            if not self._budget.reserve(
                max_use_s, min_remaining=min_remaining_s if request.can_skip_call else 0.0
            ):
                return None
            request.reserved_call_s = max_use_s
        self._table.start(now, request)
        return StartCall(request.id, timeout_s)

    def timeout_s(self, now: float, request: RequestRecord) -> float:
        """Return the timeout, in seconds, of a call that starts now."""
        is_skippable = request.can_skip_call
        usual_s = self._estimates.call_time_s[request.class_index]
        time_ratio = SKIPPABLE_TIME_RATIO if is_skippable else REQUIRED_TIME_RATIO
        timeout_s = (request.expires_at - now) * time_ratio
        if usual_s > 0.0:
            min_timeout_s = SKIPPABLE_MIN_TIMEOUT_S if is_skippable else REQUIRED_MIN_TIMEOUT_S
            factor = SKIPPABLE_TIMEOUT_FACTOR if is_skippable else REQUIRED_TIMEOUT_FACTOR
            timeout_s = min(timeout_s, max(min_timeout_s, factor * usual_s))
        if self._is_dependency_shared:
            budget_ratio = SKIPPABLE_BUDGET_RATIO if is_skippable else REQUIRED_BUDGET_RATIO
            timeout_s = min(timeout_s, self._budget.capacity * budget_ratio)
        return max(SKIPPABLE_MIN_TIMEOUT_S, timeout_s)

    def _skip(self, request: RequestRecord) -> SkipCall:
        self._table.resume(request)
        return SkipCall(request.id)

    def remove(self, now: float, request: RequestRecord) -> None:
        """Remove a run that has ended; a call in flight is given up."""
        if request.state is RequestState.CALLING:
            self._end(now, request, is_given_up=True)
        self._table.pending.pop(request.id, None)

    def _end(self, now: float, request: RequestRecord, is_given_up: bool) -> None:
        self.next_check_at = now
        used_s = now - request.called_at + (self._settings.given_up_call_s if is_given_up else 0.0)
        self._table.end(request, used_s)

    def finish(self, now: float, request: RequestRecord, outcome: Outcome) -> CallDecision:
        """Process the end of a call and return what happens to its run.

        Before it returns, a skip has put the run back on the cores, and a retry has its time set.
        """
        self._end(now, request, is_given_up=outcome in (Outcome.TIMED_OUT, Outcome.DISCONNECTED))
        if outcome in (Outcome.SUCCESS, Outcome.TIMED_OUT):
            self._estimates.record_call(request.class_index, now, now - request.called_at)
        if outcome is Outcome.SUCCESS:
            self._table.resume(request)
        if outcome is Outcome.SUCCESS or request.is_settled:
            return CallDecision.NONE
        decision = self.decision_after_failure(request, outcome)
        if decision is CallDecision.SKIP:
            self._table.resume(request)
        elif decision is CallDecision.RETRY:
            request.retry_at = now + BACKOFF_S * BACKOFF_FACTOR ** (request.call_tries - 1)
        return decision

    def decision_after_failure(self, request: RequestRecord, outcome: Outcome) -> CallDecision:
        """Return what happens to a run whose call failed.

        A call is retried only if it is idempotent or never ran. A skippable call is skipped where a
        retry would probably fail as well.
        """
        can_retry = (outcome.never_ran or request.is_idempotent) and request.call_tries < MAX_CALL_TRIES
        is_overloaded = self._estimates.slow_call_share >= OVERLOAD_SLOW_CALL_RATIO
        was_hung = outcome is Outcome.TIMED_OUT and not is_overloaded
        may_succeed = was_hung or outcome in (Outcome.DISCONNECTED, Outcome.UNREACHABLE)
        if request.can_skip_call and not (can_retry and may_succeed):
            return CallDecision.SKIP
        return CallDecision.RETRY if can_retry else CallDecision.FAIL_RUN
