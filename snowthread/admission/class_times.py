"""Run and call times of each request class, and the arithmetic on them.

A table only: how times are learned is in :mod:`snowthread.admission.estimators`. A time of 0 is not
known.
"""

from __future__ import annotations

from collections.abc import Iterable

from snowthread.admission.request import RequestRecord
from snowthread.admission.settings import Settings
from snowthread.admission.statistics import PowerLawFit


class ClassTimeTable:
    """Times in seconds, in lists by the index of the class in the settings."""

    def __init__(self, hint_fit: PowerLawFit) -> None:
        self.core_time_s: list[float] = []  # s on a core, per unit of work
        self.run_time_s: list[float] = []  # s from start to end, calls included, per unit of work
        self.base_core_time_s: list[float] = []  # s on a core of one run, in good times
        self.last_run_at_s: list[float] = []  # when a run succeeded last (0: never)
        self.call_time_s: list[float] = []  # s
        self.base_call_time_s: list[float] = []  # s, in good times
        self.last_call_at_s: list[float] = []  # when a call ended last
        self.hint_fit = hint_fit  # core time by work hint
        self.cores = 0
        self.mean_objective_s = 0.0
        self.caller_count = 0

    def apply_settings(self, settings: Settings, new_classes: Iterable[int]) -> None:
        """Use these settings from now on; nothing is known of the classes at the indices of new ones."""
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

    def saturated_rate(self, times_s: list[float]) -> float:
        """Return how many of what takes these times (s) full cores complete a second (0: not known)."""
        known = [time_s for time_s in times_s if time_s > 0.0]
        return self.cores * len(known) / sum(known) if known else 0.0

    def expected_run_s(self, request: RequestRecord) -> float:
        """Return the seconds that a request's run takes from start to end, by recent runs (0: unknown)."""
        return self.run_time_s[request.class_index] * request.work
