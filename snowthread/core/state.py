"""The state of a node, which only the reducer and its handlers change.

Timestamps (``..._at_ms``, ``..._until_ms``) are Unix times in milliseconds, as floats.
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
from snowthread.core.started_attempts import StartedAttempts

MS_PER_S = 1000.0
MIN_TIMESTAMP_S = 0.001  # smallest time passed to the admission controller, which reads 0 as "not set"


class RequestPhase(Enum):
    """The phase of a request; :mod:`snowthread.core.request_lifecycle` documents the transitions."""

    QUEUED = 0
    RUNNING = 1
    AWAITING_ORIGINAL = 2


class HandoverRole(Enum):
    """The role of this process in a hot restart."""

    JOINING = 3  # looks for a predecessor; it is not known yet whether there is one
    STANDALONE = 0
    PREDECESSOR = 1  # the older of the two processes, which grants or denies claims of idempotency keys
    SUCCESSOR = 2  # the newer of the two processes, which claims a key before it runs a request with it


class PeerCallOrder(Enum):
    """How the peer process reports operators' calls; :mod:`snowthread.core.drain` has the protocol."""

    UNKNOWN = 0  # there is no peer process, or it has not reported the node's state on this link yet
    STAMPED = 1  # with the time of the call, by which calls are ordered
    UNSTAMPED = 2  # it is of an earlier release and reports them without


@dataclass(slots=True, eq=False)
class Request:
    """One attempt received from a balancer; ``response_address`` is None once no response is owed."""

    request_id: int  # unique in this process; shared with the admission controller
    attempt_id: str
    class_name: str
    body: bytes
    response_address: ResponseAddress | None
    idempotency_key: str | None
    original_id: int | None  # id of the request that this one is a retry of, or None
    read_at_ms: float  # when the request was read, or when its key claim ended if it had to wait for one
    request_class: RequestClass  # the class as it was configured when the request arrived
    memory_kb: float  # memory booked while queued; multiplied by the running memory factor while running
    body_digest: bytes = b""  # digest of class name and body; empty unless the class is keyed
    phase: RequestPhase = RequestPhase.QUEUED
    run: Run | None = None  # the run at the runtime; None unless the request is running
    followers: list[int] = field(default_factory=list)  # request ids of the retries that wait for this result

    @property
    def call_in_flight(self) -> bool:
        """Whether the request has a run with a downstream call in flight."""
        return self.run is not None and self.run.call_in_flight


class PendingClaim(NamedTuple):
    """A claim of an idempotency key that the predecessor has not decided yet."""

    attempt_id: str  # the attempt that the key is claimed for
    # All requests with this key, in order of arrival. The claimant comes first unless it was cancelled or was
    # rejected because the decision took too long.
    waiting_requests: list[RequestReceived]


class AdmissionClock:
    """Converts between Unix milliseconds and the seconds of the admission controller.

    The controller's clock starts at 1 s when the node starts, because the controller reads a time of 0 as
    "not set".
    """

    def __init__(self, start_ms: float) -> None:
        self._zero_ms = start_ms - MS_PER_S

    def timestamp_s(self, now_ms: float) -> float:
        """Convert a Unix time in milliseconds to seconds on the controller's clock."""
        return max(MIN_TIMESTAMP_S, (now_ms - self._zero_ms) / MS_PER_S)

    @staticmethod
    def duration_s(duration_ms: float) -> float:
        """Convert a duration from milliseconds to seconds."""
        return duration_ms / MS_PER_S

    @staticmethod
    def duration_ms(duration_s: float) -> float:
        """Convert a duration from seconds to milliseconds."""
        return duration_s * MS_PER_S


@dataclass(slots=True)
class NodeState:
    """The complete state of a node.

    The admission controller is created when the runtime connects, or earlier by the first event for the
    controller, such as a request or a shutdown notice.
    """

    settings: Settings
    seed: int
    gauge_names: tuple[str, ...]
    admission_clock: AdmissionClock
    controller: Controller | None = None
    # Tenant changes that arrived before the admission controller was created.
    pending_tenants: admission_events.TenantsChanged | None = None
    idempotency_table: IdempotencyTable = field(default_factory=IdempotencyTable)
    requests: dict[int, Request] = field(default_factory=dict)
    requests_by_attempt_id: dict[str, Request] = field(default_factory=dict)
    requests_by_response_address: dict[ResponseAddress, Request] = field(default_factory=dict)
    started_attempts: StartedAttempts = field(default_factory=StartedAttempts)
    last_request_id: int = 0
    command_log: CommandLog = field(default_factory=CommandLog)
    runtime_connected: bool = False
    disconnected_at_ms: float = -math.inf  # when the link to the runtime was last lost
    reconnected_at_ms: float = -math.inf  # when the link to the runtime was last re-established
    unsent_commands: list[Command] = field(default_factory=list)  # commands queued until the runtime connects
    load_sample: tuple[float, ...] = ()  # gauge values, in the order of ``gauge_names``
    load_sample_at_ms: float = -math.inf
    load_sample_used: bool = False  # whether a controller update has already used the load sample
    last_sample_number: int = 0
    last_stale_sample_number: int = 0  # samples up to this number were requested with another gauge order
    # Load report sent with each response, as ``LoadReportKind`` defines it; None if none was published.
    load_report: float | None = None
    healthy: bool = True
    shutting_down: bool = False
    retired_until_ms: dict[str, float] = field(default_factory=dict)  # end of service of each removed class
    name_taken: bool = False  # whether another node uses this node's name; cleared by a resume call
    drained: bool = False  # set by an operator's drain call and cleared by a resume call
    drain_called_at_ns: int = 0  # when that call was made, on the monotonic clock; 0 before the first call
    drain_reported_at_ns: int = 0  # time of the latest call that was reported on the present link
    peer_call_order: PeerCallOrder = PeerCallOrder.UNKNOWN
    peer_drain_called_at_ns: int = 0  # time of the latest call that the peer process is known to hold
    handover_role: HandoverRole = HandoverRole.STANDALONE
    peer_load: PeerLoadReported | None = None  # what the peer process uses of the shared limits
    # Keys of requests that an earlier incarnation of this node may have run, with an unknown outcome.
    indeterminate_keys: IndeterminateKeys | None = None
    call_pacing: CallPacingChanged | None = None  # call quota in effect during recovery, if it is replaced
    pending_learned_state: LearnedStateRestored | None = None  # learned state for a controller to be created
    superseded: bool = False  # whether the successor process accepts the new connections
    pending_claims: dict[str, PendingClaim] = field(default_factory=dict)  # undecided claims by their key

    @property
    def link_number(self) -> int:
        """The number of links to the runtime that were established so far."""
        return self.command_log.link_number

    @property
    def knows_drain_state(self) -> bool:
        """Whether this process knows if the node is drained.

        It does not while it looks for a predecessor, and until the predecessor has reported that.
        """
        if self.handover_role is HandoverRole.JOINING:
            return False
        return (
            self.handover_role is HandoverRole.STANDALONE or self.peer_call_order is not PeerCallOrder.UNKNOWN
        )

    @property
    def accepts_work(self) -> bool:
        """Whether the registry should list the node as accepting work.

        A process that shuts down while its successor serves leaves the registration in place.
        """
        if self.name_taken or self.drained:
            return False
        return self.healthy and (self.superseded or not self.shutting_down)
