"""Write the records that a fleet would have written on a day with known faults, drawn from a seed.

What truly happened is returned apart, so that what is reconstructed from the records can be compared with it.
Arrivals are Poisson; every figure has noise of its own. A seed always gives the same records.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import NamedTuple

from snowthread.records.files import RECORD_FILE_SUFFIX
from snowthread.records.frame import encode_record
from snowthread.records.model import Record, RecordFields, RecordKind

DAY_BEGIN_S = 1_800_000_000.0  # Unix time at which each day begins
REQUESTS_PER_S = 40.0  # of one node
BALANCERS = 4
BALANCER_OFFSET_MAX_MS = 50.0
CAPACITY_FACTOR = 1.25  # a node's capacity, as a multiple of its usual requests
SLOWDOWN_SHARE = 0.15  # how much of a slowdown of calls shows in the time that a request takes
CALL_MS = 20.0
CALL_DEVIATION_MS = 2.0
REJECTED_BY_CHANCE = 0.004  # share of requests
SHUTDOWN_MS = 2000.0
# Of drawn faults, from the ends of the day.
MARGIN_BEFORE_S = 30
MARGIN_AFTER_S = 90
SEED_FACTOR = 7919  # the draws of faults are other ones than those of the day
MS_PER_S = 1000.0


class FaultKind(StrEnum):
    """What can go wrong; the values are those that the report names."""

    SLOW_DATABASE = "slow database"
    TRAFFIC_JUMP = "traffic jump"
    ROLLING_DEPLOY = "rolling deploy"
    CRASH = "crash"
    BAD_CLIENTS = "bad clients"


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that goes wrong, from ``start_s`` on, for ``duration_s``, both in seconds of the day.

    ``size``: how many times slower (slow database), how many times as many requests (traffic jump), seconds
    between two nodes (rolling deploy), one more than the requests a second (bad clients). ``nodes``: the
    indices of those that are shut down or crash.
    """

    kind: FaultKind
    start_s: float
    duration_s: float
    size: float = 1.0
    nodes: tuple[int, ...] = ()

    def is_active(self, second: float) -> bool:
        """Return whether it goes on at this second of the day."""
        return self.start_s <= second < self.start_s + self.duration_s


class ClockError(NamedTuple):
    """How far a node's clock is off at the beginning of the day, and its drift."""

    offset_ms: float
    drift_ppm: float

    def at(self, second: float) -> float:
        """Return how far the clock is off at this second of the day, in ms."""
        return self.offset_ms + self.drift_ppm * 1e-6 * second * 1000.0


@dataclass(slots=True)
class RecordedDay:
    """The records of each node, and what truly happened."""

    records: dict[str, list[Record]] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    clocks: dict[str, ClockError] = field(default_factory=dict)

    def write(self, folder: Path) -> None:
        """Write one file for each node."""
        for node, records in self.records.items():
            path = folder / f"{node}-1-00-000001{RECORD_FILE_SUFFIX}"
            path.write_bytes(b"".join(encode_record(record) for record in records))


class _NodeDown(NamedTuple):
    """A node that is shut down or crashes at a second of the day; they sort by time."""

    second: float
    kind: FaultKind
    node: int
    crash_duration_s: float


class _Node:
    """One node that writes records."""

    def __init__(self, name: str, clock: ClockError) -> None:
        self.name = name
        self.clock = clock
        self.records: list[Record] = []
        self.boot = ""  # while it is down
        self.down_until_s = -1.0
        self._last_number = 0

    def start(self, second: float, rng: random.Random) -> None:
        """Begin a new boot."""
        self.boot = f"{rng.getrandbits(48):012x}"
        self._last_number = 0
        fields = {"version": "x", "pid": 1, "format": 1, "cores": 4, "classes": []}
        self.record(second, RecordKind.START, fields)

    def crash(self, second: int, duration_s: float) -> None:
        """End without a record."""
        self.boot = ""
        self.down_until_s = second + duration_s

    def shut_down(self, second: int) -> None:
        """End after a notice; a new boot begins soon."""
        self.record(second - 0.5, RecordKind.DRAIN, {"left_ms": SHUTDOWN_MS})
        self.record(second + 0.4, RecordKind.END, {"how": "left", "seconds": float(second)})
        self.boot = ""
        self.down_until_s = second + SHUTDOWN_MS / MS_PER_S

    def record(self, second: float, kind: RecordKind, fields: RecordFields) -> None:
        """Write a record with the time of the node's clock."""
        self._last_number += 1
        at = (
            (DAY_BEGIN_S + second) * 1000.0
            + self.clock.offset_ms
            + self.clock.drift_ppm * 1e-6 * second * 1000.0
        )
        self.records.append(Record(self.name, self.boot, self._last_number, at, kind, fields))


def generate_day(
    seed: int,
    nodes: int = 4,
    seconds: int = 180,
    faults: Sequence[Fault] = (),
    offset_ms: float = 3000.0,
    drift_ppm: float = 200.0,
) -> RecordedDay:
    """Return the records of one day; clocks are off by up to ``offset_ms`` and ``drift_ppm``."""
    rng = random.Random(seed)
    fleet = _Fleet(rng, nodes, faults, offset_ms, drift_ppm)
    for second in range(1, seconds + 1):
        fleet.play(second)
    return RecordedDay(
        records={node.name: node.records for node in fleet.nodes},
        faults=list(faults),
        clocks={node.name: node.clock for node in fleet.nodes},
    )


class _Fleet:
    """All nodes of a day."""

    def __init__(
        self,
        rng: random.Random,
        nodes: int,
        faults: Sequence[Fault],
        offset_ms: float,
        drift_ppm: float,
    ) -> None:
        self._rng = rng
        self._faults = faults
        self.nodes = [
            _Node(
                f"n{index}",
                ClockError(rng.uniform(-offset_ms, offset_ms), rng.uniform(-drift_ppm, drift_ppm)),
            )
            for index in range(nodes)
        ]
        self._balancer_offsets_ms = [
            rng.uniform(-BALANCER_OFFSET_MAX_MS, BALANCER_OFFSET_MAX_MS) for _ in range(BALANCERS)
        ]
        for node in self.nodes:
            node.start(0.2, rng)
        self._down = sorted(
            _NodeDown(fault.start_s + step * fault.size, fault.kind, node, fault.duration_s)
            for fault in faults
            if fault.kind in (FaultKind.ROLLING_DEPLOY, FaultKind.CRASH)
            for step, node in enumerate(fault.nodes)
        )

    def play(self, second: int) -> None:
        """Write the records of one second."""
        self._take_nodes_down(second)
        serving = []
        for node in self.nodes:
            if node.boot:
                serving.append(node)
            elif node.down_until_s <= second:
                node.start(second + 0.1, self._rng)
        for node in serving:
            node.record(second, RecordKind.SECOND, self._second_fields(node, second, len(serving)))

    def _take_nodes_down(self, second: int) -> None:
        while self._down and self._down[0].second <= second:
            event = self._down.pop(0)
            node = self.nodes[event.node]
            if event.kind == FaultKind.CRASH:
                node.crash(second, event.crash_duration_s)
            else:
                node.shut_down(second)

    def _size(self, kind: FaultKind, second: int) -> float:
        """Return the size of the largest such fault at this second, 1 without."""
        sizes = [fault.size for fault in self._faults if fault.kind == kind and fault.is_active(second)]
        return max(sizes, default=1.0)

    def _second_fields(self, node: _Node, second: int, serving: int) -> RecordFields:
        rng = self._rng
        slowdown = self._size(FaultKind.SLOW_DATABASE, second)
        mean = REQUESTS_PER_S * self._size(FaultKind.TRAFFIC_JUMP, second) * len(self.nodes) / serving
        read = max(0, round(rng.gauss(mean, math.sqrt(mean))))
        capacity = REQUESTS_PER_S * CAPACITY_FACTOR / (1.0 + SLOWDOWN_SHARE * (slowdown - 1.0))
        by_chance = sum(rng.random() < REJECTED_BY_CHANCE for _ in range(read))
        rejected = min(read, max(0, read - round(capacity)) + by_chance)
        calls = read // 2
        deviation = CALL_DEVIATION_MS * slowdown / math.sqrt(max(1, calls))
        call_ms = max(1.0, rng.gauss(CALL_MS * slowdown, deviation))
        return {
            "ms": 1000.0,
            "totals": self._totals(second, read, rejected),
            "calls": {"success": [calls, round(call_ms), round(call_ms * 3), round(call_ms * 5)]},
            "b": rejected / max(1, read),
            "limit": 8.0,
            "mu": 40.0,
            "lambda": float(read),
            "memory_mb": 24.0,
            "floors": self._least_ages(node, second),
        }

    def _totals(self, second: int, read: int, rejected: int) -> list[list[object]]:
        served = read - rejected
        rows: list[list[object]] = [
            ["match", "", {"read": read, "served": served, "refused": rejected, "runs": served}]
        ]
        unknown = round(self._size(FaultKind.BAD_CLIENTS, second) - 1.0)
        if unknown > 0:
            rows.append(["", "", {"read": unknown, "failed": unknown}])
        return rows

    def _least_ages(self, node: _Node, second: int) -> dict[int, float]:
        """Return the least age that the requests of each balancer seem to have, in ms."""
        off_ms = node.clock.at(second)
        rate = 2.0 * REQUESTS_PER_S / BALANCERS
        return {
            balancer: off_ms - balancer_offset_ms + self._rng.expovariate(rate)
            for balancer, balancer_offset_ms in enumerate(self._balancer_offsets_ms)
        }


def draw_faults(seed: int, nodes: int = 4, seconds: int = 240, max_faults: int = 3) -> list[Fault]:
    """Return up to ``max_faults`` faults of different kinds, away from both ends; they may overlap."""
    rng = random.Random(seed * SEED_FACTOR + 1)
    faults = []
    for kind in rng.sample(tuple(FaultKind), rng.randint(1, max_faults)):
        start_s = float(rng.randint(MARGIN_BEFORE_S, seconds - MARGIN_AFTER_S))
        faults.append(_draw_fault(kind, start_s, nodes, rng))
    return sorted(faults, key=lambda fault: fault.start_s)


def _draw_fault(kind: FaultKind, start_s: float, nodes: int, rng: random.Random) -> Fault:
    match kind:
        case FaultKind.SLOW_DATABASE:
            return Fault(kind, start_s, float(rng.randint(8, 25)), rng.uniform(3.0, 8.0))
        case FaultKind.TRAFFIC_JUMP:
            return Fault(kind, start_s, float(rng.randint(6, 20)), rng.uniform(1.7, 2.6))
        case FaultKind.ROLLING_DEPLOY:
            return Fault(kind, start_s, 5.0 * nodes, 5.0, tuple(range(nodes)))
        case FaultKind.CRASH:
            return Fault(kind, start_s, float(rng.randint(8, 20)), 1.0, (rng.randrange(nodes),))
        case FaultKind.BAD_CLIENTS:
            return Fault(kind, start_s, float(rng.randint(6, 20)), rng.uniform(20.0, 60.0))
