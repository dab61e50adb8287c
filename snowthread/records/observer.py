"""Count the events and effects of the reducer and turn them into record drafts. Free of I/O.

The observer only reads events and effects and takes no decisions. It holds one small entry for each request
that is not answered yet.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from snowthread.admission.settings import Settings
from snowthread.core import effects, events
from snowthread.core.state import NodeState
from snowthread.records.model import RecordDraft, RecordFields, RecordKind, RequestCounts
from snowthread.records.open_request import OpenRequest
from snowthread.records.second import SecondCounts, count_duration, second_fields

MS_PER_S = 1000.0
# Most pairs of class and tenant that one second counts apart; further tenants are counted as OTHER_TENANTS.
MAX_TENANT_ROWS = 200
OTHER_TENANTS = "(others)"
MAX_TRACKED_RUNS = 4096  # most runs whose class is remembered until they complete
MAX_CALLERS = 16  # most balancers per second for which the least request age is recorded

_NO_RECORDS: tuple[RecordDraft, ...] = ()
_EventT = TypeVar("_EventT")
_EffectT = TypeVar("_EffectT")


class Observer:
    """Counts what one node does, and drafts the records of it.

    ``now`` is everywhere the node's time in Unix milliseconds.
    """

    def __init__(self, settings: Settings, now: float) -> None:
        self._latency_objectives_ms: dict[str, float] = {}
        self.apply_settings(settings)
        self._open_by_address: dict[events.ResponseAddress, OpenRequest] = {}
        self._open_by_attempt: dict[str, OpenRequest] = {}
        self._current_second = SecondCounts(now)
        self._runtime_connected = False
        # Class names of runs by attempt id, kept apart because a run may outlive its request.
        self._run_classes: dict[str, str] = {}
        self._received_by_event: OpenRequest | None = None  # the request that the current event brought
        self._event_handlers: dict[type, Callable[[Any, float], RecordDraft | None]] = {}
        self._effect_handlers: dict[type, Callable[[Any, NodeState, float], RecordDraft | None]] = {}
        self._register_handlers()

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open_by_address)

    def apply_settings(self, settings: Settings) -> None:
        """Use the classes of these settings and their latency objectives from now on."""
        self._latency_objectives_ms = {
            request_class.name: request_class.latency_objective_s * MS_PER_S
            for request_class in settings.classes
        }

    def observe(
        self, event: events.Event, produced: Sequence[effects.Effect], state: NodeState, now: float
    ) -> Sequence[RecordDraft]:
        """Count one step of the reducer and return drafts of the records to be written at once.

        ``produced`` are the effects that the reducer returned for ``event``, ``state`` is the state after it.
        """
        handle_event = self._event_handlers.get(type(event))
        if handle_event is None and not produced:
            return _NO_RECORDS
        drafts: list[RecordDraft] = []
        self._received_by_event = None
        if handle_event is not None:
            draft = handle_event(event, now)
            if draft is not None:
                drafts.append(draft)
        handlers = self._effect_handlers
        for effect in produced:
            handle_effect = handlers.get(type(effect))
            if handle_effect is not None:
                draft = handle_effect(effect, state, now)
                if draft is not None:
                    drafts.append(draft)
        return drafts

    def take_second_fields(self, state: NodeState, now: float) -> RecordFields:
        """Return the fields of a ``second`` record and reset its counts, which began with the last call."""
        second = self._current_second
        self._current_second = SecondCounts(now)
        return second_fields(second, state, now)

    # Registration of handlers by type.

    def _register_handlers(self) -> None:
        self._register_event(events.RequestReceived, self._handle_request_received)
        self._register_event(events.RunCompleted, self._handle_run_completed)
        self._register_event(events.CallCompleted, self._handle_call_completed)
        self._register_event(events.RequestCancelled, self._handle_request_cancelled)
        self._register_event(events.RuntimeConnected, self._handle_runtime_connected)
        self._register_event(events.RuntimeDisconnected, self._handle_runtime_disconnected)
        self._register_event(events.ShutdownRequested, self._handle_shutdown_requested)
        self._register_effect(effects.SendResponse, self._handle_response_sent)
        self._register_effect(effects.StartRun, self._handle_run_started)
        self._register_effect(effects.StartCall, self._handle_call_started)
        self._register_effect(effects.SetRegistration, self._handle_registration_set)

    def _register_event(
        self, event_type: type[_EventT], handler: Callable[[_EventT, float], RecordDraft | None]
    ) -> None:
        """Register the handler of an event type; the signature lets mypy check that the two types match."""
        self._event_handlers[event_type] = handler

    def _register_effect(
        self, effect_type: type[_EffectT], handler: Callable[[_EffectT, NodeState, float], RecordDraft | None]
    ) -> None:
        """Register the handler of an effect type; the signature lets mypy check that the two types match."""
        self._effect_handlers[effect_type] = handler

    # Handlers of events.

    def _handle_request_received(self, event: events.RequestReceived, now: float) -> None:
        # A class that is not configured is arbitrary text from a caller, so it is counted as the empty name.
        name = event.class_name if event.class_name in self._latency_objectives_ms else ""
        arrived_at = event.arrived_at_ms
        request = OpenRequest(event.attempt_id, name, event.tenant, min(arrived_at, now))
        self._open_by_address[event.response_address] = request
        self._open_by_attempt[event.attempt_id] = request
        self._received_by_event = request
        self._counts_of(request).read += 1
        ages = self._current_second.least_age_ms_by_caller
        caller = event.caller_id
        least = ages.get(caller)
        if least is None:
            if len(ages) < MAX_CALLERS:
                ages[caller] = now - arrived_at
        elif now - arrived_at < least:
            ages[caller] = now - arrived_at

    def _handle_run_completed(self, event: events.RunCompleted, _now: float) -> None:
        class_name = self._run_classes.pop(event.attempt_id, None)
        if class_name is not None:
            count_duration(self._current_second.run_durations, class_name, event.duration_ms)

    def _handle_call_completed(self, event: events.CallCompleted, _now: float) -> None:
        count_duration(self._current_second.call_durations, event.outcome.value, event.duration_ms)
        request = self._open_by_attempt.get(event.attempt_id)
        if request is not None:
            request.call_in_flight = False

    def _handle_request_cancelled(self, event: events.RequestCancelled, _now: float) -> None:
        request = self._remove(event.response_address)
        if request is not None:
            self._counts_of(request).left += 1

    def _handle_runtime_connected(self, _event: events.RuntimeConnected, _now: float) -> RecordDraft:
        self._runtime_connected = True
        return RecordDraft(RecordKind.LINK, {"peer": "runtime", "up": True})

    def _handle_runtime_disconnected(
        self, _event: events.RuntimeDisconnected, _now: float
    ) -> RecordDraft | None:
        was_connected = self._runtime_connected
        self._runtime_connected = False
        return RecordDraft(RecordKind.LINK, {"peer": "runtime", "up": False}) if was_connected else None

    def _handle_shutdown_requested(self, event: events.ShutdownRequested, _now: float) -> RecordDraft:
        return RecordDraft(RecordKind.DRAIN, {"left_ms": event.time_left_ms})

    # Handlers of effects.

    def _handle_response_sent(self, effect: effects.SendResponse, state: NodeState, now: float) -> None:
        request = self._remove(effect.response_address)
        if request is None:
            return  # the answer to a health check, which is not counted
        counts = self._counts_of(request)
        match effect.response:
            case effects.Served():
                objective_ms = self._latency_objectives_ms.get(request.class_name, 0.0)
                if now - request.arrived_at_ms <= objective_ms:
                    counts.served += 1
                else:
                    counts.late += 1
                counts.attached += not request.run_started
            case effects.Rejected():
                if state.shutting_down:
                    counts.refused_leaving += 1
                elif request is self._received_by_event:
                    counts.refused += 1
                else:
                    counts.refused_held += 1
            case effects.Failed():
                if request.call_in_flight:
                    counts.failed_calling += 1
                elif request.run_started:
                    counts.failed_running += 1
                else:
                    counts.failed += 1

    def _handle_run_started(self, effect: effects.StartRun, _state: NodeState, _now: float) -> None:
        request = self._open_by_attempt.get(effect.attempt_id)
        if request is not None and not request.run_started:
            request.run_started = True
            self._counts_of(request).runs += 1
        self._run_classes[effect.attempt_id] = effect.class_name
        if len(self._run_classes) > MAX_TRACKED_RUNS:  # runs lost with their connection never complete here
            del self._run_classes[next(iter(self._run_classes))]

    def _handle_call_started(self, effect: effects.StartCall, _state: NodeState, _now: float) -> None:
        request = self._open_by_attempt.get(effect.attempt_id)
        if request is not None:
            request.call_in_flight = True

    def _handle_registration_set(
        self, effect: effects.SetRegistration, _state: NodeState, _now: float
    ) -> RecordDraft:
        return RecordDraft(RecordKind.REGISTRATION, {"taking": effect.accepts_work})

    # Entries of open requests.

    def _remove(self, response_address: events.ResponseAddress) -> OpenRequest | None:
        request = self._open_by_address.pop(response_address, None)
        if request is not None and self._open_by_attempt.get(request.attempt_id) is request:
            del self._open_by_attempt[request.attempt_id]
        return request

    def _counts_of(self, request: OpenRequest) -> RequestCounts:
        """Return the row of the current second in which the request is counted."""
        second = self._current_second
        if request.counts_second is second and request.counts is not None:
            return request.counts
        rows = second.request_counts
        key = (request.class_name, request.tenant)
        if key not in rows and len(rows) >= MAX_TENANT_ROWS:
            key = (request.class_name, OTHER_TENANTS)
        row = rows.get(key)
        if row is None:
            row = RequestCounts()
            rows[key] = row
        request.counts_second = second
        request.counts = row
        return row
