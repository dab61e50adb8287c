"""Count what the reducer does and turn it into records. Free of I/O.

The observer looks at events and effects only, never decides, and holds one small entry for each open request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

from snowthread.admission.settings import Settings
from snowthread.core import effects, events
from snowthread.core.state import State
from snowthread.records.model import Fields, RecordDraft, RecordKind, Totals
from snowthread.records.second import Second, count_duration, second_fields

TENANTS_MAX = 200  # rows of a second; tenants beyond that are counted under one name
OTHER_TENANTS = "(others)"
RUNS_MAX = 4096  # runs whose end is awaited
CALLERS_MAX = 16  # balancers whose youngest request is recorded each second

_NO_RECORDS: tuple[RecordDraft, ...] = ()
_EventT = TypeVar("_EventT")
_EffectT = TypeVar("_EffectT")


class _OpenRequest:
    """A request that is not answered yet. No dataclass: one is made for each request."""

    __slots__ = (
        "attempt_id",
        "call_in_flight",
        "class_name",
        "counted_in",
        "received_at_ms",
        "run_started",
        "tenant",
        "totals",
    )

    def __init__(self, attempt_id: str, class_name: str, tenant: str, received_at_ms: float) -> None:
        self.attempt_id, self.class_name, self.tenant = attempt_id, class_name, tenant
        self.received_at_ms = received_at_ms  # when it reached the machine
        self.run_started = self.call_in_flight = False
        self.totals: Totals | None = None  # its row in the second where it was counted last
        self.counted_in: Second | None = None


class Observer:
    """Counts of one node."""

    def __init__(self, settings: Settings, now: float) -> None:
        self._latency_objectives_ms: dict[str, float] = {}
        self.apply_settings(settings)
        self._open: dict[events.ResponseAddress, _OpenRequest] = {}
        self._by_attempt: dict[str, _OpenRequest] = {}
        self._second = Second(now)
        self._runtime_connected = False
        self._run_classes: dict[str, str] = {}  # by attempt id; its caller may be gone already
        self._just_received: _OpenRequest | None = None  # by the event that is being observed
        self._event_handlers: dict[type, Callable[[Any, list[RecordDraft], float], None]] = {}
        self._effect_handlers: dict[type, Callable[[Any, list[RecordDraft], State, float], None]] = {}
        self._register_handlers()

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._open)

    def apply_settings(self, settings: Settings) -> None:
        """Take the classes that there are from now on, and their latency objectives."""
        self._latency_objectives_ms = {
            request_class.name: request_class.latency_objective_s * 1000.0
            for request_class in settings.classes
        }

    def observe(
        self, event: events.Event, produced: Sequence[effects.Effect], state: State, now: float
    ) -> Sequence[RecordDraft]:
        """Count one step of the reducer and return the records to be made at once."""
        handle_event = self._event_handlers.get(type(event))
        if handle_event is None and not produced:
            return _NO_RECORDS
        drafts: list[RecordDraft] = []
        self._just_received = None
        if handle_event is not None:
            handle_event(event, drafts, now)
        handlers = self._effect_handlers
        for effect in produced:
            handle_effect = handlers.get(type(effect))
            if handle_effect is not None:
                handle_effect(effect, drafts, state, now)
        return drafts

    def take_totals(self, state: State, now: float) -> Fields:
        """Return the fields of a ``second``: the counts since the last call, and the current figures."""
        second, self._second = self._second, Second(now)
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
        self, event_type: type[_EventT], handler: Callable[[_EventT, list[RecordDraft], float], None]
    ) -> None:
        """Register a handler; the types of event and handler are checked against each other here."""
        self._event_handlers[event_type] = handler

    def _on_effect(
        self,
        effect_type: type[_EffectT],
        handler: Callable[[_EffectT, list[RecordDraft], State, float], None],
    ) -> None:
        """Register a handler; the types of effect and handler are checked against each other here."""
        self._effect_handlers[effect_type] = handler

    # Events.

    def _request_received(self, event: events.RequestReceived, drafts: list[RecordDraft], now: float) -> None:
        # A class that the settings don't name is a caller's word: it gets no row of its own.
        name = event.class_name if event.class_name in self._latency_objectives_ms else ""
        sent_at = event.sent_at_ms
        request = _OpenRequest(event.attempt_id, name, event.tenant, sent_at if sent_at < now else now)
        self._open[event.response_address] = request
        self._by_attempt[event.attempt_id] = request
        self._just_received = request
        self._totals_of(request).read += 1
        ages, caller = self._second.least_age_ms, event.caller_id
        least = ages.get(caller)
        if least is None:
            if len(ages) < CALLERS_MAX:
                ages[caller] = now - sent_at
        elif now - sent_at < least:
            ages[caller] = now - sent_at

    def _run_completed(self, event: events.RunCompleted, drafts: list[RecordDraft], now: float) -> None:
        class_name = self._run_classes.pop(event.attempt_id, None)
        if class_name is not None:
            count_duration(self._second.run_durations, class_name, event.duration_ms)

    def _call_completed(self, event: events.CallCompleted, drafts: list[RecordDraft], now: float) -> None:
        count_duration(self._second.call_durations, event.outcome.value, event.duration_ms)
        request = self._by_attempt.get(event.attempt_id)
        if request is not None:
            request.call_in_flight = False

    def _request_cancelled(
        self, event: events.RequestCancelled, drafts: list[RecordDraft], now: float
    ) -> None:
        request = self._remove(event.response_address)
        if request is not None:
            self._totals_of(request).left += 1

    def _runtime_connected_event(
        self, event: events.RuntimeConnected, drafts: list[RecordDraft], now: float
    ) -> None:
        drafts.append(RecordDraft(RecordKind.LINK, {"peer": "runtime", "up": True}))
        self._runtime_connected = True

    def _runtime_disconnected_event(
        self, event: events.RuntimeDisconnected, drafts: list[RecordDraft], now: float
    ) -> None:
        if self._runtime_connected:
            drafts.append(RecordDraft(RecordKind.LINK, {"peer": "runtime", "up": False}))
        self._runtime_connected = False

    def _shutdown_requested(
        self, event: events.ShutdownRequested, drafts: list[RecordDraft], now: float
    ) -> None:
        drafts.append(RecordDraft(RecordKind.DRAIN, {"left_ms": event.time_left_ms}))

    # Effects.

    def _response_sent(
        self, effect: effects.SendResponse, drafts: list[RecordDraft], state: State, now: float
    ) -> None:
        request = self._remove(effect.response_address)
        if request is None:
            return  # a health check
        totals = self._totals_of(request)
        match effect.response:
            case effects.Served():
                objective_ms = self._latency_objectives_ms.get(request.class_name, 0.0)
                if now - request.received_at_ms <= objective_ms:
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

    def _run_started(
        self, effect: effects.StartRun, drafts: list[RecordDraft], state: State, now: float
    ) -> None:
        request = self._by_attempt.get(effect.attempt_id)
        if request is not None and not request.run_started:
            request.run_started = True
            self._totals_of(request).runs += 1
        self._run_classes[effect.attempt_id] = effect.class_name
        if len(self._run_classes) > RUNS_MAX:  # runs lost with a broken connection never end here
            del self._run_classes[next(iter(self._run_classes))]

    def _call_started(
        self, effect: effects.StartCall, drafts: list[RecordDraft], state: State, now: float
    ) -> None:
        request = self._by_attempt.get(effect.attempt_id)
        if request is not None:
            request.call_in_flight = True

    def _registration_set(
        self, effect: effects.SetRegistration, drafts: list[RecordDraft], state: State, now: float
    ) -> None:
        drafts.append(RecordDraft(RecordKind.REGISTRATION, {"taking": effect.accepts_work}))

    # Open requests.

    def _remove(self, response_address: events.ResponseAddress) -> _OpenRequest | None:
        request = self._open.pop(response_address, None)
        if request is not None and self._by_attempt.get(request.attempt_id) is request:
            del self._by_attempt[request.attempt_id]
        return request

    def _totals_of(self, request: _OpenRequest) -> Totals:
        """Return the row of this second where the request is counted."""
        second = self._second
        if request.counted_in is second and request.totals is not None:
            return request.totals
        rows = second.totals
        key = (request.class_name, request.tenant)
        if key not in rows and len(rows) >= TENANTS_MAX:
            key = (request.class_name, OTHER_TENANTS)
        row = rows.get(key)
        if row is None:
            row = rows[key] = Totals()
        request.counted_in, request.totals = second, row
        return row
