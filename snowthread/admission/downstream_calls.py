"""Calls to the dependency: which are made, put off, skipped or retried, and how long they may take."""

from snowthread.admission.actions import Action, SkipCall, StartCall
from snowthread.admission.call_table import CallTable
from snowthread.admission.cores import Cores
from snowthread.admission.estimators import TIME_TOLERANCE_S, Estimates
from snowthread.admission.events import CallNeeded
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settings import Dependency, Outcome, Settings

DISPATCH_INTERVAL_S = 0.02  # for which calls that wait stay as they are, unless something happens
MAX_ATTEMPTS = 4  # of a call where each earlier one may be repeated
BACKOFF_S = 0.05  # before the second attempt, doubled for each further one
BUDGET_RATE_SHARE = 0.55  # of the quota: mean use; with what is saved up under 1
BUDGET_CAPACITY_SHARE = 0.35  # of the quota: saved up
REQUIRED_CALLS_SHARE = 0.25  # of what is saved up, which skippable calls leave to required ones
BUDGET_PARTS = 4.0  # skippable calls fit this often into what is saved, required ones half as often
SKIPPABLE_TIME_SHARE = 0.6  # of the time left, for the call
SKIPPABLE_WAIT_SHARE = 0.25  # of the time left, to wait for it
SKIPPABLE_TIMEOUT_FACTOR = 6.0  # times its usual duration: a call is given up
REQUIRED_TIMEOUT_FACTOR = 20.0
SKIPPABLE_MIN_TIMEOUT_S = 0.05
REQUIRED_MIN_TIMEOUT_S = 0.25
HUNG_CALL_FACTOR = 6.0  # times its usual duration from which a call hangs: it uses nothing downstream
QUOTA_PER_SLOT = 5.0  # the quota is what the dependency survives: so many times what it has slots for
OVERLOAD_SHARE = 0.3  # of slow calls from which the dependency is overloaded
LIMIT_GROWTH = 1.15  # factor an update
LIMIT_CUT = 0.8  # factor an update


class DownstreamCalls:
    """Runs that wait for a call, and the budget and the limit that their calls share."""

    def __init__(self, settings: Settings, estimates: Estimates, cores: Cores) -> None:
        self.table = CallTable(cores)
        self._estimates, self._budget = estimates, self.table.budget
        self.apply_settings(settings)
        self._budget.available = self._budget.capacity
        self._limit, self._limit_reached, self.next_dispatch_at = self._min_limit, False, 0.0

    def apply_settings(self, settings: Settings) -> None:
        """Go on with these settings."""
        self._settings, self._is_shared = settings, settings.dependency is Dependency.SHARED
        self._budget.capacity = BUDGET_CAPACITY_SHARE * settings.call_quota * settings.call_quota_window_s
        self._min_limit = max(1.0, settings.call_quota / QUOTA_PER_SLOT)  # this node's part of the slots

    def advance(self, elapsed_s: float) -> None:
        """Let time pass."""
        if self._is_shared:
            self._budget.refill(BUDGET_RATE_SHARE * self._settings.call_quota * elapsed_s)

    def update_limit(self) -> None:
        """Allow fewer calls while they are slow: an overloaded dependency gets less done for all."""
        if self._estimates.slow_call_share > OVERLOAD_SHARE:
            self._limit *= LIMIT_CUT
        elif self._limit_reached:
            self._limit *= LIMIT_GROWTH
        self._limit = max(self._min_limit, min(self._limit, self._settings.call_quota))
        self._limit_reached = False

    def add(self, now: float, request: RequestRecord, event: CallNeeded) -> None:
        """Take a run off the cores until its call is made or skipped."""
        self.table.add(now, request)
        self.next_dispatch_at = now

    def dispatch(self, now: float, actions: list[Action]) -> None:
        """Make, skip or put off the calls that runs wait for: required ones first."""
        table = self.table
        if not table.pending or now < self.next_dispatch_at:
            return
        self.next_dispatch_at = now + DISPATCH_INTERVAL_S
        usual_s, waiting = self._estimates.call_time_s, 0
        in_flight = sum(
            now - r.called_at <= HUNG_CALL_FACTOR * (usual_s[r.class_index] or r.useful_until)
            for r in table.in_flight.values()
        )
        for request in sorted(table.pending.values(), key=lambda r: (r.can_skip_call, r.objective_at)):
            if request.is_answered or request.retry_at > now + TIME_TOLERANCE_S:
                continue
            if self._is_shared and in_flight >= self._limit:
                self._limit_reached, waiting = True, waiting + 1
                wait_s = max(now - request.retry_at, waiting * usual_s[request.class_index] / self._limit)
                patience_s = SKIPPABLE_WAIT_SHARE * (request.objective_at - request.retry_at)
                starts, is_skipped = False, wait_s > patience_s
            else:
                starts = self._start(now, request, actions)
                is_skipped = not starts
            in_flight += starts
            if is_skipped and request.can_skip_call:
                self._skip(request, actions)

    def _skip(self, request: RequestRecord, actions: list[Action]) -> None:
        self.table.resume(request)
        actions.append(SkipCall(request.id))

    def _start(self, now: float, request: RequestRecord, actions: list[Action]) -> bool:
        """Make a call, if its longest duration, time after its abandonment included, is still free."""
        timeout_s, capacity_s = self._timeout_s(now, request), self._budget.capacity
        if self._is_shared:
            longest_s = min(timeout_s + self._settings.abandoned_call_s, capacity_s)
            reserved_s = REQUIRED_CALLS_SHARE * capacity_s
            if not self._budget.reserve(longest_s, leave=reserved_s if request.can_skip_call else 0.0):
                return False
            request.reserved_call_s = longest_s
        self.table.start(now, request)
        actions.append(StartCall(request.id, timeout_s))
        return True

    def _timeout_s(self, now: float, request: RequestRecord) -> float:
        skippable, usual_s = request.can_skip_call, self._estimates.call_time_s[request.class_index]
        timeout_s = (request.useful_until - now) * (SKIPPABLE_TIME_SHARE if skippable else 1.0)
        if usual_s > 0.0:
            least_s = SKIPPABLE_MIN_TIMEOUT_S if skippable else REQUIRED_MIN_TIMEOUT_S
            factor = SKIPPABLE_TIMEOUT_FACTOR if skippable else REQUIRED_TIMEOUT_FACTOR
            timeout_s = min(timeout_s, max(least_s, factor * usual_s))
        if self._is_shared:
            timeout_s = min(timeout_s, self._budget.capacity / BUDGET_PARTS * (1.0 if skippable else 2.0))
        return max(SKIPPABLE_MIN_TIMEOUT_S, timeout_s)

    def remove(self, now: float, request: RequestRecord) -> None:
        """Forget a run that is over; a call in flight is abandoned."""
        if request.state is RequestState.CALLING:
            self._end(now, request, abandoned=True)
        self.table.pending.pop(request.id, None)

    def _end(self, now: float, request: RequestRecord, abandoned: bool) -> None:
        self.next_dispatch_at = now
        used_s = now - request.called_at + (self._settings.abandoned_call_s if abandoned else 0.0)
        self.table.end(request, used_s)

    def finish(self, now: float, request: RequestRecord, outcome: Outcome, actions: list[Action]) -> bool:
        """Take the outcome of a call: let the run go on, or retry; return False if the run fails."""
        self._end(now, request, abandoned=outcome in (Outcome.TIMED_OUT, Outcome.DISCONNECTED))
        if outcome in (Outcome.SUCCESS, Outcome.TIMED_OUT):
            self._estimates.call_ended(request.class_index, now, now - request.called_at)
        if outcome is Outcome.SUCCESS:
            self.table.resume(request)
        if outcome is Outcome.SUCCESS or request.is_answered:
            return True
        can_retry = (outcome.never_ran or request.is_idempotent) and request.call_attempts < MAX_ATTEMPTS
        was_hung = outcome is Outcome.TIMED_OUT and self._estimates.slow_call_share < OVERLOAD_SHARE
        worth_retrying = was_hung or outcome in (Outcome.DISCONNECTED, Outcome.UNREACHABLE)
        if request.can_skip_call and not (can_retry and worth_retrying):
            self._skip(request, actions)
            return True
        if can_retry:
            request.retry_at = now + BACKOFF_S * 2.0 ** (request.call_attempts - 1)
        return can_retry
