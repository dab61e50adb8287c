"""Tests of the administration interface: requests, reply texts, stalled clients, floods and configuration."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import ExitStack
from http import HTTPStatus

import pytest
from support.exchange import EXAMPLE, ExchangePlayer

from snowthread.config import ConfigError, load
from snowthread.frontends.admin.codec import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    AdminRequest,
    RequestError,
    RequestReader,
)
from snowthread.frontends.admin.server import MAX_CLIENTS, REQUEST_TIMEOUT_MS

READY = b"GET /-/ready HTTP/1.1\r\n\r\n"
REPLY_MAX_BYTES = 4096  # more than any reply, so that a complete one is read until the node closes
HEALTH_CHECK = b"\x94\x00\x01\xa6health\x91\x80"


@pytest.fixture
def sockets() -> Iterator[ExitStack]:
    """Return a stack for sockets, which are closed after the test."""
    with ExitStack() as stack:
        yield stack


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"POST /-/drain?now=1 HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", AdminRequest("POST", "/-/drain")),
        (b"GET http://n1:9/-/ready HTTP/1.1\r\nHost: n1\r\n\r\n", AdminRequest("GET", "/-/ready")),
        (b"POST /-/drain HTTP/1.1\r\nContent-Length: 2\r\n\r\n{", None),
        (HEALTH_CHECK, HTTPStatus.BAD_REQUEST),
        (b"GET /-/ready HTTP/1.1\r\nContent-Length: x\r\n\r\n", HTTPStatus.BAD_REQUEST),
        (b"GET / HTTP/1.1\r\nA: " + b"a" * MAX_HEAD_BYTES, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
        (b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1), HTTPStatus.BAD_REQUEST),
    ],
)
@pytest.mark.parametrize("chunk_bytes", [1, 7, 10**6])
def test_requests_are_read_in_chunks_of_any_size(data: bytes, expected: object, chunk_bytes: int) -> None:
    reader = RequestReader()
    for start in range(0, len(data), chunk_bytes):
        reader.feed(data[start : start + chunk_bytes])
    result = reader.result
    assert (result.status if isinstance(result, RequestError) else result) == expected


def test_stalled_clients_block_no_other_client_and_are_disconnected(
    player: ExchangePlayer, sockets: ExitStack
) -> None:
    assert player.node.admin is not None
    for _ in range(3 * MAX_CLIENTS):
        client = sockets.enter_context(socket.create_connection(player.node.admin.address))
        client.sendall(READY[:9])
    for _ in range(10):
        player.settle()
    player.step("9", "call", "")
    player.step("9", ">", "GET /-/ready HTTP/1.1\\r\\n\\r\\n")
    assert player.receive("9", 15) == b"HTTP/1.1 200 OK"
    player.step("9", "close", "")
    assert len(player.node.admin._clients) <= MAX_CLIENTS
    player.step("clock", str(REQUEST_TIMEOUT_MS), "")
    player.settle()
    assert not player.node.admin._clients


def test_request_is_answered_while_balancers_flood_the_node(
    player: ExchangePlayer, sockets: ExitStack
) -> None:
    flood = [
        sockets.enter_context(socket.create_connection(player.node.balancers.address)) for _ in range(50)
    ]
    for peer in flood:
        peer.sendall(HEALTH_CHECK * 2000)
    player.step("9", "call", "")
    player.peers["9"].sendall(READY)
    for _ in range(3):  # three rounds of the event loop: the request must not wait behind the flood
        player.node.loop.run_once(0.0)
    assert player.peers["9"].recv(15) == b"HTTP/1.1 200 OK"


def receive_reply(player: ExchangePlayer, data: bytes) -> tuple[bytes, bytes]:
    """Send bytes as an operator; return the status line and the body of the node's reply."""
    player.connect_operator("9")
    player.send("9", data)
    head, _, body = player.receive("9", REPLY_MAX_BYTES).partition(b"\r\n\r\n")
    assert player.closed_by_node
    player.close_peer("9")
    return head.partition(b"\r\n")[0], body


# The texts of replies are part of the administration interface, and operators' programs may compare them: the
# next two tests compare complete bodies with literal bytes.


@pytest.mark.parametrize(
    ("data", "status_line", "body"),
    [
        (READY, b"HTTP/1.1 503 Service Unavailable", b"takes no clients\n"),
        (
            b"POST /-/resume HTTP/1.1\r\n\r\n",
            b"HTTP/1.1 409 Conflict",
            b"this process has been told to leave: it can't go back to work\n",
        ),
    ],
)
def test_reply_text_during_a_shutdown_does_not_change(
    player: ExchangePlayer, data: bytes, status_line: bytes, body: bytes
) -> None:
    player.begin_shutdown()
    assert receive_reply(player, data) == (status_line, body)


@pytest.mark.parametrize(
    ("data", "status_line", "body"),
    [
        (
            b"GET / HTTP/1.1\r\nA: " + b"a" * MAX_HEAD_BYTES,
            b"HTTP/1.1 431 Request Header Fields Too Large",
            b"a head without end\n",
        ),
        # The port of the target is out of range.
        (b"GET http://n1:99999/ HTTP/1.1\r\n\r\n", b"HTTP/1.1 400 Bad Request", b"not a target\n"),
    ],
)
def test_reply_text_to_an_invalid_request_does_not_change(
    player: ExchangePlayer, data: bytes, status_line: bytes, body: bytes
) -> None:
    assert receive_reply(player, data) == (status_line, body)


@pytest.mark.parametrize(
    ("environment", "named"), [({"NODE_FD": "three"}, "NODE_FD"), ({"NODE_ADMIN_ADDR": "here"}, "admin_addr")]
)
def test_invalid_environment_variable_is_named_in_the_error(environment: dict[str, str], named: str) -> None:
    with pytest.raises(ConfigError, match=named):
        load({"NODE_CONFIG": str(EXAMPLE)} | environment)


def test_environment_variables_name_the_listener_and_the_admin_address() -> None:
    config = load({"NODE_CONFIG": str(EXAMPLE), "NODE_FD": "3", "NODE_ADMIN_ADDR": "127.0.0.1:9"})
    assert config.listen_descriptor == 3 and config.admin == ("127.0.0.1", 9)
