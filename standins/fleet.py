"""A fleet's outside as one process of the lab: a runtime a node, one shared formula database, one roster.

``python -m standins.fleet PLAN_JSON`` where the file holds ``runtimes`` (addresses), ``database``,
``roster``, ``cores``, ``run_ms``, ``call_ms`` and ``database_per_s`` (calls a second it bears). It prints
``fleet: ready`` and then takes lines on standard input:

    slow F      the database takes F times as long from now on (1 heals it)
    report      prints one JSON line: keyed runs by key over all runtimes, calls a second, the calls in hand
    (end)       standard input closed: the process ends

The database serves ``workers`` calls at a time, each ``call_ms * F``; what comes beyond waits its turn, so a
stampede shows as latency and as load over capacity, counted a second.
"""

from __future__ import annotations

import json
import os
import socket
import sys
from collections import Counter, deque
from functools import partial
from pathlib import Path
from typing import Any

from snowthread.address import Address
from snowthread.net.clock import Clock
from snowthread.net.loop import IN, Loop, Steps, Wait
from standins.site import Roster, Runtime, Script, accept, listen

WORKERS = 8
WAITING_MAX = 10_000  # calls that wait for the database at the most; more are answered 503 at once


class Database:
    """The shared formula database: HTTP/1.1 on loopback, a call a request, slow under a crowd."""

    def __init__(self, loop: Loop, address: Address, call_ms: float) -> None:
        self.loop, self.call_ms, self.factor = loop, call_ms, 1.0
        self.by_second: Counter[int] = Counter()
        self.busy = 0
        self.waiting: deque[socket.socket] = deque()
        self.refused = 0
        loop.spawn(accept(loop, listen(address), self._serve))

    def _serve(self, peer: socket.socket) -> Steps:
        try:
            while True:
                yield Wait(peer.fileno(), IN)
                data = peer.recv(65536)
                if not data:
                    return
                self.by_second[int(self.loop.clock.now() // 1000)] += 1
                if len(self.waiting) >= WAITING_MAX:
                    self.refused += 1
                    peer.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.waiting.append(peer)
                self._next()
        except OSError:
            pass
        finally:
            self.loop.close(peer)

    def _next(self) -> None:
        while self.waiting and self.busy < WORKERS:
            peer = self.waiting.popleft()
            self.busy += 1
            self.loop.call_at(self.loop.clock.now() + self.call_ms * self.factor, partial(self._done, peer))

    def _done(self, peer: socket.socket) -> None:
        self.busy -= 1
        if peer.fileno() >= 0:
            try:
                peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nknown")
            except OSError:
                pass
        self._next()


def keyed_runs(runtimes: list[Runtime]) -> dict[str, int]:
    """Runs begun, by key, over all runtimes: the lab's keyed bodies are ``key:`` and the key."""
    total: Counter[str] = Counter()
    for runtime in runtimes:
        for body, count in runtime.runs.items():
            if body.startswith(b"key:"):
                total[body[4:].decode(errors="replace")] += count
    return dict(total)


def main(path: str) -> None:
    plan: dict[str, Any] = json.loads(Path(path).read_text())
    loop = Loop(Clock())
    script = Script(other_ms=float(plan["run_ms"]), cores=int(plan["cores"]))
    runtimes = [Runtime(loop, Address.parse(where), script) for where in plan["runtimes"]]
    database = Database(loop, Address.parse(plan["database"]), float(plan["call_ms"]))
    Roster(loop, Address.parse(plan["roster"]), script)
    print("fleet: ready", flush=True)

    def told() -> Steps:
        while True:
            yield Wait(sys.stdin.fileno(), IN)
            line = sys.stdin.readline()
            if not line:
                os._exit(0)  # nothing to put away: the lab that started it has ended the play
            word, _, rest = line.strip().partition(" ")
            if word == "slow":
                database.factor = max(0.01, float(rest))
            elif word == "report":
                print(json.dumps({"keyed": keyed_runs(runtimes), "database_by_s": dict(database.by_second),
                                  "database_waiting": len(database.waiting),
                                  "database_refused": database.refused}), flush=True)

    loop.spawn(told())
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1])
