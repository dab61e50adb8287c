"""Idle connections are closed while requests arrive; no request that was sent in time may be lost."""

from __future__ import annotations

import socket
import struct

import msgpack
from support.node_harness import NodeHarness
from support.node_peers import FAREWELL_MESSAGE, read_answer, request, serve_request

from snowthread.frontends.balancers.server import MIN_CONNECTION_LIMIT
from snowthread.frontends.balancers.sweeper import FAREWELL_TIMEOUT_MS
from snowthread.net.limits import FIRST_BYTE_TIMEOUT_MS, MIN_IDLE_BEFORE_EVICTION_MS, SWEEP_INTERVAL_MS


def test_request_unread_at_the_end_of_the_farewell_period_is_served(harness: NodeHarness) -> None:
    harness.connect("1")
    harness.node.balancers.set_idle_timeout(100.0)
    harness.advance(SWEEP_INTERVAL_MS)
    assert read_answer(harness, "1") == FAREWELL_MESSAGE
    harness.advance_late(FAREWELL_TIMEOUT_MS)
    harness.send("1", request(1, "match"))
    serve_request(harness, "1", 1, 1)


def test_first_request_unread_at_the_first_byte_timeout_is_served(harness: NodeHarness) -> None:
    harness.connect("1")
    harness.advance_late(FIRST_BYTE_TIMEOUT_MS)
    harness.send("1", request(1, "match"))
    serve_request(harness, "1", 1, 1)


def test_request_unread_on_the_connection_that_would_be_evicted_is_served(harness: NodeHarness) -> None:
    harness.node.balancers.set_max_connections(MIN_CONNECTION_LIMIT)
    harness.connect(*(str(n) for n in range(MIN_CONNECTION_LIMIT)))
    harness.clock.now_ms += MIN_IDLE_BEFORE_EVICTION_MS
    new = socket.create_connection(harness.node.balancers.address)  # it connects before the request is sent
    harness.send("0", request(1, "match"))
    serve_request(harness, "0", 1, 1)
    assert harness.node.balancers.count() == MIN_CONNECTION_LIMIT  # exactly one other connection was evicted
    assert harness.node.balancers.peer_address(
        MIN_CONNECTION_LIMIT + 1
    ) and harness.node.balancers.peer_address(1)
    new.close()


def test_connection_with_a_partial_request_is_not_closed_as_idle_or_evicted(
    harness: NodeHarness,
) -> None:
    harness.node.balancers.set_max_connections(MIN_CONNECTION_LIMIT)
    harness.connect(*(str(n) for n in range(MIN_CONNECTION_LIMIT)))
    message = request(1, "match")
    harness.send("0", message[:40])
    harness.settle()
    harness.node.balancers.set_idle_timeout(100.0)
    harness.advance(SWEEP_INTERVAL_MS + 1.0)
    for n in range(1, MIN_CONNECTION_LIMIT):
        assert read_answer(harness, str(n)) == FAREWELL_MESSAGE
    harness.assert_silent("0")
    new = socket.create_connection(harness.node.balancers.address)
    harness.settle()
    harness.advance(FAREWELL_TIMEOUT_MS + SWEEP_INTERVAL_MS)
    harness.send("0", message[40:])
    serve_request(harness, "0", 1, 1)
    new.close()


def test_partial_request_that_crossed_a_farewell_is_served(harness: NodeHarness) -> None:
    harness.connect("1")
    message = request(1, "match")
    harness.node.balancers.set_idle_timeout(100.0)
    harness.advance(SWEEP_INTERVAL_MS)
    assert read_answer(harness, "1") == FAREWELL_MESSAGE
    harness.send("1", message[:-1])  # it crosses the farewell; its last byte comes after the farewell period
    harness.settle()
    harness.advance(FAREWELL_TIMEOUT_MS + SWEEP_INTERVAL_MS)
    harness.send("1", message[-1:])
    serve_request(harness, "1", 1, 1)


def test_connection_closed_before_its_first_step_leaves_the_table(harness: NodeHarness) -> None:
    """A process that is paused while it accepts sees a connection of the same round as idle for long."""
    balancers = harness.node.balancers
    balancers.set_max_connections(MIN_CONNECTION_LIMIT)
    busy = [str(n) for n in range(MIN_CONNECTION_LIMIT - 1)]
    harness.connect(*busy)
    for n, name in enumerate(busy):
        harness.send(name, request(100 + n, "match"))
    harness.settle()
    first, second = (socket.create_connection(balancers.address) for _ in range(2))
    assert balancers.acceptor.accept_pending(1)
    harness.clock.now_ms += MIN_IDLE_BEFORE_EVICTION_MS
    assert balancers.acceptor.accept_pending(1)
    assert balancers.count() == MIN_CONNECTION_LIMIT
    unpacker = msgpack.Unpacker()
    first.settimeout(5.0)
    while more := first.recv(100):
        unpacker.feed(more)
    assert list(unpacker) == [FAREWELL_MESSAGE]
    first.close()
    second.close()


def test_farewell_to_all_reaches_the_others_when_one_peer_has_reset(harness: NodeHarness) -> None:
    harness.connect("1", "2", "3")
    harness.peers["2"].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    harness.peers.pop("2").close()  # resets the connection; the node has not noticed it yet
    harness.node.balancers.send_farewell_to_all()
    harness.settle()
    assert read_answer(harness, "1") == read_answer(harness, "3") == FAREWELL_MESSAGE
    assert harness.node.balancers.count() == 2
