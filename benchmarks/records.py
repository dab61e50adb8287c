"""Measure the cost of writing records for a node, and the speed and memory of reading them back.

    python benchmarks/records.py [--seed N] [--short]

The cost is measured in pairs: the same load runs against a node with records and against one without, in
alternating order. The targets are less than 3 % more CPU time per request (10 % in the short form, whose
single pair has little significance), and a merge whose memory does not grow with the number of records. The
benchmark prints one JSON object at its end; its exit status is 1 if a target is missed.
"""

from __future__ import annotations

import json
import random
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.command import run_benchmark
from benchmarks.programs import run_program, write_configuration
from emulators.load_generator import LoadGenerator
from snowthread.lab.address_reservation import ANY_HOST, AddressReservation
from snowthread.lab.process_usage import child_pids, cpu_seconds
from snowthread.records.files import RECORD_FILE_SUFFIX
from snowthread.records.frame import encode_record
from snowthread.records.model import Record, RecordFields, RecordKind
from snowthread.records.reader import Findings, merge_records

SOURCES = [f"127.0.{number}.9" for number in range(5)]  # Source addresses of the load's connections.
CORES = 64  # Number of cores of the emulated runtime.
REQUESTS_PER_S = 600.0
WARM_UP_S = 0.5  # Duration of the load before each measurement.
WARM_UP_SEED = 100
FILE_RECORDS = 1800  # Number of records, one per second, in each file that is read back.
BEGIN_MS = 1_800_000_000_000.0
US_PER_S = 1e6
BYTES_PER_MB = 1e6
BYTES_PER_MIB = 2**20
MAX_CPU_RATIO = 1.03
MAX_CPU_RATIO_SHORT = 1.10
MAX_MEMORY_GROWTH = 4.0
CLASSES = ("match", "recalc", "dispense")


class RunningNode(NamedTuple):
    """A running node: its process id, and the address that it listens on as host:port."""

    pid: int
    address: str


@dataclass(slots=True)
class RecordingCost:
    """Measurements of several runs with and without records; CPU times are per request in microseconds."""

    without_us: list[float] = field(default_factory=list)
    with_us: list[float] = field(default_factory=list)
    writer_s: float = 0.0
    file_bytes: int = 0
    recorded_requests: int = 0

    def summary(self) -> dict[str, float]:
        """Return the CPU times per request of the node and of the record writer, and bytes per request."""
        without_us = sum(self.without_us) / len(self.without_us)
        with_us = sum(self.with_us) / len(self.with_us)
        return {
            "off_us": without_us,
            "on_us": with_us,
            "more_us": with_us - without_us,
            "ratio": with_us / without_us,
            "writer_us": self.writer_s / self.recorded_requests * US_PER_S,
            "bytes_per_request": self.file_bytes / self.recorded_requests,
        }


def start_node(stack: ExitStack, folder: Path, with_records: bool) -> RunningNode:
    """Start a node with its emulated peers until the stack closes.

    With ``with_records``, the node writes records to ``folder/records``.
    """
    addresses = stack.enter_context(AddressReservation(ANY_HOST))
    config = write_configuration(folder, addresses, CORES)
    stack.enter_context(run_program("-m", "emulators.site", str(config), str(CORES), "1.0", ready="ready"))
    command = ["-m", "snowthread"]
    if with_records:
        file = folder / "records.hcl"
        file.write_text(f'records {{\n folder = "{folder}/records"\n}}\n')
        command += ["serve", "--with", str(file)]
    process = stack.enter_context(
        run_program(*command, ready="listens on", stream="stderr", NODE_CONFIG=str(config))
    )
    return RunningNode(process.pid, json.loads(config.read_text())["listen"])


def measure_cost(rounds: int, seconds: float) -> dict[str, float]:
    """Return the cost of records; each round has one run with records and one without."""
    cost = RecordingCost()
    for number in range(rounds):
        for with_records in (False, True) if number % 2 else (True, False):
            measure_run(cost, number, with_records, seconds)
    return cost.summary()


def measure_run(cost: RecordingCost, seed: int, with_records: bool, seconds: float) -> None:
    """Run a node under load and add the measurements to ``cost``."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        node = start_node(stack, folder, with_records)
        load_generator = LoadGenerator(node.address, SOURCES)
        load_generator.run(random.Random(WARM_UP_SEED + seed), REQUESTS_PER_S, WARM_UP_S)
        cpu_before_s = cpu_seconds(node.pid)
        writers = child_pids(node.pid)
        requests_before = len(load_generator.sent_requests)
        load_generator.run(random.Random(seed), REQUESTS_PER_S, seconds)
        requests = len(load_generator.sent_requests) - requests_before
        cpu_us = (cpu_seconds(node.pid) - cpu_before_s) / requests * US_PER_S
        if with_records:
            cost.with_us.append(cpu_us)
            cost.writer_s += sum(cpu_seconds(pid) for pid in writers)
            cost.file_bytes += sum(
                path.stat().st_size for path in (folder / "records").glob(f"*{RECORD_FILE_SUFFIX}")
            )
            cost.recorded_requests += len(load_generator.sent_requests)
        else:
            cost.without_us.append(cpu_us)
        load_generator.close()


def make_records(node: int, seconds: int, generator: random.Random) -> list[Record]:
    """Return the records of one node for ``seconds`` seconds, one per second."""
    begin_ms = BEGIN_MS + generator.uniform(0.0, 1000.0)
    fields = second_fields(generator)
    return [
        Record(
            f"n{node}",
            f"{node:012x}",
            second + 1,
            begin_ms + second * 1000.0,
            RecordKind.SECOND,
            dict(fields),
        )
        for second in range(seconds)
    ]


def second_fields(generator: random.Random) -> RecordFields:
    """Return the fields of a per-second record of a busy node."""
    return {
        "ms": 1000.0,
        "totals": [
            [name, "", {"read": 40 + generator.randrange(9), "served": 38, "refused": 2, "runs": 38}]
            for name in CLASSES
        ],
        "runs": {"match": [40, 300, 500, 640]},
        "b": 0.02,
        "limit": 12.0,
        "mu": 30.1,
        "lambda": 29.0,
        "held": 3,
        "running": 6,
        "calls_in_hand": 2,
        "keys": 90,
        "connections": 30,
        "memory_mb": 24.0,
        "gauges": {"core_use": 0.9},
        "floors": {"1": 2.0, "2": 2.2},
    }


def write_files(folder: Path, node: int, records: Sequence[Record]) -> None:
    """Write the records of one boot of a node to the folder, in files of ``FILE_RECORDS`` records."""
    for number, first in enumerate(range(0, len(records), FILE_RECORDS), 1):
        path = folder / f"n{node}-1-{node:012x}-{number:06d}{RECORD_FILE_SUFFIX}"
        path.write_bytes(b"".join(encode_record(record) for record in records[first : first + FILE_RECORDS]))


def measure_reading(nodes: int, seconds: int, generator: random.Random) -> dict[str, float]:
    """Measure the throughput and peak memory of merging the files of several nodes, and their record size."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for node in range(nodes):
            write_files(folder, node, make_records(node, seconds, generator))
        size = sum(path.stat().st_size for path in folder.iterdir())
        findings = Findings()
        count = 0
        last_at = 0.0
        began = time.perf_counter()
        for record in merge_records([folder], findings):
            assert record.at_ms >= last_at
            last_at = record.at_ms
            count += 1
        took_s = time.perf_counter() - began
        peak_mb = measure_merge_memory(folder)
    assert count == nodes * seconds and not findings.gaps
    return {
        "nodes": nodes,
        "records": count,
        "records_per_s": count / took_s,
        "mb_per_s": size / took_s / BYTES_PER_MB,
        "peak_mb": peak_mb,
        "bytes_per_record": size / count,
    }


def measure_merge_memory(folder: Path) -> float:
    """Return the peak memory of a merge in MiB."""
    tracemalloc.start()
    for _ in merge_records([folder], Findings()):
        pass
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak_bytes / BYTES_PER_MIB


def measure(seed: int, short: bool) -> dict[str, Any]:
    """Run all measurements and return their figures."""
    generator = random.Random(seed)
    cost = measure_cost(rounds=1 if short else 6, seconds=4.0 if short else 10.0)
    small = measure_reading(20, 120, generator)
    large = measure_reading(20, 600 if short else 3600, generator)
    return {
        "seed": seed,
        "short": short,
        "cost": cost,
        "reading": large,
        "memory_growth": large["peak_mb"] / small["peak_mb"],
    }


def missed_targets(figures: dict[str, Any]) -> list[str]:
    """Return the names of the targets that the figures miss."""
    max_cpu_ratio = MAX_CPU_RATIO_SHORT if figures["short"] else MAX_CPU_RATIO
    targets = {
        "less than 3 % more CPU time per request (10 % short)": figures["cost"]["ratio"] <= max_cpu_ratio,
        "memory of a merge does not grow": figures["memory_growth"] <= MAX_MEMORY_GROWTH,
    }
    return [target for target, met in targets.items() if not met]


def main() -> int:
    """Run the benchmark and return its exit status."""
    return run_benchmark(__doc__, 1, measure, missed_targets)


if __name__ == "__main__":
    sys.exit(main())
