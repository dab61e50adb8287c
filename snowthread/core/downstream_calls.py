"""Downstream calls that runs make to the formula database."""

from __future__ import annotations

from snowthread.admission import events as admission_events
from snowthread.admission.settings import Outcome
from snowthread.core import effects, events
from snowthread.core.run_commands import send_command
from snowthread.core.transition import HandlerTable, Transition


def call_requested(transition: Transition, event: events.CallRequested) -> None:
    """Record the downstream call that a run requested, and pass it to the admission controller."""
    state = transition.state
    request = state.requests_by_attempt_id.get(event.attempt_id)
    if request is None or request.run is None:
        return
    request.run.record_call_requested(event.notice_number, event.body, state.link_number)
    state.idempotency_table.record_call(event.attempt_id)
    transition.dispatch(admission_events.CallNeeded(request.request_id))


def call_completed(transition: Transition, event: events.CallCompleted) -> None:
    """Deliver the reply of a successful call to its run, and report the outcome to the controller."""
    state = transition.state
    request = state.requests_by_attempt_id.get(event.attempt_id)
    run = None if request is None else request.run
    if request is None or run is None or not run.call_in_flight:
        return
    run.call_in_flight = False
    if event.outcome is Outcome.SUCCESS:
        run.record_reply()
        send_command(transition, effects.DeliverReply(request.attempt_id, event.reply))
    duration_s = state.admission_clock.duration_s(event.duration_ms)
    transition.dispatch(admission_events.CallFinished(request.request_id, event.outcome, duration_s))


HANDLERS: HandlerTable = {
    events.CallRequested: call_requested,
    events.CallCompleted: call_completed,
}
