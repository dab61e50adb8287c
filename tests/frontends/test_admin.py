"""The operators' address: what is no call, who keeps out whom, and a listening socket that was passed on."""

from __future__ import annotations

import os
import socket
from http import HTTPStatus

import pytest
from support.exchange import EXAMPLE, Player, loopback

from snowthread.address import Address
from snowthread.config import ConfigError, load
from snowthread.frontends.admin.codec import BODY_MAX, HEAD_MAX, AdminRequest, RequestError, RequestReader
from snowthread.frontends.admin.server import CALL_MS, CALLERS_MOST
from snowthread.frontends.balancers.listening import adopt_listener, open_listener

READY = b"GET /-/ready HTTP/1.1\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "result"),
    [
        (b"POST /-/drain?now=1 HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", AdminRequest("POST", "/-/drain")),
        (b"GET http://n1:9/-/ready HTTP/1.1\r\nHost: n1\r\n\r\n", AdminRequest("GET", "/-/ready")),
        (b"POST /-/drain HTTP/1.1\r\nContent-Length: 2\r\n\r\n{", None),
        (b"\x94\x00\x01\xa6health\x91\x80", HTTPStatus.BAD_REQUEST),
        (b"GET /-/ready HTTP/1.1\r\nContent-Length: x\r\n\r\n", HTTPStatus.BAD_REQUEST),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * HEAD_MAX, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
        (b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (BODY_MAX + 1), HTTPStatus.BAD_REQUEST),
    ],
)
@pytest.mark.parametrize("piece", [1, 7, 10**6])
def test_calls_are_read_in_pieces_of_any_size(data: bytes, result: object, piece: int) -> None:
    reading = RequestReader()
    for n in range(0, len(data), piece):
        reading.feed(data[n : n + piece])
    got = reading.result
    assert (got.status if isinstance(got, RequestError) else got) == result


def test_callers_that_stop_half_way_keep_out_nobody_and_hold_no_descriptors() -> None:
    player = Player()
    try:
        assert player.node.admin is not None
        stalled = [socket.create_connection(player.node.admin.address) for _ in range(3 * CALLERS_MOST)]
        for caller in stalled:
            caller.sendall(READY[:9])
        for _ in range(10):
            player.settle()
        player.step("9", "call", "")
        player.step("9", ">", "GET /-/ready HTTP/1.1\\r\\n\\r\\n")
        assert player.came("9", 15) == b"HTTP/1.1 200 OK"
        player.step("9", "close", "")
        assert len(player.node.admin._callers) <= CALLERS_MOST
        player.step("clock", str(CALL_MS), "")
        player.settle()
        assert not player.node.admin._callers
        for caller in stalled:
            caller.close()
    finally:
        player.node.loop._close_tasks()


def test_a_call_is_answered_while_the_node_is_flooded() -> None:
    player = Player()
    flood = [socket.create_connection(player.node.balancers.address) for _ in range(50)]
    try:
        for peer in flood:
            peer.sendall(b"\x94\x00\x01\xa6health\x91\x80" * 2000)
        player.step("9", "call", "")
        player.peers["9"].sendall(READY)
        for _ in range(3):  # rounds, not seconds: what others send must not stand before it
            player.node.loop.run_once(0.0)
        assert player.peers["9"].recv(15) == b"HTTP/1.1 200 OK"
    finally:
        for peer in flood:
            peer.close()
        player.node.loop._close_tasks()


def test_a_socket_passed_on_is_listened_at_and_a_wrong_one_is_told() -> None:
    with loopback(socket.SOCK_STREAM) as held, loopback(socket.SOCK_DGRAM) as other:
        with pytest.raises(OSError, match="does not listen"):
            adopt_listener(os.dup(other.fileno()))
        with pytest.raises(OSError):
            open_listener(Address(*held.getsockname()))  # taken: only the descriptor helps
        mine = adopt_listener(os.dup(held.fileno()))
        with socket.create_connection(held.getsockname()), mine:
            assert mine.accept()[0].getsockname() == held.getsockname()
        with socket.create_connection(held.getsockname()):  # closed by one, it listens on for the others
            held.accept()[0].close()


@pytest.mark.parametrize(
    ("more", "word"), [({"NODE_FD": "three"}, "NODE_FD"), ({"NODE_ADMIN_ADDR": "here"}, "admin_addr")]
)
def test_a_bad_environment_is_told(more: dict[str, str], word: str) -> None:
    with pytest.raises(ConfigError, match=word):
        load({"NODE_CONFIG": str(EXAMPLE)} | more)
    config = load({"NODE_CONFIG": str(EXAMPLE), "NODE_FD": "3", "NODE_ADMIN_ADDR": "127.0.0.1:9"})
    assert config.listen_descriptor == 3 and config.admin == ("127.0.0.1", 9)
