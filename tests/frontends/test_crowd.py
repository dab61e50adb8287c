"""Crowds that connect and say little: who keeps a place, and what an honest slow writer needs."""

from __future__ import annotations

import socket

import msgpack
import pytest
from support.exchange import START, Player

from snowthread.net.limits import FIRST_BYTE_TIMEOUT_MS, PARTIAL_MESSAGE_TIMEOUT_MS

FIELDS = {
    "id": "00000000000000a1",
    "at": f"{START:.0f}",
    "from": "4",
    "wait": "9000",
    "kb": "20",
    "rank": "0.5",
}
REQUEST = msgpack.packb([0, 1, "match", [FIELDS, b"p" * 40]])
HEALTH = msgpack.packb([0, 1, "health", [{}]])


def connect(player: Player) -> socket.socket:
    sock = socket.create_connection(player.node.balancers.address)
    player.settle()
    sock.setblocking(False)
    return sock


@pytest.mark.parametrize("crowd", ["silent", "half", "once"])
def test_a_request_written_over_two_seconds_is_read_whole_among_a_crowd(crowd: str) -> None:
    player = Player(limits={"sockets": 64})
    others: list[socket.socket] = []
    try:
        places = player.node.balancers._most
        slow = connect(player)
        pieces = [REQUEST[n : n + 7] for n in range(0, len(REQUEST), 7)]
        step = 2000.0 / (len(pieces) - 1)
        for n, piece in enumerate(pieces):
            if n:
                player.clock.now_ms += step
            slow.send(piece)
            player.settle()
            for _ in range(places // 2):  # the whole table anew with every second piece
                others.append(connect(player))
                if crowd != "silent":
                    others[-1].send(HEALTH if crowd == "once" else HEALTH[:4])
                    player.settle()
        player.settle()
        assert [q.body for q in player.node.state.requests.values()] == [b"p" * 40]
        assert player.node.balancers.count() <= places
    finally:
        for sock in (slow, *others):
            sock.close()
        player.node.loop._close_tasks()


def test_who_says_nothing_or_never_ends_is_closed_in_bounded_time() -> None:
    player = Player()
    silent, half = connect(player), connect(player)
    try:
        half.send(REQUEST[:20])
        player.settle()
        player.step("clock", str(FIRST_BYTE_TIMEOUT_MS), "")
        player.step("clock", "0", "")
        assert player.node.balancers.count() == 1 and silent.recv(10) == b""
        for _ in range(5):
            half.send(REQUEST[20:21])  # a byte now and then buys no more time
            player.step("clock", str((PARTIAL_MESSAGE_TIMEOUT_MS - FIRST_BYTE_TIMEOUT_MS) / 5.0 + 60.0), "")
        assert player.node.balancers.count() == 0
    finally:
        for sock in (silent, half):
            sock.close()
        player.node.loop._close_tasks()
