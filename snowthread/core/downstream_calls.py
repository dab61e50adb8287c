"""Downstream calls that runs make to the formula database."""

from __future__ import annotations

from snowthread.admission import events as admission_events
from snowthread.admission.settings import Outcome
from snowthread.core import effects, events
from snowthread.core.run_commands import send_command
from snowthread.core.state import RequestPhase
from snowthread.core.transition import HandlerTable, Transition


def call_requested(transition: Transition, event: events.CallRequested) -> None:
    """Ask the controller for the call that a run waits for."""
    state = transition.state
    request = state.requests_by_attempt_id.get(event.attempt_id)
    if request is None or request.phase is not RequestPhase.RUNNING:
        return
    if request.indeterminate:  # the notice shows that the run goes on
        request.indeterminate, request.link_number = False, state.link_number
    request.start_confirmed = True
    request.pending_call_notice, request.call_body = event.notice_number, event.body
    transition.dispatch(admission_events.CallNeeded(request.number))


def call_completed(transition: Transition, event: events.CallCompleted) -> None:
    """Deliver the reply of a call to its run and tell the controller how the call ended."""
    state = transition.state
    request = state.requests_by_attempt_id.get(event.attempt_id)
    if request is None or not request.call_in_flight:
        return
    request.call_in_flight = False
    if event.outcome is Outcome.SUCCESS:
        request.answered_call_notice = request.pending_call_notice or 0
        request.pending_call_notice = None
        send_command(transition, effects.DeliverReply(request.attempt_id, event.reply))
    duration_s = state.admission_clock.duration_s(event.duration_ms)
    transition.dispatch(admission_events.CallFinished(request.number, event.outcome, duration_s))


HANDLERS: HandlerTable = {
    events.CallRequested: call_requested,
    events.CallCompleted: call_completed,
}
