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
    """Where a request stands."""

    QUEUED = 0
    RUNNING = 1  # on the cores
    CALL_PENDING = 2  # its run waits for a call that is not being made
    CALLING = 3  # its run waits for a call in flight
    PAUSED = 4  # stopped with its progress, and queued to go on
    AWAITING_ORIGINAL = 5  # a retry that takes the result of the attempt it repeats


@dataclass(slots=True, eq=False)
class RequestRecord:
    """All that is known of one request that is not over."""

    id: int
    class_index: int  # of its class in the settings
    request_class: RequestClass
    arrived_at: float
    deadline_at: float  # when an answer is owed at the latest
    objective_at: float  # after it an answer is late
    expires_at: float  # after it an answer has no weight
    memory_kb: float
    work: float
    weight: float = 0.0  # for each unit of its work, or for the request where the site weighs by work
    work_hint_s: float | None = None
    tenant: str = ""
    state: RequestState = RequestState.QUEUED
    may_have_run: bool = False  # it has started, or the attempt whose result it awaits has
    is_settled: bool = False  # answered, or cancelled by its caller: no answer is owed any more
    original_id: int | None = None  # of the attempt that it repeats
    core_clock_at_entry: float = 0.0  # the core clock when it last got a core
    core_time_s: float = 0.0  # used up to then
    started_at: float = 0.0
    call_attempts: int = 0  # of the call that its run waits for
    retry_at: float = 0.0  # not before: its next call
    presumed_lost_at: float = math.inf  # of a run that is indeterminate: when it has had more than its time
    called_at: float = 0.0
    reserved_call_s: float = 0.0  # call-seconds reserved for its call in flight
    priority: float = 0.0  # in the wait queue: the highest goes first

    @classmethod
    def of_arrival(  # noqa: PLR0913  # one argument for each value that is computed for a newcomer
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
        """True where the host lost sight of the run, and nothing was heard of it since."""
        return self.presumed_lost_at < math.inf

    @property
    def can_skip_call(self) -> bool:
        """True where an answer without the downstream call has some weight."""
        return self.request_class.skipped_call_weight > 0.0

    @property
    def is_idempotent(self) -> bool:
        """True where running it twice does no harm."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENT
