"""The limits of memory, runs and descriptors apply to both processes of a hot restart together."""

from __future__ import annotations

import socket

import pytest
from support.hot_restart import ProcessPair, concurrency_ceiling, max_connections, packed_request

from snowthread.core import events

LOAD_REPORT_MS = 300.0  # time after which the next load report of the peer process has arrived


def attempt_id(prefix: str, index: int) -> str:
    return f"{prefix * 8}{index:08x}"


def send_matches(pair: ProcessPair, sock: socket.socket, prefix: str, count: int, memory_kb: int) -> None:
    for index in range(count):
        sock.sendall(
            packed_request(
                index + 1,
                attempt_id(prefix, index),
                method="match",
                key=None,
                arrived_at_ms=pair.predecessor.clock.now_ms,
                timeout_ms=9000,
                memory_kb=memory_kb,
            )
        )
    pair.settle()


def test_both_processes_stay_within_the_memory_of_the_runtime(pair: ProcessPair) -> None:
    """The example settings have 15,906 KB and 2 cores; a run is counted with 4 times its request's memory."""
    first = pair.connect(pair.predecessor)
    send_matches(pair, first, "a", 2, 1800)
    assert (
        len(pair.started_runs(pair.predecessor)) == 2
    )  # both count as 14,400 KB, nearly all that may be used
    pair.start_successor()
    second = pair.connect(pair.successor)
    send_matches(pair, second, "b", 2, 600)
    assert pair.started_runs(pair.successor) == []  # without the predecessor's runs it would start them
    for index in range(2):
        pair.complete_run(pair.predecessor, index + 1, attempt_id("a", index))
    pair.advance(LOAD_REPORT_MS)
    send_matches(pair, second, "c", 2, 600)
    assert len(pair.started_runs(pair.successor)) == 2


def test_runs_of_both_processes_stay_under_the_ceiling_of_the_runtime(pair: ProcessPair) -> None:
    pair.start_successor()
    before = concurrency_ceiling(pair.successor)
    pair.successor.node.post(events.PeerLoadReported(5, 0.0, 0))
    assert concurrency_ceiling(pair.successor) == pytest.approx(before - 0.8 * 5)
    pair.end(pair.predecessor)
    pair.settle()
    assert concurrency_ceiling(pair.successor) == before
    controller = pair.successor.node.state.controller
    assert controller is not None and controller.settings.memory_kb == 15906.0


def test_descriptors_of_both_processes_are_counted_together(pair: ProcessPair) -> None:
    connections = [pair.connect(pair.predecessor) for _ in range(40)]
    most = max_connections(pair.predecessor)
    pair.start_successor()
    assert max_connections(pair.successor) == most - 40
    for sock in connections:
        sock.close()
    pair.advance(LOAD_REPORT_MS)
    assert max_connections(pair.successor) == most
