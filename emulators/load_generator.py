"""Callers of a node: open-loop requests from several addresses, each counted by itself."""

from __future__ import annotations

import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgpack

from snowthread.net.clock import Clock
from snowthread.net.loop import HANGUP, READABLE, WRITABLE, EventLoop, TaskSteps, Wait

SERVED, REFUSED, FAILED = "served", "Throttled", "Failed"
BROKEN_OFF = "broken"  # the connection ended before an answer


@dataclass(slots=True, eq=False)
class Asked:
    """One request: when it was due, and what came of it."""

    at: float
    source: str
    answers: list[tuple[float, str]] = field(default_factory=list)
    uid: str = ""
    once: str = ""


class Load:
    """Open-loop requests from several addresses; each is counted by itself."""

    def __init__(
        self,
        address: str,
        sources: list[str],
        wait_ms: float = 3000.0,
        loop: EventLoop | None = None,
        caller: int = 0,
    ) -> None:
        self.loop, self.wait_ms, self.caller = loop or EventLoop(Clock()), wait_ms, caller
        self.paused = False  # what is due goes to one of the others meanwhile
        self.keyed_bodies = False  # a keyed request's body names its key, so a ledger can count its runs
        # Told of each answer with its whole message, and of each request whose connection broke
        # ("broken", None)
        self.heard: Callable[[Asked, str, Any], None] | None = None
        self.others: list[Load] = []
        host, _, port = address.rpartition(":")
        self._to = ("127.0.0.1" if host == "0.0.0.0" else host, int(port))
        self.asked: list[Asked] = []
        self._links = {source: _Link(self, source) for source in sources}

    @property
    def to(self) -> tuple[str, int]:
        """Where the node listens."""
        return self._to

    def ask(self, source: str, class_name: str = "match", once: str = "", wait_ms: float = 0.0) -> Asked:
        """Send one request now; OSError where no connection could be opened: then it was not asked."""
        asked = Asked(self.loop.clock.now(), source)
        self.asked.append(asked)
        self._links[source].send(asked, class_name, once, wait_ms or self.wait_ms)
        return asked

    def play(self, rng: random.Random, per_s: float, seconds: float) -> None:
        """Poisson arrivals, evenly over the sources, then the time in which all must be answered."""
        sources, begin = list(self._links), self.loop.clock.now()
        at = begin
        while at < begin + seconds * 1000.0:
            at += rng.expovariate(per_s) * 1000.0
            self.loop.call_at(at, partial(self._due, rng.choice(sources)))
        self.run_until(at + self.wait_ms + 200.0)

    def _due(self, source: str) -> None:
        self.ask(source)

    def arrivals(self, rng: random.Random, per_s: float, seconds: float, mix: dict[str, float]) -> None:
        """Have Poisson arrivals of these classes come from now on; ``dispense`` has a key of its own."""
        sources, begin = list(self._links), self.loop.clock.now()
        at, names, weights = begin, list(mix), list(mix.values())
        while at < begin + seconds * 1000.0:
            at += rng.expovariate(per_s) * 1000.0
            kind = rng.choices(names, weights)[0]
            once = f"{rng.getrandbits(128):032x}" if kind == "dispense" else ""
            self.loop.call_at(at, partial(self._mixed, rng.choice(sources), kind, once))

    def _mixed(self, source: str, kind: str, once: str) -> None:
        up = [load for load in (self, *self.others) if not load.paused]
        if up:
            try:
                (self if not self.paused else up[len(self.asked) % len(up)]).ask(source, kind, once)
            except OSError:
                pass  # the node died a moment ago: a caller without a connection has asked nothing

    def run_until(self, at: float) -> None:
        """Let the loop run to this time."""
        while self.loop.clock.now() < at:
            self.loop.run_once(min(0.05, max(0.0, (at - self.loop.clock.now()) / 1000.0)))

    def close(self) -> None:
        """Close all connections."""
        self.loop._close_tasks()


class _Link:
    """One connection, opened anew where the node parts with it; at most 32 open on it at once."""

    def __init__(self, load: Load, source: str) -> None:
        self._load, self._source = load, source
        self._sock: socket.socket | None = None
        self._open: dict[int, Asked] = {}
        self._number = 0
        self._out = bytearray()

    def send(self, asked: Asked, class_name: str, once: str, wait_ms: float) -> None:
        if self._sock is None or self._number >= 10_000 or len(self._open) >= 32:
            self._connect()
        self._number += 1
        now = time.time() * 1000.0
        asked.uid, asked.once = f"{random.getrandbits(64):016x}", once
        fields = {
            "id": asked.uid,
            "at": str(int(now)),
            "from": str(self._load.caller),
            "rank": "0.5",
            "wait": str(int(wait_ms)),
            "kb": "20",
        }
        if once:
            fields["once"] = once
        self._open[self._number] = asked
        assert self._sock is not None
        body = b"key:" + once.encode() if once and self._load.keyed_bodies else b"a warm grey"
        self._sock.sendall(msgpack.packb([0, self._number, class_name, [fields, body]]))

    def _connect(self) -> None:
        sock = socket.socket()
        sock.bind((self._source, 0))
        sock.connect(self._load.to)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock, self._number, self._open = sock, 0, {}
        self._load.loop.spawn(self._read(sock, self._open))

    def _read(self, sock: socket.socket, waiting: dict[int, Asked]) -> TaskSteps:
        unpacker = msgpack.Unpacker()
        try:
            while True:
                got = yield Wait(sock.fileno(), READABLE)
                if got & (READABLE | HANGUP | WRITABLE):
                    data = sock.recv(65536)
                    if not data:
                        return
                    unpacker.feed(data)
                    for message in unpacker:
                        if message[0] == 2 and self._sock is sock:  # farewell: the next goes elsewhere
                            self._sock = None
                        elif message[0] == 1 and message[1] in waiting:
                            word = str(message[2][0]) if message[2] else SERVED
                            asked = waiting[message[1]]
                            asked.answers.append((self._load.loop.clock.now(), word))
                            if self._load.heard is not None:
                                self._load.heard(asked, word, message)
        except OSError:
            pass
        finally:
            if self._sock is sock:
                self._sock = None
            self._load.loop.close(sock)
            if self._load.heard is not None:
                for asked in waiting.values():
                    if not asked.answers:
                        self._load.heard(asked, BROKEN_OFF, None)
