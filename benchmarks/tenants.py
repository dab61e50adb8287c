"""Tenants from a directory: service through a stall, cost of a look-up, of a sync, of the feature off.

    python -m benchmarks.tenants [--seed N] [--short] [--only PART]

Service is paired: the same load from the same seed, with the directory working and with it stalled.
Objectives: at least 0.95 of the service without a stall; nobody lost, doubled or late; the feature off within
1.10 of an earlier version (a ratio of CPU in one run, so that a noisy machine does not decide). Ends with one
JSON object; status 1 if an objective is missed.

``--only off`` compares the CPU a request, the CPU of the start and the memory of a node without features with
the version ``BEFORE``; the other parts are service, change_to_decision, look_up, gate, full_sync and codec.
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
from benchmarks.tenant_costs import codec, full_sync, gate, look_up, operator_file
from benchmarks.traffic_figures import broken_rules, quantile, served_by_second
from emulators.load_generator import LoadGenerator
from emulators.request_protocol import REJECTED, SERVED
from snowthread.lab.address_reservation import ANY_HOST, AddressReservation
from snowthread.lab.process_usage import cpu_seconds, resident_memory_mb

BEFORE = "cf437b5"  # the version that the part ``off`` compares with
PROGRAM = "snowthread"  # the program's package
CORES = 4
RUN_MS = 20.0
LOAD_SHARE = 0.85  # of the capacity, which is 200 requests a second
SOURCES = [f"127.0.{n}.9" for n in range(5)]  # one in each network of the emulator's five tenants
# When the directory is stalled, as shares of the load's length.
STALL_FROM = 0.2
STALL_UNTIL = 0.9
MIN_SERVICE_RATIO = 0.95  # of the service with the directory stalled to that with it working
MAX_CPU_RATIO = 1.10  # of a request now to the earlier version
MAX_CPU_RATIO_SHORT = 1.5  # one short round of a second of load shows little
US_PER_S = 1e6
MS_PER_S = 1e3


class Setup:
    """Site, directory and node, each a process."""

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
            command += ["serve", "--with", str(operator_file(folder, address))]
        self.node = stack.enter_context(
            run_program(
                *command,
                ready="refreshed in" if tenants else "listens on",
                where="stderr",
                cwd=cwd,
                NODE_CONFIG=str(config_path),
            )
        )

    def command_directory(self, line: str) -> None:
        """Send a command to the directory and wait until it is done."""
        assert self.directory is not None and self.directory.stdin is not None
        assert self.directory.stdout is not None
        self.directory.stdin.write(line + "\n")
        self.directory.stdin.flush()
        self.directory.stdout.readline()


def service(seed: int, seconds: float, stall: bool) -> dict[str, Any]:
    """Run the load once; with ``stall`` the directory is silent from a fifth of the time to nine tenths."""
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        setup = Setup(stack, folder, CORES, RUN_MS)
        load = LoadGenerator(setup.listen, SOURCES)
        if stall:
            now = load.loop.clock.now()
            for share, command in ((STALL_FROM, "stall"), (STALL_UNTIL, "go")):
                at_ms = now + seconds * MS_PER_S * share
                load.loop.call_at(at_ms, partial(setup.command_directory, command))
        load.run(random.Random(seed), LOAD_SHARE * CORES * MS_PER_S / RUN_MS, seconds)
        load.close()
        served = sum(sent.answers[0].outcome == SERVED for sent in load.sent_requests if sent.answers)
        return {
            "served": served / len(load.sent_requests),
            "worst_second": min(served_by_second(load.sent_requests)),
            "rules": broken_rules(load.sent_requests, load.wait_ms),
        }


def change_to_decision(rounds: int) -> dict[str, float]:
    """Measure the milliseconds from a suspension in the directory to the first request rejected by it."""
    delays_ms = []
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        setup = Setup(stack, folder, 64, 1.0)
        load = LoadGenerator(setup.listen, ["127.0.4.9"])
        for _ in range(rounds):
            setup.command_directory("put Pigment 127.0.4.0/24 50")
            load.run_until(load.loop.clock.now() + 60.0)
            began = load.loop.clock.now()
            setup.command_directory("suspend Pigment")
            while load.loop.clock.now() < began + 5_000.0:
                request = load.send("127.0.4.9")
                while not request.answers and load.loop.clock.now() < request.sent_ms + 1000.0:
                    load.loop.run_once(0.001)
                if request.answers and request.answers[0].outcome == REJECTED:
                    delays_ms.append(request.sent_ms - began)
                    break
        load.close()
    return {
        "median_ms": quantile(delays_ms, 0.5),
        "p99_ms": quantile(delays_ms, 0.99),
        "changes": len(delays_ms),
    }


def extract_version(version: str, folder: Path) -> bool:
    """Extract the program of an earlier version; False if this is no repository that has it."""
    archive = subprocess.run(["git", "archive", version, PROGRAM], cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        return False
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)
    return True


@dataclass(frozen=True, slots=True)
class NodeCost:
    """What a node took to start and to answer a load."""

    start_cpu_s: float
    request_cpu_us: float
    memory_mb: float


def off(rounds: int, requests: int) -> dict[str, float] | None:
    """Compare what a node without features costs with ``BEFORE``, turn by turn."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        before = folder / "before"
        before.mkdir()
        if not extract_version(BEFORE, before):
            return None
        roots = {"before": before, "now": ROOT}
        for root in roots.values():  # else the first start of a version would also compile it
            subprocess.run([sys.executable, "-m", "compileall", "-q", PROGRAM], cwd=root, check=True)
        costs: dict[str, list[NodeCost]] = {which: [] for which in roots}
        for n in range(rounds):
            for which in ("before", "now") if n % 2 else ("now", "before"):
                place = folder / f"{which}{n}"
                place.mkdir()
                costs[which].append(bare_node(place, roots[which], n, requests))
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


def bare_node(folder: Path, root: Path, seed: int, requests: int) -> NodeCost:
    """Return what a node costs that is run from this root."""
    with ExitStack() as stack:
        setup = Setup(stack, folder, 64, 1.0, tenants=False, cwd=root)
        load = LoadGenerator(setup.listen, SOURCES)
        began = cpu_seconds(setup.node.pid)
        load.run(random.Random(seed), 500.0, requests / 500.0)
        cpu_us = (cpu_seconds(setup.node.pid) - began) / len(load.sent_requests) * US_PER_S
        memory_mb = resident_memory_mb(setup.node.pid)
        load.close()
    return NodeCost(start_cpu_s=began, request_cpu_us=cpu_us, memory_mb=memory_mb)


def run_service(seed: int, seconds: float) -> dict[str, Any]:
    """Run the load with the directory working and with it stalled."""
    calm = service(seed, seconds, stall=False)
    stalled = service(seed, seconds, stall=True)
    return {"calm": calm, "stalled": stalled, "service_ratio": stalled["served"] / calm["served"]}


def missed_objectives(results: Mapping[str, Any], short: bool) -> list[str]:
    """Return the objectives that the parts that ran miss."""
    max_cpu_ratio = MAX_CPU_RATIO_SHORT if short else MAX_CPU_RATIO
    met = {}
    if "service_ratio" in results:
        rules = [results[run]["rules"] for run in ("calm", "stalled")]
        met["service through the stall at least 0.95"] = results["service_ratio"] >= MIN_SERVICE_RATIO
        met["nobody lost, doubled or late"] = not any(
            broken[rule] for broken in rules for rule in ("lost", "doubled", "late")
        )
    if results.get("off") is not None:
        met["feature off within 1.10 of before"] = results["off"]["cpu_ratio"] <= max_cpu_ratio
    return [objective for objective, is_met in met.items() if not is_met]


def main() -> int:
    """Run the parts and print their figures."""
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
    rng = random.Random(options.seed)
    parts: dict[str, Callable[[], Any]] = {
        "service": lambda: run_service(options.seed, seconds),
        "change_to_decision": lambda: change_to_decision(6 if short else 50),
        "look_up": lambda: look_up(rng, 10_000, 100_000, 5_000 if short else 100_000),
        "gate": lambda: gate(rng, 20_000),
        "full_sync": lambda: full_sync(*size),
        "codec": lambda: codec(2_000 if short else 20_000),
        "off": lambda: off(1 if short else 6, 1_000 if short else 4_000),
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
