"""The record that the controller keeps of one request, and the state that the request is in.

Types only. Times are seconds of the controller's clock, memory is kilobytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from snowthread.admission.settings import RequestClass


class RequestState(Enum):
    """Where a request stands."""

    QUEUED = 0
    RUNNING = 1  # on the cores
    CALL_PENDING = 2  # at a call that is not being made
    CALLING = 3
    PAUSED = 4
    AWAITING_ORIGINAL = 5
    INDETERMINATE = 6  # begun, if its start came through


@dataclass(slots=True, eq=False)
class RequestRecord:
    """All that is known of one request."""

    id: int
    cls: int
    kind: RequestClass
    arrived: float
    due: float
    aim: float
    end: float  # until when an answer is worth anything
    kb: float
    work: float
    value: float  # worth for its work, or for itself where the site counts by work
    hint: float | None = None
    tenant: str = ""
    state: RequestState = RequestState.QUEUED
    ran: bool = False
    answered: bool = False  # or no answer owed
    prior: int | None = None
    mark: float = 0.0  # core clock when it last stepped on the cores
    core_s: float = 0.0  # core time used up to then
    started: float = 0.0
    calls: int = 0
    retry_at: float = 0.0
    called: float = 0.0
    stay: float = 0.0  # call-seconds set aside for its call
    key: float = 0.0  # its place in the hold
