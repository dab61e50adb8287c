"""Clients, readiness, drain and registration during a hot restart."""

from __future__ import annotations

import msgpack
from support.hot_restart import (
    FIRST_ATTEMPT,
    SECOND_ATTEMPT,
    THIRD_ATTEMPT,
    ProcessPair,
    ready_status,
    responses,
)
from support.operator_calls import set_drained

from snowthread.core import events
from snowthread.core.state import HandoverRole

FAREWELL = msgpack.packb([2, "farewell", []])


def test_successor_is_ready_only_after_the_predecessor_released_the_clients(pair: ProcessPair) -> None:
    """If it were ready earlier, a shutdown notice to the predecessor would withdraw the registration."""
    first = pair.connect(pair.predecessor)
    successor = pair.launch_successor()
    node = successor.node
    while not node.balancers.accepting:
        node.loop.run_once(0.0)
        if node.state.handover_role is HandoverRole.SUCCESSOR and not node.balancers.accepting:
            pair.predecessor.settle()
    assert pair.predecessor.node.balancers.accepting
    assert ready_status(successor) == 503
    pair.settle()
    assert ready_status(successor) == 200
    assert ready_status(pair.predecessor) == 503
    assert first.recv(100) == FAREWELL


def test_predecessor_takes_the_clients_back_when_the_successor_dies(pair: ProcessPair) -> None:
    pair.start_successor()
    second = pair.connect(pair.successor)
    pair.request(second, 1, FIRST_ATTEMPT)
    assert pair.started_runs(pair.successor) == [FIRST_ATTEMPT]
    assert not pair.predecessor.node.balancers.accepting
    pair.end(pair.successor)
    pair.settle()
    third = pair.connect(pair.predecessor)
    pair.request(third, 1, SECOND_ATTEMPT)
    assert responses(third) == [[1, "Failed", None]]  # the outcome of the first run is unknown
    pair.request(third, 2, THIRD_ATTEMPT, key="k2")
    assert pair.started_runs(pair.predecessor) == [THIRD_ATTEMPT]
    pair.start_successor()  # the predecessor accepts a second successor
    assert pair.successor.node.state.handover_role is HandoverRole.SUCCESSOR
    assert pair.successor.node.balancers.accepting


def test_drain_is_handed_over_and_the_registration_is_never_withdrawn(pair: ProcessPair) -> None:
    first = pair.connect(pair.predecessor)
    pair.request(first, 1, FIRST_ATTEMPT)
    assert pair.predecessor.node.admin is not None
    set_drained(pair.predecessor, True)
    pair.start_successor()
    assert pair.successor.node.state.drained
    assert pair.call(pair.successor, False) == 200
    pair.settle()
    assert not pair.predecessor.node.state.drained
    registry = pair.predecessor.peers["roster"]
    while True:
        try:
            registry.recv(100)
        except BlockingIOError:
            break
    pair.predecessor.node.post(events.ShutdownRequested(3700.0))
    pair.advance(2500.0)  # longer than the grace period of a drain
    assert registry.recv(100) == b"HERE n1 on"
    first.sendall(msgpack.packb([0, 2, "health", [{}]]))
    pair.settle()
    pair.complete_run(pair.predecessor, 1, FIRST_ATTEMPT)
    assert responses(first) == [[2, None, True], [1, None, b"r"]]
    second = pair.connect(pair.successor)
    pair.request(second, 1, SECOND_ATTEMPT)
    assert responses(second) == [[1, None, b"r"]]


def test_reload_keeps_a_drain_and_shutdown_makes_it_final(pair: ProcessPair) -> None:
    node = pair.predecessor.node
    set_drained(pair.predecessor, True)
    node.apply_configuration(node.config)
    assert node.state.drained and not node.state.accepts_work
    node.post(events.ShutdownRequested(3200.0))
    assert set_drained(pair.predecessor, False) == 409
    assert set_drained(pair.predecessor, True) == 200
    assert not node.state.accepts_work
