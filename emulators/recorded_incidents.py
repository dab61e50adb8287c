"""Records of a fleet's day with a known story, drawn from a seed. It writes what nodes would have written.

The truth is kept apart, as (kind, start in seconds from the beginning, end, nodes); the engine that tells
stories never sees it. Arrivals are Poisson; every figure has noise of its own.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from snowthread.records.model import Record

BEGIN = 1_800_000_000.0  # seconds
PER_NODE = 40.0  # requests a second
BALANCERS = 4


@dataclass(frozen=True, slots=True)
class Trouble:
    """What goes wrong: ``start`` and ``length`` in seconds, ``size`` as its kind has it."""

    kind: str
    start: float
    length: float
    size: float = 1.0
    nodes: tuple[int, ...] = ()


@dataclass(slots=True)
class Day:
    """What is written, and what was true."""

    records: dict[str, list[Record]] = field(default_factory=dict)
    truth: list[Trouble] = field(default_factory=list)
    offsets: dict[str, tuple[float, float]] = field(default_factory=dict)  # ms and ppm of each node


@dataclass(slots=True)
class _Node:
    name: str
    offset: float
    drift: float
    boot: str = ""
    number: int = 0
    down_until: float = -1.0

    def at(self, s: float) -> float:
        return (BEGIN + s) * 1000.0 + self.offset + self.drift * 1e-6 * s * 1000.0


def play(
    seed: int,
    nodes: int = 4,
    seconds: int = 180,
    troubles: Sequence[Trouble] = (),
    offset_ms: float = 3000.0,
    drift_ppm: float = 200.0,
) -> Day:
    """One day."""
    rng = random.Random(seed)
    day = Day(truth=list(troubles))
    fleet = [
        _Node(f"n{k}", rng.uniform(-offset_ms, offset_ms), rng.uniform(-drift_ppm, drift_ppm))
        for k in range(nodes)
    ]
    balancers = [rng.uniform(-50.0, 50.0) for _ in range(BALANCERS)]
    for node in fleet:
        day.offsets[node.name] = node.offset, node.drift
        day.records[node.name] = []
        _start(day, node, 0.2, rng)
    moves = sorted(
        (t.start + k * t.size, t.kind, n, t)
        for t in troubles
        if t.kind in ("rolling deploy", "crash")
        for k, n in enumerate(t.nodes)
    )
    for s in range(1, seconds + 1):
        while moves and moves[0][0] <= s:
            _, kind, n, t = moves.pop(0)
            node = fleet[n]
            if kind == "crash":
                node.down_until, node.boot = s + t.length, ""
            else:
                _put(day, node, s - 0.5, "drain", {"left_ms": 2000.0})
                _put(day, node, s + 0.4, "end", {"how": "left", "seconds": float(s)})
                node.down_until, node.boot = s + 2.0, ""
        up = []
        for node in fleet:
            if not node.boot and node.down_until <= s:
                _start(day, node, s + 0.1, rng)
            elif node.boot:
                up.append(node)
        for node in up:
            _second(day, node, s, len(up), nodes, troubles, balancers, rng)
    return day


def _start(day: Day, node: _Node, s: float, rng: random.Random) -> None:
    node.boot, node.number = f"{rng.getrandbits(48):012x}", 0
    _put(day, node, s, "start", {"version": "x", "pid": 1, "format": 1, "cores": 4, "classes": []})


def _put(day: Day, node: _Node, s: float, kind: str, fields: dict[str, object]) -> None:
    node.number += 1
    day.records[node.name].append(Record(node.name, node.boot, node.number, node.at(s), kind, fields))


def _on(troubles: Sequence[Trouble], kind: str, s: float) -> float:
    """The size of such a trouble now, 1 without."""
    return max(
        [t.size for t in troubles if t.kind == kind and t.start <= s < t.start + t.length], default=1.0
    )


def _second(
    day: Day,
    node: _Node,
    s: int,
    up: int,
    nodes: int,
    troubles: Sequence[Trouble],
    balancers: Sequence[float],
    rng: random.Random,
) -> None:
    slow, jump = _on(troubles, "slow database", s), _on(troubles, "traffic jump", s)
    mean = PER_NODE * jump * nodes / up
    read = max(0, round(rng.gauss(mean, math.sqrt(mean))))
    room = PER_NODE * 1.25 / (1.0 + 0.15 * (slow - 1.0))
    away = max(0, read - round(room)) + sum(rng.random() < 0.004 for _ in range(read))
    away = min(read, away)
    calls = read // 2
    length = max(1.0, rng.gauss(20.0 * slow, 2.0 * slow / math.sqrt(max(1, calls))))
    bad = round(_on(troubles, "bad clients", s) - 1.0)
    totals: list[object] = [
        ["match", "", {"read": read, "served": read - away, "refused": away, "runs": read - away}]
    ]
    if bad > 0:
        totals.append(["", "", {"read": bad, "failed": bad}])
    off = node.offset + node.drift * 1e-6 * s * 1000.0
    floors = {k: off - c + rng.expovariate(2.0 * PER_NODE / BALANCERS) for k, c in enumerate(balancers)}
    _put(
        day,
        node,
        s,
        "second",
        {
            "ms": 1000.0,
            "totals": totals,
            "calls": {"success": [calls, round(length), round(length * 3), round(length * 5)]},
            "b": away / max(1, read),
            "limit": 8.0,
            "mu": 40.0,
            "lambda": float(read),
            "memory_mb": 24.0,
            "floors": floors,
        },
    )


KINDS = ("slow database", "traffic jump", "rolling deploy", "crash", "bad clients")


def draw(seed: int, nodes: int = 4, seconds: int = 240, most: int = 3) -> list[Trouble]:
    """One to ``most`` troubles of different kinds, which may overlap, away from both ends of the day."""
    rng = random.Random(seed * 7919 + 1)
    out = []
    for kind in rng.sample(KINDS, rng.randint(1, most)):
        start = float(rng.randint(30, seconds - 90))
        if kind == "slow database":
            out.append(Trouble(kind, start, float(rng.randint(8, 25)), rng.uniform(3.0, 8.0)))
        elif kind == "traffic jump":
            out.append(Trouble(kind, start, float(rng.randint(6, 20)), rng.uniform(1.7, 2.6)))
        elif kind == "rolling deploy":
            out.append(Trouble(kind, start, 5.0 * nodes, 5.0, tuple(range(nodes))))
        elif kind == "crash":
            out.append(Trouble(kind, start, float(rng.randint(8, 20)), 1.0, (rng.randrange(nodes),)))
        else:
            out.append(Trouble(kind, start, float(rng.randint(6, 20)), rng.uniform(20.0, 60.0)))
    return sorted(out, key=lambda t: t.start)
