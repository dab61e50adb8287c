"""A fleet's outside as one process of the lab: a machine a node, one shared formula database, one roster.

``python -m emulators.fleet_services PLAN_JSON`` where the file holds ``runtimes`` (addresses), ``database``,
``roster``, ``cores``, ``run_ms`` (by class), ``call_ms``, ``slots``, ``seed`` and ``warmth``. It prints
``fleet: ready`` and then takes lines on standard input:

    slow F          the database takes F times as long from now on (1 heals it)
    cold N          the machine with this number is switched off and on
    generation G    the roster's generation of the fleet from now on
    report          prints one JSON line: keyed runs a machine, the database's load, machines fallen over
    (end)           standard input closed: the process ends

The database works on ``slots`` calls at a time. What comes beyond waits in line, and each call takes longer
by half for every ``slots`` that wait: a crowd gets less done in all. A call whose caller went away is done
all the same, as the index of the site goes on with what was given up.
"""

from __future__ import annotations

import json
import random
import socket
import sys
from collections import Counter, deque
from functools import partial
from pathlib import Path
from typing import Any

from emulators.machine import Machine, WarmupModel
from emulators.site import SiteScript, accept, listen
from emulators.stdin_commands import listen_to
from snowthread.address import Address
from snowthread.net.clock import Clock
from snowthread.net.loop import READABLE, EventLoop, TaskSteps, Wait

WAITING_MAX = 10_000  # calls that wait for the database at the most; more are answered 503 at once
THRASH, THRASH_MOST = 0.5, 4.0  # longer by so much for each ``slots`` that wait; times as long at the most
LAPSES_MS = 3000.0  # after the last report


class Database:
    """The shared formula database: HTTP/1.1 on loopback, a call a request, slower under a crowd."""

    def __init__(self, loop: EventLoop, address: Address, call_ms: float, slots: int) -> None:
        self.loop, self.call_ms, self.slots, self.factor = loop, call_ms, slots, 1.0
        self.by_second: Counter[int] = Counter()  # calls that came
        self.done_by_second: Counter[int] = Counter()
        self.held_most: Counter[int] = Counter()  # by second: calls held at the most
        self.busy = self.refused = 0
        self.waiting: deque[socket.socket] = deque()
        loop.spawn(accept(loop, listen(address), self._serve))

    def _serve(self, peer: socket.socket) -> TaskSteps:
        try:
            while True:
                yield Wait(peer.fileno(), READABLE)
                data = peer.recv(65536)
                if not data:
                    return
                second = int(self.loop.clock.now() // 1000)
                self.by_second[second] += 1
                if len(self.waiting) >= WAITING_MAX:
                    self.refused += 1
                    peer.send(b"HTTP/1.1 503 Busy\r\nX-Shed: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.waiting.append(peer)
                self._next()
                self.held_most[second] = max(self.held_most[second], self.busy + len(self.waiting))
        except OSError:
            pass
        finally:
            self.loop.close(peer)

    def _next(self) -> None:
        while self.waiting and self.busy < self.slots:
            peer = self.waiting.popleft()
            self.busy += 1
            crowd = min(THRASH_MOST, 1.0 + THRASH * len(self.waiting) / self.slots)
            self.loop.call_at(
                self.loop.clock.now() + self.call_ms * self.factor * crowd, partial(self._done, peer)
            )

    def _done(self, peer: socket.socket) -> None:
        self.busy -= 1
        self.done_by_second[int(self.loop.clock.now() // 1000)] += 1
        if peer.fileno() >= 0:
            try:
                peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nknown")
            except OSError:
                pass
        self._next()


class FleetRegistry:
    """Who is there. ``HERE name on|off`` is a report; with two words more, an incarnation and
    ``cold|warm``, it is answered ``FLEET generation listed cold highest-incarnation``. ``LIST`` is
    answered with the names on."""

    def __init__(self, loop: EventLoop, address: Address) -> None:
        self.loop, self.generation = loop, 1
        self.nodes: dict[str, tuple[float, bool, bool]] = {}  # when, listed, cold
        self.lives: dict[str, int] = {}
        self.old_lives = 0
        self._sock = address.open(socket.SOCK_DGRAM)
        self._sock.bind(address)
        loop.spawn(self._steps())

    def listed(self) -> dict[str, bool]:
        """The names that are on, and whether each is cold."""
        now = self.loop.clock.now()
        return {name: cold for name, (at, on, cold) in self.nodes.items() if on and now - at < LAPSES_MS}

    def _steps(self) -> TaskSteps:
        while True:
            yield Wait(self._sock.fileno(), READABLE)
            data, sender = self._sock.recvfrom(1024)
            words = data.decode(errors="replace").split()
            reply = ""
            if words == ["LIST"]:
                reply = "NAMES " + " ".join(sorted(self.listed()))
            elif len(words) >= 3 and words[0] == "HERE":
                reply = self._here(words)
            if reply:
                try:
                    self._sock.sendto(reply.encode(), sender)
                except OSError:
                    pass  # who asked is gone

    def _here(self, words: list[str]) -> str:
        name, now = words[1], self.loop.clock.now()
        if len(words) < 5:
            self.nodes[name] = (now, words[2] == "on", False)
            return ""
        life, seen = int(words[3]), self.lives.get(words[1], 0)
        if life < seen:
            self.old_lives += 1
        else:
            self.lives[name] = life
            self.nodes[name] = (now, words[2] == "on", words[4] == "cold")
        listed = self.listed()
        return f"FLEET {self.generation} {len(listed)} {sum(listed.values())} {max(life, seen)}"


def keyed_runs(machines: list[Machine]) -> dict[str, int]:
    """Keyed runs begun, by machine and key (the lab's keyed bodies are ``key:`` and the key): the ledger."""
    return {
        f"{number}/{body[4:].decode(errors='replace')}": count
        for number, machine in enumerate(machines)
        for body, count in machine.runs.items()
        if body.startswith(b"key:")
    }


def main(path: str) -> None:
    plan: dict[str, Any] = json.loads(Path(path).read_text())
    loop, draw = EventLoop(Clock()), random.Random(plan["seed"])
    script = SiteScript(run_ms=plan["run_ms"], cores=int(plan["cores"]), calls=frozenset(plan["calls"]))
    machines = [
        Machine(
            loop,
            Address.parse(where),
            script,
            WarmupModel(**plan["warmth"]),
            random.Random(draw.getrandbits(32)),
        )
        for where in plan["runtimes"]
    ]
    database = Database(loop, Address.parse(plan["database"]), float(plan["call_ms"]), int(plan["slots"]))
    roster = FleetRegistry(loop, Address.parse(plan["roster"]))
    warmth: dict[int, float] = {}  # of the machines in the mean, by second

    def sample() -> None:
        now = loop.clock.now()
        loop.call_at(now + 1000.0, sample)
        warmth[int(now // 1000)] = round(sum(m.known for m in machines) / len(machines), 3)

    sample()
    print("fleet: ready", flush=True)

    def told(word: str, rest: str) -> None:
        if word == "slow":
            database.factor = max(0.01, float(rest))
        elif word == "cold":
            machines[int(rest)].restart()
        elif word == "generation":
            roster.generation = int(rest)
        elif word == "report":
            print(
                json.dumps(
                    {
                        "keyed": keyed_runs(machines),
                        "calls": dict(database.by_second),
                        "done": dict(database.done_by_second),
                        "held": dict(database.held_most),
                        "database_refused": database.refused,
                        "falls": [m.falls for m in machines],
                        "known": [round(m.known, 3) for m in machines],
                        "warmth": warmth,
                        "old_lives": roster.old_lives,
                    }
                ),
                flush=True,
            )

    listen_to(loop, told)
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1])
