"""The record of one open request, and the states that a request passes through.

Types only. Points in time (``..._at``) are seconds of the controller's clock, memory is kilobytes. A unit of
work is defined in :mod:`snowthread.admission.estimators`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from snowthread.admission.events import RequestArrived
from snowthread.admission.settings import Idempotency, RequestClass


class RequestState(Enum):
    """The state of an open request."""

    QUEUED = 0  # the request waits for its run to start
    RUNNING = 1  # the run is on the cores
    CALL_PENDING = 2  # the run waits for a call that has not been started
    CALLING = 3  # the run waits for a call in flight
    PAUSED = 4  # the run has ended without a result, but keeps its memory, and the request is queued again
    AWAITING_ORIGINAL = 5  # a retry that gets the result of its original attempt


@dataclass(slots=True, eq=False)
class RequestRecord:
    """What the controller knows about one open request."""

    id: int
    class_index: int  # index of its class in the settings
    request_class: RequestClass
    arrived_at: float  # when it reached the host, before it was read
    deadline_at: float  # latest time for an answer
    objective_at: float  # end of its latency objective; a later answer is late
    expires_at: float  # time from which an answer has no weight
    memory_kb: float  # memory of the request while it is queued
    work: float  # units of work
    weight: float = 0.0  # weight of its answer, per unit of work
    work_hint_s: float | None = None  # the caller's estimate of the core time in seconds, if it sent one
    tenant: str = ""
    state: RequestState = RequestState.QUEUED
    may_have_run: bool = False  # its run has started, or the run of the attempt whose result it awaits
    is_settled: bool = False  # answered, or cancelled by its caller: no answer is owed any more
    original_id: int | None = None  # id of the attempt that it repeats, if it is a retry
    # Reading of the core clock, in seconds, when the run last entered the cores.
    core_clock_at_entry: float = 0.0
    core_time_s: float = 0.0  # seconds of core time used before the run last entered the cores
    started_at: float = 0.0  # when its run started
    call_tries: int = 0  # tries of its current or last call; 0 if none was started
    retry_at: float = 0.0  # earliest time of the next try of its call
    # When an indeterminate run is next checked for loss: at the first check its request fails, at the second
    # the run no longer counts. Infinite for any other run.
    loss_check_at: float = math.inf
    called_at: float = 0.0  # when its call in flight was started
    reserved_call_s: float = 0.0  # call-seconds reserved for its call in flight
    priority: float = 0.0  # priority in the queue; the highest starts first

    @classmethod
    def of_arrival(  # noqa: PLR0913  # one argument for each value that is computed on arrival
        cls,
        event: RequestArrived,
        class_index: int,
        request_class: RequestClass,
        work: float,
        arrived_at: float,
        deadline_at: float,
        objective_at: float,
    ) -> RequestRecord:
        """Return the record of a request just read, without its weight and priority."""
        return cls(
            id=event.request_id,
            class_index=class_index,
            request_class=request_class,
            arrived_at=arrived_at,
            deadline_at=deadline_at,
            objective_at=objective_at,
            expires_at=deadline_at if request_class.late_weight_factor > 0.0 else objective_at,
            memory_kb=event.memory_kb,
            work=work,
            work_hint_s=event.work_hint_s,
            tenant=event.tenant,
            original_id=event.original_id,
        )

    @property
    def is_indeterminate(self) -> bool:
        """True if the host lost sight of the run and has heard nothing of it since."""
        return self.loss_check_at < math.inf

    @property
    def can_skip_call(self) -> bool:
        """True if an answer without the result of the downstream call has some weight."""
        return self.request_class.skipped_call_weight > 0.0

    @property
    def is_idempotent(self) -> bool:
        """True if the request may safely run twice."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENT
