"""Resynchronisation with the runtime after a broken link: which runs continue, which commands are repeated.

1. When the link is lost (:func:`runtime_disconnected`), each command is classified as read, unsent or
   possibly lost.
2. On the next link (:func:`runtime_connected`) the node sends the unsent commands and requests a load sample.
   The runtime first repeats the notices that the node missed.
3. When that sample arrives (:func:`resynchronise_runs`), all missed notices were read. A run without a
   notice is therefore in the state that its last command led to, unless that command may have been lost.

A run whose start or last reply may be lost and must not be sent again is reported to the admission controller
as indeterminate. It counts as running until the runtime sends a notice of it. Without a notice its request
fails once the run is presumed lost, and the run stops counting after as long again
(:mod:`snowthread.admission.lost_runs`).

Limitations:

- Only runs that were reported as indeterminate can be presumed lost. A run with a confirmed start and no
  response owed at the resynchronisation is not reported: it counts until the runtime reports its end.
- A run of this kind may be waiting for a reply that was lost with the link. With ``Preemption.NONE`` the node
  sends it neither that reply nor a stop.
- A call that is skipped for a REPLY_INDETERMINATE run changes neither the state nor the link number of the
  run. If the skip may be lost with a second link, it is not sent again.
- While :data:`~snowthread.clients.runtime.LOAD_SAMPLE_QUEUE_LIMIT` commands are unsent, load sample requests
  are dropped, including the one that ends the resynchronisation. The runs of earlier links are then not
  resynchronised before the next link.
- The runtime is assumed not to restart while the node serves. Its age and ``starts_cold`` are read only when
  it connects before the admission controller was created: not on later links, and not if a request arrived
  first.
"""

from __future__ import annotations

from dataclasses import replace

from snowthread.admission import events as admission_events
from snowthread.admission.settings import Idempotency, Outcome, Preemption, RequestClass
from snowthread.core import effects, events
from snowthread.core.command_log import FIRST_LINK, CommandLog
from snowthread.core.resync_log import log_link_lost, log_link_ready
from snowthread.core.run import Run
from snowthread.core.run_commands import request_load_sample, send_command
from snowthread.core.run_completion import run_completed
from snowthread.core.run_log import log_run_status
from snowthread.core.state import Request
from snowthread.core.transition import HandlerTable, Transition


def sync_tag(link_number: int) -> str:
    """Return the tag of the load sample whose arrival proves that all missed notices were read."""
    return f"sync-{link_number}"


def runtime_connected(transition: Transition, event: events.RuntimeConnected) -> None:
    """Send the queued commands and request the load sample that ends the resynchronisation.

    If there is no admission controller yet, it is created as of the start of the runtime, and the setting
    ``starts_cold`` becomes true if the runtime reports that it is cold.
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
    if is_first_link:  # the runtime may still run requests that an earlier incarnation of this node started
        transition.dispatch(admission_events.RunCountUncertain())
    for command in queued_commands:
        if command.attempt_id in state.requests_by_attempt_id:
            send_command(transition, command)
    request_load_sample(transition, sync_tag(state.link_number))


def runtime_disconnected(transition: Transition, event: events.RuntimeDisconnected) -> None:
    """Mark the commands that may be lost, and queue those of which no byte was written."""
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
    # A command of an earlier link was already classified when that link was lost.
    if sent is not None and sent.link_number == command_log.link_number:
        run.record_link_lost(last_command_read=command_log.was_read(sent))


def resynchronise_runs(transition: Transition) -> None:
    """Resynchronise the runs of earlier links, once all missed notices were read."""
    state = transition.state
    for request in list(state.requests.values()):
        run = request.run
        if run is not None and run.is_on_earlier_link(state.link_number):
            _resynchronise_run(transition, request, run)


def _resynchronise_run(transition: Transition, request: Request, run: Run) -> None:
    """Continue a run on the current link, repeat its last command, or report the run as indeterminate.

    The start of an idempotent class and the skip of a call are sent again if they may be lost: the runtime
    ignores them if they had arrived. The start of a class that is not idempotent (keyed or non-idempotent) is
    never repeated, because the request would run twice if its run has just ended. A reply is never repeated,
    because the run might take it for the reply to its next call. The admission controller decides what
    happens to such runs.
    """
    sent = run.last_command
    if request.response_address is None or run.stop_requested:
        _resynchronise_abandoned_run(transition, request, run)
    elif run.is_indeterminate:
        return  # already indeterminate since an earlier link; only a notice from the runtime can change that
    elif sent is None or run.pending_call_notice_number is not None or not run.last_command_may_be_lost:
        log_run_status(transition, request, "continues; no command was lost")
        run.link_number = transition.state.link_number
    elif _is_repeatable(sent.command, request.request_class):
        log_run_status(transition, request, "last command may be lost; sending it again")
        run.link_number = transition.state.link_number
        send_command(transition, sent.command)
    else:
        run.mark_indeterminate()
        log_run_status(transition, request, "indeterminate; last command may be lost and can't be repeated")
        is_at_call = isinstance(sent.command, effects.DeliverReply)
        if is_at_call:
            run.pending_call_notice_number = run.replied_call_notice_number
        transition.dispatch(admission_events.RunIndeterminate(request.request_id, is_at_call))


def _is_repeatable(command: effects.Command, request_class: RequestClass) -> bool:
    """Return whether a command can safely be sent again although it may have arrived."""
    if isinstance(command, effects.StartRun):
        return request_class.idempotency is Idempotency.IDEMPOTENT
    return isinstance(command, effects.SkipCall)


def _resynchronise_abandoned_run(transition: Transition, request: Request, run: Run) -> None:
    """Send a stop for a run to which no response is owed, on the current link, if runs can be stopped.

    The run is not considered ended: until the runtime reports its end, it occupies cores and is counted.
    """
    state = transition.state
    run.link_number = state.link_number
    if state.settings.preemption is not Preemption.NONE:
        run.stop_requested = True
        if run.stop_command is None or run.stop_command.link_number != state.link_number:
            log_run_status(transition, request, "no response is owed; stopping the run")
            send_command(transition, effects.StopRun(request.attempt_id))
    if not run.is_start_confirmed:
        transition.dispatch(admission_events.RunIndeterminate(request.request_id))


def end_runs_missing_at_runtime(transition: Transition) -> None:
    """End runs that the runtime no longer has: it read their stop on a later link and reported no end.

    Otherwise the stop would have ended the run, and the notice of its end would have arrived before
    the echo that confirms the stop. Most likely its start was lost, but that is not proven. The run therefore
    counts as cancelled, and its idempotency key stays taken.
    """
    state = transition.state
    for request in list(state.requests.values()):
        run = request.run
        if (
            run is not None
            and request.response_address is None
            and _is_missing_at_runtime(state.command_log, run)
        ):
            log_run_status(
                transition,
                request,
                "no longer at the runtime, which read its stop command and reported no end; "
                "counted as cancelled",
            )
            run_completed(transition, events.RunCompleted(request.attempt_id, Outcome.CANCELLED, 0.0, b""))


def _is_missing_at_runtime(command_log: CommandLog, run: Run) -> bool:
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
