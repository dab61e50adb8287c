"""Tests of connection limits: silent connections are closed; a slow but valid writer is not."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import msgpack
import pytest
from support.exchange import START, ExchangePlayer

from snowthread.frontends.balancers.message_stream import MAX_MESSAGES_PER_TURN
from snowthread.net.limits import FIRST_BYTE_TIMEOUT_MS, PARTIAL_MESSAGE_TIMEOUT_MS

FIELDS = {
    "id": "00000000000000a1",
    "at": f"{START:.0f}",
    "from": "4",
    "wait": "9000",
    "kb": "20",
    "rank": "0.5",
}
BODY = b"p" * 40
REQUEST = msgpack.packb([0, 1, "match", [FIELDS, BODY]])
HEALTH_CHECK = msgpack.packb([0, 1, "health", [{}]])
CHECKS = 500  # health checks that a client sends at once; fewer than the bytes of one read
WRITING_TIME_MS = 2000.0  # time in which the slow writer sends its request


Connect = Callable[[ExchangePlayer], socket.socket]


@pytest.fixture
def connect() -> Iterator[Connect]:
    """Return a function that connects to a node's balancer port; the sockets are closed after the test."""
    with ExitStack() as sockets:

        def connect(player: ExchangePlayer) -> socket.socket:
            sock = sockets.enter_context(socket.create_connection(player.node.balancers.address))
            player.settle()
            sock.setblocking(False)
            return sock

        yield connect


@pytest.mark.parametrize(
    "crowd_sends", [b"", HEALTH_CHECK[:4], HEALTH_CHECK], ids=["silent", "partial", "one message"]
)
def test_request_written_over_two_seconds_is_read_completely_among_a_crowd(
    start_player: Callable[..., ExchangePlayer], connect: Connect, crowd_sends: bytes
) -> None:
    player = start_player(limits={"sockets": 64})
    max_connections = player.node.balancers._max_connections
    slow_writer = connect(player)
    pieces = [REQUEST[start : start + 7] for start in range(0, len(REQUEST), 7)]
    pause_ms = WRITING_TIME_MS / (len(pieces) - 1)
    for number, piece in enumerate(pieces):
        if number:
            player.clock.now_ms += pause_ms
        slow_writer.send(piece)
        player.settle()
        # Enough connections to replace the whole connection table every second piece.
        for _ in range(max_connections // 2):
            other = connect(player)
            if crowd_sends:
                other.send(crowd_sends)
                player.settle()
    player.settle()
    assert [request.body for request in player.node.state.requests.values()] == [BODY]
    assert player.node.balancers.count() <= max_connections


def test_silent_connections_and_endless_messages_are_closed_in_bounded_time(
    player: ExchangePlayer, connect: Connect
) -> None:
    silent = connect(player)
    endless = connect(player)
    endless.send(REQUEST[:20])
    player.settle()
    player.step("clock", str(FIRST_BYTE_TIMEOUT_MS), "")
    player.step("clock", "0", "")
    assert player.node.balancers.count() == 1 and silent.recv(10) == b""
    for _ in range(5):
        endless.send(REQUEST[20:21])  # further bytes do not extend the timeout of a partial message
        player.step("clock", str((PARTIAL_MESSAGE_TIMEOUT_MS - FIRST_BYTE_TIMEOUT_MS) / 5.0 + 60.0), "")
    assert player.node.balancers.count() == 0


def count_answers(sock: socket.socket) -> int:
    """Return how many answers have arrived since the last call."""
    unpacker = msgpack.Unpacker()
    try:
        unpacker.feed(sock.recv(65536))
    except BlockingIOError:
        return 0
    return len(list(unpacker))


def test_flood_of_one_client_is_handled_in_turns(player: ExchangePlayer, connect: Connect) -> None:
    """Guards against a client whose many small messages delay those of all others by a whole read."""
    flood = connect(player)
    flood.sendall(HEALTH_CHECK * CHECKS)
    answers: list[int] = []
    while sum(answers) < CHECKS:
        player.node.loop.run_once(0.0)
        answers.append(count_answers(flood))
        assert len(answers) <= 2 * CHECKS, "the node has stopped to answer"
    assert max(answers) <= MAX_MESSAGES_PER_TURN


def test_messages_left_by_a_turn_are_handled_before_a_decision_to_close(
    player: ExchangePlayer, connect: Connect
) -> None:
    """Guards against the loss of a request that was read but waits for a later turn."""
    sock = connect(player)
    sock.sendall(HEALTH_CHECK * CHECKS + REQUEST)
    player.node.loop.run_once(0.0)
    (connection,) = player.node.balancers._connections.values()
    assert connection.message_stream.has_more and player.node.balancers.busy
    connection.read_pending()
    assert not connection.message_stream.has_more
    assert [request.body for request in player.node.state.requests.values()] == [BODY]


def test_messages_left_by_a_turn_are_not_awaited_from_the_peer(
    player: ExchangePlayer, connect: Connect
) -> None:
    """Guards against a timeout of a peer that has sent everything."""
    sock = connect(player)
    sock.sendall(HEALTH_CHECK * CHECKS)
    player.node.loop.run_once(0.0)
    (connection,) = player.node.balancers._connections.values()
    assert connection.message_stream.has_more
    assert connection.message_stream.incomplete_since_ms() == math.inf
