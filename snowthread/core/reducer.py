"""The reducer: the only entry point that changes the state of a node.

:func:`reduce` takes one event and returns the effects that it causes. Each concern has its own module, which
registers handlers by event type: arrivals, ends of runs, the link to the runtime, downstream calls, load
samples, shutdown, drain, settings, and for a hot restart the peer process, key claims and key replication.
``action_handlers`` carries out the actions of the admission controller.
"""

from __future__ import annotations

from snowthread.core import (
    arrivals,
    downstream_calls,
    drain,
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
    **drain.HANDLERS,
    **settings_changes.HANDLERS,
    **peer_process.HANDLERS,
    **key_claims.HANDLERS,
    **key_replication.HANDLERS,
}


def reduce(state: NodeState, event: events.Event, now_ms: float, /) -> list[effects.Effect]:
    """Handle one event and return its effects, in order.

    Args:
        state: the state of the node, which is changed in place.
        event: the event to handle.
        now_ms: the current Unix time in milliseconds.
    """
    transition = Transition(state, now_ms, ACTION_HANDLERS)
    EVENT_HANDLERS[type(event)](transition, event)
    return transition.effects
