"""The peer process of a hot restart: its connection, its load, the handover and its exit.

While a new process of a node replaces the old one, each process knows the idempotency keys of both, and both
share the limits of the runtime. The table shows the roles of a process
(:class:`~snowthread.core.state.HandoverRole`) and the events that change them:

===========  ===========================================  ============================================
role         event                                        next
===========  ===========================================  ============================================
JOINING      ``NoPeerProcessFound``                       STANDALONE
any          ``PeerProcessConnected`` in the old process  PREDECESSOR
any          ``PeerProcessConnected`` in the new process  SUCCESSOR
PREDECESSOR  ``SuccessorReady``                           PREDECESSOR; superseded, accepts no connections
any          ``PeerProcessExited``                        STANDALONE; accepts connections
===========  ===========================================  ============================================
"""

from __future__ import annotations

from snowthread.admission import events as admission_events
from snowthread.core import drain, effects, events
from snowthread.core.arrivals import reprocess_waiting_requests
from snowthread.core.request_lifecycle import complete_followers
from snowthread.core.settings_changes import apply_settings
from snowthread.core.state import HandoverRole, PeerCallOrder, RequestPhase
from snowthread.core.transition import HandlerTable, Transition


def peer_process_connected(transition: Transition, event: events.PeerProcessConnected) -> None:
    """Take the role of predecessor or successor, and send the idempotency records to the peer process.

    The predecessor sends whether the node is drained, all records and its load, and then marks the end of the
    records. To a process of an earlier release it sends the drain behind the records, as that release does.
    The successor sends the records that it owns, because it may be reconnecting after a broken
    connection on which messages of either side were lost.
    """
    state = transition.state
    if event.is_predecessor:
        state.handover_role = HandoverRole.PREDECESSOR
        drain.begin_link(state, PeerCallOrder.STAMPED if event.stamps_calls else PeerCallOrder.UNSTAMPED)
        if event.stamps_calls:
            drain.report_drain_state(transition)
        for record in state.idempotency_table.records():
            transition.send_to_peer_process(record)
        if not event.stamps_calls:
            drain.report_drain_state(transition)
        report_load(transition)
        transition.emit(effects.SendHandoverComplete())
    else:
        state.handover_role = HandoverRole.SUCCESSOR
        drain.begin_link(state, PeerCallOrder.UNKNOWN)
        for record in state.idempotency_table.records():
            if not record.owned_by_peer:
                transition.send_to_peer_process(record)
        reprocess_waiting_requests(transition)


def no_peer_process_found(transition: Transition, _: events.NoPeerProcessFound) -> None:
    """Serve as the only process of the node."""
    transition.state.handover_role = HandoverRole.STANDALONE
    transition.report_registration()


def report_load(transition: Transition) -> None:
    """Report to the peer process what this process uses of the limits that both share."""
    state = transition.state
    running = 0
    calls = 0
    running_memory_kb = 0.0
    other_memory_kb = 0.0
    for request in state.requests.values():
        if request.phase is RequestPhase.RUNNING:
            running += 1
            running_memory_kb += request.memory_kb
            calls += request.call_in_flight
        else:
            other_memory_kb += request.memory_kb
    memory_kb = other_memory_kb + state.settings.running_memory_factor * running_memory_kb
    transition.send_to_peer_process(events.PeerLoadReported(running, memory_kb, calls))


def peer_load_reported(transition: Transition, event: events.PeerLoadReported) -> None:
    """Reduce the limits of this process by what the peer process uses of them."""
    transition.state.peer_load = event
    apply_settings(transition)
    transition.emit(effects.ReserveDescriptors(event.descriptors))


def successor_ready(transition: Transition, _: events.SuccessorReady) -> None:
    """Leave new connections and the load report to the successor process."""
    state = transition.state
    state.superseded = True
    state.load_report = None
    transition.report_registration()
    transition.emit(effects.SetAccepting(False))


def peer_process_exited(transition: Transition, _: events.PeerProcessExited) -> None:
    """Serve as the only process of the node again.

    The outcome of runs that the peer process had in progress will never be reported. The retries that wait
    for them fail, and none of those requests is run again.
    """
    state = transition.state
    state.handover_role = HandoverRole.STANDALONE
    state.superseded = False
    state.peer_load = None
    apply_settings(transition)
    if state.controller is not None:
        # Runs of the peer process may still be in progress at the runtime, and no process counts them.
        transition.dispatch(admission_events.RunCountUncertain())
    for record in state.idempotency_table.records():
        if record.owned_by_peer and not record.completed:
            record.completed = True
            complete_followers(transition, record, None)
    reprocess_waiting_requests(transition)
    transition.report_registration()
    transition.emit(effects.SetAccepting(True))
    transition.emit(effects.ReserveDescriptors(0))


HANDLERS: HandlerTable = {
    events.NoPeerProcessFound: no_peer_process_found,
    events.PeerProcessConnected: peer_process_connected,
    events.PeerLoadReported: peer_load_reported,
    events.SuccessorReady: successor_ready,
    events.PeerProcessExited: peer_process_exited,
}
