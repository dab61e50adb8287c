"""The table of open requests, with the cores, the calls and the memory that they take up.

Accounting only: it decides nothing.
"""

from __future__ import annotations

from collections.abc import Sequence

from snowthread.admission.call_table import CallTable
from snowthread.admission.cores import Cores
from snowthread.admission.memory import MemoryAccount
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settings import Settings


class OpenRequests:
    """Requests that are not over, and among them those that are queued."""

    def __init__(self, settings: Settings) -> None:
        self.by_id: dict[int, RequestRecord] = {}
        self.queued: dict[int, RequestRecord] = {}  # paused ones included
        self.cores = Cores(settings)
        self.call_table = CallTable(self.cores)
        self.memory = MemoryAccount(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Account by these settings from now on."""
        self.cores.settings = settings
        self.memory.apply_settings(settings, self.by_id.values())

    def add(self, request: RequestRecord) -> None:
        """Queue a request."""
        self.by_id[request.id] = request
        self.queued[request.id] = request
        self.memory.used_kb += request.memory_kb

    def await_original(self, request: RequestRecord) -> None:
        """Take a retry out of the queue: it gets the result of the attempt that it repeats."""
        del self.queued[request.id]
        request.state = RequestState.AWAITING_ORIGINAL
        request.may_have_run = True  # it never runs, but its original may

    def start(self, now: float, request: RequestRecord) -> None:
        """Put a queued request on the cores."""
        del self.queued[request.id]
        self.memory.used_kb += self.memory.start_extra_kb(request)
        request.may_have_run = True
        request.started_at = now
        self.cores.enter(request)

    def requeue(self, request: RequestRecord, keeps_progress: bool) -> None:
        """Queue a run that was stopped."""
        self.cores.leave(request)
        if not keeps_progress:
            self.memory.release_run(request)
        request.state = RequestState.PAUSED if keeps_progress else RequestState.QUEUED
        self.queued[request.id] = request

    def add_progress(self, work_done: float, core_time_s: Sequence[float]) -> float:
        """Return the work done by runs that ended, corrected for what unfinished runs did of it.

        ``core_time_s``: of each class, for a unit of work.
        """
        return self.cores.add_progress(work_done, self.by_id.values(), core_time_s)

    def remove(self, request: RequestRecord) -> None:
        """Free what a request that is over takes up."""
        self.cores.leave(request)
        self.memory.release(request)
        self.queued.pop(request.id, None)
        self.by_id.pop(request.id, None)
