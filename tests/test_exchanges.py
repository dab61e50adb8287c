"""Plays each recorded exchange against a node and compares it byte for byte."""

from __future__ import annotations

import errno
import json
import socket
from collections.abc import Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest
from support.exchange import ExchangePlayer
from support.node_harness import NodeHarness

from snowthread.address import Address
from snowthread.reload import reload

EXCHANGE_PATHS = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))
SOCKET_BUFFER_BYTES = 4096  # small, so that the buffers between the node and its peers fill soon
PEERS = 12
ROUNDS_MAX = 400  # rounds after which a peer must have been disconnected
ROUND_MS = 1.25  # time per round; all rounds together take less than the timeouts for slow peers
HEALTH_CHECKS = b"\x94\x00\x01\xa6health\x91\x80" * 1000


@pytest.mark.parametrize("path", EXCHANGE_PATHS, ids=lambda path: path.stem)
def test_exchange(path: Path) -> None:
    ExchangePlayer().play(path.read_text())


@pytest.fixture
def harness() -> Iterator[NodeHarness]:
    """Create a node, which is closed after the test."""
    harness = NodeHarness()
    yield harness
    harness.close()


def connect_with_small_buffers(harness: NodeHarness, stack: ExitStack) -> list[socket.socket]:
    """Connect peers with small socket buffers, so that none reaches the limit of unsent bytes alone."""
    peers = [stack.enter_context(socket.socket()) for _ in range(PEERS)]
    for peer in peers:
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            peer.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        peer.connect(harness.node.balancers.address)
        peer.setblocking(False)
    harness.settle()
    for connection in harness.node.balancers._connections.values():
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return peers


def send_checks(peers: list[socket.socket]) -> int:
    """Send as many health checks from each peer as possible; return how many the node has disconnected."""
    closed = 0
    for peer in peers:
        try:
            peer.send(HEALTH_CHECKS)
        except BlockingIOError:
            pass
        except OSError:
            closed += 1
    return closed


def test_unsent_answers_of_all_peers_together_are_bounded() -> None:
    harness = NodeHarness(limits={"memory_mb": 2, "sockets": 128})
    with ExitStack() as stack:
        stack.callback(harness.close)
        peers = connect_with_small_buffers(harness, stack)
        closed = 0
        for _ in range(ROUNDS_MAX):
            closed += send_checks(peers)
            harness.node.loop.run_once(0.0005)
            if closed:
                break
            harness.clock.now_ms += ROUND_MS
        assert 0 < closed < len(peers)


def test_reload_that_fails_leaves_the_configuration_as_it_was(
    harness: NodeHarness, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    before, path = harness.node.config, tmp_path / "node.json"
    path.write_text(json.dumps(harness.fields | {"roster": "127.0.0.1:9", "index": "127.0.0.1:9"}))

    def no_descriptor(*_: object) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    with monkeypatch.context() as patched:
        patched.setattr(Address, "open", no_descriptor)
        reload(harness.node, {"NODE_CONFIG": str(path)})
    assert harness.node.config is before
    reload(harness.node, {"NODE_CONFIG": str(path)})
    assert harness.node.config.database == ("127.0.0.1", 9)
