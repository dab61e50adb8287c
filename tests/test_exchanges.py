"""Each recorded exchange, played against the node and compared byte for byte."""

from __future__ import annotations

import errno
import json
import socket
from pathlib import Path

import pytest
from support.exchange import Player

from snowthread.address import Address
from snowthread.reload import reload

RECORDED = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


@pytest.mark.parametrize("path", RECORDED, ids=lambda path: path.stem)
def test_exchange(path: Path) -> None:
    Player().play(path.read_text())


def test_peers_that_read_nothing_do_not_fill_the_memory_together() -> None:
    player = Player(limits={"memory_mb": 2, "sockets": 128})
    crowd = [socket.socket() for _ in range(12)]
    for sock in crowd:  # none of them has as much waiting as one alone may have
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            sock.setsockopt(socket.SOL_SOCKET, option, 4096)
        sock.connect(player.node.balancers.address)
        sock.setblocking(False)
    player.settle()
    for connection in player.node.balancers._connections.values():
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    checks, ended = b"\x94\x00\x01\xa6health\x91\x80" * 1000, 0
    for _ in range(100):
        for sock in crowd:
            try:
                sock.send(checks)
            except BlockingIOError:
                pass
            except OSError:
                ended += 1
        player.node.loop.run_once(0.0005)
        if ended:
            break
        player.clock.now_ms += 5.0  # in all less than a single peer may keep the node waiting
    assert 0 < ended < len(crowd)
    for sock in crowd:
        sock.close()


def test_a_move_that_fails_leaves_all_as_it_was(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    player = Player()
    before, path = player.node.config, tmp_path / "node.json"
    path.write_text(json.dumps(player.fields | {"roster": "127.0.0.1:9", "index": "127.0.0.1:9"}))

    def no_descriptor(*_: object) -> socket.socket:
        raise OSError(errno.EMFILE, "too many open files")

    with monkeypatch.context() as patched:
        patched.setattr(Address, "open", no_descriptor)
        reload(player.node, {"NODE_CONFIG": str(path)})
    assert player.node.config is before
    reload(player.node, {"NODE_CONFIG": str(path)})
    assert player.node.config.database == ("127.0.0.1", 9)
