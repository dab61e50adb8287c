"""Count what the reducer does and turn it into records. Free of I/O.

The observer looks at events and effects only, never decides, and has one small entry for each open request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from snowthread.admission.settings import Settings
from snowthread.core import effects, events
from snowthread.core.state import NodeState
from snowthread.records.model import RecordDraft, RecordFields, RecordKind, RequestCounts
from snowthread.records.open_request import OpenRequest
from snowthread.records.second import Second, count_duration, second_fields

MS_PER_S = 1000.0
MAX_TENANT_ROWS = 200  # of a second; tenants beyond that are counted under one name
OTHER_TENANTS = "(others)"
MAX_AWAITED_RUNS = 4096  # whose end is still to come
MAX_CALLERS = 16  # balancers whose youngest request is recorded each second

_NO_RECORDS: tuple[RecordDraft, ...] = ()
_EventT = TypeVar("_EventT")
_EffectT = TypeVar("_EffectT")


class Observer:
    """Counts of one node."""

    def __init__(self, settings: Settings, now: float) -> None:
        self._latency_objectives_ms: dict[str, float] = {}
        self.apply_settings(settings)
        self._open: dict[events.ResponseAddress, OpenRequest] = {}
        self._by_attempt: dict[str, OpenRequest] = {}
        self._second = Second(now)
        self._runtime_connected = False
        self._run_classes: dict[str, str] = {}  # by attempt id; its request may be answered already
        self._just_received: OpenRequest | None = None  # by the event that is being observed
        self._event_handlers: dict[type, Callable[[Any, float], RecordDraft | None]] = {}
        self._effect_handlers: dict[type, Callable[[Any, NodeState, float], RecordDraft | None]] = {}
        self._register_handlers()

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open)

    def apply_settings(self, settings: Settings) -> None:
        """Take the classes that there are from now on, and their latency objectives."""
        self._latency_objectives_ms = {
            request_class.name: request_class.latency_objective_s * MS_PER_S
            for request_class in settings.classes
        }

    def observe(
        self, event: events.Event, produced: Sequence[effects.Effect], state: NodeState, now: float
    ) -> Sequence[RecordDraft]:
        """Count one step of the reducer and return the records to be made at once."""
        handle_event = self._event_handlers.get(type(event))
        if handle_event is None and not produced:
            return _NO_RECORDS
        drafts: list[RecordDraft] = []
        self._just_received = None
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
        """Return the fields of a ``second``: the counts since the last call, and the current figures."""
        second = self._second
        self._second = Second(now)
        return second_fields(second, state, now)

    # Dispatch.

    def _register_handlers(self) -> None:
        self._on_event(events.RequestReceived, self._request_received)
        self._on_event(events.RunCompleted, self._run_completed)
        self._on_event(events.CallCompleted, self._call_completed)
        self._on_event(events.RequestCancelled, self._request_cancelled)
        self._on_event(events.RuntimeConnected, self._runtime_connected_event)
        self._on_event(events.RuntimeDisconnected, self._runtime_disconnected_event)
        self._on_event(events.ShutdownRequested, self._shutdown_requested)
        self._on_effect(effects.SendResponse, self._response_sent)
        self._on_effect(effects.StartRun, self._run_started)
        self._on_effect(effects.StartCall, self._call_started)
        self._on_effect(effects.SetRegistration, self._registration_set)

    def _on_event(
        self, event_type: type[_EventT], handler: Callable[[_EventT, float], RecordDraft | None]
    ) -> None:
        """Register a handler; the types of event and handler are checked against each other here."""
        self._event_handlers[event_type] = handler

    def _on_effect(
        self, effect_type: type[_EffectT], handler: Callable[[_EffectT, NodeState, float], RecordDraft | None]
    ) -> None:
        """Register a handler; the types of effect and handler are checked against each other here."""
        self._effect_handlers[effect_type] = handler

    # Events.

    def _request_received(self, event: events.RequestReceived, now: float) -> None:
        # A class that the settings don't name is whatever a caller wrote: it gets no row of its own.
        name = event.class_name if event.class_name in self._latency_objectives_ms else ""
        arrived_at = event.arrived_at_ms
        request = OpenRequest(event.attempt_id, name, event.tenant, min(arrived_at, now))
        self._open[event.response_address] = request
        self._by_attempt[event.attempt_id] = request
        self._just_received = request
        self._totals_of(request).read += 1
        ages = self._second.least_age_ms
        caller = event.caller_id
        least = ages.get(caller)
        if least is None:
            if len(ages) < MAX_CALLERS:
                ages[caller] = now - arrived_at
        elif now - arrived_at < least:
            ages[caller] = now - arrived_at

    def _run_completed(self, event: events.RunCompleted, _now: float) -> None:
        class_name = self._run_classes.pop(event.attempt_id, None)
        if class_name is not None:
            count_duration(self._second.run_durations, class_name, event.duration_ms)

    def _call_completed(self, event: events.CallCompleted, _now: float) -> None:
        count_duration(self._second.call_durations, event.outcome.value, event.duration_ms)
        request = self._by_attempt.get(event.attempt_id)
        if request is not None:
            request.call_in_flight = False

    def _request_cancelled(self, event: events.RequestCancelled, _now: float) -> None:
        request = self._remove(event.response_address)
        if request is not None:
            self._totals_of(request).left += 1

    def _runtime_connected_event(self, _event: events.RuntimeConnected, _now: float) -> RecordDraft:
        self._runtime_connected = True
        return RecordDraft(RecordKind.LINK, {"peer": "runtime", "up": True})

    def _runtime_disconnected_event(
        self, _event: events.RuntimeDisconnected, _now: float
    ) -> RecordDraft | None:
        was_connected = self._runtime_connected
        self._runtime_connected = False
        return RecordDraft(RecordKind.LINK, {"peer": "runtime", "up": False}) if was_connected else None

    def _shutdown_requested(self, event: events.ShutdownRequested, _now: float) -> RecordDraft:
        return RecordDraft(RecordKind.DRAIN, {"left_ms": event.time_left_ms})

    # Effects.

    def _response_sent(self, effect: effects.SendResponse, state: NodeState, now: float) -> None:
        request = self._remove(effect.response_address)
        if request is None:
            return  # a health check
        totals = self._totals_of(request)
        match effect.response:
            case effects.Served():
                objective_ms = self._latency_objectives_ms.get(request.class_name, 0.0)
                if now - request.arrived_at_ms <= objective_ms:
                    totals.served += 1
                else:
                    totals.late += 1
                totals.attached += not request.run_started
            case effects.Rejected():
                if state.shutting_down:
                    totals.refused_leaving += 1
                elif request is self._just_received:
                    totals.refused += 1
                else:
                    totals.refused_held += 1
            case effects.Failed():
                if request.call_in_flight:
                    totals.failed_calling += 1
                elif request.run_started:
                    totals.failed_running += 1
                else:
                    totals.failed += 1

    def _run_started(self, effect: effects.StartRun, _state: NodeState, _now: float) -> None:
        request = self._by_attempt.get(effect.attempt_id)
        if request is not None and not request.run_started:
            request.run_started = True
            self._totals_of(request).runs += 1
        self._run_classes[effect.attempt_id] = effect.class_name
        if len(self._run_classes) > MAX_AWAITED_RUNS:  # runs lost with a broken connection never end here
            del self._run_classes[next(iter(self._run_classes))]

    def _call_started(self, effect: effects.StartCall, _state: NodeState, _now: float) -> None:
        request = self._by_attempt.get(effect.attempt_id)
        if request is not None:
            request.call_in_flight = True

    def _registration_set(
        self, effect: effects.SetRegistration, _state: NodeState, _now: float
    ) -> RecordDraft:
        return RecordDraft(RecordKind.REGISTRATION, {"taking": effect.accepts_work})

    # Open requests.

    def _remove(self, response_address: events.ResponseAddress) -> OpenRequest | None:
        request = self._open.pop(response_address, None)
        if request is not None and self._by_attempt.get(request.attempt_id) is request:
            del self._by_attempt[request.attempt_id]
        return request

    def _totals_of(self, request: OpenRequest) -> RequestCounts:
        """Return the row of this second where the request is counted."""
        second = self._second
        if request.counted_in is second and request.totals is not None:
            return request.totals
        rows = second.totals
        key = (request.class_name, request.tenant)
        if key not in rows and len(rows) >= MAX_TENANT_ROWS:
            key = (request.class_name, OTHER_TENANTS)
        row = rows.get(key)
        if row is None:
            row = RequestCounts()
            rows[key] = row
        request.counted_in = second
        request.totals = row
        return row
