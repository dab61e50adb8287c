"""The one place where the state of a node changes: an event in, the effects that it causes out.

Each concern has a module of its own with handlers registered by event type: arrivals, ends of runs, the
link to the runtime, downstream calls, load samples, shutdown, settings, and for a hot restart the peer
process, key claims and key replication. The actions of the admission controller are carried out by
``action_handlers``.
"""

from __future__ import annotations

from snowthread.core import (
    arrivals,
    downstream_calls,
    effects,
    events,
    key_claims,
    key_replication,
    load_samples,
    peer_process,
    run_completion,
    runtime_resync,
    settings_changes,
    shutdown,
)
from snowthread.core.action_handlers import ACTION_HANDLERS
from snowthread.core.state import NodeState
from snowthread.core.transition import HandlerTable, Transition

EVENT_HANDLERS: HandlerTable = {
    **arrivals.HANDLERS,
    **run_completion.HANDLERS,
    **runtime_resync.HANDLERS,
    **downstream_calls.HANDLERS,
    **load_samples.HANDLERS,
    **shutdown.HANDLERS,
    **settings_changes.HANDLERS,
    **peer_process.HANDLERS,
    **key_claims.HANDLERS,
    **key_replication.HANDLERS,
}


def reduce(state: NodeState, event: events.Event, now_ms: float, /) -> list[effects.Effect]:
    """Handle one event at this time (Unix milliseconds) and return its effects, in order."""
    transition = Transition(state, now_ms, ACTION_HANDLERS)
    EVENT_HANDLERS[type(event)](transition, event)
    return transition.effects
