"""The balancers of a fleet lab as one process: seeded traffic in the brief's classes, with the brief's
habits.

``python -m emulators.balancers PLAN_JSON`` where the file holds ``nodes`` (name to address), ``roster``,
``seed``, ``per_s``, ``seconds``, ``keyed`` (share), ``repeats`` (share of keyed requests tried again) and
``classes``. It prints ``balancers: ready``, begins at a line ``go`` and takes ``down NAME`` (killed, stopped
or cut off: what was open there is no answer lost), ``report`` (one JSON line) and the end of its input.

Habits: nodes are those the roster lists, asked every 300 ms; weights told by ``say`` and ``after`` are
heeded; a refusal that does not say ``last`` has the request walk on to another node; a safe try that broke
off goes to another node; a keyed one that broke off goes to **the same node** again, since elsewhere it might
run twice. Repeats of keyed requests go to the node that took the first try.
"""

from __future__ import annotations

import json
import random
import socket
import sys
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from emulators.load_generator import BROKEN_OFF, REFUSED, SERVED, Asked, Load
from emulators.machine import WITHOUT
from emulators.stdin_commands import listen_to
from snowthread.address import Address
from snowthread.net.clock import Clock
from snowthread.net.loop import READABLE, EventLoop, TaskSteps, Wait

SOURCES = 3  # balancers: each an address of its own
LIST_MS, AGAIN_MS = 300.0, 250.0
TRIES_MAX = 4  # of a request, repeats not counted
SLACK_MS = 110.0  # the rules' 60 and 50
AROUND_MS = 400.0  # a death is heard of by way of the lab, which may be held up; a stop lasts too


@dataclass(slots=True, eq=False)
class Request:
    """A client's request: its tries, and what came of it."""

    kind: dict[str, Any]
    key: str
    born: float
    source: str
    tries: int = 0
    node: str = ""  # where a keyed try may have run: no other may be asked
    foreign: bool = False  # of another site's client
    worth: float = 0.0
    end: str = ""  # served, late, refused, failed
    asked_at: list[str] = field(default_factory=list)


class Balancers:
    """Plays the traffic and keeps the accounts."""

    def __init__(self, loop: EventLoop, plan: dict[str, Any]) -> None:
        self.loop, self.plan = loop, plan
        self.draw = random.Random(plan["seed"])
        host = plan["sources"]
        self.sources = [f"{host}.{n + 2}" for n in range(SOURCES)]
        self.loads = {
            name: self._load(name, where, plan["own_number"]) for name, where in plan["nodes"].items()
        }
        self.others = {
            name: self._load(name, where, plan["others_number"]) for name, where in plan["nodes"].items()
        }
        self.listed = sorted(self.loads)
        self.weight: dict[str, float] = {}
        self.off_until: dict[tuple[str, str], float] = {}
        self.tries: dict[Asked, tuple[Request, str, float]] = {}
        self.requests: list[Request] = []
        self.downs: dict[str, list[float]] = {name: [] for name in self.loads}
        self.broken: list[tuple[str, float, float]] = []  # of tries: node, when asked, when broken off
        self.count: Counter[str] = Counter()
        self.begin = 0.0
        self._sock = Address("127.0.0.1", 0).open(socket.SOCK_DGRAM)
        loop.spawn(self._lists(Address.parse(plan["roster"])))

    def _load(self, name: str, where: str, number: int) -> Load:
        load = Load(where, self.sources, loop=self.loop, caller=number)
        load.keyed_bodies = True
        load.heard = partial(self.heard, name)
        return load

    def _lists(self, roster: Address) -> TaskSteps:
        while True:
            try:
                self._sock.sendto(b"LIST", roster)
                yield Wait(self._sock.fileno(), READABLE, self.loop.clock.now() + LIST_MS)
                names = self._sock.recv(65536).decode().split()[1:]
                if names:  # with an empty list there is nobody better to ask than those known
                    self.listed = [name for name in names if name in self.loads]
            except OSError:
                pass
            yield Wait(until=self.loop.clock.now() + LIST_MS)

    # The traffic.

    def go(self) -> None:
        self.begin = at = self.loop.clock.now()
        draw, kinds = self.draw, self.plan["classes"]
        safe = [kind for kind in kinds if not kind["keyed"]]
        keyed = next(kind for kind in kinds if kind["keyed"])
        while at < self.begin + self.plan["seconds"] * 1000.0:
            at += draw.expovariate(self.plan["per_s"]) * 1000.0
            kind = (
                keyed
                if draw.random() < self.plan["keyed"]
                else draw.choices(safe, [kind["share"] for kind in safe])[0]
            )
            foreign = draw.random() < self.plan["foreign"]
            key = f"{'f' if foreign else '0'}{draw.getrandbits(64):016x}" if kind["keyed"] else ""
            repeated = bool(key) and draw.random() < self.plan["repeats"]
            again = draw.uniform(*self.plan["again_ms"]) if repeated else 0.0
            self.loop.call_at(at, partial(self._born, kind, key, draw.choice(self.sources), again, foreign))

    def _born(self, kind: dict[str, Any], key: str, source: str, again: float, foreign: bool) -> None:
        request = Request(kind, key, self.loop.clock.now(), source, foreign=foreign)
        self.requests.append(request)
        self.attempt(request)
        if again:
            self.loop.call_at(request.born + again, partial(self.repeat, request))

    def _choose(self, request: Request) -> str | None:
        now = self.loop.clock.now()
        names = [name for name in self.listed if name not in request.asked_at]
        names = [name for name in names if self.off_until.get((request.source, name), 0.0) <= now] or names
        if not names:
            return None
        weights = [max(0.02, self.weight.get(name, 1.0)) for name in names]
        return str(self.draw.choices(names, weights)[0])

    def attempt(self, request: Request) -> None:
        """Try a node, and where it takes no connection the next; that proves that nothing ran."""
        left = request.born + request.kind["deadline_ms"] - self.loop.clock.now()
        while not request.end:
            name = request.node or self._choose(request)
            if name is None or request.tries >= TRIES_MAX or left < 5.0:
                self.ended(request, "refused" if not request.node else "failed")
                return
            request.tries += 1
            if self._ask(request, name, left):
                return
            if request.node:
                self.loop.call_at(self.loop.clock.now() + AGAIN_MS, partial(self.attempt, request))
                return
            request.asked_at.append(name)

    def _ask(self, request: Request, name: str, left: float) -> bool:
        load = (self.others if request.foreign else self.loads)[name]
        try:
            asked = load.ask(request.source, request.kind["name"], request.key, left)
        except OSError:
            load.asked.pop()
            return False
        load.asked.clear()  # the accounts are here
        if request.key:
            request.node = name
        self.tries[asked] = (request, name, asked.at + left)
        self.count["tries"] += 1
        return True

    def repeat(self, request: Request) -> None:
        """The client asks once more with the key, at the node that may have run it."""
        if request.node and self._ask(request, request.node, request.kind["deadline_ms"]):
            self.count["repeats"] += 1

    # What comes back.

    def heard(self, name: str, asked: Asked, word: str, message: Any) -> None:
        now = self.loop.clock.now()
        found = self.tries.get(asked)
        if found is None:
            return
        request, _, due = found
        if len(asked.answers) > 1:
            self.count["answered twice"] += 1
            return
        if word == BROKEN_OFF:
            self.broken.append((name, asked.at, now))
            del self.tries[asked]
            if not request.key:
                request.asked_at.append(name)
            if not request.end:
                self.loop.call_at(now + (AGAIN_MS if request.key else 0.0), partial(self.attempt, request))
            return
        del self.tries[asked]
        self.count[word] += 1
        self.count["late"] += now > due + SLACK_MS and not self._excused(name, asked.at, now)
        fields = message[2][1] if message[2] else message[3][1]
        if "say" in fields:
            self.weight[name] = float(fields["say"])
        if word == SERVED:
            body = message[3][0]
            self.count["spoilt"] += not body.startswith(
                b"key:" + request.key.encode() if request.key else b"a warm grey"
            )
            age = now - request.born
            skipped = body.endswith(WITHOUT)
            worth = request.kind["skip_worth"] if skipped else 1.0
            if age > request.kind["goal_ms"]:
                worth *= request.kind["late_value"]
            if age <= request.kind["deadline_ms"]:
                request.worth = max(request.worth, worth * request.kind["worth"])
            self.ended(request, "served")
        elif word == REFUSED:
            self.off_until[request.source, name] = now + float(fields.get("after", 0.0))
            request.asked_at.append(name)
            if request.node == name and request.tries <= 1:
                request.node = ""  # it never ran there
            if request.end:
                return
            if fields.get("last") == "1" or request.node:
                self.ended(request, "refused")
            else:
                self.attempt(request)
        else:
            self.ended(request, "failed")

    def _excused(self, name: str, begin: float, end: float) -> bool:
        """Was the node killed or stopped, or its link down, while the try was open?"""
        return any(begin - AROUND_MS <= down <= end + AROUND_MS for down in self.downs[name])

    def ended(self, request: Request, how: str) -> None:
        if not request.end:
            request.end = how

    # The accounts.

    def report(self) -> dict[str, Any]:
        """By second of the requests' birth; a try without an answer is lost unless its node was killed."""
        seconds = int(self.plan["seconds"])
        table = {
            word: [0.0] * seconds for word in ("asked", "worth_asked", "worth", "served", "refused", "failed")
        }
        classes = {kind["name"]: [[0.0, 0.0] for _ in range(seconds)] for kind in self.plan["classes"]}
        for request in self.requests:
            second = int((request.born - self.begin) // 1000.0)
            if second >= seconds:
                continue
            table["asked"][second] += 1
            table["worth_asked"][second] += request.kind["worth"]
            table["worth"][second] += request.worth
            if request.end:
                table[request.end][second] += 1
            classes[request.kind["name"]][second][0] += request.kind["worth"]
            classes[request.kind["name"]][second][1] += request.worth
        homes: dict[str, Counter[str]] = {"own": Counter(), "foreign": Counter()}
        for request in self.requests:
            count = homes["foreign" if request.foreign else "own"]
            count[f"{request.kind['name']} asked"] += 1
            count[f"{request.kind['name']} {request.end}"] += 1
        now = self.loop.clock.now()
        open_ = [
            (name, asked.at, due) for asked, (_, name, due) in self.tries.items() if now > due + SLACK_MS
        ]
        unanswered = [*self.broken, *open_]
        gone = sum(self._excused(*entry) for entry in unanswered)
        return {
            "by_second": table,
            "classes": classes,
            "tries": dict(self.count),
            "begin": self.begin,
            "homes": homes,
            "gone_with_node": gone,
            "lost": len(unanswered) - gone,
        }


def main(path: str) -> None:
    loop = EventLoop(Clock())
    balancers = Balancers(loop, json.loads(Path(path).read_text()))
    print("balancers: ready", flush=True)

    def told(word: str, rest: str) -> None:
        if word == "go":
            balancers.go()
        elif word == "down":
            balancers.downs[rest].append(loop.clock.now())
        elif word == "report":
            print(json.dumps(balancers.report()), flush=True)

    listen_to(loop, told)
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1])
