"""The state of a node; only the reducer and its handlers change it.

Points in time (``..._at_ms``, ``..._until_ms``) are float Unix milliseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from snowthread.admission import events as admission_events
from snowthread.admission.controller import Controller
from snowthread.admission.settings import RequestClass, Settings
from snowthread.core.command_log import CommandLog
from snowthread.core.effects import Command
from snowthread.core.events import (
    CallPacingChanged,
    LearnedStateRestored,
    PeerLoadReported,
    RequestReceived,
    ResponseAddress,
)
from snowthread.core.idempotency import IdempotencyTable, IndeterminateKeys
from snowthread.core.run import Run

MS_PER_S = 1000.0
MIN_TIMESTAMP_S = 0.001  # to the controller a time of 0 means that there is none


class RequestPhase(Enum):
    """The phase of a request; the table is in :mod:`snowthread.core.request_lifecycle`."""

    QUEUED = 0
    RUNNING = 1
    AWAITING_ORIGINAL = 2


class HandoverRole(Enum):
    """The role of this process in a hot restart."""

    STANDALONE = 0
    PREDECESSOR = 1  # the older of two processes: decides claims of idempotency keys
    SUCCESSOR = 2  # the newer one: claims a key before it runs a request with it


@dataclass(slots=True, eq=False)
class Request:
    """One attempt that was read; ``response_address`` is None once no answer is owed any more."""

    number: int
    attempt_id: str
    class_name: str
    body: bytes
    response_address: ResponseAddress | None
    idempotency_key: str | None
    original_number: int | None
    read_at_ms: float  # or taken up anew, where it waited for a decision on its key
    request_class: RequestClass  # as it was on arrival
    memory_kb: float  # used while queued; multiplied by the running memory factor while it runs
    body_digest: bytes = b""  # of class and body, where the class is keyed
    phase: RequestPhase = RequestPhase.QUEUED
    run: Run | None = None  # while the phase is RUNNING
    followers: list[int] = field(default_factory=list)  # numbers of the retries that wait for its result

    @property
    def call_in_flight(self) -> bool:
        """Whether the run waits for a downstream call that was sent."""
        return self.run is not None and self.run.call_in_flight


class PendingClaim(NamedTuple):
    """A claim of an idempotency key that the predecessor has not decided yet."""

    attempt_id: str  # the attempt that the key is claimed for
    waiting_requests: list[
        RequestReceived
    ]  # all requests with this key; the claimant's first, unless cancelled


class AdmissionClock:
    """Converts between Unix milliseconds and the seconds of the admission controller.

    The controller's zero lies a second before the start: to the controller a time of 0 means that there is
    none.
    """

    def __init__(self, start_ms: float) -> None:
        self._zero_ms = start_ms - MS_PER_S

    def timestamp_s(self, now_ms: float) -> float:
        """Return a point in time on the controller's clock."""
        return max(MIN_TIMESTAMP_S, (now_ms - self._zero_ms) / MS_PER_S)

    @staticmethod
    def duration_s(duration_ms: float) -> float:
        """Return a length of time in seconds."""
        return duration_ms / MS_PER_S

    @staticmethod
    def duration_ms(duration_s: float) -> float:
        """Return a length of time in milliseconds."""
        return duration_s * MS_PER_S


@dataclass(slots=True)
class NodeState:
    """The state of a node.

    The controller is created when the runtime connects, or with the first request.
    """

    settings: Settings
    seed: int
    gauge_names: tuple[str, ...]
    admission_clock: AdmissionClock
    controller: Controller | None = None
    pending_quotas: admission_events.TenantsChanged | None = None  # received before there was a controller
    idempotency_table: IdempotencyTable = field(default_factory=IdempotencyTable)
    requests: dict[int, Request] = field(default_factory=dict)
    requests_by_attempt_id: dict[str, Request] = field(default_factory=dict)
    requests_by_response_address: dict[ResponseAddress, Request] = field(default_factory=dict)
    last_request_number: int = 0
    command_log: CommandLog = field(default_factory=CommandLog)
    runtime_connected: bool = False
    disconnected_at_ms: float = -math.inf  # when the last link broke
    reconnected_at_ms: float = -math.inf  # when there was a link again
    unsent_commands: list[Command] = field(default_factory=list)  # in order; they wait for a link
    load_sample: tuple[float, ...] = ()  # in the order of ``gauge_names``
    load_sample_at_ms: float = -math.inf
    load_sample_used: bool = False  # for an update of the controller
    last_sample_number: int = 0
    last_stale_sample_number: int = 0  # up to this one the gauges had another order
    load_report: float | None = None  # sent with each response
    healthy: bool = True
    shutting_down: bool = False
    retired_until_ms: dict[str, float] = field(default_factory=dict)  # until when a removed class is served
    drained: bool = False  # by the operators, until they undo it
    handover_role: HandoverRole = HandoverRole.STANDALONE
    peer_load: PeerLoadReported | None = None  # what the peer process uses of the shared limits
    indeterminate_keys: IndeterminateKeys | None = None  # of an earlier incarnation
    call_pacing: CallPacingChanged | None = None  # the limit during recovery
    pending_learned_state: LearnedStateRestored | None = None  # waits until there is a controller
    superseded: bool = False  # the successor takes new connections
    pending_claims: dict[str, PendingClaim] = field(default_factory=dict)  # by idempotency key

    @property
    def link_number(self) -> int:
        """The number of links to the runtime so far."""
        return self.command_log.link_number

    @property
    def accepts_work(self) -> bool:
        """Whether the node should be registered.

        A process that shuts down does not withdraw the registration while its successor serves.
        """
        return self.healthy and not self.drained and (self.superseded or not self.shutting_down)
