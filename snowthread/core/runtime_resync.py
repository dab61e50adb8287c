"""Resynchronisation with the runtime after a broken link: which runs go on, and which commands are repeated.

1. The link breaks (:func:`runtime_disconnected`): each command is read, unsent or possibly lost.
2. There is a link again (:func:`runtime_connected`): what was unsent is sent, and a load sample requested.
   The runtime first repeats the notices that the node missed.
3. The sample arrives (:func:`resume_runs`): all missed notices were read, so a run without one is where its
   last command put it, unless that command may be lost.
"""

from __future__ import annotations

from dataclasses import replace

from snowthread.admission import events as admission_events
from snowthread.admission.settings import Idempotency, Outcome, Preemption
from snowthread.core import effects, events
from snowthread.core.run_commands import request_load_sample, send_command
from snowthread.core.run_completion import run_completed
from snowthread.core.run_evidence import note_link_lost, note_link_ready, note_run
from snowthread.core.state import Request, RequestPhase, State
from snowthread.core.transition import HandlerTable, Transition


def sync_tag(link_number: int) -> str:
    """Return the tag of the load sample whose arrival shows that all notices missed were read."""
    return f"sync-{link_number}"


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
        transition.dispatch(admission_events.RunCountDoubted())
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
    transition.dispatch(admission_events.RunCountDoubted())


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
    events.RuntimeConnected: runtime_connected,
    events.RuntimeDisconnected: runtime_disconnected,
}
