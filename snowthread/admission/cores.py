"""Accounting of the cores: which runs are on them, and the core time of each run. Arithmetic only."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settings import Settings


class Cores:
    """The runs on the cores, which share the cores evenly.

    An indeterminate run stays among those ``running``, since it may still run. ``occupied`` leaves out
    the runs that were not on the cores at the last measurement. The run limit is compared with
    ``occupied``, because a run that is not there leaves its core to another. The ceiling is compared with
    ``running``, because one run more than the machine survives does more harm than an idle core.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.running = 0  # runs that are counted as on the cores
        self.indeterminate = 0  # counted runs that the host has lost sight of
        self.excess_runs = 0.0  # runs measured on the cores beyond the counted ones
        self._absent_runs = 0.0  # indeterminate runs that were not on the cores at the last measurement
        self.saturated_s = 0.0  # seconds with at least one run per core in the present update period
        self._unfinished_work = 0.0  # units of work that unfinished runs had done at the last update
        # Core time in seconds that a run which was on the cores from the start would have had.
        self._core_clock_s = 0.0

    def advance(self, elapsed_s: float) -> None:
        """Account for the time that has passed, in seconds."""
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
        """Take a run off the cores if it is on them; the calling function sets its next state."""
        if request.state is not RequestState.RUNNING:
            return
        request.core_time_s += self._core_clock_s - request.core_clock_at_entry
        self.running -= 1
        self.mark_determinate(request)

    def mark_indeterminate(self, request: RequestRecord, loss_check_at: float) -> None:
        """Count a run as indeterminate, and set when it is next checked for loss."""
        self.indeterminate += not request.is_indeterminate
        request.loss_check_at = loss_check_at

    def mark_determinate(self, request: RequestRecord) -> None:
        """Count a run as determinate again, because something was heard of it."""
        self.indeterminate -= request.is_indeterminate
        request.loss_check_at = math.inf

    def add_progress(
        self, work_done: float, requests: Iterable[RequestRecord], core_time_s: Sequence[float]
    ) -> float:
        """Return the work done, with the progress of unfinished runs taken into account.

        What unfinished runs have done since the last call is added to ``work_done``, the units of
        work of the runs that ended. What the last call counted of runs that have ended since is
        subtracted. ``core_time_s`` holds the core seconds per unit of work of each class.
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
