"""The run limit, which adapts to the load, and the ceiling, the most runs that it may ever allow."""

import math

from snowthread.admission.controller_context import ControllerContext
from snowthread.admission.request import RequestRecord

UPDATE_PERIOD_S = 0.25  # between periodic updates of what is learned, the limits and the load report
FULL_UTILIZATION_RATIO = 0.9  # of the cores, from which they count as full
LIMIT_GROWTH_FACTOR = 1.25  # an update, while cores idle and requests wait
MIN_LIMIT_GROWTH_RUNS = 1.0  # an update
LIMIT_DECREASE_RUNS = 1.0  # an update, while as many wait for a core as there are cores
LIMIT_CUT_FACTOR = 0.7  # after a slow run
SLOW_RUN_TIME_FACTOR = 4.0  # times its core time, from which a run is slow
CAPACITY_MARGIN_RATIO = 0.8  # of the runs that the server survives, that are used at most


class ConcurrencyLimit:
    """The limit grows while cores idle, is cut by a factor, and stays between cores and ceiling.

    A server collapses where more runs are on its cores, averaged over a while, than it survives.
    """

    def __init__(self, state: ControllerContext) -> None:
        self._state = state
        self.limit = float(state.settings.cores)
        self._cut_at = -math.inf
        self._was_saturated = False

    def ceiling(self, age_s: float) -> float:
        """Return the runs that the server survives at its speed at this age, less a margin."""
        return max(
            float(self._state.settings.cores), CAPACITY_MARGIN_RATIO * self._max_survivable_runs(age_s)
        )

    def allows_another_run(self, runs: float, age_s: float) -> bool:
        """Return whether the server survives one run more than these, with a margin.

        The run that reaches the ceiling crosses it by a part of a run, which on few cores is one too many.
        """
        is_survived = runs < self._state.settings.cores or runs + 1.0 < self._max_survivable_runs(age_s)
        return is_survived and runs < self.ceiling(age_s)

    def _max_survivable_runs(self, age_s: float) -> float:
        settings = self._state.settings
        per_core = 1.0 + (settings.collapse_multiple - 1.0) * settings.speed_at_age(age_s)
        return settings.cores * per_core

    def update(self, utilization: float, is_saturated: bool, core_demand: float | None, age_s: float) -> None:
        """Adapt the limit, once an update.

        ``utilization`` of the cores, 0 to 1; ``is_saturated``: there was a run for each core throughout the
        period; ``core_demand``: the runs that want a core (None: not measured).
        """
        cores = self._state.settings.cores
        # The host measures utilization over two periods: both must have been saturated, or a lull that is
        # over would count as idle cores.
        stayed_saturated = self._was_saturated and is_saturated
        self._was_saturated = is_saturated
        is_full = utilization >= FULL_UTILIZATION_RATIO
        if core_demand is None:
            core_demand = cores if is_full else 0.0
        if core_demand >= cores:  # with more runs all of them would be late
            self.limit -= LIMIT_DECREASE_RUNS
        elif not is_full and self._state.open_requests.queued and stayed_saturated:
            self.limit = max(self.limit + MIN_LIMIT_GROWTH_RUNS, self.limit * LIMIT_GROWTH_FACTOR)
        self.limit = max(float(cores), min(self.limit, self.ceiling(age_s)))

    def cut_if_slow(self, now: float, request: RequestRecord, base_core_time_s: float) -> None:
        """Cut the limit, once a period at most, after a run without calls that took far too long."""
        core_time_s = max(request.core_time_s, base_core_time_s)
        is_slow = now - request.started_at > SLOW_RUN_TIME_FACTOR * core_time_s
        if is_slow and not request.call_attempts and now - self._cut_at >= UPDATE_PERIOD_S:
            self._cut_at = now
            self.limit = max(float(self._state.settings.cores), self.limit * LIMIT_CUT_FACTOR)
