"""The run and call times of each request class, and the arithmetic on them.

A table only: :mod:`snowthread.admission.estimators` learns the times. A baseline time is the time under
normal conditions. A time of 0 is unknown.
"""

from __future__ import annotations

from collections.abc import Iterable

from snowthread.admission.request import RequestRecord
from snowthread.admission.settings import Settings
from snowthread.admission.statistics import PowerLawFit


class ClassTimeTable:
    """Times in seconds, in lists indexed by the position of the class in the settings."""

    def __init__(self, hint_fit: PowerLawFit) -> None:
        self.core_time_s: list[float] = []  # recent seconds on a core per unit of work
        self.run_time_s: list[float] = []  # recent seconds from start to end per unit of work, calls included
        self.base_core_time_s: list[float] = []  # baseline seconds of one run on a core
        # When a run last succeeded, a probe was admitted, or an outdated run time was replaced by the
        # restored one (0: never).
        self.last_run_at_s: list[float] = []
        self.call_time_s: list[float] = []  # recent duration of a call in seconds
        self.base_call_time_s: list[float] = []  # baseline duration of a call in seconds
        self.last_call_at_s: list[float] = []  # when a call last ended (0: never)
        self.hint_fit = hint_fit  # fit of core times to work hints
        self.cores = 0
        self.mean_objective_s = 0.0
        self.caller_count = 0

    def apply_settings(self, settings: Settings, new_classes: Iterable[int]) -> None:
        """Use new settings; nothing is known of the classes at the indices in ``new_classes``."""
        self.cores = settings.cores
        self.caller_count = settings.caller_count
        objectives_s = [request_class.latency_objective_s for request_class in settings.classes]
        self.mean_objective_s = sum(objectives_s) / len(objectives_s)
        run_times = (self.core_time_s, self.run_time_s, self.base_core_time_s, self.last_run_at_s)
        call_times = (self.call_time_s, self.base_call_time_s, self.last_call_at_s)
        for index in new_classes:
            for times in (*run_times, *call_times):
                times[index : index + 1] = [0.0]
            self.hint_fit.reset_class(index)

    def full_core_rate(self, times_s: list[float]) -> float:
        """Return how many items per second full cores complete (0: unknown).

        ``times_s`` holds the core seconds of one item by class, where an item is a run or a unit of
        work; classes with an unknown time are left out.
        """
        known = [time_s for time_s in times_s if time_s > 0.0]
        return self.cores * len(known) / sum(known) if known else 0.0

    def expected_run_s(self, request: RequestRecord) -> float:
        """Return the expected seconds from start to end of the request's run (0: unknown)."""
        return self.run_time_s[request.class_index] * request.work
