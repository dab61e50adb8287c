"""Measure tenants from a directory: service while the directory is stalled, and the costs of the feature.

    python -m benchmarks.tenants [--seed N] [--short] [--only PART]

The part ``service`` runs the same load twice from the same seed: with a working directory and with a stalled
one. ``change_to_decision`` measures the time until a change in the directory takes effect. ``look_up``,
``gate``, ``full_sync`` and ``codec`` measure lookups in the table, the identification of requests, a full
refresh and the decoding of entries. ``off`` compares a node without tenants with the earlier version
``BASELINE_VERSION``: its CPU time per request and at the start, and its memory.

The objectives are at least 0.95 of the service without a stall; no request lost, answered twice or late; and
at most 1.10 of the earlier version's CPU time per request without tenants. That is a ratio of two
measurements in one run, so that other load on the machine has little influence. The benchmark prints one JSON
object at its end; its exit status is 1 if an objective is missed.
"""

from __future__ import annotations

import argparse
import json
import random
import subprocess
import sys
import tempfile
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.programs import ROOT, reserve_address, run_program, write_configuration
from benchmarks.tenant_costs import (
    measure_decoding,
    measure_full_refresh,
    measure_identification,
    measure_lookups,
    write_operator_file,
)
from benchmarks.traffic_figures import count_broken_rules, quantile, served_by_second
from emulators.load_generator import LoadGenerator
from emulators.request_protocol import REJECTED, SERVED
from snowthread.lab.address_reservation import ANY_HOST, AddressReservation
from snowthread.lab.process_usage import cpu_seconds, resident_memory_mb

BASELINE_VERSION = "cf437b5"  # Commit of the earlier version that the part ``off`` compares with.
PROGRAM = "snowthread"  # Name of the program's package.
CORES = 4
RUN_MS = 20.0
LOAD_SHARE = 0.85  # Ratio of the request rate to the capacity of 200 requests per second.
SOURCES = [f"127.0.{n}.9" for n in range(5)]  # One address in each network of the emulator's five tenants.
# Beginning and end of the directory's stall, as shares of the load's duration.
STALL_FROM = 0.2
STALL_UNTIL = 0.9
# Minimum ratio of the share served with the directory stalled to that with it working.
MIN_SERVICE_RATIO = 0.95
MAX_CPU_RATIO = 1.10  # Maximum ratio of the CPU time per request to that of the earlier version.
MAX_CPU_RATIO_SHORT = 1.5  # Maximum in the short form, whose single round of 1 s has little significance.
US_PER_S = 1e6
MS_PER_S = 1e3


class NodeSetup:
    """A node with its emulated site and, with ``tenants``, a directory, each in a process of its own."""

    def __init__(
        self,
        stack: ExitStack,
        folder: Path,
        cores: int,
        run_ms: float,
        tenants: bool = True,
        cwd: Path = ROOT,
    ) -> None:
        addresses = stack.enter_context(AddressReservation(ANY_HOST))
        config_path = write_configuration(folder, addresses, cores)
        self.listen: str = json.loads(config_path.read_text())["listen"]
        stack.enter_context(
            run_program("-m", "emulators.site", str(config_path), str(cores), str(run_ms), ready="ready")
        )
        command = ["-m", "snowthread"]
        self.directory: subprocess.Popen[str] | None = None
        if tenants:
            address = reserve_address(addresses)
            self.directory = stack.enter_context(
                run_program("-m", "emulators.directory", address, ready="5 tenants")
            )
            command += ["serve", "--with", str(write_operator_file(folder, address))]
        self.node = stack.enter_context(
            run_program(
                *command,
                ready="refreshed in" if tenants else "listens on",
                stream="stderr",
                cwd=cwd,
                NODE_CONFIG=str(config_path),
            )
        )

    def command_directory(self, line: str) -> None:
        """Send a command to the directory's standard input and wait for its answer."""
        assert self.directory is not None and self.directory.stdin is not None
        assert self.directory.stdout is not None
        self.directory.stdin.write(line + "\n")
        self.directory.stdin.flush()
        self.directory.stdout.readline()


def run_load(seed: int, seconds: float, stall: bool) -> dict[str, Any]:
    """Run the load once; with ``stall``, the directory stalls from ``STALL_FROM`` to ``STALL_UNTIL``."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        setup = NodeSetup(stack, folder, CORES, RUN_MS)
        load_generator = LoadGenerator(setup.listen, SOURCES)
        if stall:
            now = load_generator.loop.clock.now()
            for share, command in ((STALL_FROM, "stall"), (STALL_UNTIL, "go")):
                at_ms = now + seconds * MS_PER_S * share
                load_generator.loop.call_at(at_ms, partial(setup.command_directory, command))
        load_generator.run(random.Random(seed), LOAD_SHARE * CORES * MS_PER_S / RUN_MS, seconds)
        load_generator.close()
        served = sum(
            request.answers[0].outcome == SERVED
            for request in load_generator.sent_requests
            if request.answers
        )
        return {
            "served": served / len(load_generator.sent_requests),
            "worst_second": min(served_by_second(load_generator.sent_requests)),
            "rules": count_broken_rules(load_generator.sent_requests, load_generator.wait_ms),
        }


def measure_change_to_decision(rounds: int) -> dict[str, float]:
    """Measure the time from a tenant's suspension in the directory to its first rejected request."""
    delays_ms = []
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        setup = NodeSetup(stack, folder, 64, 1.0)
        load_generator = LoadGenerator(setup.listen, ["127.0.4.9"])
        for _ in range(rounds):
            setup.command_directory("put Pigment 127.0.4.0/24 50")
            load_generator.run_until(load_generator.loop.clock.now() + 60.0)
            suspended_at_ms = load_generator.loop.clock.now()
            setup.command_directory("suspend Pigment")
            while load_generator.loop.clock.now() < suspended_at_ms + 5_000.0:
                request = load_generator.send("127.0.4.9")
                while not request.answers and load_generator.loop.clock.now() < request.sent_ms + 1000.0:
                    load_generator.loop.run_once(0.001)
                if request.answers and request.answers[0].outcome == REJECTED:
                    delays_ms.append(request.sent_ms - suspended_at_ms)
                    break
        load_generator.close()
    return {
        "median_ms": quantile(delays_ms, 0.5),
        "p99_ms": quantile(delays_ms, 0.99),
        "changes": len(delays_ms),
    }


def extract_version(version: str, folder: Path) -> bool:
    """Extract an earlier version of the program to the folder; return False if the repository lacks it."""
    archive = subprocess.run(["git", "archive", version, PROGRAM], cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        return False
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    return True


@dataclass(frozen=True, slots=True)
class NodeCost:
    """The CPU time of a node's start, its CPU time per request under load, and its resident memory."""

    start_cpu_s: float
    request_cpu_us: float
    memory_mb: float


def compare_with_baseline(rounds: int, requests: int) -> dict[str, float] | None:
    """Compare the cost of a node without tenants with that of ``BASELINE_VERSION``.

    Each round measures both versions, in alternating order. Return None if the earlier version is not
    available.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        before = folder / "before"
        before.mkdir()
        if not extract_version(BASELINE_VERSION, before):
            return None
        roots = {"before": before, "now": ROOT}
        # Compile both versions, so that the first start of each does not include it.
        for root in roots.values():
            subprocess.run([sys.executable, "-m", "compileall", "-q", PROGRAM], cwd=root, check=True)
        costs: dict[str, list[NodeCost]] = {version: [] for version in roots}
        for n in range(rounds):
            for version in ("before", "now") if n % 2 else ("now", "before"):
                run_folder = folder / f"{version}{n}"
                run_folder.mkdir()
                costs[version].append(measure_node_cost(run_folder, roots[version], n, requests))
    before_us = [cost.request_cpu_us for cost in costs["before"]]
    now_us = [cost.request_cpu_us for cost in costs["now"]]
    return {
        "before_us": quantile(before_us, 0.5),
        "now_us": quantile(now_us, 0.5),
        "cpu_ratio": sum(now_us) / sum(before_us),
        "start_cpu_ratio": _ratio_of_sums(costs, "start_cpu_s"),
        "memory_ratio": _ratio_of_sums(costs, "memory_mb"),
    }


def _ratio_of_sums(costs: Mapping[str, list[NodeCost]], field: str) -> float:
    now = sum(getattr(cost, field) for cost in costs["now"])
    before = sum(getattr(cost, field) for cost in costs["before"])
    return float(now / before)


def measure_node_cost(folder: Path, root: Path, seed: int, requests: int) -> NodeCost:
    """Return the cost of a node without tenants that runs from the repository at ``root``."""
    with ExitStack() as stack:
        setup = NodeSetup(stack, folder, 64, 1.0, tenants=False, cwd=root)
        load_generator = LoadGenerator(setup.listen, SOURCES)
        start_cpu_s = cpu_seconds(setup.node.pid)
        load_generator.run(random.Random(seed), 500.0, requests / 500.0)
        cpu_us = (cpu_seconds(setup.node.pid) - start_cpu_s) / len(load_generator.sent_requests) * US_PER_S
        memory_mb = resident_memory_mb(setup.node.pid)
        load_generator.close()
    return NodeCost(start_cpu_s=start_cpu_s, request_cpu_us=cpu_us, memory_mb=memory_mb)


def measure_service(seed: int, seconds: float) -> dict[str, Any]:
    """Run the load with the directory working and with it stalled, and compare the shares served."""
    working = run_load(seed, seconds, stall=False)
    stalled = run_load(seed, seconds, stall=True)
    return {"calm": working, "stalled": stalled, "service_ratio": stalled["served"] / working["served"]}


def missed_objectives(results: Mapping[str, Any], short: bool) -> list[str]:
    """Return the names of the objectives that the results miss; parts that did not run have none."""
    max_cpu_ratio = MAX_CPU_RATIO_SHORT if short else MAX_CPU_RATIO
    met = {}
    if "service_ratio" in results:
        rules = [results[run]["rules"] for run in ("calm", "stalled")]
        met["service during the stall at least 0.95"] = results["service_ratio"] >= MIN_SERVICE_RATIO
        met["no request lost, answered twice or late"] = not any(
            broken[rule] for broken in rules for rule in ("lost", "doubled", "late")
        )
    if results.get("off") is not None:
        met["CPU time without tenants at most 1.10 of before"] = results["off"]["cpu_ratio"] <= max_cpu_ratio
    return [objective for objective, is_met in met.items() if not is_met]


def main() -> int:
    """Run the selected parts, print their figures, and return the exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true", help="ends within 45 s")
    parser.add_argument("--only", metavar="PART", help="run this part alone")
    options = parser.parse_args()
    short: bool = options.short
    seconds = 6.0 if short else 45.0
    size = (2_000, 20_000) if short else (10_000, 100_000)
    generator = random.Random(options.seed)
    parts: dict[str, Callable[[], Any]] = {
        "service": lambda: measure_service(options.seed, seconds),
        "change_to_decision": lambda: measure_change_to_decision(6 if short else 50),
        "look_up": lambda: measure_lookups(generator, 10_000, 100_000, 5_000 if short else 100_000),
        "gate": lambda: measure_identification(generator, 20_000),
        "full_sync": lambda: measure_full_refresh(*size),
        "codec": lambda: measure_decoding(2_000 if short else 20_000),
        "off": lambda: compare_with_baseline(1 if short else 6, 1_000 if short else 4_000),
    }
    if options.only is not None and options.only not in parts:
        parser.error(f"--only takes one of {', '.join(parts)}")
    results: dict[str, Any] = {
        "seed": options.seed,
        "short": short,
        "stall_s": round(seconds * (STALL_UNTIL - STALL_FROM), 1),
    }
    for name, run in parts.items():
        if options.only in (None, name):
            figures = run()
            results.update(figures if name == "service" else {name: figures})
    results["missed"] = missed_objectives(results, short)
    for name, value in results.items():
        print(f"{name}: {value}", file=sys.stderr)
    print(json.dumps(results, default=float))
    return 1 if results["missed"] else 0


if __name__ == "__main__":
    sys.exit(main())
