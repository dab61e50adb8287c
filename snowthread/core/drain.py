"""Draining by operators: whether the node is drained, which all its processes hold alike.

An operator may call either process of a hot restart, at any time. Invariant: **a call that was answered with
200 holds at all processes of the node until a later call, whatever older message is on its way.**

Each call is stamped with the host's monotonic clock, which all processes of a node share. A process holds the
latest call that it knows of, and :func:`_take_if_later` is the only place that replaces it. So it doesn't
matter in which order calls and messages arrive: an older one changes nothing. A process reports its own calls
and acknowledges those of its peer; it never sends back what it was told. A call is confirmed, and may be
answered with 200, once no process can be without it (:func:`is_confirmed`).

===============================  =========================  ================================================
event                            condition                  effect
===============================  =========================  ================================================
``OperatorCalled``               the peer process reports   the call is taken and reported
                                 stamped calls
                                 it is of an earlier        the call is taken and sent as ``DrainRequested``
                                 release
``DrainStateReported``           later than the own one     it is taken and acknowledged
                                 earlier, and the own one   the own one is reported
                                 was not reported on this
                                 link yet
                                 else                       acknowledged with the own call
``DrainStateAcknowledged``                                  the peer process is known to hold the call
``DrainRequested``               differs from the own one   it is taken as a call later than all known ones
===============================  =========================  ================================================

``NameTaken`` concerns one process and is no operator's call: it is neither reported to the peer process nor
does it end a call. A later ``resume`` ends it.

A process of an earlier release sends ``DrainRequested``, which has no stamp: of calls at both processes of
such an upgrade, the one that is heard last holds.
"""

from __future__ import annotations

from snowthread.core import events
from snowthread.core.state import HandoverRole, NodeState, PeerCallOrder
from snowthread.core.transition import HandlerTable, Transition


def next_call_time_ns(state: NodeState, monotonic_ns: int) -> int:
    """Return the stamp of a new call: the monotonic time, and later than each call that is known here."""
    return max(monotonic_ns, state.drain_called_at_ns + 1)


def is_confirmed(state: NodeState, called_at_ns: int) -> bool:
    """Return whether all processes of the node hold the call of this time or a later one.

    A process of an earlier release confirms nothing; there it is enough that the call was sent.
    """
    if state.drain_called_at_ns < called_at_ns:
        return False
    if state.handover_role is HandoverRole.STANDALONE:
        return True
    if state.peer_call_order is PeerCallOrder.UNSTAMPED:
        return True
    return state.peer_drain_called_at_ns >= called_at_ns


def begin_link(state: NodeState, peer_call_order: PeerCallOrder) -> None:
    """Forget what was sent and heard on an earlier link, because the last messages on it may be lost."""
    state.peer_call_order = peer_call_order
    state.peer_drain_called_at_ns = 0
    state.drain_reported_at_ns = 0


def report_drain_state(transition: Transition) -> None:
    """Report to the peer process whether the node is drained, and the call that says so."""
    state = transition.state
    if state.peer_call_order is PeerCallOrder.STAMPED:
        state.drain_reported_at_ns = state.drain_called_at_ns
        report = events.DrainStateReported(state.drain_called_at_ns, state.drained)
        transition.send_to_peer_process(report)
    else:
        transition.send_to_peer_process(events.DrainRequested(state.drained))


def operator_called(transition: Transition, event: events.OperatorCalled) -> None:
    """Take the node out of the registry, or register it again.

    Requests are served in either case, because balancers learn of the change late.
    """
    if not _take_if_later(transition, event.called_at_ns, event.drain):
        return
    transition.report_registration()
    if transition.state.handover_role is not HandoverRole.STANDALONE:
        report_drain_state(transition)


def drain_state_reported(transition: Transition, event: events.DrainStateReported) -> None:
    """Take the peer process's call if it is later than the own one, and let the peer process know."""
    state = transition.state
    state.peer_call_order = PeerCallOrder.STAMPED
    state.peer_drain_called_at_ns = max(state.peer_drain_called_at_ns, event.called_at_ns)
    _take_if_later(transition, event.called_at_ns, event.drained)
    transition.report_registration()
    if (
        event.called_at_ns < state.drain_called_at_ns
        and state.drain_reported_at_ns < state.drain_called_at_ns
    ):
        report_drain_state(transition)
    else:
        transition.send_to_peer_process(events.DrainStateAcknowledged(state.drain_called_at_ns))


def drain_state_acknowledged(transition: Transition, event: events.DrainStateAcknowledged) -> None:
    """Record which call the peer process holds."""
    state = transition.state
    state.peer_drain_called_at_ns = max(state.peer_drain_called_at_ns, event.called_at_ns)


def drain_requested(transition: Transition, event: events.DrainRequested) -> None:
    """Take a call without a stamp from a process of an earlier release, unless it changes nothing."""
    state = transition.state
    if state.peer_call_order is PeerCallOrder.UNKNOWN:
        state.peer_call_order = PeerCallOrder.UNSTAMPED
    if event.drain != state.drained:
        _take_if_later(transition, next_call_time_ns(state, 0), event.drain)
    transition.report_registration()


def name_taken(transition: Transition, _: events.NameTaken) -> None:
    """Withdraw the registration of this process, unless it is its successor that uses the name."""
    state = transition.state
    if state.handover_role is not HandoverRole.PREDECESSOR:
        state.name_taken = True
        transition.report_registration()


def _take_if_later(transition: Transition, called_at_ns: int, drained: bool) -> bool:
    """Make a call the one that holds if it is later than the one so far; return whether it was.

    Of two calls in the same nanosecond the drain is taken, at both processes.
    """
    state = transition.state
    if (called_at_ns, drained) <= (state.drain_called_at_ns, state.drained):
        return False
    state.drain_called_at_ns = called_at_ns
    state.drained = drained
    state.name_taken = state.name_taken and drained
    return True


HANDLERS: HandlerTable = {
    events.OperatorCalled: operator_called,
    events.NameTaken: name_taken,
    events.DrainStateReported: drain_state_reported,
    events.DrainStateAcknowledged: drain_state_acknowledged,
    events.DrainRequested: drain_requested,
}
