"""Connections that close with open requests: each request must still get exactly one answer."""

from __future__ import annotations

import socket
from typing import Any

import msgpack
import pytest
from support.node_harness import NodeHarness
from support.node_peers import (
    HEALTH_CHECK,
    attempt_id,
    complete_run,
    is_closed_by_node,
    read_answer,
    read_command,
    request,
    send_notice,
)

from snowthread.net.limits import SWEEP_INTERVAL_MS

MALFORMED = b"\xa5hello"
ENDINGS = {
    "malformed message": MALFORMED,
    "partial message": request(3, "match")[:30],
    "end of the stream": b"",
}
"""What a balancer sends before its connection closes; nothing means that it shuts its writing side."""
SOCKET_BUFFER_BYTES = 4096  # small, so that the buffers between the node and its peer fill soon
UNSENT_WANTED_BYTES = 16_000  # the node pauses reading only from 32 KiB of unsent answers
CHECKS_MAX = 20_000  # most health checks that are sent to reach ``UNSENT_WANTED_BYTES``
IDLE_ROUNDS_MAX = 2000  # rounds without data after which the node is taken to send nothing more


def connect_with_small_buffers(harness: NodeHarness) -> socket.socket:
    """Connect the only balancer with small socket buffers; its sends block."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.connect(harness.node.balancers.address)
    harness.peers["1"] = sock
    harness.settle()
    (connection,) = harness.node.balancers._connections.values()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return sock


def receive_until_closed(harness: NodeHarness, sock: socket.socket) -> bytes:
    """Return the bytes received until the node closes or sends nothing for ``IDLE_ROUNDS_MAX`` rounds."""
    sock.setblocking(False)
    received = b""
    idle_rounds = 0
    while idle_rounds < IDLE_ROUNDS_MAX:
        harness.node.loop.run_once(0.0005)
        try:
            more = sock.recv(65536)
        except BlockingIOError:
            idle_rounds += 1
            continue
        if not more:
            break
        received += more
    return received


def read_messages(harness: NodeHarness, peer_name: str) -> list[list[Any]]:
    """Return all messages that the node sends to a balancer before it closes the connection."""
    unpacker = msgpack.Unpacker()
    unpacker.feed(receive_until_closed(harness, harness.peers[peer_name]))
    return list(unpacker)


def test_open_requests_fail_when_a_malformed_message_ends_their_connection(harness: NodeHarness) -> None:
    harness.connect("1")
    harness.send("1", request(1, "match") + request(2, "recalc") + MALFORMED)
    harness.settle()
    assert [read_answer(harness, "1")[:3] for _ in range(2)] == [
        [1, 1, ["Failed", {}]],
        [1, 2, ["Failed", {}]],
    ]
    assert is_closed_by_node(harness, "1")
    assert [read_command(harness)["action"] for _ in range(4)] == ["start", "start", "stop", "stop"]


def test_open_requests_fail_when_a_partial_message_times_out(harness: NodeHarness) -> None:
    harness.connect("1")
    harness.send("1", request(1, "match") + request(2, "match")[:30])
    harness.settle()
    for _ in range(14):
        harness.advance(SWEEP_INTERVAL_MS)
    assert read_answer(harness, "1")[:3] == [1, 1, ["Failed", {}]]
    assert is_closed_by_node(harness, "1")


def test_unsent_answers_are_sent_completely_before_their_connection_closes(harness: NodeHarness) -> None:
    sock = connect_with_small_buffers(harness)
    (connection,) = harness.node.balancers._connections.values()
    sent = 0
    while connection.unsent_bytes < UNSENT_WANTED_BYTES and sent < CHECKS_MAX:
        sock.sendall(HEALTH_CHECK * 100)
        sent += 100
        harness.settle()
    assert connection.unsent_bytes >= UNSENT_WANTED_BYTES
    sock.sendall(MALFORMED)
    harness.settle()
    unpacker = msgpack.Unpacker()
    unpacker.feed(receive_until_closed(harness, sock))
    assert len(list(unpacker)) == sent


def test_peer_that_shuts_its_writing_side_gets_answers_to_open_requests(harness: NodeHarness) -> None:
    harness.connect("1")
    harness.send("1", request(1, "match"))
    assert read_command(harness)["action"] == "start"
    harness.peers["1"].shutdown(socket.SHUT_WR)
    harness.settle()
    assert read_answer(harness, "1")[:3] == [1, 1, ["Failed", {}]]
    assert is_closed_by_node(harness, "1")
    assert read_command(harness)["action"] == "stop"
    harness.assert_silent("runtime")


@pytest.mark.parametrize("ending", list(ENDINGS), ids=list(ENDINGS))
def test_request_and_its_retry_get_one_answer_each_when_their_connection_closes(
    harness: NodeHarness, ending: str
) -> None:
    """Guards against a second answer to a retry whose queued original is cancelled by the close."""
    harness.connect("busy", "1")
    for number in (11, 12):  # occupies both cores, so that the original stays queued
        harness.send("busy", request(number, "match"))
        assert read_command(harness)["action"] == "start"
    harness.send("1", request(1, "dispense", once="k1") + request(2, "dispense", once="k1"))
    harness.settle()
    harness.send("1", ENDINGS[ending])
    if not ENDINGS[ending]:
        harness.peers["1"].shutdown(socket.SHUT_WR)
    for _ in range(14):  # longer than the timeout of a partial message
        harness.advance(SWEEP_INTERVAL_MS)
    assert sorted(read_messages(harness, "1")) == [[1, 1, ["Failed", {}], None], [1, 2, ["Failed", {}], None]]


@pytest.mark.parametrize(
    "second",
    [
        msgpack.packb([0, 1, "match", [{}, "not bytes"]]),
        msgpack.packb([0, 1, "match", [{"id": "invalid"}, b"x"]]),
        msgpack.packb([0, 1, "health", [{}]]),
        b"\x94\x00\x01\xa5match\x92\x80\xc6\x7f\xff\xff\xff",  # announces a body above the limit
    ],
    ids=["invalid body", "invalid fields", "health check", "oversized"],
)
def test_message_under_an_open_number_gets_no_answer_and_closes_the_connection(
    harness: NodeHarness, second: bytes
) -> None:
    """Guards against a failure of the second message that would be taken for an answer to the first."""
    harness.connect("1")
    harness.send("1", request(1, "match") + request(2, "match"))
    for _ in range(2):
        assert read_command(harness)["action"] == "start"
    harness.send("1", second)
    assert read_messages(harness, "1") == [[1, 2, ["Failed", {}], None]]


def test_peer_that_cancels_the_slower_of_two_copies_stays_connected(harness: NodeHarness) -> None:
    harness.connect("1", "2")
    pos = 0
    for n in range(1, 160, 2):
        harness.send("1", request(n, "match") + request(n + 1, "match"))
        for _ in range(2):
            assert read_command(harness)["action"] == "start"
        harness.send("1", msgpack.packb([2, "cancel", [n + 1]]))
        assert read_answer(harness, "1")[:3] == [1, n + 1, ["Failed", {}]]
        assert read_command(harness)["action"] == "stop"
        pos += 1
        send_notice(harness, "end", pos=pos, uid=attempt_id(n + 1), code="aborted", wall_ms=1, content=b"")
        pos += 1
        complete_run(harness, pos, n)
        assert read_answer(harness, "1")[:2] == [1, n], n
