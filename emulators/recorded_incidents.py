"""Generate the records that a fleet writes on a day with known faults, from a random seed.

The faults and the errors of the nodes' clocks are returned with the records, so that a reconstruction from
the records can be compared with them. Requests arrive as a Poisson process, and each recorded value has its
own random noise. The same seed always produces the same records.
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

DAY_BEGIN_S = 1_800_000_000.0  # Unix time in s at which each generated day begins.
REQUESTS_PER_S = 40.0  # Requests per second to each node while all nodes serve and there is no fault.
BALANCERS = 4
BALANCER_OFFSET_MAX_MS = 50.0
CAPACITY_FACTOR = 1.25  # Ratio of a node's capacity to its usual request rate.
SLOWDOWN_SHARE = 0.15  # Share of a slowdown of database calls that adds to the time of a request.
CALL_MS = 20.0
CALL_DEVIATION_MS = 2.0
RANDOM_REJECTION_SHARE = 0.004  # Share of the requests that are rejected without a fault.
SHUTDOWN_MS = 2000.0
# Minimum time from the beginning of the day to the start of a random fault, and from there to the day's end.
MARGIN_BEFORE_S = 30
MARGIN_AFTER_S = 90
SEED_FACTOR = 7919  # Derives the seed for random faults, so that they are independent of the day's own noise.
MS_PER_S = 1000.0


class FaultKind(StrEnum):
    """A kind of fault; its value is the name of the matching episode in an incident report."""

    SLOW_DATABASE = "slow database"
    TRAFFIC_JUMP = "traffic jump"
    ROLLING_DEPLOY = "rolling deploy"
    CRASH = "crash"
    BAD_CLIENTS = "bad clients"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a day.

    Attributes:
        kind: What goes wrong.
        start_s: Start in seconds since the beginning of the day.
        duration_s: Duration in seconds.
        magnitude: Factor by which database calls are slower (slow database), factor of the request rate
            (traffic jump), seconds between the shutdowns of two nodes (rolling deploy), or the invalid
            requests per second plus 1 (bad clients).
        nodes: Indices of the nodes that shut down or crash.
    """

    kind: FaultKind
    start_s: float
    duration_s: float
    magnitude: float = 1.0
    nodes: tuple[int, ...] = ()

    def is_active(self, second: float) -> bool:
        """Return whether the fault is present at this second of the day."""
        return self.start_s <= second < self.start_s + self.duration_s


class ClockError(NamedTuple):
    """The offset of a node's clock from true time at the beginning of the day, and its drift."""

    offset_ms: float
    drift_ppm: float

    def at(self, second: float) -> float:
        """Return the clock's offset from true time in ms at this second of the day."""
        return self.offset_ms + self.drift_ppm * 1e-6 * second * 1000.0


@dataclass(slots=True)
class RecordedDay:
    """The records of each node, with the faults that occurred and the errors of the nodes' clocks."""

    records: dict[str, list[Record]] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    clocks: dict[str, ClockError] = field(default_factory=dict)

    def write(self, folder: Path) -> None:
        """Write the records to the folder, in one record file per node."""
        for node, records in self.records.items():
            path = folder / f"{node}-1-00-000001{RECORD_FILE_SUFFIX}"
            path.write_bytes(b"".join(encode_record(record) for record in records))


class _NodeDown(NamedTuple):
    """The shutdown or crash of a node at a second of the day; the first field makes tuples sort by time."""

    second: float
    kind: FaultKind
    node: int
    crash_duration_s: float


class _Node:
    """A node of the fleet, with its clock and the records that it has written."""

    def __init__(self, name: str, clock: ClockError) -> None:
        self.name = name
        self.clock = clock
        self.records: list[Record] = []
        self.boot = ""  # Random id of the current boot; empty while the node is down.
        self.down_until_s = -1.0
        self._last_number = 0

    def start(self, second: float, generator: random.Random) -> None:
        """Start the node with a new boot id and write its start record."""
        self.boot = f"{generator.getrandbits(48):012x}"
        self._last_number = 0
        fields = {"version": "x", "pid": 1, "format": 1, "cores": 4, "classes": []}
        self.record(second, RecordKind.START, fields)

    def crash(self, second: int, duration_s: float) -> None:
        """Stop the node for ``duration_s`` seconds without writing a record."""
        self.boot = ""
        self.down_until_s = second + duration_s

    def shut_down(self, second: int) -> None:
        """Write the records of a graceful shutdown and stop the node for ``SHUTDOWN_MS``."""
        self.record(second - 0.5, RecordKind.DRAIN, {"left_ms": SHUTDOWN_MS})
        self.record(second + 0.4, RecordKind.END, {"how": "left", "seconds": float(second)})
        self.boot = ""
        self.down_until_s = second + SHUTDOWN_MS / MS_PER_S

    def record(self, second: float, kind: RecordKind, fields: RecordFields) -> None:
        """Add a record with the time of the node's own clock, and the next record number of its boot."""
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
    """Return the records of one day.

    Args:
        seed: Seed of all random values.
        nodes: Number of nodes.
        seconds: Length of the day.
        faults: Faults that occur.
        offset_ms: Maximum offset of a node's clock from true time at the beginning of the day.
        drift_ppm: Maximum drift of a node's clock.
    """
    generator = random.Random(seed)
    fleet = _Fleet(generator, nodes, faults, offset_ms, drift_ppm)
    for second in range(1, seconds + 1):
        fleet.write_second(second)
    return RecordedDay(
        records={node.name: node.records for node in fleet.nodes},
        faults=list(faults),
        clocks={node.name: node.clock for node in fleet.nodes},
    )


class _Fleet:
    """Writes the records of all nodes, second by second."""

    def __init__(
        self,
        generator: random.Random,
        nodes: int,
        faults: Sequence[Fault],
        offset_ms: float,
        drift_ppm: float,
    ) -> None:
        self._generator = generator
        self._faults = faults
        self.nodes = [
            _Node(
                f"n{index}",
                ClockError(
                    generator.uniform(-offset_ms, offset_ms), generator.uniform(-drift_ppm, drift_ppm)
                ),
            )
            for index in range(nodes)
        ]
        self._balancer_offsets_ms = [
            generator.uniform(-BALANCER_OFFSET_MAX_MS, BALANCER_OFFSET_MAX_MS) for _ in range(BALANCERS)
        ]
        for node in self.nodes:
            node.start(0.2, generator)
        self._pending_stops = sorted(
            _NodeDown(fault.start_s + step * fault.magnitude, fault.kind, node, fault.duration_s)
            for fault in faults
            if fault.kind in (FaultKind.ROLLING_DEPLOY, FaultKind.CRASH)
            for step, node in enumerate(fault.nodes)
        )

    def write_second(self, second: int) -> None:
        """Write the records of one second of the day."""
        self._stop_nodes(second)
        serving = []
        for node in self.nodes:
            if node.boot:
                serving.append(node)
            elif node.down_until_s <= second:
                node.start(second + 0.1, self._generator)
        for node in serving:
            node.record(second, RecordKind.SECOND, self._second_fields(node, second, len(serving)))

    def _stop_nodes(self, second: int) -> None:
        while self._pending_stops and self._pending_stops[0].second <= second:
            event = self._pending_stops.pop(0)
            node = self.nodes[event.node]
            if event.kind == FaultKind.CRASH:
                node.crash(second, event.crash_duration_s)
            else:
                node.shut_down(second)

    def _magnitude(self, kind: FaultKind, second: int) -> float:
        """Return the largest magnitude of the active faults of a kind, or 1 if none is active."""
        magnitudes = [
            fault.magnitude for fault in self._faults if fault.kind == kind and fault.is_active(second)
        ]
        return max(magnitudes, default=1.0)

    def _second_fields(self, node: _Node, second: int, serving: int) -> RecordFields:
        generator = self._generator
        slowdown = self._magnitude(FaultKind.SLOW_DATABASE, second)
        mean = REQUESTS_PER_S * self._magnitude(FaultKind.TRAFFIC_JUMP, second) * len(self.nodes) / serving
        read = max(0, round(generator.gauss(mean, math.sqrt(mean))))
        capacity = REQUESTS_PER_S * CAPACITY_FACTOR / (1.0 + SLOWDOWN_SHARE * (slowdown - 1.0))
        random_rejections = sum(generator.random() < RANDOM_REJECTION_SHARE for _ in range(read))
        rejected = min(read, max(0, read - round(capacity)) + random_rejections)
        calls = read // 2
        deviation = CALL_DEVIATION_MS * slowdown / math.sqrt(max(1, calls))
        call_ms = max(1.0, generator.gauss(CALL_MS * slowdown, deviation))
        return {
            "ms": 1000.0,
            "totals": self._totals(second, read, rejected),
            "calls": {"success": [calls, round(call_ms), round(call_ms * 3), round(call_ms * 5)]},
            "b": rejected / max(1, read),
            "limit": 8.0,
            "mu": 40.0,
            "lambda": float(read),
            "memory_mb": 24.0,
            "floors": self._min_request_ages(node, second),
        }

    def _totals(self, second: int, read: int, rejected: int) -> list[list[object]]:
        served = read - rejected
        rows: list[list[object]] = [
            ["match", "", {"read": read, "served": served, "refused": rejected, "runs": served}]
        ]
        invalid = round(self._magnitude(FaultKind.BAD_CLIENTS, second) - 1.0)
        if invalid > 0:
            rows.append(["", "", {"read": invalid, "failed": invalid}])
        return rows

    def _min_request_ages(self, node: _Node, second: int) -> dict[int, float]:
        """Return the minimum age of each balancer's requests in ms, as the node's clock measures it."""
        node_offset_ms = node.clock.at(second)
        rate = 2.0 * REQUESTS_PER_S / BALANCERS
        return {
            balancer: node_offset_ms - balancer_offset_ms + self._generator.expovariate(rate)
            for balancer, balancer_offset_ms in enumerate(self._balancer_offsets_ms)
        }


def draw_faults(seed: int, nodes: int = 4, seconds: int = 240, max_faults: int = 3) -> list[Fault]:
    """Return one to ``max_faults`` random faults of different kinds, sorted by start; they may overlap.

    They start at least ``MARGIN_BEFORE_S`` after the beginning of the day and ``MARGIN_AFTER_S`` before its
    end.
    """
    generator = random.Random(seed * SEED_FACTOR + 1)
    faults = []
    for kind in generator.sample(tuple(FaultKind), generator.randint(1, max_faults)):
        start_s = float(generator.randint(MARGIN_BEFORE_S, seconds - MARGIN_AFTER_S))
        faults.append(_draw_fault(kind, start_s, nodes, generator))
    return sorted(faults, key=lambda fault: fault.start_s)


def _draw_fault(kind: FaultKind, start_s: float, nodes: int, generator: random.Random) -> Fault:
    match kind:
        case FaultKind.SLOW_DATABASE:
            return Fault(kind, start_s, float(generator.randint(8, 25)), generator.uniform(3.0, 8.0))
        case FaultKind.TRAFFIC_JUMP:
            return Fault(kind, start_s, float(generator.randint(6, 20)), generator.uniform(1.7, 2.6))
        case FaultKind.ROLLING_DEPLOY:
            return Fault(kind, start_s, 5.0 * nodes, 5.0, tuple(range(nodes)))
        case FaultKind.CRASH:
            return Fault(kind, start_s, float(generator.randint(8, 20)), 1.0, (generator.randrange(nodes),))
        case FaultKind.BAD_CLIENTS:
            return Fault(kind, start_s, float(generator.randint(6, 20)), generator.uniform(20.0, 60.0))
