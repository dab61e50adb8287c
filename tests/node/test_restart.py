"""A node that is killed with requests in flight and started again at once under the same name and address.

The test is the runtime itself, so that it decides what each life of the node hears, and in which order.
"""

from __future__ import annotations

import json
import secrets
import signal
import socket
import time
from pathlib import Path
from typing import Any

import msgpack
from support.exchange import address, loopback
from test_program import PATIENCE_S, at, configuration, node


class Runtime:
    """One link from the node, as the runtime has it."""

    def __init__(self, door: socket.socket) -> None:
        self.sock, _ = door.accept()
        self.sock.settimeout(PATIENCE_S)
        self._lines = self.sock.makefile("rb")

    def told(self, action: str) -> dict[str, Any]:
        """The next command of this kind; gauges asked for before are answered, nothing else may come."""
        while True:
            line = self._lines.readline()
            assert line, f"the link ended, {action} was wanted"
            fields: dict[str, Any] = json.loads(line)
            if fields["action"] == action:
                return fields
            assert fields["action"] == "gauges", fields
            self.say("load", echo=fields["echo"], meters=[0.1, 0, 0.1, 1])

    def say(self, action: str, **fields: Any) -> None:
        self.sock.sendall(json.dumps({"action": action} | fields).encode() + b"\n")


def request(number: int, once: str) -> bytes:
    fields = {
        "id": secrets.token_hex(8),
        "at": str(int(time.time() * 1000)),
        "from": "1",
        "wait": "5000",
        "kb": "20",
        "rank": "0.5",
        "once": once,
    }
    packed: bytes = msgpack.packb([0, number, "dispense", [fields, b"x"]])
    return packed


def connected(path: Path) -> socket.socket:
    sock = socket.create_connection(at(path))
    sock.settimeout(PATIENCE_S)
    return sock


def answer(sock: socket.socket) -> list[Any]:
    unpacker = msgpack.Unpacker()
    while True:
        more = sock.recv(4096)
        assert more, "it closed without an answer"
        unpacker.feed(more)
        for message in unpacker:
            return list(message)


def test_a_life_after_a_kill_knows_nothing_of_what_was_in_flight(tmp_path: Path) -> None:
    with loopback(socket.SOCK_STREAM) as door, loopback(socket.SOCK_DGRAM) as roster:
        door.settimeout(PATIENCE_S)
        roster.settimeout(PATIENCE_S)
        path = configuration(tmp_path, runtime=address(door), roster=address(roster), stop_ms=1500)
        with node(path) as process:
            first = Runtime(door)
            assert first.told("sync")["pos"] == 0
            first.say("ready", code="fresh", wall_ms=0)
            asked = connected(path)
            asked.sendall(request(1, "k1") + request(2, "k2"))
            runs = [first.told("start")["uid"] for _ in range(2)]
            process.send_signal(signal.SIGKILL)
            process.wait(PATIENCE_S)
        try:
            assert asked.recv(100) == b""  # no answer, and no word of another life
        except ConnectionResetError:
            pass
        with node(path) as process:  # the address is free at once, though the first life's connections linger
            second = Runtime(door)
            assert second.told("sync")["pos"] == 0
            second.say("ready", code="seasoned", wall_ms=900)
            # Runs outlived the node: what they end in or wait for is nobody's any more.
            second.say("end", pos=1, uid=runs[0], code="done", wall_ms=9, content="b2xk")
            second.say("wants", pos=2, uid=runs[1], content="Pw==")
            again = connected(path)
            again.sendall(request(1, "k1"))
            uid = second.told("start")["uid"]  # neither the old result nor a call comes before it
            assert uid not in runs
            second.say("end", pos=3, uid=uid, code="done", wall_ms=9, content="bmV3")
            found = answer(again)
            assert found[:3] == [1, 1, None] and found[3][0] == b"new"
            again.sendall(request(2, "k3"))
            uid = second.told("start")["uid"]
            process.send_signal(signal.SIGTERM)
            assert answer(again) == [2, "farewell", []]
            second.say("end", pos=4, uid=uid, code="done", wall_ms=9, content="bmV3")
            assert answer(again)[:2] == [1, 2]
            while roster.recv(100) != b"HERE n1 off":  # each life has said that it takes work before
                pass
            log = process.communicate(timeout=PATIENCE_S)[1]
            assert process.returncode == 0 and "left" in log
            assert "Traceback" not in log  # a notice for nobody is no error, which would only be logged
