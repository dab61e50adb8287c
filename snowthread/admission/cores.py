"""Accounting of the cores: which runs are on them, and how much core time each has had. Arithmetic only."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settings import Settings


class Cores:
    """The runs on the cores, which they share evenly."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.running = 0
        self.full_s = 0.0  # with at least one run for each core, since it was last set to zero
        self._unfinished_work = 0.0
        self._clock = 0.0  # core time that a run has had which was on the cores throughout

    def advance(self, elapsed_s: float) -> None:
        """Let time pass."""
        self._clock += elapsed_s * min(1.0, self.settings.cores / max(1, self.running))
        if self.running >= self.settings.cores:
            self.full_s += elapsed_s

    def enter(self, request: RequestRecord) -> None:
        """Put a run on the cores."""
        request.state, request.core_clock_mark = RequestState.RUNNING, self._clock
        self.running += 1

    def leave(self, request: RequestRecord) -> None:
        """Take a run off the cores, if it is on them; the caller sets its next state."""
        if request.state is not RequestState.RUNNING:
            return
        request.core_time_s += self._clock - request.core_clock_mark
        self.running -= 1

    def add_progress(
        self, work_done: float, requests: Iterable[RequestRecord], core_time_s: Sequence[float]
    ) -> float:
        """Return the work done by runs that ended, corrected for what unfinished runs did of it.

        What they have done since the last call is added; what was counted then of runs that have ended since
        is taken off. ``core_time_s``: of each class for a unit of work.
        """
        unfinished = sum(
            min(
                r.work,
                (r.core_time_s + self._clock - r.core_clock_mark) / (core_time_s[r.class_index] or math.inf),
            )
            for r in requests
            if r.state is RequestState.RUNNING
        )
        work_done = work_done + unfinished - self._unfinished_work
        self._unfinished_work = unfinished
        return work_done
