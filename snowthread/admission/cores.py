"""Accounting of the cores: which runs are on them, and how much core time each has had. Arithmetic only."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settings import Settings


class Cores:
    """The runs on the cores, which they share evenly.

    An indeterminate run stays among those ``running``, for it may run. ``occupied`` leaves out those that
    were not on the cores when these were last measured. The run limit is compared with ``occupied``, for a
    run that is not there leaves its core to another; the ceiling with ``running``, for one more than the
    server survives does more harm than an idle core.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.running = 0
        self.indeterminate = 0  # of those running
        self.excess_runs = 0.0  # measured on the cores, beyond those running
        self._absent_runs = 0.0  # of those indeterminate: not on the cores, by the last measurement
        self.saturated_s = 0.0  # time with at least one run for each core, since it was last set to zero
        self._unfinished_work = 0.0  # units of work, that unfinished runs had done at the last update
        self._core_clock_s = 0.0  # s of core time that a run has had which was on the cores throughout

    def advance(self, elapsed_s: float) -> None:
        """Count the time that has passed, in seconds."""
        occupied = self.occupied
        self._core_clock_s += elapsed_s * min(1.0, self.settings.cores / max(1.0, occupied))
        if occupied >= self.settings.cores:
            self.saturated_s += elapsed_s

    @property
    def occupied(self) -> float:
        """The runs on the cores, as far as measurements show."""
        return self.running - min(self._absent_runs, self.indeterminate)

    def reconcile(self, measured_runs: float | None) -> None:
        """Compare the count with the runs that were measured on the cores (None: not measured)."""
        if measured_runs is None:
            self._absent_runs = 0.0
            self.excess_runs = 0.0
            return
        present = max(0.0, measured_runs - (self.running - self.indeterminate))
        self._absent_runs = max(0.0, self.indeterminate - present)
        self.excess_runs = max(0.0, measured_runs - self.running)

    def enter(self, request: RequestRecord) -> None:
        """Put a run on the cores."""
        request.state = RequestState.RUNNING
        request.core_clock_at_entry = self._core_clock_s
        self.running += 1

    def leave(self, request: RequestRecord) -> None:
        """Take a run off the cores, if it is on them; the caller sets its next state."""
        if request.state is not RequestState.RUNNING:
            return
        request.core_time_s += self._core_clock_s - request.core_clock_at_entry
        self.running -= 1
        self.mark_determinate(request)

    def mark_indeterminate(self, request: RequestRecord, presumed_lost_at: float) -> None:
        """Count a run as indeterminate; at ``presumed_lost_at`` it counts as lost."""
        self.indeterminate += not request.is_indeterminate
        request.presumed_lost_at = presumed_lost_at

    def mark_determinate(self, request: RequestRecord) -> None:
        """Count a run as determinate: something was heard of it."""
        self.indeterminate -= request.is_indeterminate
        request.presumed_lost_at = math.inf

    def add_progress(
        self, work_done: float, requests: Iterable[RequestRecord], core_time_s: Sequence[float]
    ) -> float:
        """Return the units of work done by runs that ended, corrected for what unfinished runs did of it.

        What they have done since the last call is added; what was counted then of runs that have ended since
        is taken off. ``core_time_s``: by class, of a unit of work.
        """
        unfinished = sum(
            min(
                r.work,
                (r.core_time_s + self._core_clock_s - r.core_clock_at_entry)
                / (core_time_s[r.class_index] or math.inf),
            )
            for r in requests
            if r.state is RequestState.RUNNING
        )
        work_done = work_done + unfinished - self._unfinished_work
        self._unfinished_work = unfinished
        return work_done
