"""The run limit, which adapts to the load, and the ceiling, which the run limit never exceeds."""

import math

from snowthread.admission.controller_context import ControllerContext
from snowthread.admission.request import RequestRecord

UPDATE_PERIOD_S = 0.25  # seconds between periodic updates of the estimates, the limits and the load report
FULL_UTILIZATION_RATIO = 0.9  # utilization from which the cores count as full
LIMIT_GROWTH_FACTOR = 1.25  # growth of the run limit per update while cores idle and requests wait
MIN_LIMIT_GROWTH_RUNS = 1.0  # least growth of the run limit per update while cores idle and requests wait
LIMIT_DECREASE_RUNS = 1.0  # decrease of the run limit per update while at least one run per core wants a core
LIMIT_CUT_FACTOR = 0.7  # factor applied to the run limit after a slow run
SLOW_RUN_TIME_FACTOR = 4.0  # a run is slow if it takes longer than this many times its core time
CEILING_RATIO = 0.8  # ceiling of the run limit, as a part of the runs that the machine survives


class ConcurrencyLimit:
    """Adapts the number of runs allowed on the cores, between the number of cores and the ceiling.

    The limit grows while cores idle and requests wait, falls while the cores have as many runs as they
    can serve, and is cut by a factor after a slow run. The ceiling guards against collapse: a machine
    collapses if the number of runs on its cores, averaged over a while, exceeds what it survives.
    """

    def __init__(self, state: ControllerContext) -> None:
        self._state = state
        self.limit = float(state.settings.cores)
        self._cut_at = -math.inf
        self._was_saturated = False

    def ceiling(self, age_s: float) -> float:
        """Return the runs that a machine of this age survives at its present speed, less a margin."""
        return max(float(self._state.settings.cores), CEILING_RATIO * self._max_survivable_runs(age_s))

    def allows_another_run(self, runs: float, age_s: float) -> bool:
        """Return whether the machine survives one more run than ``runs``, with a margin.

        The ceiling is not an integer: a run that starts just below it exceeds it by part of a run,
        and on few cores that is one run too many. So the count after the start is compared with what
        the machine survives as well.
        """
        is_survived = runs < self._state.settings.cores or runs + 1.0 < self._max_survivable_runs(age_s)
        return is_survived and runs < self.ceiling(age_s)

    def _max_survivable_runs(self, age_s: float) -> float:
        """Return the runs on the cores that a machine of this age survives."""
        settings = self._state.settings
        per_core = 1.0 + (settings.collapse_multiple - 1.0) * settings.speed_at_age(age_s)
        return settings.cores * per_core

    def update(self, utilization: float, is_saturated: bool, core_demand: float | None, age_s: float) -> None:
        """Adapt the limit, once per update.

        ``utilization`` is that of the cores, 0 to 1. ``is_saturated`` says whether there was a run
        for each core throughout the period. ``core_demand`` is the number of runs that want a core,
        or None if it was not measured. ``age_s`` is the age of the node in seconds.
        """
        cores = self._state.settings.cores
        # The host measures utilization over two periods. Unless both were saturated, a lull that is already
        # over would make the cores look idle.
        stayed_saturated = self._was_saturated and is_saturated
        self._was_saturated = is_saturated
        is_full = utilization >= FULL_UTILIZATION_RATIO
        if core_demand is None:
            core_demand = cores if is_full else 0.0
        if core_demand >= cores:  # more runs would only make all of them late
            self.limit -= LIMIT_DECREASE_RUNS
        elif not is_full and self._state.open_requests.queued and stayed_saturated:
            self.limit = max(self.limit + MIN_LIMIT_GROWTH_RUNS, self.limit * LIMIT_GROWTH_FACTOR)
        self.limit = max(float(cores), min(self.limit, self.ceiling(age_s)))

    def cut_if_slow(self, now: float, request: RequestRecord, base_core_time_s: float) -> None:
        """Cut the limit, at most once per period, after a run without calls that took far too long.

        The run is compared with the larger of its own core time and ``base_core_time_s``, the
        baseline of its class.
        """
        core_time_s = max(request.core_time_s, base_core_time_s)
        is_slow = now - request.started_at > SLOW_RUN_TIME_FACTOR * core_time_s
        if is_slow and not request.call_tries and now - self._cut_at >= UPDATE_PERIOD_S:
            self._cut_at = now
            self.limit = max(float(self._state.settings.cores), self.limit * LIMIT_CUT_FACTOR)
