"""A toy of everything a formula node talks to, for trying one out by hand. Not a load rig.

Run it from the repository's root beside a node (README.md says how). It plays the runtime, the index and the
roster at the addresses of a configuration: a run takes a fifth of a second, every dispense makes one call to
the index, and what comes by is printed.
"""

from __future__ import annotations

import base64
import json
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from snowthread.address import Address
from snowthread.net.clock import Clock
from snowthread.net.loop import IN, Loop, Steps, Wait

RUN_MS = 200.0


def listen(address: Address) -> socket.socket:
    """A listening socket."""
    sock = address.open(socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen()
    return sock


class ToyRuntime:
    """Runs requests one after another in no real way: the result is the body in capitals."""

    def __init__(self, loop: Loop) -> None:
        self.loop, self.notices = loop, list[dict[str, Any]]()

    def serve(self, peer: socket.socket) -> Steps:
        """One link."""
        rest = b""
        while True:
            yield Wait(peer.fileno(), IN)
            data = peer.recv(65536)
            if not data:
                self.loop.close(peer)
                return
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self.take(peer, json.loads(line))

    def take(self, peer: socket.socket, command: dict[str, Any]) -> None:
        """One command."""
        uid = command.get("uid", "")
        match command["action"]:
            case "sync":
                self.write(peer, {"action": "ready", "code": "seasoned", "wall_ms": 0})
                for notice in self.notices[command["pos"]:]:
                    self.write(peer, notice)
            case "gauges":
                self.write(peer, {"action": "load", "echo": command["echo"], "meters": [0.1, 1, 0.1, 2]})
            case "start":
                print(f"runtime: {command['lane']} {uid} starts", flush=True)
                body = base64.b64decode(command["content"])
                if command["lane"] == "dispense":
                    self.later(peer, {"action": "wants", "uid": uid, "content": command["content"]})
                else:
                    self.end(peer, uid, "done", body.upper())
            case "give":
                self.end(peer, uid, "done", b"dispensed " + base64.b64decode(command["content"]))
            case "omit":
                self.end(peer, uid, "done", b"dispensed without a look")
            case "stop":
                self.end(peer, uid, "aborted", b"")

    def end(self, peer: socket.socket, uid: str, code: str, result: bytes) -> None:
        """A run is over a little later."""
        self.later(peer, {"action": "end", "uid": uid, "code": code, "wall_ms": RUN_MS,
                          "content": base64.b64encode(result).decode()})

    def later(self, peer: socket.socket, notice: dict[str, Any]) -> None:
        """Number a notice when its time has come, and send it."""
        def send() -> None:
            self.notices.append(notice | {"pos": len(self.notices) + 1})
            self.write(peer, self.notices[-1])

        self.loop.call_at(self.loop.clock.now() + RUN_MS, send)

    def write(self, peer: socket.socket, message: dict[str, Any]) -> None:
        """One line."""
        if peer.fileno() >= 0:
            peer.send(json.dumps(message).encode() + b"\n")


def index(loop: Loop, peer: socket.socket) -> Steps:
    """Answer every call on a connection; whole calls come in one piece on loopback."""
    while True:
        yield Wait(peer.fileno(), IN)
        data = peer.recv(65536)
        if not data:
            loop.close(peer)
            return
        print(f"index: {data.split(chr(13).encode())[0].decode()}", flush=True)
        peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nknown")


def accept(loop: Loop, listener: socket.socket, serve: Callable[[socket.socket], Steps]) -> Steps:
    """Serve each connection."""
    while True:
        yield Wait(listener.fileno(), IN)
        peer, _ = listener.accept()
        peer.setblocking(False)
        loop.spawn(serve(peer))


def roster(sock: socket.socket) -> Steps:
    """Print what changes."""
    last = b""
    while True:
        yield Wait(sock.fileno(), IN)
        word = sock.recv(1024)
        if word != last:
            print(f"roster: {word.decode()}", flush=True)
        last = word


def main(path: str) -> None:
    """Play all three until stopped."""
    fields = json.loads(Path(path).read_text())
    loop = Loop(Clock())
    runtime = ToyRuntime(loop)
    loop.spawn(accept(loop, listen(Address.parse(fields["runtime"])), runtime.serve))
    loop.spawn(accept(loop, listen(Address.parse(fields["index"])), lambda peer: index(loop, peer)))
    reports = Address.parse(fields["roster"]).open(socket.SOCK_DGRAM)
    reports.bind(Address.parse(fields["roster"]))
    loop.spawn(roster(reports))
    print("toy site: ready", flush=True)
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1] if len(sys.argv) > 1 else str(Path(__file__).with_name("node.json")))
