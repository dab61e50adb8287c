"""Plays a recorded exchange against a node in this process, on real sockets, with a clock that the text sets.

A text file has one step a line: who, what, and bytes with Python's escapes.

    3 connect                 a balancer's connection named 3
    9 call                    an operator's connection named 9
    3 > BYTES, 3 < BYTES      sent to the node; sent by the node, to the byte
    3 >* COUNT BYTES          sent so many times; 3 <* COUNT BYTES likewise
    3 close, 3 closed         the peer closes; the node has closed
    runtime accept, index accept, roster < BYTES
    index refuse              it is down: connections are refused
    clock +250                milliseconds go by
    NAME silent               nothing more came; also checked for all at the end
    leave                     the notice to leave
    move                      a new configuration: runtime and index are elsewhere now; {index} is the new one
    idle MS                   the decision to close connections idle for so long

{index} stands for the index's address.
"""

from __future__ import annotations

import codecs
import json
import socket
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from snowthread import config
from snowthread.core import events
from snowthread.net.clock import ManualClock
from snowthread.node import Node

START = 1764576000000.0
EXAMPLE = Path(__file__).parents[2] / "examples" / "node.json"
PATIENCE_S = 10.0  # until a step that does not come counts as failed


def loopback(kind: socket.SocketKind) -> socket.socket:
    """A bound socket on a free port."""
    sock = socket.socket(socket.AF_INET, kind)
    sock.bind(("127.0.0.1", 0))
    if kind is socket.SOCK_STREAM:
        sock.listen()
    return sock


def address(sock: socket.socket) -> str:
    """As the configuration has it."""
    return "{}:{}".format(*sock.getsockname())


class Player:
    """A node and the peers round it."""

    def __init__(self, door: int | None = None, folder: str | None = None, **changes: Any) -> None:
        self.listeners = {"runtime": loopback(socket.SOCK_STREAM), "index": loopback(socket.SOCK_STREAM)}
        self.peers: dict[str, socket.socket] = {"roster": loopback(socket.SOCK_DGRAM)}
        fields: dict[str, Any] = json.loads(EXAMPLE.read_bytes())
        fields |= {name: address(sock) for name, sock in (self.listeners | self.peers).items()}
        self.clock = ManualClock(START)
        self.fields = fields | {"listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0"} | changes
        self.node = Node(
            replace(config.parse(self.fields), listen_descriptor=door, handover_directory=folder), self.clock
        )
        self.index = fields["index"].encode()

    def settle(self) -> None:
        for _ in range(12):
            self.node.loop.run_once(0.0005)

    def came(self, who: str, size: int) -> bytes:
        """What the node sent, as many bytes as wanted; less where it closes or sends no more."""
        self.ended = False
        peer, data, end = self.peers[who], b"", time.monotonic() + PATIENCE_S
        while len(data) < size and time.monotonic() < end:
            try:
                more = peer.recv(size - len(data))
            except BlockingIOError:
                self.node.loop.run_once(0.0005)
                continue
            if not more:
                self.ended = True
                break
            data += more
        return data

    def silent(self, who: str) -> None:
        try:
            more = self.peers[who].recv(4096)
        except BlockingIOError:
            return
        assert more == b"", f"{who}: unexpected {more!r}"

    def step(self, who: str, what: str, rest: str) -> None:
        data = codecs.escape_decode(rest.encode())[0].replace(b"{index}", self.index)
        if who == "clock":
            self.clock.now_ms += float(what)
            self.settle()
        elif who == "leave":
            self.node.post(events.ShutdownRequested(3200.0))
            self.node.balancers.say_farewell_to_all()
        elif who == "move":
            for name in self.listeners:
                self.listeners[name].close()
                self.listeners[name] = loopback(socket.SOCK_STREAM)
                self.fields[name] = address(self.listeners[name])
            self.index = self.fields["index"].encode()
            self.node.apply_configuration(config.parse(self.fields))
            self.settle()
        elif who == "idle":
            self.node.balancers.set_idle_timeout(float(what))
        elif what == "connect":
            self.peers[who] = socket.create_connection(self.node.balancers.address)
        elif what == "call":
            assert self.node.admin is not None
            self.peers[who] = socket.create_connection(self.node.admin.address)
            self.settle()
        elif what == "accept":
            self.settle()
            self.listeners[who].settimeout(PATIENCE_S)
            self.peers[who] = self.listeners[who].accept()[0]
            self.settle()
        elif what == ">":
            self.peers[who].sendall(data)
            self.settle()
        elif what == ">*":
            count, _, unit = rest.partition(" ")
            self.peers[who].sendall(codecs.escape_decode(unit.encode())[0] * int(count))
            self.settle()
        elif what in ("<", "<*"):
            if what == "<*":
                count, _, unit = rest.partition(" ")
                data = codecs.escape_decode(unit.encode())[0] * int(count)
            got = self.came(who, len(data))
            assert got == data, f"came: {got!r}"
        elif what == "refuse":
            self.listeners[who].close()
        elif what == "close":
            self.peers.pop(who).close()
            self.settle()
        elif what == "closed":
            assert self.came(who, 1) == b"" and self.ended
            self.peers.pop(who).close()
        elif what == "silent":
            self.settle()
            self.silent(who)
        else:
            raise ValueError(f"no such step: {who} {what}")
        for peer in self.peers.values():
            peer.setblocking(False)

    def play(self, text: str) -> None:
        try:
            for number, line in enumerate(text.splitlines(), 1):
                if line.strip() and not line.startswith("#"):
                    who, what, rest = (*line.split(" ", 2), "", "")[:3]
                    try:
                        self.step(who, what, rest)
                    except AssertionError as error:
                        raise AssertionError(f"line {number}: {line}: {error}") from error
            self.settle()
            for who in self.peers.keys() - {"roster"}:  # that one is told regularly
                self.silent(who)
        finally:
            for sock in (*self.peers.values(), *self.listeners.values()):
                sock.close()
