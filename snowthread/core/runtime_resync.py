"""Resynchronisation with the runtime after a broken link: which runs go on, and which commands are repeated.

1. The link breaks (:func:`runtime_disconnected`): each command is read, unsent or possibly lost.
2. There is a link again (:func:`runtime_connected`): what was unsent is sent, and a load sample requested.
   The runtime first repeats the notices that the node missed.
3. The sample arrives (:func:`resume_runs`): all missed notices were read, so a run without a notice is where
   its last command put it, unless that command may be lost.

A run whose start or last reply may be lost and must not be sent again is reported to the controller as
indeterminate. It counts as running until the runtime reports something of it, or until it is presumed lost
and forgotten (:mod:`snowthread.admission.lost_runs`).

Limits:

- Only runs that were reported as indeterminate can be presumed lost. A run with a confirmed start and no
  answer owed at the resynchronisation is not reported: it counts until the runtime reports its end.
- Such a run may wait for a reply that was lost with the link. With ``Preemption.NONE`` it gets neither that
  reply nor a stop.
- A call skipped for a run that is REPLY_INDETERMINATE leaves the state and the link number of the run as they
  are. If the skip may be lost with a second link, it is not sent again.
- While :data:`~snowthread.clients.runtime.LOAD_SAMPLE_QUEUE_LIMIT` commands are unsent, requests for samples
  are dropped, also the one that ends the resynchronisation. Then the runs of earlier links are not
  resynchronised before the next link.
- The runtime is assumed not to restart while the node serves. Its age and ``starts_cold`` are only read when
  it connects before there is a controller: not on later links, nor after a first request.
"""

from __future__ import annotations

from dataclasses import replace

from snowthread.admission import events as admission_events
from snowthread.admission.settings import Idempotency, Outcome, Preemption, RequestClass
from snowthread.core import effects, events
from snowthread.core.command_log import FIRST_LINK, CommandLog
from snowthread.core.resync_log import log_link_lost, log_link_ready, log_run_status
from snowthread.core.run import Run
from snowthread.core.run_commands import request_load_sample, send_command
from snowthread.core.run_completion import run_completed
from snowthread.core.state import Request
from snowthread.core.transition import HandlerTable, Transition


def sync_tag(link_number: int) -> str:
    """Return the tag of the load sample whose arrival shows that all notices missed were read."""
    return f"sync-{link_number}"


def runtime_connected(transition: Transition, event: events.RuntimeConnected) -> None:
    """Send the commands that waited for a link, and request the sample that ends the resynchronisation.

    Before there is a controller, ``starts_cold`` of the settings becomes true where the runtime is cold.
    """
    state = transition.state
    if state.controller is None:
        if event.starts_cold and not state.settings.starts_cold:
            state.settings = replace(state.settings, starts_cold=True)
        transition.ensure_controller(event.runtime_age_ms)
    state.command_log.begin_link()
    state.runtime_connected = True
    is_first_link = state.link_number == FIRST_LINK
    if not is_first_link:
        state.reconnected_at_ms = transition.now_ms
    queued_commands = state.unsent_commands
    state.unsent_commands = []
    log_link_ready(transition, len(queued_commands))
    if is_first_link:  # runs that an earlier process of this node began may go on
        transition.dispatch(admission_events.RunCountUncertain())
    for command in queued_commands:
        if command.attempt_id in state.requests_by_attempt_id:
            send_command(transition, command)
    request_load_sample(transition, sync_tag(state.link_number))


def runtime_disconnected(transition: Transition, event: events.RuntimeDisconnected) -> None:
    """Mark the commands that may be lost, and queue those of which nothing was written."""
    state = transition.state
    state.runtime_connected = False
    state.disconnected_at_ms = transition.now_ms
    for request in state.requests.values():
        if request.run is not None:
            _update_last_command(state.command_log, request.run)
    unsent: list[effects.Command] = [
        command for command in event.unsent_commands if isinstance(command, effects.Command)
    ]
    for command in unsent:
        request_of_command = state.requests_by_attempt_id.get(command.attempt_id)
        run = None if request_of_command is None else request_of_command.run
        if isinstance(command, effects.StartRun) and run is not None:
            run.requeue_start()
    state.unsent_commands = unsent + state.unsent_commands
    log_link_lost(transition, len(unsent))
    transition.dispatch(admission_events.RunCountUncertain())


def _update_last_command(command_log: CommandLog, run: Run) -> None:
    sent = run.last_command
    if sent is not None and sent.link_number == command_log.link_number:  # else judged when that link broke
        run.record_link_lost(last_command_read=command_log.was_read(sent))


def resume_runs(transition: Transition) -> None:
    """Resynchronise the runs begun on an earlier link, once all notices missed were read."""
    state = transition.state
    for request in list(state.requests.values()):
        run = request.run
        if run is not None and run.is_on_earlier_link(state.link_number):
            _resume_run(transition, request, run)


def _resume_run(transition: Transition, request: Request, run: Run) -> None:
    """Carry a run over to the present link, repeat its last command, or report it as indeterminate.

    A start that may be lost and is safe to repeat, or a skipped call, is sent again: nothing happens where it
    had arrived. A start with side effects never is, for if its run ended just now it would run twice; nor is
    a reply, which the run might take for that to its next call. What becomes of these is for the controller
    to decide.
    """
    sent = run.last_command
    if request.response_address is None or run.stop_requested:
        _resume_abandoned_run(transition, request, run)
    elif run.is_indeterminate:
        return  # since an earlier break: only a notice can change that
    elif sent is None or run.pending_call_notice is not None or not run.last_command_may_be_lost:
        log_run_status(transition, request, "resumed: no command lost")
        run.link_number = transition.state.link_number
    elif _is_repeatable(sent.command, request.request_class):
        log_run_status(transition, request, "its last command may be lost: sent again")
        run.link_number = transition.state.link_number
        send_command(transition, sent.command)
    else:
        run.mark_indeterminate()
        log_run_status(transition, request, "indeterminate: its last command may be lost")
        is_at_call = isinstance(sent.command, effects.DeliverReply)
        if is_at_call:
            run.pending_call_notice = run.answered_call_notice
        transition.dispatch(admission_events.RunIndeterminate(request.number, is_at_call))


def _is_repeatable(command: effects.Command, request_class: RequestClass) -> bool:
    """Return whether a command that may have arrived can be sent again without harm."""
    if isinstance(command, effects.StartRun):
        return request_class.idempotency is Idempotency.IDEMPOTENT
    return isinstance(command, effects.SkipCall)


def _resume_abandoned_run(transition: Transition, request: Request, run: Run) -> None:
    """Send the stop of a run to which no answer is owed once more.

    Such a run is not over: until the runtime reports its end it is on the cores, and counted.
    """
    state = transition.state
    run.link_number = state.link_number
    if state.settings.preemption is not Preemption.NONE:
        run.stop_requested = True
        if run.stop_command is None or run.stop_command.link_number != state.link_number:
            log_run_status(transition, request, "no answer is owed: stop sent")
            send_command(transition, effects.StopRun(request.attempt_id))
    if not run.is_start_confirmed:
        transition.dispatch(admission_events.RunIndeterminate(request.number))


def end_runs_that_never_started(transition: Transition) -> None:
    """End runs whose start may be lost and whose stop was read, on a later link, without a notice of an end.

    Were such a run there, the stop would have ended it, and the notice would have come before the echo.
    """
    state = transition.state
    for request in list(state.requests.values()):
        run = request.run
        if run is not None and request.response_address is None and _never_started(state.command_log, run):
            log_run_status(
                transition, request, "ended: its stop was read and no end reported, so it never ran"
            )
            run_completed(transition, events.RunCompleted(request.attempt_id, Outcome.CANCELLED, 0.0, b""))


def _never_started(command_log: CommandLog, run: Run) -> bool:
    start = run.last_command
    stop = run.stop_command
    return (
        not run.is_start_confirmed
        and start is not None
        and stop is not None
        and start.link_number < stop.link_number
        and command_log.was_read(stop)
    )


HANDLERS: HandlerTable = {
    events.RuntimeConnected: runtime_connected,
    events.RuntimeDisconnected: runtime_disconnected,
}
