"""Load samples from the runtime, and the timers of the admission controller that they are requested for."""

from __future__ import annotations

from snowthread.admission import events as admission_events
from snowthread.admission.timer_queue import UPDATE_TIMER
from snowthread.core import effects, events
from snowthread.core.peer_process import report_load
from snowthread.core.run_commands import request_load_sample
from snowthread.core.runtime_resync import end_runs_missing_at_runtime, resynchronise_runs, sync_tag
from snowthread.core.state import HandoverRole, NodeState
from snowthread.core.transition import HandlerTable, Transition

LOAD_SAMPLE_LEAD_MS = 20.0  # how long before a controller update its load sample is requested
LOAD_SAMPLE_MAX_AGE_MS = 1000.0  # older load samples are ignored, as if nothing had been measured
UTILIZATION_WINDOW_MS = 500.0  # the period over which the runtime averages the utilization of its cores
MAX_SAMPLE_NUMBER_DIGITS = 18  # longer tags can't be sample numbers that this node has sent

_TIMER_FIELD_BY_GAUGE = {  # name of a runtime gauge -> field of TimerFired
    "core_use": "core_utilization",
    "on_cores": "core_demand",
    "heap_share": "memory_utilization",
    "links": "connections",
}


def schedule_timer(transition: Transition, delay_ms: float, label: int) -> None:
    """Schedule a timer of the admission controller; before an update timer, also schedule a load sample."""
    due_at_ms = transition.now_ms + delay_ms
    if label == UPDATE_TIMER:
        request_at_ms = max(transition.now_ms, due_at_ms - LOAD_SAMPLE_LEAD_MS)
        transition.emit(effects.ScheduleTimer(request_at_ms, events.LoadSampleDue()))
    transition.emit(effects.ScheduleTimer(due_at_ms, events.TimerExpired(label)))


def timer_expired(transition: Transition, event: events.TimerExpired) -> None:
    """Pass an expired timer to the admission controller, together with the valid load measurements."""
    state = transition.state
    transition.dispatch(admission_events.TimerFired(event.label, **_measured_load(state, transition.now_ms)))
    if event.label != UPDATE_TIMER:
        return
    state.load_sample_used = True
    if state.handover_role is not HandoverRole.STANDALONE:
        report_load(transition)


def _measured_load(state: NodeState, now_ms: float) -> dict[str, float]:
    """Return the values of the last load sample that are still valid, by field name of ``TimerFired``."""
    if now_ms - state.load_sample_at_ms > LOAD_SAMPLE_MAX_AGE_MS:
        return {}
    figures = {
        _TIMER_FIELD_BY_GAUGE[name]: value
        for name, value in zip(state.gauge_names, state.load_sample, strict=False)
        if name in _TIMER_FIELD_BY_GAUGE
    }
    if state.load_sample_used:  # a single sample of idle cores must not raise the limit in several updates
        figures.pop("core_demand", None)
    if state.load_sample_used or state.load_sample_at_ms < state.reconnected_at_ms + UTILIZATION_WINDOW_MS:
        # Cores that were idle because there was no link do not show how many runs they can take.
        figures.pop("core_utilization", None)
    return figures


def load_sample_due(transition: Transition, _: events.LoadSampleDue) -> None:
    """Request a load sample if the runtime is connected."""
    state = transition.state
    if state.runtime_connected:
        state.last_sample_number += 1
        request_load_sample(transition, str(state.last_sample_number))


def load_sample_received(transition: Transition, event: events.LoadSampleReceived) -> None:
    """Store a load sample, and use its echo to confirm commands.

    The sample that was requested when the link was established also resynchronises the runs of earlier links.
    """
    state = transition.state
    if not _is_stale(state, event.tag):
        state.load_sample = event.values
        state.load_sample_at_ms = transition.now_ms
        state.load_sample_used = False
    state.command_log.record_sample_received(event.tag)
    if state.runtime_connected:
        end_runs_missing_at_runtime(transition)
    if state.runtime_connected and event.tag == sync_tag(state.link_number):
        resynchronise_runs(transition)


def _is_stale(state: NodeState, tag: str) -> bool:
    """Return whether the sample was requested before a reload that changed the order of the gauges."""
    return (
        state.last_stale_sample_number > 0
        and tag.isdecimal()
        and len(tag) <= MAX_SAMPLE_NUMBER_DIGITS
        and int(tag) <= state.last_stale_sample_number
    )


HANDLERS: HandlerTable = {
    events.TimerExpired: timer_expired,
    events.LoadSampleDue: load_sample_due,
    events.LoadSampleReceived: load_sample_received,
}
