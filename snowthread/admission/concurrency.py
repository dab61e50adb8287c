"""The run limit: how many requests may be on the cores at once."""

import math

from snowthread.admission.request import RequestRecord
from snowthread.admission.settings import Settings

UPDATE_PERIOD_S = 0.25  # between updates of the blocking probability and the limits: about one run
FULL_UTILIZATION = 0.9  # of the cores, from which they count as full
LIMIT_GROWTH = 1.25  # factor an update while cores idle and work waits
LIMIT_CUT = 0.7  # factor after a slow run
SLOW_RUN_FACTOR = 4.0  # times its core time from which a run is slow
CAPACITY_MARGIN = 0.8  # of the runs that the server survives that are used at most


class ConcurrencyLimit:
    """A limit that grows while cores idle, is cut by a factor, and stays between cores and ceiling."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.limit = float(settings.cores)
        self._cut_at, self._was_full = -math.inf, False

    def ceiling(self, age_s: float) -> float:
        """Return the runs that the server survives at its present speed, less a margin."""
        return max(float(self.settings.cores), CAPACITY_MARGIN * self._survived_runs(age_s))

    def survives_another(self, runs: float, age_s: float) -> bool:
        """Return whether the server survives one run more than these, with a margin."""
        # The ceiling is no whole number: on few cores the run that crosses it may be one too many.
        is_survived = runs < self.settings.cores or runs + 1.0 < self._survived_runs(age_s)
        return is_survived and runs < self.ceiling(age_s)

    def _survived_runs(self, age_s: float) -> float:
        settings = self.settings
        per_core = 1.0 + (settings.collapse_multiple - 1.0) * settings.speed_at_age(age_s)
        return settings.cores * per_core

    def update(self, used: float, was_full: bool, demand: float | None, queued: bool, age_s: float) -> None:
        """Adapt the limit; ``was_full``: since the last update, runs wanted each core."""
        # The host measures utilization over two periods: a lull just over must not pass for idle cores.
        cores = self.settings.cores
        stayed_full, self._was_full = self._was_full and was_full, was_full
        demand = demand if demand is not None else cores if used >= FULL_UTILIZATION else 0.0
        if demand >= cores:  # as many wait as there are cores: more runs would make all late
            self.limit -= 1.0
        elif used < FULL_UTILIZATION and queued and stayed_full:
            self.limit = max(self.limit + 1.0, self.limit * LIMIT_GROWTH)
        self.limit = max(float(cores), min(self.limit, self.ceiling(age_s)))

    def cut_if_slow(self, now: float, request: RequestRecord, base_core_time_s: float) -> None:
        """Cut the limit, once a period at most, after a run without calls that took far too long."""
        is_slow = now - request.started_at > SLOW_RUN_FACTOR * max(request.core_time_s, base_core_time_s)
        if is_slow and not request.call_attempts and now - self._cut_at >= UPDATE_PERIOD_S:
            self._cut_at = now
            self.limit = max(float(self.settings.cores), self.limit * LIMIT_CUT)
