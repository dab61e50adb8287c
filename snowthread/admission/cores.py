"""Accounting of the cores: which runs are on them, and how much core time each has had. Arithmetic only."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settings import Settings


class Cores:
    """The runs on the cores, which they share evenly.

    A run that is indeterminate stays among those ``running``, for it may run. Whether it does, only a
    measurement tells: ``occupied`` leaves out those that were not there when the cores were last measured.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.running = 0
        self.indeterminate = 0  # of those running
        self.uncounted = 0.0  # measured beyond those running
        self._absent = 0.0  # of those indeterminate, by the last measurement
        self.full_s = 0.0  # with at least one run for each core, since it was last set to zero
        self._unfinished_work = 0.0
        self._clock = 0.0  # core time that a run has had which was on the cores throughout

    def advance(self, elapsed_s: float) -> None:
        """Let time pass."""
        occupied = self.occupied
        self._clock += elapsed_s * min(1.0, self.settings.cores / max(1.0, occupied))
        if occupied >= self.settings.cores:
            self.full_s += elapsed_s

    @property
    def occupied(self) -> float:
        """The runs on the cores, as far as is known."""
        return self.running - min(self._absent, self.indeterminate)

    def reconcile(self, measured: float | None) -> None:
        """Compare the count with the runs that were measured on the cores (None: not measured)."""
        if measured is None:
            self._absent = self.uncounted = 0.0
            return
        present = max(0.0, measured - (self.running - self.indeterminate))
        self._absent = max(0.0, self.indeterminate - present)
        self.uncounted = max(0.0, measured - self.running)

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
        self.confirm(request)

    def doubt(self, request: RequestRecord, presumed_lost_at: float) -> None:
        """Take a run for indeterminate; at the time given it has had more than its time."""
        self.indeterminate += not request.is_indeterminate
        request.presumed_lost_at = presumed_lost_at

    def confirm(self, request: RequestRecord) -> None:
        """Take a run for determinate, as something was heard of it."""
        self.indeterminate -= request.is_indeterminate
        request.presumed_lost_at = math.inf

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
