"""Graceful shutdown, and draining by operators."""

from __future__ import annotations

from snowthread.admission import events as admission_events
from snowthread.core import effects, events
from snowthread.core.state import HandoverRole
from snowthread.core.transition import HandlerTable, Transition


def shutdown_requested(transition: Transition, event: events.ShutdownRequested) -> None:
    """Begin the graceful shutdown; a repeated notice is ignored."""
    state = transition.state
    if state.shutting_down:
        return
    state.shutting_down = True
    transition.emit(effects.SetRegistration(state.accepts_work))
    clock = state.admission_clock
    transition.dispatch(
        admission_events.ShutdownNotice(
            clock.duration_s(event.time_left_ms), clock.duration_s(event.notice_age_ms)
        )
    )


def drain_requested(transition: Transition, event: events.DrainRequested) -> None:
    """Take the node out of the registry, or register it again.

    Requests are served in either case, because balancers learn of the change late.
    """
    state = transition.state
    if event.drain != state.drained and state.handover_role is not HandoverRole.STANDALONE:
        transition.send_to_peer_process(event)
    state.drained = event.drain
    transition.emit(effects.SetRegistration(state.accepts_work))


HANDLERS: HandlerTable = {
    events.ShutdownRequested: shutdown_requested,
    events.DrainRequested: drain_requested,
}
