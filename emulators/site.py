"""The runtime, the index and the roster on loopback, scripted: how long runs take, who calls, what fails.

A runtime has cores: of the work given to it, so many pieces go on at a time and the rest wait in line, so a
load near capacity means something. The ledger of runs lets a test see a doubled run instead of inferring it.
"""

from __future__ import annotations

import base64
import json
import socket
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from snowthread.address import Address
from snowthread.net.loop import READABLE, EventLoop, TaskSteps, Wait


@dataclass(slots=True)
class SiteScript:
    """What the site does; may be changed while it plays."""

    run_ms: Mapping[str, float] = field(default_factory=dict)  # by class, of core time
    other_ms: float = 200.0  # for classes not named
    calls: frozenset[str] = frozenset({"dispense"})  # classes whose runs make one call, half way
    cores: int = 64
    index_ms: float = 0.0  # how long the index takes
    index_silent: bool = False  # it takes calls and never answers
    tell: Callable[[str], None] = lambda line: None


def listen(address: Address) -> socket.socket:
    """A listening socket that may take over an address at once."""
    sock = address.open(socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(256)
    return sock


def accept(
    loop: EventLoop, listener: socket.socket, serve: Callable[[socket.socket], TaskSteps]
) -> TaskSteps:
    """Serve each connection with a coroutine of its own."""
    while True:
        yield Wait(listener.fileno(), READABLE)
        peer, _ = listener.accept()
        peer.setblocking(False)
        loop.spawn(serve(peer))


class RuntimeEmulator:
    """Does the work of one node. The result is the body in capitals, or what the index said."""

    def __init__(self, loop: EventLoop, address: Address, script: SiteScript) -> None:
        self.loop, self.script = loop, script
        self.runs: Counter[bytes] = Counter()  # begun, by body: the ledger
        self._notices = list[dict[str, Any]]()
        self._peer: socket.socket | None = None
        self._busy = 0
        self._line: deque[tuple[float, Callable[[], None]]] = deque()
        self._used = self._measured = 0.0  # core-milliseconds and when the gauges were last read
        self._live: set[str] = set()
        self._bodies: dict[str, bytes] = {}
        self._life, self._born = 1, 0.0  # power cycles, and when the last was (0: long before)
        loop.spawn(accept(loop, listen(address), self._serve))

    def _serve(self, peer: socket.socket) -> TaskSteps:
        rest = b""
        try:
            while True:
                yield Wait(peer.fileno(), READABLE)
                try:
                    data = peer.recv(65536)
                except BlockingIOError:
                    continue
                if not data:
                    return
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    self._take(peer, json.loads(line))
        finally:
            self.loop.close(peer)

    def _take(self, peer: socket.socket, command: dict[str, Any]) -> None:
        uid = command.get("uid", "")
        match command["action"]:
            case "sync":
                self._peer = peer
                code, age = ("fresh", self.loop.clock.now() - self._born) if self._born else ("seasoned", 0.0)
                self._write({"action": "ready", "code": code, "wall_ms": age})
                for notice in self._notices[command["pos"] :]:
                    self._write(notice)
            case "gauges":
                now = self.loop.clock.now()
                span = max(1.0, now - self._measured) * self.script.cores
                use = min(1.0, self._used / span) if self._measured else 0.1
                self._used, self._measured = 0.0, now
                waiting = self._busy + len(self._line)
                self._write({"action": "load", "echo": command["echo"], "meters": [use, waiting, 0.1, 2]})
            case "start":
                if uid not in self._live:
                    self._start(uid, command["lane"], base64.b64decode(command["content"]))
            case "give":
                said = base64.b64decode(command["content"])
                self._work(uid, 0.0, lambda: self._end(uid, "done", b"dispensed " + said))
            case "omit":
                self._work(uid, 0.0, lambda: self._end(uid, "done", b"dispensed without a look"))
            case "stop":
                if uid in self._live:
                    self._end(uid, "aborted", b"")

    def _start(self, uid: str, lane: str, body: bytes) -> None:
        self.script.tell(f"runtime: {lane} {uid} starts")
        self._live.add(uid)
        self.runs[body] += 1
        took = self.script.run_ms.get(lane, self.script.other_ms)

        def over() -> None:
            if lane in self.script.calls:
                self._note({"action": "wants", "uid": uid, "content": base64.b64encode(body).decode()})
            else:
                self._end(uid, "done", body.upper())

        self._work(uid, took, over)

    def restart(self) -> None:
        """The machine's power went off and on: what went on is gone, and so are the notices."""
        self._life += 1
        self._born = self.loop.clock.now()
        if self._peer is not None:
            try:
                self._peer.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # its node was killed a moment before
            self._peer = None
        self._notices.clear()
        self._line.clear()
        self._live.clear()
        self._bodies.clear()
        self._busy, self._used, self._measured = 0, 0.0, 0.0

    def _work(self, uid: str, took: float, over: Callable[[], None]) -> None:
        """Have a core for so long, now or when one is free."""
        life = self._life

        def done() -> None:
            if life != self._life:
                return
            self._busy -= 1
            self._used += took
            if uid in self._live:
                over()
            self._next()

        def begin() -> None:
            self._busy += 1
            self.loop.call_at(self.loop.clock.now() + took, done)

        self._line.append((took, begin))
        self._next()

    def _next(self) -> None:
        while self._line and self._busy < self.script.cores:
            self._line.popleft()[1]()

    def _end(self, uid: str, code: str, result: bytes) -> None:
        self._live.discard(uid)
        self._note(
            {
                "action": "end",
                "uid": uid,
                "code": code,
                "wall_ms": 1.0,
                "content": base64.b64encode(result).decode(),
            }
        )

    def _note(self, notice: dict[str, Any]) -> None:
        self._notices.append(notice | {"pos": len(self._notices) + 1})
        self._write(self._notices[-1])

    def _write(self, message: dict[str, Any]) -> None:
        if self._peer is not None and self._peer.fileno() >= 0:
            try:
                self._peer.send(json.dumps(message).encode() + b"\n")
            except OSError:
                self._peer = None  # the next link hears of it


class DatabaseEmulator:
    """Answers every call; whole calls come in one piece on loopback."""

    def __init__(self, loop: EventLoop, address: Address, script: SiteScript) -> None:
        self.loop, self.script = loop, script
        loop.spawn(accept(loop, listen(address), self._serve))

    def _serve(self, peer: socket.socket) -> TaskSteps:
        try:
            while True:
                yield Wait(peer.fileno(), READABLE)
                data = peer.recv(65536)
                if not data:
                    return
                self.script.tell(f"index: {data.split(chr(13).encode())[0].decode()}")
                if self.script.index_silent:
                    continue
                if self.script.index_ms:
                    yield Wait(until=self.loop.clock.now() + self.script.index_ms)
                peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nknown")
        except OSError:
            pass
        finally:
            self.loop.close(peer)


class RegistryEmulator:
    """Takes reports and tells what changes."""

    def __init__(self, loop: EventLoop, address: Address, script: SiteScript) -> None:
        self._script = script
        self._sock = address.open(socket.SOCK_DGRAM)
        self._sock.bind(address)
        loop.spawn(self._steps())

    def _steps(self) -> TaskSteps:
        last = b""
        while True:
            yield Wait(self._sock.fileno(), READABLE)
            word = self._sock.recv(1024)
            if word != last:
                self._script.tell(f"roster: {word.decode(errors='replace')}")
            last = word


class SiteEmulator:
    """All three, at the addresses of a node's configuration."""

    def __init__(self, loop: EventLoop, fields: Mapping[str, Any], script: SiteScript) -> None:
        self.script = script
        self.runtime = RuntimeEmulator(loop, Address.parse(fields["runtime"]), script)
        self.database = DatabaseEmulator(loop, Address.parse(fields["index"]), script)
        self.registry = RegistryEmulator(loop, Address.parse(fields["roster"]), script)


def main() -> None:
    """A quiet site: ``python -m emulators.site NODE_JSON [CORES [RUN_MS]]``. It stops with its
    standard input, on which a line ``index MS`` says how long the database takes from then on."""
    import sys
    from pathlib import Path

    from snowthread.net.clock import Clock

    loop = EventLoop(Clock())
    cores, run_ms = (int(sys.argv[2]) if len(sys.argv) > 2 else 64), float((sys.argv + ["200"] * 4)[3])
    script = SiteScript(other_ms=run_ms, cores=cores)
    SiteEmulator(loop, json.loads(Path(sys.argv[1]).read_text()), script)
    print("site: ready", flush=True)

    def told() -> TaskSteps:
        while True:
            yield Wait(sys.stdin.fileno(), READABLE)
            line = sys.stdin.readline()
            if not line:
                loop.stop()
            elif line.startswith("index "):
                script.index_ms = float(line.split()[1])

    loop.spawn(told())
    loop.run()


if __name__ == "__main__":
    main()
