"""The table of open requests, with the cores, the calls and the memory that they use.

Accounting only; it makes no decisions.
"""

from __future__ import annotations

from collections.abc import Sequence

from snowthread.admission.call_table import CallTable
from snowthread.admission.cores import Cores
from snowthread.admission.memory import MemoryAccount
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settings import Settings


class OpenRequests:
    """All requests that are not over, and those of them that are queued."""

    def __init__(self, settings: Settings) -> None:
        self.by_id: dict[int, RequestRecord] = {}
        self.queued: dict[int, RequestRecord] = {}  # includes requests whose run is paused
        self.cores = Cores(settings)
        self.call_table = CallTable(self.cores)
        self.memory = MemoryAccount(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use new settings for the accounts from now on."""
        self.cores.settings = settings
        self.memory.apply_settings(settings, self.by_id.values())

    def add(self, request: RequestRecord) -> None:
        """Add a request to the table and to the queue."""
        self.by_id[request.id] = request
        self.queued[request.id] = request
        self.memory.used_kb += request.memory_kb

    def await_original(self, request: RequestRecord) -> None:
        """Take a retry out of the queue: it gets the result of the attempt that it repeats."""
        del self.queued[request.id]
        request.state = RequestState.AWAITING_ORIGINAL
        request.may_have_run = True  # the retry itself never runs, but its original may

    def start(self, now: float, request: RequestRecord) -> None:
        """Take a request out of the queue and put its run on the cores."""
        del self.queued[request.id]
        self.memory.used_kb += self.memory.start_extra_kb(request)
        request.may_have_run = True
        request.started_at = now
        self.cores.enter(request)

    def requeue(self, request: RequestRecord, keeps_progress: bool) -> None:
        """Queue a request again whose run the host has cancelled without a ``StopRun``.

        ``keeps_progress`` says whether the run still counts with its memory, as one that was paused.
        """
        self.cores.leave(request)
        if not keeps_progress:
            self.memory.release_run(request)
        request.state = RequestState.PAUSED if keeps_progress else RequestState.QUEUED
        self.queued[request.id] = request

    def add_progress(self, work_done: float, core_time_s: Sequence[float]) -> float:
        """Return the work done, with the progress of unfinished runs taken into account.

        ``work_done`` is the work of the runs that ended, in units; ``core_time_s`` holds the core
        seconds per unit of work of each class.
        """
        return self.cores.add_progress(work_done, self.by_id.values(), core_time_s)

    def remove(self, request: RequestRecord) -> None:
        """Remove a request that is over and free what it uses."""
        self.cores.leave(request)
        self.memory.release(request)
        self.queued.pop(request.id, None)
        self.by_id.pop(request.id, None)
