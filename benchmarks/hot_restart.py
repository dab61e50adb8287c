"""Measure two hot restarts under load, and compare them with the same load without restarts.

Balancers keep their connections until the node announces that it closes them. A third of the requests with an
idempotency key is retried soon after, on whichever process accepts the retry. The benchmark counts requests
that were served, lost, answered twice or late, keys that ran twice, and withdrawals of the registration. It
measures the time until a new process is ready, and the memory of both processes together. Beside the
balancers some clients leave at once and come again with the same requests
(:mod:`benchmarks.leaving_clients`).

    python -m benchmarks.hot_restart [--seed N] [--short]
"""

from __future__ import annotations

import json
import math
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from contextlib import closing
from dataclasses import dataclass
from functools import partial
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

from benchmarks.command import run_benchmark
from benchmarks.leaving_clients import LeavingClients
from benchmarks.programs import LOOPBACK_HOST, ROOT, reserve_address
from benchmarks.traffic_figures import count_broken_rules, was_served
from emulators.load_generator import LoadGenerator
from emulators.site import RuntimeEmulator, SiteEmulator, SiteScript
from snowthread.address import Address
from snowthread.lab.address_reservation import ANY_HOST, AddressReservation
from snowthread.lab.process_usage import private_memory_mb
from snowthread.net.clock import Clock
from snowthread.net.loop import Coroutine, EventLoop, Wait

CORES = 8
RUN_MS = 100.0  # Core time of each run in ms.
UTILISATION = 0.7  # Share of the cores' time that the requests need.
CLASS_SHARES = {"match": 0.5, "recalc": 0.3, "dispense": 0.2}
KEYED_CLASS = "dispense"
RETRY_SHARE = 1 / 3  # Share of the requests with an idempotency key that are sent a second time.
LEAVING_CLIENTS_PER_S = 2.0
RETRY_AFTER_MS = (1.0, 600.0)  # Range of the time in ms until a retry, with a uniform distribution.
REQUEST_TIMEOUT_MS = 3000.0
SETTLE_MS = 300.0  # Time for which late answers are awaited after the timeout of the last request.
READY_POLL_MS = 20.0
READY_TIMEOUT_S = 0.2
LOOP_STEP_S = 0.02
LISTEN_BACKLOG = 512
MS_PER_S = 1000.0
SOURCES = [f"127.0.0.{last}" for last in range(2, 10)]
SECONDS = 40.0
SECONDS_SHORT = 10.0
RESTARTS_AT = (0.25, 0.65)  # Times of the restarts as shares of the load's duration.
MIN_RATIO = 0.98  # Minimum ratio of the share of requests served with restarts to that without.
MAX_READY_MS = 3000.0


@dataclass(frozen=True, slots=True)
class NodeProcess:
    """A process of the node, and the address of its admin server as host:port."""

    process: subprocess.Popen[bytes]
    admin_address: str


class LoadRun:
    """A run of load on one node, which a new process takes over at each restart."""

    def __init__(self, folder: Path, seed: int, seconds: float, restarts_at_s: list[float]) -> None:
        self.loop = EventLoop(Clock())
        self.folder = folder
        self.random = random.Random(seed)
        self.seconds = seconds
        self.restarts_at_s = restarts_at_s
        self.started_runs: list[str] = []  # Attempt id of each run that the runtime started.
        self.withdrawals = 0  # Number of times that the node withdrew its registration.
        self.ready_ms: list[float] = []
        self.private_mb: list[float] = []
        self.addresses = AddressReservation(ANY_HOST)
        self.listener = socket.create_server((LOOPBACK_HOST, 0), backlog=LISTEN_BACKLOG)
        self.fields = self._configuration()
        self.script = SiteScript(default_run_ms=RUN_MS, cores=CORES, log=self._count_line)
        SiteEmulator(self.loop, self.fields, self.script)
        self.processes = [self._start_process(self.fields["runtime"])]

    def _configuration(self) -> dict[str, Any]:
        fields: dict[str, Any] = json.loads((ROOT / "examples" / "node.json").read_bytes())
        fields |= {name: reserve_address(self.addresses) for name in ("runtime", "index")}
        fields["roster"] = reserve_address(self.addresses, socket.SOCK_DGRAM)
        fields["listen"] = "{}:{}".format(*self.listener.getsockname())
        fields["settings"]["domain"]["cores"] = CORES
        return fields

    def _count_line(self, line: str) -> None:
        """Evaluate a log line of the emulated site: a run has started, or the registration was withdrawn."""
        words = line.split()
        if words[0] == "runtime:":
            self.started_runs.append(words[2])
        self.withdrawals += line.startswith("roster:") and line.endswith("off")

    def _start_process(self, runtime: str) -> NodeProcess:
        admin_address = reserve_address(self.addresses)
        path = self.folder / f"node{len(self.ready_ms)}{os.urandom(2).hex()}.json"
        path.write_text(json.dumps(self.fields | {"runtime": runtime, "admin_addr": admin_address}))
        variables = {
            "NODE_CONFIG": str(path),
            "NODE_FD": str(self.listener.fileno()),
            "TMPDIR": str(self.folder),
            "PYTHONPATH": str(ROOT),
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "snowthread"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            pass_fds=(self.listener.fileno(),),
            env=os.environ | variables,
        )
        return NodeProcess(process, admin_address)

    def _wait_until_ready(self, admin_address: str) -> Coroutine:
        while not is_ready(Address.parse(admin_address)):
            yield Wait(until_ms=self.loop.clock.now() + READY_POLL_MS)

    def _restart(self) -> Coroutine:
        """Start a new process with a runtime of its own, and terminate the old one when it is ready."""
        runtime = reserve_address(self.addresses)
        RuntimeEmulator(self.loop, Address.parse(runtime), self.script)
        old = self.processes[-1].process
        started_at_ms = self.loop.clock.now()
        new = self._start_process(runtime)
        self.processes.append(new)
        yield from self._wait_until_ready(new.admin_address)
        self.ready_ms.append(self.loop.clock.now() - started_at_ms)
        self.private_mb.append(private_memory_mb(old.pid) + private_memory_mb(new.process.pid))
        old.send_signal(signal.SIGTERM)

    def _spawn_restart(self) -> None:
        self.loop.spawn(self._restart())

    def run(self) -> dict[str, Any]:
        """Run the load with its restarts and return the figures."""
        waiting = self.loop.spawn(self._wait_until_ready(self.processes[0].admin_address))
        while waiting.coroutine is not None:
            self.loop.run_once(LOOP_STEP_S)
        load_generator = LoadGenerator(self.fields["listen"], SOURCES, REQUEST_TIMEOUT_MS, self.loop)
        begin_ms = self.loop.clock.now()
        self._schedule_requests(load_generator, begin_ms)
        leaving_clients = self._schedule_leaving_clients(begin_ms)
        for at_s in self.restarts_at_s:
            self.loop.call_at(begin_ms + at_s * MS_PER_S, self._spawn_restart)
        load_generator.run_until(begin_ms + self.seconds * MS_PER_S + REQUEST_TIMEOUT_MS + SETTLE_MS)
        return self._figures(load_generator) | leaving_clients.figures(self.started_runs)

    def _schedule_leaving_clients(self, begin_ms: float) -> LeavingClients:
        generator = random.Random(self.random.getrandbits(32))
        clients = LeavingClients(self.loop, Address.parse(self.fields["listen"]), generator)
        for number in range(int(self.seconds * LEAVING_CLIENTS_PER_S)):
            self.loop.call_at(begin_ms + number / LEAVING_CLIENTS_PER_S * MS_PER_S, clients.write_twice)
        return clients

    def _schedule_requests(self, load_generator: LoadGenerator, begin_ms: float) -> None:
        """Schedule requests as a Poisson process, and retries of some requests with an idempotency key."""
        classes = list(CLASS_SHARES)
        shares = list(CLASS_SHARES.values())
        offset_ms = 0.0
        while offset_ms < self.seconds * MS_PER_S:
            offset_ms += self.random.expovariate(CORES * UTILISATION / RUN_MS)
            class_name = self.random.choices(classes, shares)[0]
            key = f"{self.random.getrandbits(128):032x}" if class_name == KEYED_CLASS else ""
            self._schedule_request(load_generator, begin_ms + offset_ms, class_name, key)
            if key and self.random.random() < RETRY_SHARE:
                retry_ms = offset_ms + self.random.uniform(*RETRY_AFTER_MS)
                self._schedule_request(load_generator, begin_ms + retry_ms, class_name, key)

    def _schedule_request(
        self, load_generator: LoadGenerator, at_ms: float, class_name: str, key: str
    ) -> None:
        source = self.random.choice(SOURCES)
        self.loop.call_at(at_ms, partial(_send, load_generator, source, class_name, key))

    def _figures(self, load_generator: LoadGenerator) -> dict[str, Any]:
        keys = {request.attempt_id: request.idempotency_key for request in load_generator.sent_requests}
        runs_by_key = Counter(keys[attempt] for attempt in self.started_runs if keys.get(attempt))
        exit_codes = [replaced.process.poll() for replaced in self.processes[:-1]]
        self.processes[-1].process.kill()
        served = sum(map(was_served, load_generator.sent_requests))
        return count_broken_rules(load_generator.sent_requests, REQUEST_TIMEOUT_MS) | {
            "served": served / len(load_generator.sent_requests),
            "keys_run": len(runs_by_key),
            "keys_run_twice": sum(runs > 1 for runs in runs_by_key.values()),
            "roster_off": self.withdrawals,
            "ready_ms": [round(ready_ms) for ready_ms in self.ready_ms],
            "left": exit_codes,
            "private_mb": [round(size_mb, 1) for size_mb in self.private_mb],
        }

    def close(self) -> None:
        """Kill the processes, and close the listening socket and the address reservations."""
        for node in self.processes:
            node.process.kill()
            node.process.wait()
        self.listener.close()
        self.addresses.close()


def _send(load_generator: LoadGenerator, source: str, class_name: str, key: str) -> None:
    load_generator.send(source, class_name, key)


def is_ready(admin_address: Address) -> bool:
    """Return whether a process accepts clients, according to its admin server.

    The call blocks, but on loopback for a millisecond at most.
    """
    connection = HTTPConnection(admin_address.host, admin_address.port, timeout=READY_TIMEOUT_S)
    try:
        connection.request("GET", "/-/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def run_load(seed: int, seconds: float, restarts_at_s: list[float]) -> dict[str, Any]:
    """Run the load in a temporary folder and return the figures.

    Args:
        seed: Seed of all random values.
        seconds: Duration of the load.
        restarts_at_s: Times of the restarts in s since the beginning of the load.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        closing(LoadRun(Path(folder), seed, seconds, restarts_at_s)) as run,
    ):
        return run.run()


def missed_objectives(figures: dict[str, Any]) -> list[str]:
    """Return the names of the figures that miss their objective."""
    with_restarts = figures["replaced"]
    must_be_zero = (
        "lost",
        "doubled",
        "late",
        "keys_run_twice",
        "left_behind_keys_run_twice",
        "roster_off",
    )
    missed = [name for name in must_be_zero if with_restarts[name]]
    if with_restarts["left"] != [0, 0]:
        missed.append("left")
    if figures["ratio"] < MIN_RATIO:
        missed.append("ratio")
    if max(with_restarts["ready_ms"], default=math.inf) > MAX_READY_MS:
        missed.append("ready_ms")
    return missed


def measure(seed: int, short: bool) -> dict[str, Any]:
    """Run the load without and with restarts, and return all figures."""
    seconds = SECONDS_SHORT if short else SECONDS
    started_at_s = time.monotonic()
    without_restarts = run_load(seed, seconds, [])
    with_restarts = run_load(seed, seconds, [seconds * share for share in RESTARTS_AT])
    return {
        "seed": seed,
        "seconds": seconds,
        "calm": without_restarts,
        "replaced": with_restarts,
        "ratio": round(with_restarts["served"] / without_restarts["served"], 4),
        "took_s": round(time.monotonic() - started_at_s, 1),
    }


def main() -> int:
    """Run the benchmark and return its exit status."""
    return run_benchmark(__doc__, 1, measure, missed_objectives)


if __name__ == "__main__":
    sys.exit(main())
