"""What the measurements share: processes on loopback that end with them, and a load that counts requests."""

from __future__ import annotations

import json
import os
import random
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import msgpack

from snowthread.net.clock import Clock
from snowthread.net.loop import BROKEN, IN, OUT, Loop, Steps, Wait

ROOT = Path(__file__).parent.parent
SERVED, REFUSED, FAILED = "served", "Throttled", "Failed"


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """A loopback address with a free port, below those that the load's own connections are given."""
    while True:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("0.0.0.0", random.randrange(20_000, 32_000)))
            except OSError:
                continue
            return f"127.0.0.1:{sock.getsockname()[1]}"


def configuration(folder: Path, cores: int, **changes: Any) -> Path:
    """The example's configuration on free ports."""
    fields = json.loads((ROOT / "examples" / "node.json").read_bytes())
    for name in ("listen", "runtime", "index"):
        fields[name] = free_address()
    fields["roster"] = free_address(socket.SOCK_DGRAM)
    fields["settings"]["domain"]["cores"] = cores
    fields |= {"listen": fields["listen"].replace("127.0.0.1", "0.0.0.0")} | changes
    path = folder / "node.json"
    path.write_text(json.dumps(fields))
    return path


@contextmanager
def process(*command: str, ready: str, where: str = "stdout", cwd: Path = ROOT,
            **environment: str) -> Iterator[subprocess.Popen[str]]:
    """A process that is ready once it says so, and ends with the block."""
    made = subprocess.Popen([sys.executable, *command], cwd=cwd, text=True, stdin=subprocess.PIPE,
                            stdout=subprocess.PIPE if where == "stdout" else subprocess.DEVNULL,
                            stderr=subprocess.PIPE if where == "stderr" else subprocess.DEVNULL,
                            env=os.environ | {"PYTHONPATH": str(cwd)} | environment)
    try:
        stream = made.stdout if where == "stdout" else made.stderr
        assert stream is not None
        lines = []
        for line in iter(stream.readline, ""):
            lines.append(line)
            if ready in line:
                break
        else:
            raise RuntimeError(f"{command} did not start: {lines}")
        yield made
    finally:
        made.kill()
        made.wait()


def cpu_s(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    words = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def children(pid: int) -> list[int]:
    """The processes that it has started."""
    return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def memory_mb(pid: int) -> float:
    """Its memory now."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


@dataclass(slots=True)
class Asked:
    """One request: when it was due, and what came of it."""

    at: float
    source: str
    answers: list[tuple[float, str]] = field(default_factory=list)


class Load:
    """Open-loop requests from several addresses; each is counted by itself."""

    def __init__(self, address: str, sources: list[str], wait_ms: float = 3000.0) -> None:
        self.loop, self.wait_ms = Loop(Clock()), wait_ms
        host, _, port = address.rpartition(":")
        self._to = ("127.0.0.1" if host == "0.0.0.0" else host, int(port))
        self.asked: list[Asked] = []
        self._links = {source: _Link(self, source) for source in sources}

    @property
    def to(self) -> tuple[str, int]:
        """Where the node listens."""
        return self._to

    def ask(self, source: str, class_name: str = "match", once: str = "") -> Asked:
        """Send one request now."""
        asked = Asked(self.loop.clock.now(), source)
        self.asked.append(asked)
        self._links[source].send(asked, class_name, once)
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

    def run_until(self, at: float) -> None:
        """Let the loop run to this time."""
        while self.loop.clock.now() < at:
            self.loop.round(min(0.05, max(0.0, (at - self.loop.clock.now()) / 1000.0)))

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

    def send(self, asked: Asked, class_name: str, once: str) -> None:
        if self._sock is None or self._number >= 10_000 or len(self._open) >= 32:
            self._connect()
        self._number += 1
        now = time.time() * 1000.0
        fields = {"id": f"{random.getrandbits(64):016x}", "at": str(int(now)), "from": "0", "rank": "0.5",
                  "wait": str(int(self._load.wait_ms)), "kb": "20"}
        if once:
            fields["once"] = once
        self._open[self._number] = asked
        assert self._sock is not None
        self._sock.sendall(msgpack.packb([0, self._number, class_name, [fields, b"a warm grey"]]))

    def _connect(self) -> None:
        sock = socket.socket()
        sock.bind((self._source, 0))
        sock.connect(self._load.to)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock, self._number, self._open = sock, 0, {}
        self._load.loop.spawn(self._read(sock, self._open))

    def _read(self, sock: socket.socket, waiting: dict[int, Asked]) -> Steps:
        unpacker = msgpack.Unpacker()
        try:
            while True:
                got = yield Wait(sock.fileno(), IN)
                if got & (IN | BROKEN | OUT):
                    data = sock.recv(65536)
                    if not data:
                        return
                    unpacker.feed(data)
                    for message in unpacker:
                        if message[0] == 2 and self._sock is sock:  # farewell: the next goes elsewhere
                            self._sock = None
                        elif message[0] == 1 and message[1] in waiting:
                            word = str(message[2][0]) if message[2] else SERVED
                            waiting[message[1]].answers.append((self._load.loop.clock.now(), word))
        except OSError:
            pass
        finally:
            if self._sock is sock:
                self._sock = None
            self._load.loop.close(sock)


def broken_rules(asked: list[Asked], wait_ms: float) -> dict[str, int]:
    """How many were lost, answered twice, or late."""
    return {"asked": len(asked), "lost": sum(not a.answers for a in asked),
            "doubled": sum(len(a.answers) > 1 for a in asked),
            "late": sum(bool(a.answers) and a.answers[0][0] > a.at + wait_ms + 110.0 for a in asked)}


def per_second(asked: list[Asked]) -> list[float]:
    """Share served of each second's requests, by when they were asked."""
    begin = min(a.at for a in asked)
    counts: dict[int, list[int]] = {}
    for a in asked:
        row = counts.setdefault(int((a.at - begin) / 1000.0), [0, 0])
        row[0] += 1
        row[1] += any(word == SERVED for _, word in a.answers)
    return [good / all_ for _, (all_, good) in sorted(counts.items()) if all_ >= 5]


def quantile(values: list[float], q: float) -> float:
    """The value below which a share of them lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


