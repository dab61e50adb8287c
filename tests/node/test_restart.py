"""A node that is killed with requests in flight and restarted at once with the same name and address.

The test acts as the runtime, so that it controls which notices each process receives, and in which order.
"""

from __future__ import annotations

import json
import secrets
import signal
import socket
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgpack
from support.node_harness import address, loopback
from support.node_peers import request
from support.program import TIMEOUT_S, configuration, listen_address, node


class RuntimeLink:
    """One link from the node, on the runtime's side."""

    def __init__(self, listener: socket.socket) -> None:
        self.sock, _ = listener.accept()
        self.sock.settimeout(TIMEOUT_S)
        self._lines = self.sock.makefile("rb")

    def read_command(self, action: str) -> dict[str, Any]:
        """Return the next command, which must have this action; requested load samples are sent before it."""
        while True:
            line = self._lines.readline()
            assert line, f"the link ended before the command {action}"
            fields: dict[str, Any] = json.loads(line)
            if fields["action"] == action:
                return fields
            assert fields["action"] == "gauges", fields
            self.send_notice("load", echo=fields["echo"], meters=[0.1, 0, 0.1, 1])

    def send_notice(self, action: str, **fields: Any) -> None:
        self.sock.sendall(json.dumps({"action": action} | fields).encode() + b"\n")

    def complete_run(self, pos: int, attempt_id: str, content: str) -> None:
        """Report that a run succeeded; ``content`` is in Base64."""
        self.send_notice("end", pos=pos, uid=attempt_id, code="done", wall_ms=9, content=content)


def keyed_request(number: int, idempotency_key: str) -> bytes:
    """Return a request with a new attempt id, which arrives now."""
    return request(number, "dispense", at=time.time() * 1000, id=secrets.token_hex(8), once=idempotency_key)


def connected(path: Path) -> socket.socket:
    sock = socket.create_connection(listen_address(path))
    sock.settimeout(TIMEOUT_S)
    return sock


def read_answer(sock: socket.socket) -> list[Any]:
    unpacker = msgpack.Unpacker()
    while True:
        more = sock.recv(4096)
        assert more, "the node closed the connection without an answer"
        unpacker.feed(more)
        for message in unpacker:
            return list(message)


def start_two_runs_and_kill(path: Path, listener: socket.socket) -> tuple[socket.socket, list[str]]:
    """Kill a node with two runs in flight; return their balancer connection and their attempt ids."""
    with node(path) as process:
        link = RuntimeLink(listener)
        assert link.read_command("sync")["pos"] == 0
        link.send_notice("ready", code="fresh", wall_ms=0)
        connection = connected(path)
        connection.sendall(keyed_request(1, "k1") + keyed_request(2, "k2"))
        runs = [link.read_command("start")["uid"] for _ in range(2)]
        process.send_signal(signal.SIGKILL)
        process.wait(TIMEOUT_S)
    return connection, runs


def test_restarted_node_knows_nothing_of_what_was_in_flight(tmp_path: Path) -> None:
    with loopback(socket.SOCK_STREAM) as listener, loopback(socket.SOCK_DGRAM) as registry:
        listener.settimeout(TIMEOUT_S)
        registry.settimeout(TIMEOUT_S)
        path = configuration(tmp_path, runtime=address(listener), roster=address(registry), stop_ms=1500)
        old_connection, old_runs = start_two_runs_and_kill(path, listener)
        with suppress(ConnectionResetError):
            assert old_connection.recv(100) == b""  # no answer, neither from this process nor from the next
        with node(path) as process:  # the address can be reused at once, although old connections linger
            link = RuntimeLink(listener)
            assert link.read_command("sync")["pos"] == 0
            link.send_notice("ready", code="seasoned", wall_ms=900)
            # The runs outlived the killed process: no request waits for their results or calls any more.
            link.complete_run(1, old_runs[0], "b2xk")
            link.send_notice("wants", pos=2, uid=old_runs[1], content="Pw==")
            connection = connected(path)
            connection.sendall(keyed_request(1, "k1"))
            # read_command() fails if another command comes first: the node must not react to the old runs.
            attempt_id = link.read_command("start")["uid"]
            assert attempt_id not in old_runs
            link.complete_run(3, attempt_id, "bmV3")
            found = read_answer(connection)
            assert found[:3] == [1, 1, None] and found[3][0] == b"new"
            connection.sendall(keyed_request(2, "k3"))
            attempt_id = link.read_command("start")["uid"]
            process.send_signal(signal.SIGTERM)
            assert read_answer(connection) == [2, "farewell", []]
            link.complete_run(4, attempt_id, "bmV3")
            assert read_answer(connection)[:2] == [1, 2]
            # Earlier reports of each process said that it accepts work.
            while registry.recv(100) != b"HERE n1 off":
                pass
            log = process.communicate(timeout=TIMEOUT_S)[1]
            assert process.returncode == 0 and "stopped" in log
            # A notice of an unknown run is not an error; an error would be logged with its traceback.
            assert "Traceback" not in log
