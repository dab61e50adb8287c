"""All that a node knows; only the reducer changes it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from snowthread.admission import events as admission_events
from snowthread.admission.controller import Controller
from snowthread.admission.settings import RequestClass, Settings
from snowthread.core.effects import Command
from snowthread.core.events import (
    CallPacingChanged,
    LearnedStateRestored,
    PeerLoadReported,
    RequestReceived,
    ResponseAddress,
)
from snowthread.core.idempotency import IdempotencyTable, IndeterminateKeys


class RequestPhase(Enum):
    """Where a request stands."""

    QUEUED = 0
    RUNNING = 1
    AWAITING_ORIGINAL = 2


class HandoverRole(Enum):
    """Who else is this node."""

    STANDALONE = 0
    PREDECESSOR = 1  # the older of two processes: decides who has a key
    SUCCESSOR = 2  # the newer one: asks before it takes a key


@dataclass(slots=True, eq=False)
class Request:
    """One try that was read. ``ticket`` is None once it is answered or nobody waits."""

    number: int
    attempt_id: str
    class_name: str
    body: bytes
    response_address: ResponseAddress | None
    idempotency_key: str | None
    original_number: int | None
    received_at_ms: float
    request_class: RequestClass  # as it was then
    memory_kb: float  # booked while it is held, and the run factor times that while it runs
    body_digest: bytes = b""  # a digest of class and body, where it is keyed
    phase: RequestPhase = RequestPhase.QUEUED
    link_number: int = 0  # the runtime link on which its start was sent; 0: not sent yet
    pending_call_notice: int | None = None  # the notice of the call it waits for
    call_body: bytes = b""
    call_in_flight: bool = False
    last_command: Command | None = None  # the last command that lets it go on, and when it was given
    last_command_at_ms: float = 0.0
    answered_call_notice: int = 0  # the notice of the call that was answered last
    indeterminate: bool = False  # nothing was heard of it since a link broke that its last command went over
    stopping: bool = False
    followers: list[int] = field(default_factory=list)  # repeats that wait for its result


class PendingClaim(NamedTuple):
    """A claim of an idempotency key that the predecessor has not decided yet."""

    attempt_id: str  # the attempt that the key is claimed for
    waiting: list[RequestReceived]  # all requests with this key; the claimant's first, unless cancelled


class AdmissionClock:
    """The one place where milliseconds become the module's seconds and back. Its zero lies a second before
    the start: the module takes a time of 0 for none."""

    def __init__(self, start: float) -> None:
        self._zero = start - 1000.0

    def timestamp_s(self, now: float) -> float:
        """A time as the module's clock has it."""
        return max(0.001, (now - self._zero) / 1000.0)

    @staticmethod
    def duration_s(ms: float) -> float:
        """A length of time in the module's seconds."""
        return ms / 1000.0

    @staticmethod
    def duration_ms(seconds: float) -> float:
        """A length of time of the module in milliseconds."""
        return seconds * 1000.0


@dataclass(slots=True)
class State:
    """A node. The controller comes into being when the runtime is there, or with the first request."""

    settings: Settings
    seed: int
    gauge_names: tuple[str, ...]
    admission_clock: AdmissionClock
    controller: Controller | None = None
    pending_quotas: admission_events.TenantsChanged | None = None  # told before there was a controller
    idempotency_table: IdempotencyTable = field(default_factory=IdempotencyTable)
    requests: dict[int, Request] = field(default_factory=dict)
    by_attempt_id: dict[str, Request] = field(default_factory=dict)
    by_response_address: dict[ResponseAddress, Request] = field(default_factory=dict)
    last_request_number: int = 0
    link_number: int = 0  # links to the runtime so far
    runtime_connected: bool = False
    disconnected_at_ms: float = 0.0  # when a link broke last
    unsent_commands: list[Command] = field(default_factory=list)  # commands that wait for a link
    load_sample: tuple[float, ...] = ()
    load_sample_at_ms: float = float("-inf")
    load_sample_due_for_ms: float = float("-inf")  # the latest timer that gauges were or will be asked for
    last_sample_number: int = 0
    stale_sample_number: int = 0  # questions up to this one were asked when the gauges had another order
    load_report: float | None = None
    healthy: bool = True
    shutting_down: bool = False
    retired_classes: dict[str, float] = field(
        default_factory=dict
    )  # classes dropped: until when they are still taken
    drained: bool = False  # by the operators, until they take it back
    handover_role: HandoverRole = HandoverRole.STANDALONE
    peer_load: PeerLoadReported | None = None  # what the other process has of what both share
    indeterminate_keys: IndeterminateKeys | None = None  # keys of an earlier life
    call_pacing: CallPacingChanged | None = None  # the limit of a node on its way back
    learned_state: LearnedStateRestored | None = (
        None  # what decisions begin with, until there is a controller
    )
    superseded: bool = False  # the newer process takes the clients
    pending_claims: dict[str, PendingClaim] = field(default_factory=dict)  # by idempotency key

    @property
    def accepts_work(self) -> bool:
        """Should the node be on the list? A process that leaves does not take it off while another stays."""
        return self.healthy and not self.drained and (self.superseded or not self.shutting_down)
