"""Ends of runs: the result is recorded, and the request is answered or queued again.

A run that the runtime cancels without a stop command has ended for good: its client has given up, of which
the node may hear later or never. The admission controller starts only an idempotent request again.
"""

from __future__ import annotations

from snowthread.admission import events as admission_events
from snowthread.admission.settings import Outcome
from snowthread.core import effects, events
from snowthread.core.request_lifecycle import answer_request, cancel_call, complete_followers, finish_request
from snowthread.core.run_log import log_run_status
from snowthread.core.state import HandoverRole, Request, RequestPhase
from snowthread.core.transition import HandlerTable, Transition


def run_completed(transition: Transition, event: events.RunCompleted) -> None:
    """Finish the request whose run ended, or queue it again if its run was cancelled without a stop."""
    state = transition.state
    result = event.result if event.outcome is Outcome.SUCCESS else None
    if event.outcome is not Outcome.NOT_STARTED:
        record_result(transition, event.attempt_id, result)
    request = state.requests_by_attempt_id.get(event.attempt_id)
    if request is None or request.run is None:
        return
    _log_unusual_end(transition, request, event.outcome)
    cancel_call(transition, request)
    request.run = None
    if event.outcome is Outcome.CANCELLED and request.response_address is not None:
        # The runtime cancelled the run without a stop: the controller stops only runs that are owed no
        # response. It now fails a keyed attempt, whose followers fail with it.
        request.phase = RequestPhase.QUEUED
        if request.idempotency_key:
            complete_followers(transition, request, None)
    else:
        response = effects.Failed(request.attempt_id) if result is None else effects.Served(result)
        answer_request(transition, request, response)
        finish_request(transition, request, result)
    duration_s = state.admission_clock.duration_s(event.duration_ms)
    transition.dispatch(admission_events.RunFinished(request.request_id, event.outcome, duration_s))


def _log_unusual_end(transition: Transition, request: Request, outcome: Outcome) -> None:
    """Log an end that the runtime reports for a request which is over at its side."""
    if outcome is Outcome.NOT_STARTED:
        log_run_status(transition, request, "nothing was started")
    elif outcome is Outcome.CANCELLED and request.response_address is not None:
        log_run_status(transition, request, "ended by the runtime without a stop command")


def record_result(transition: Transition, attempt_id: str, result: bytes | None) -> None:
    """Record the end of a run in the idempotency table, and report it to the peer process if there is one."""
    state = transition.state
    state.idempotency_table.complete(attempt_id, result)
    if state.handover_role is HandoverRole.STANDALONE:
        return
    record = state.idempotency_table.find_by_attempt(attempt_id)
    if record is not None and not record.owned_by_peer:
        transition.send_to_peer_process(events.KeyRunCompleted(attempt_id, result))


def command_rejected(transition: Transition, event: events.CommandRejected) -> None:
    """End a run whose start or stop command the runtime rejected; other rejections are ignored."""
    request = transition.state.requests_by_attempt_id.get(event.attempt_id)
    if request is None or request.run is None:
        return
    if event.is_start or request.run.stop_requested:
        # A rejected start proves that nothing ran, so the idempotency key is free again.
        outcome = Outcome.NOT_STARTED if event.is_start else Outcome.FAILURE
        run_completed(transition, events.RunCompleted(event.attempt_id, outcome, 0.0, b""))


HANDLERS: HandlerTable = {
    events.RunCompleted: run_completed,
    events.CommandRejected: command_rejected,
}
