"""Graceful shutdown."""

from __future__ import annotations

from snowthread.admission import events as admission_events
from snowthread.core import events
from snowthread.core.transition import HandlerTable, Transition


def shutdown_requested(transition: Transition, event: events.ShutdownRequested) -> None:
    """Begin the graceful shutdown; a repeated notice is ignored."""
    state = transition.state
    if state.shutting_down:
        return
    state.shutting_down = True
    transition.report_registration()
    clock = state.admission_clock
    transition.dispatch(
        admission_events.ShutdownNotice(
            clock.duration_s(event.time_left_ms), clock.duration_s(event.notice_age_ms)
        )
    )


HANDLERS: HandlerTable = {
    events.ShutdownRequested: shutdown_requested,
}
