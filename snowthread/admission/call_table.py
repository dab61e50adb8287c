"""The table of runs that wait for a downstream call, with the budget of call-seconds. Accounting only."""

from __future__ import annotations

from snowthread.admission.cores import Cores
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.statistics import ReservationBudget


class CallTable:
    """The runs whose call is pending or in flight."""

    def __init__(self, cores: Cores) -> None:
        self.pending: dict[int, RequestRecord] = {}
        self.in_flight: dict[int, RequestRecord] = {}
        self.budget = ReservationBudget(0.0)
        self._cores = cores

    def __len__(self) -> int:
        return len(self.pending) + len(self.in_flight)

    def add(self, now: float, request: RequestRecord) -> None:
        """Take a run off the cores until its call has ended or is skipped."""
        self._cores.leave(request)
        request.call_tries = 0
        request.retry_at = now
        self._set_pending(request)

    def _set_pending(self, request: RequestRecord) -> None:
        request.state = RequestState.CALL_PENDING
        self.pending[request.id] = request

    def start(self, now: float, request: RequestRecord) -> None:
        """Record that a pending call is in flight."""
        request.state = RequestState.CALLING
        request.called_at = now
        request.call_tries += 1
        del self.pending[request.id]
        self.in_flight[request.id] = request

    def resume(self, request: RequestRecord) -> None:
        """Put a run back on the cores, because its call has succeeded or is skipped."""
        self.pending.pop(request.id, None)
        self._cores.enter(request)

    def end(self, request: RequestRecord, used_s: float) -> None:
        """End a call in flight: settle its reservation and make its run pending again.

        ``used_s`` is the number of call-seconds that the call used.
        """
        del self.in_flight[request.id]
        self.budget.settle(request.reserved_call_s, used_s)
        request.reserved_call_s = 0.0
        self._set_pending(request)
