"""Runs: commands to the runtime, ends of runs, and what a broken link to the runtime leaves open."""

from __future__ import annotations

from dataclasses import replace

from snowthread.admission import events as admission_events
from snowthread.admission.settings import Idempotency, Outcome, Preemption
from snowthread.core import effects, events
from snowthread.core.command_log import SentCommand
from snowthread.core.request_lifecycle import answer, cancel_call, complete_followers, finish
from snowthread.core.run_evidence import note_link_lost, note_link_ready, note_run
from snowthread.core.state import HandoverRole, Request, RequestPhase, State
from snowthread.core.transition import HandlerTable, Transition


def sync_tag(link_number: int) -> str:
    """Return the tag of the load sample whose arrival shows that all notices missed were read."""
    return f"sync-{link_number}"


def send_command(transition: Transition, command: effects.Command) -> None:
    """Send a command to the runtime, or queue it while there is no link."""
    state = transition.state
    if not state.runtime_connected:
        state.unsent_commands.append(command)
        return
    sent = state.command_log.add(command)
    request = state.requests_by_attempt_id.get(command.attempt_id)
    if request is not None:
        _note_command(request, sent)
    transition.emit(command)


def _note_command(request: Request, sent: SentCommand) -> None:
    if isinstance(sent.command, effects.StopRun):
        request.stop_command = sent
        return
    request.last_command, request.last_command_lost = sent, False
    if isinstance(sent.command, effects.StartRun):
        request.link_number, request.start_confirmed = sent.link_number, False


def request_load_sample(transition: Transition, tag: str) -> None:
    """Request a load sample, whose echo also confirms the commands sent before it."""
    transition.state.command_log.sample_requested(tag)
    transition.emit(effects.RequestLoadSample(tag))


def run_completed(transition: Transition, event: events.RunCompleted) -> None:
    """Finish the request whose run ended, or queue it again where its run was preempted."""
    state = transition.state
    result = event.result if event.outcome is Outcome.SUCCESS else None
    if event.outcome is not Outcome.NOT_STARTED:
        record_result(transition, event.attempt_id, result)
    request = state.requests_by_attempt_id.get(event.attempt_id)
    if request is None or request.phase is not RequestPhase.RUNNING:
        return
    cancel_call(transition, request)
    request.pending_call_notice, request.stopping, request.link_number = None, False, 0
    if event.outcome is Outcome.CANCELLED and request.response_address is not None:
        # Stopped while an answer is owed. A keyed attempt does not start again, so its followers fail.
        request.phase = RequestPhase.QUEUED
        if request.idempotency_key:
            complete_followers(transition, request, None)
    else:
        answer(transition, request, effects.Failed() if result is None else effects.Served(result))
        finish(transition, request, result)
    duration_s = state.admission_clock.duration_s(event.duration_ms)
    transition.dispatch(admission_events.RunFinished(request.number, event.outcome, duration_s))


def record_result(transition: Transition, attempt_id: str, result: bytes | None) -> None:
    """Enter the end of a run into the idempotency table, and tell a peer process of it."""
    state = transition.state
    state.idempotency_table.complete(attempt_id, result)
    if state.handover_role is HandoverRole.STANDALONE:
        return
    record = state.idempotency_table.find_by_attempt(attempt_id)
    if record is not None and not record.remote:
        transition.send_to_peer_process(events.KeyRunCompleted(attempt_id, result))


def command_rejected(transition: Transition, event: events.CommandRejected) -> None:
    """End a run whose start or stop the runtime rejected."""
    request = transition.state.requests_by_attempt_id.get(event.attempt_id)
    if request is None or request.phase is not RequestPhase.RUNNING:
        return
    if event.is_start or request.stopping:
        # A start that was not carried out proves that nothing ran, so the idempotency key is free again.
        outcome = Outcome.NOT_STARTED if event.is_start else Outcome.FAILURE
        run_completed(transition, events.RunCompleted(event.attempt_id, outcome, 0.0, b""))


def release_if_answered(transition: Transition, request: Request) -> None:
    """Finish a request that was answered or cancelled; one that runs stays until its run ends."""
    if request.phase is not RequestPhase.RUNNING:
        finish(transition, request, None)


def runtime_connected(transition: Transition, event: events.RuntimeConnected) -> None:
    """Send the commands that waited for a link, and ask for the sample that ends the resynchronisation."""
    state = transition.state
    if state.controller is None:
        if event.starts_cold and not state.settings.starts_cold:
            state.settings = replace(state.settings, starts_cold=True)
        transition.ensure_controller(event.runtime_age_ms)
    state.command_log.begin_link()
    state.runtime_connected = True
    if state.link_number > 1:
        state.reconnected_at_ms = transition.now_ms
    waiting, state.unsent_commands = state.unsent_commands, []
    note_link_ready(transition, len(waiting))
    if state.link_number == 1:  # runs that an earlier process of this node began may go on
        transition.dispatch(admission_events.RunCountUncertain())
    for command in waiting:
        if command.attempt_id in state.requests_by_attempt_id:
            send_command(transition, command)
    request_load_sample(transition, sync_tag(state.link_number))


def runtime_disconnected(transition: Transition, event: events.RuntimeDisconnected) -> None:
    """Mark the commands that may be lost, and queue those of which nothing was written."""
    state = transition.state
    state.runtime_connected = False
    state.disconnected_at_ms = transition.now_ms
    for request in state.requests.values():
        if request.phase is RequestPhase.RUNNING:
            _mark_if_lost(state, request)
    unsent: list[effects.Command] = [
        command for command in event.unsent_commands if isinstance(command, effects.Command)
    ]
    for command in unsent:
        if isinstance(command, effects.StartRun) and command.attempt_id in state.requests_by_attempt_id:
            state.requests_by_attempt_id[command.attempt_id].link_number = 0
    state.unsent_commands = unsent + state.unsent_commands
    note_link_lost(transition, len(unsent))
    transition.dispatch(admission_events.RunCountUncertain())


def _mark_if_lost(state: State, request: Request) -> None:
    sent = request.last_command
    if sent is None or sent.link_number != state.link_number:
        return  # judged when that link broke
    request.last_command_lost = not state.command_log.was_read(sent)
    if not request.last_command_lost:
        request.start_confirmed = True


def resume_runs(transition: Transition) -> None:
    """Settle the runs begun on an earlier link, once all notices missed were read."""
    state = transition.state
    for request in list(state.requests.values()):
        if request.phase is RequestPhase.RUNNING and 0 < request.link_number < state.link_number:
            _resume_run(transition, request)


def _resume_run(transition: Transition, request: Request) -> None:
    """Carry a run over to the present link, repeat its last command, or report it as indeterminate.

    A start that may be lost and is safe to repeat, or a skipped call, is sent again: nothing happens where it
    had arrived. A start with side effects never is, for if its run ended just now it would run twice; nor is
    a reply, which the run might take for that to its next call. What becomes of these is for the controller
    to decide.
    """
    state, sent = transition.state, request.last_command
    if request.response_address is None or request.stopping:
        _resume_unwanted_run(transition, request)
    elif request.indeterminate:
        return  # since an earlier break: only a notice can change that
    elif sent is None or request.pending_call_notice is not None or not request.last_command_lost:
        note_run(transition, request, "goes on")
        request.link_number = state.link_number
    elif _is_repeatable(sent.command, request):
        note_run(transition, request, "last command sent again")
        request.link_number = state.link_number
        send_command(transition, sent.command)
    else:
        is_at_call = isinstance(sent.command, effects.DeliverReply)
        request.indeterminate = True
        note_run(transition, request, "indeterminate: its last command may be lost")
        if is_at_call:
            request.pending_call_notice = request.answered_call_notice
        transition.dispatch(admission_events.RunIndeterminate(request.number, is_at_call))


def _resume_unwanted_run(transition: Transition, request: Request) -> None:
    """Stop a run that nobody waits for once more.

    It is not over because nobody waits for it: until the runtime says so it is on the cores, and counted.
    """
    state = transition.state
    request.link_number = state.link_number
    if state.settings.preemption is not Preemption.NONE:
        request.stopping = True
        if request.stop_command is None or request.stop_command.link_number != state.link_number:
            note_run(transition, request, "nobody waits for it: stop sent")
            send_command(transition, effects.StopRun(request.attempt_id))
    if not request.start_confirmed:
        transition.dispatch(admission_events.RunIndeterminate(request.number))


def end_runs_stopped_unseen(transition: Transition) -> None:
    """End runs whose start may be lost and whose stop was read, on a later link, without a notice of an end.

    Were such a run there, the stop would have ended it, and the notice would have come before the echo.
    """
    state = transition.state
    for request in list(state.requests.values()):
        if _was_stopped_unseen(state, request):
            note_run(transition, request, "its stop was read and it never ran")
            run_completed(transition, events.RunCompleted(request.attempt_id, Outcome.CANCELLED, 0.0, b""))


def _was_stopped_unseen(state: State, request: Request) -> bool:
    start, stop = request.last_command, request.stop_command
    return (
        request.phase is RequestPhase.RUNNING
        and request.response_address is None
        and not request.start_confirmed
        and start is not None
        and stop is not None
        and start.link_number < stop.link_number
        and state.command_log.was_read(stop)
    )


def _is_repeatable(command: effects.Command, request: Request) -> bool:
    """Return whether a command that may have arrived can be sent again without harm."""
    if isinstance(command, effects.StartRun):
        return request.request_class.idempotency is Idempotency.IDEMPOTENT
    return isinstance(command, effects.SkipCall)


HANDLERS: HandlerTable = {
    events.RunCompleted: run_completed,
    events.CommandRejected: command_rejected,
    events.RuntimeConnected: runtime_connected,
    events.RuntimeDisconnected: runtime_disconnected,
}
