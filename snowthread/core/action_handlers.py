"""Handlers for the actions of the admission controller: each changes the state and emits effects."""

from __future__ import annotations

from snowthread.admission import actions
from snowthread.admission.settings import Idempotency, Outcome
from snowthread.core import effects, events
from snowthread.core.idempotency import IdempotencyRecord
from snowthread.core.key_release import release_key
from snowthread.core.load_samples import schedule_timer
from snowthread.core.request_lifecycle import (
    answer_request,
    cancel_call,
    finish_follower,
    finish_request,
    finish_unless_running,
)
from snowthread.core.run import Run, RunState
from snowthread.core.run_commands import send_command
from snowthread.core.run_completion import record_result, run_completed
from snowthread.core.run_log import log_run_status
from snowthread.core.state import HandoverRole, RequestPhase
from snowthread.core.transition import HandlerTable, Transition


def start_run(transition: Transition, action: actions.StartRun) -> None:
    """Start the run of a queued request."""
    state = transition.state
    request = state.requests.get(action.request_id)
    if request is not None and request.phase is RequestPhase.QUEUED:
        request.phase = RequestPhase.RUNNING
        request.run = Run()
        request_class = request.request_class
        remembered_s = max(request_class.deadline_s, request_class.idempotency_window_s)
        expires_at_ms = transition.now_ms + state.admission_clock.duration_ms(remembered_s)
        state.started_attempts.add(request.attempt_id, expires_at_ms, transition.now_ms)
        send_command(transition, effects.StartRun(request.attempt_id, request.class_name, request.body))


def stop_run(transition: Transition, action: actions.StopRun) -> None:
    """Stop a run; one whose start command was not sent yet ends at once."""
    state = transition.state
    request = state.requests.get(action.request_id)
    run = None if request is None else request.run
    if request is None or run is None or run.stop_requested:
        return
    run.stop_requested = True
    if run.state is not RunState.START_QUEUED:
        send_command(transition, effects.StopRun(request.attempt_id))
        return
    state.unsent_commands = [
        command for command in state.unsent_commands if command.attempt_id != request.attempt_id
    ]
    run_completed(transition, events.RunCompleted(request.attempt_id, Outcome.CANCELLED, 0.0, b""))


def forget_lost_run(transition: Transition, action: actions.ForgetLostRun) -> None:
    """Finish a request whose run is presumed lost; it may have run, so its idempotency key stays taken."""
    state = transition.state
    request = state.requests.get(action.request_id)
    if request is not None and request.run is not None:
        log_run_status(transition, request, "presumed lost; no notice for longer than a run takes")
        record_result(transition, request.attempt_id, None)
        finish_request(transition, request, None)


def respond_without_result(transition: Transition, action: actions.Reject | actions.Fail) -> None:
    """Send the final response to a request that gets no result."""
    state = transition.state
    request = state.requests.get(action.request_id)
    if request is None:
        return
    reason = action.reason.value if action.reason is not None else ""
    if isinstance(action, actions.Reject):
        retry_after_ms = state.admission_clock.duration_ms(action.retry_after_s)
        response = effects.Rejected(retry_after_ms, action.do_not_retry, request.attempt_id, reason)
        answer_request(transition, request, response)
    else:
        answer_request(transition, request, effects.Failed(request.attempt_id, reason))
    cancel_call(transition, request)
    finish_unless_running(transition, request)


def await_original(transition: Transition, action: actions.AwaitOriginal) -> None:
    """Answer a retry with the result of its original, at once or when the run of the original ends."""
    state = transition.state
    request = state.requests.get(action.request_id)
    if request is None or request.original_id is None:
        return
    original = state.requests.get(request.original_id)
    record = state.idempotency_table.find_by_request_id(request.original_id)
    if record is not None and record.completed:
        finish_follower(transition, request, record.result)
    elif record is not None and record.owned_by_peer:
        request.phase = RequestPhase.AWAITING_ORIGINAL
        record.followers.append(request.request_id)
    elif original is not None:
        request.phase = RequestPhase.AWAITING_ORIGINAL
        original.followers.append(request.request_id)
    else:
        finish_follower(transition, request, None)


def remember_key(transition: Transition, action: actions.RememberKey) -> None:
    """Add the request's key to the idempotency table, and report it to the peer process of a hot restart."""
    state = transition.state
    request = state.requests.get(action.request_id)
    if request is None or not request.idempotency_key:
        return
    entry = IdempotencyRecord(
        request.idempotency_key,
        request.request_id,
        request.attempt_id,
        transition.now_ms + state.admission_clock.duration_ms(action.lifetime_s),
        request.body_digest,
        class_name=request.class_name,
    )
    record = state.idempotency_table.put(entry, transition.now_ms)
    if state.handover_role is not HandoverRole.STANDALONE:
        transition.send_to_peer_process(record)


def forget_key(transition: Transition, action: actions.ForgetKey) -> None:
    """Release the key of a request that never ran, and report that to the peer process of a hot restart."""
    state = transition.state
    record = state.idempotency_table.find_by_request_id(action.request_id)
    if record is None or not release_key(transition, record):
        return
    if state.handover_role is not HandoverRole.STANDALONE:
        transition.send_to_peer_process(events.KeyReleased(record.attempt_id))


def start_call(transition: Transition, action: actions.StartCall) -> None:
    """Make the downstream call that a run waits for, unless it is already in flight.

    A timeout of 0 selects the deadline of the request's class.
    """
    request = transition.state.requests.get(action.request_id)
    run = None if request is None else request.run
    if request is None or run is None or run.pending_call_notice_number is None or run.call_in_flight:
        return
    run.call_in_flight = True
    timeout_s = action.timeout_s or request.request_class.deadline_s
    transition.emit(
        effects.StartCall(
            request.attempt_id,
            run.call_body,
            transition.state.admission_clock.duration_ms(timeout_s),
            request.request_class.idempotency is Idempotency.IDEMPOTENT,
        )
    )


def skip_call(transition: Transition, action: actions.SkipCall) -> None:
    """Let a run continue without the downstream call that it waits for."""
    request = transition.state.requests.get(action.request_id)
    run = None if request is None else request.run
    if request is not None and run is not None and run.pending_call_notice_number is not None:
        send_command(transition, effects.SkipCall(request.attempt_id, run.pending_call_notice_number))
        run.pending_call_notice_number = None


def set_timer(transition: Transition, action: actions.SetTimer) -> None:
    """Schedule a timer of the admission controller."""
    delay_ms = transition.state.admission_clock.duration_ms(action.delay_s)
    schedule_timer(transition, delay_ms, action.label)


def set_health(transition: Transition, action: actions.SetHealth) -> None:
    """Record the health of the node and report to the registry whether it accepts work."""
    state = transition.state
    # The controller reports a process that shuts down as unhealthy. Storing that would withdraw the
    # registration under which the successor of a hot restart serves (``NodeState.accepts_work``).
    if not state.shutting_down:
        state.healthy = action.healthy
    transition.report_registration()


def publish_load(transition: Transition, action: actions.PublishLoad) -> None:
    """Set the load report of future responses, unless the successor process reports the load of the node."""
    if not transition.state.superseded:
        transition.state.load_report = action.value


def set_idle_timeout(transition: Transition, action: actions.SetIdleTimeout) -> None:
    """Set the idle timeout of balancer connections; a timeout of 0 selects the configured one."""
    state = transition.state
    timeout_s = action.timeout_s or state.settings.idle_timeout_s
    transition.emit(effects.SetIdleTimeout(state.admission_clock.duration_ms(timeout_s)))


def log_message(transition: Transition, action: actions.LogMessage) -> None:
    """Log a message of the admission controller for operators."""
    transition.emit(effects.LogMessage(action.message.value))


ACTION_HANDLERS: HandlerTable = {
    actions.StartRun: start_run,
    actions.StopRun: stop_run,
    actions.ForgetLostRun: forget_lost_run,
    actions.Reject: respond_without_result,
    actions.Fail: respond_without_result,
    actions.AwaitOriginal: await_original,
    actions.RememberKey: remember_key,
    actions.ForgetKey: forget_key,
    actions.StartCall: start_call,
    actions.SkipCall: skip_call,
    actions.SetTimer: set_timer,
    actions.SetHealth: set_health,
    actions.PublishLoad: publish_load,
    actions.SetIdleTimeout: set_idle_timeout,
    actions.LogMessage: log_message,
}
