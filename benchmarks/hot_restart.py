"""Measure two hot restarts under load, against the same load without one in the same run.

Balancers keep their connections until they get a farewell. A third of the requests with an idempotency key
is retried soon after, on whichever process the retry reaches. Counted are the requests that were served,
lost, answered twice or late, the keys that were run twice, the registrations withdrawn, the time until a new
process is ready, and the memory of both processes together.

    python -m benchmarks.hot_restart [--seed N] [--short]
"""

from __future__ import annotations

import argparse
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from functools import partial
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

from benchmarks.rig import ROOT, SERVED, LoadGenerator, broken_rules, reserve_address
from emulators.site import RuntimeEmulator, SiteEmulator, SiteScript
from snowthread.address import Address
from snowthread.lab.address_reservation import ANY_HOST, AddressReservation
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop, TaskSteps, Wait

CORES = 8
RUN_MS = 100.0  # of core time for each run
UTILISATION = 0.7  # of the cores, by the requests
CLASS_SHARES = {"match": 0.5, "recalc": 0.3, "dispense": 0.2}
KEYED_CLASS = "dispense"
RETRY_SHARE = 1 / 3  # of the requests with a key
RETRY_AFTER_MS = (1.0, 600.0)  # between these two, evenly
REQUEST_TIMEOUT_MS = 3000.0
SETTLE_MS = 300.0  # after the last request's timeout
READY_POLL_MS = 20.0
SOURCES = [f"127.0.0.{last}" for last in range(2, 10)]
SECONDS, SECONDS_SHORT = 40.0, 10.0
RESTARTS_AT = (0.25, 0.65)  # as shares of the load's length
MIN_RATIO = 0.98  # of the share served with restarts to that without
MAX_READY_MS = 3000.0


@dataclass(frozen=True, slots=True)
class NodeProcess:
    """A process of the node, and the address of its admin server."""

    process: subprocess.Popen[bytes]
    admin: str


class LoadRun:
    """One stretch of load on one node, whichever process serves it."""

    def __init__(self, folder: Path, seed: int, seconds: float, restarts_at_s: list[float]) -> None:
        self.loop, self.folder, self.random = EventLoop(Clock()), folder, random.Random(seed)
        self.seconds, self.restarts_at_s = seconds, restarts_at_s
        self.started_runs: list[str] = []  # attempts
        self.withdrawals = 0  # of the registration
        self.ready_ms: list[float] = []
        self.private_mb: list[float] = []
        self.addresses = AddressReservation(ANY_HOST)
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.fields = self._configuration()
        self.script = SiteScript(default_run_ms=RUN_MS, cores=CORES, log=self._count_line)
        SiteEmulator(self.loop, self.fields, self.script)
        self.processes = [self._start_process(self.fields["runtime"])]

    def _configuration(self) -> dict[str, Any]:
        fields: dict[str, Any] = json.loads((ROOT / "examples" / "node.json").read_bytes())
        fields |= {name: reserve_address(self.addresses) for name in ("runtime", "index")}
        fields["roster"] = reserve_address(self.addresses, socket.SOCK_DGRAM)
        fields["listen"] = "{}:{}".format(*self.listening.getsockname())
        fields["settings"]["domain"]["cores"] = CORES
        return fields

    def _count_line(self, line: str) -> None:
        """Count a line of the emulated site: a run started, or the registration withdrawn."""
        words = line.split()
        if words[0] == "runtime:":
            self.started_runs.append(words[2])
        self.withdrawals += line.startswith("roster:") and line.endswith("off")

    def _start_process(self, runtime: str) -> NodeProcess:
        admin = reserve_address(self.addresses)
        path = self.folder / f"node{len(self.ready_ms)}{os.urandom(2).hex()}.json"
        path.write_text(json.dumps(self.fields | {"runtime": runtime, "admin_addr": admin}))
        variables = {
            "NODE_CONFIG": str(path),
            "NODE_FD": str(self.listening.fileno()),
            "TMPDIR": str(self.folder),
            "PYTHONPATH": str(ROOT),
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "snowthread"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            pass_fds=(self.listening.fileno(),),
            env=os.environ | variables,
        )
        return NodeProcess(process, admin)

    def _wait_until_ready(self, admin: str) -> TaskSteps:
        while not is_ready(Address.parse(admin)):
            yield Wait(until_ms=self.loop.clock.now() + READY_POLL_MS)

    def _restart(self) -> TaskSteps:
        """Replace the process that serves by a new one with a runtime of its own."""
        runtime = reserve_address(self.addresses)
        RuntimeEmulator(self.loop, Address.parse(runtime), self.script)
        old, began_ms = self.processes[-1].process, self.loop.clock.now()
        new = self._start_process(runtime)
        self.processes.append(new)
        yield from self._wait_until_ready(new.admin)
        self.ready_ms.append(self.loop.clock.now() - began_ms)
        self.private_mb.append(private_mb(old.pid) + private_mb(new.process.pid))
        old.send_signal(signal.SIGTERM)

    def _spawn_restart(self) -> None:
        self.loop.spawn(self._restart())

    def play(self) -> dict[str, Any]:
        """Play the load with its restarts; return the figures."""
        first = self.loop.spawn(self._wait_until_ready(self.processes[0].admin))
        while first.steps is not None:
            self.loop.run_once(0.02)
        load = LoadGenerator(self.fields["listen"], SOURCES, REQUEST_TIMEOUT_MS, self.loop)
        begin_ms = self.loop.clock.now()
        self._schedule_requests(load, begin_ms)
        for at_s in self.restarts_at_s:
            self.loop.call_at(begin_ms + at_s * 1000.0, self._spawn_restart)
        load.run_until(begin_ms + self.seconds * 1000.0 + REQUEST_TIMEOUT_MS + SETTLE_MS)
        return self._figures(load)

    def _schedule_requests(self, load: LoadGenerator, begin_ms: float) -> None:
        """Schedule Poisson arrivals, and a retry of some of those with a key."""
        classes, shares = list(CLASS_SHARES), list(CLASS_SHARES.values())
        offset_ms = 0.0
        while offset_ms < self.seconds * 1000.0:
            offset_ms += self.random.expovariate(CORES * UTILISATION / RUN_MS)
            class_name = self.random.choices(classes, shares)[0]
            key = f"{self.random.getrandbits(128):032x}" if class_name == KEYED_CLASS else ""
            self._schedule_request(load, begin_ms + offset_ms, class_name, key)
            if key and self.random.random() < RETRY_SHARE:
                retry_ms = offset_ms + self.random.uniform(*RETRY_AFTER_MS)
                self._schedule_request(load, begin_ms + retry_ms, class_name, key)

    def _schedule_request(self, load: LoadGenerator, at_ms: float, class_name: str, key: str) -> None:
        source = f"127.0.0.{self.random.randrange(2, 10)}"
        self.loop.call_at(at_ms, partial(_ask, load, source, class_name, key))

    def _figures(self, load: LoadGenerator) -> dict[str, Any]:
        keys = {request.attempt_id: request.idempotency_key for request in load.sent_requests}
        runs_by_key = Counter(keys[attempt] for attempt in self.started_runs if keys.get(attempt))
        exit_codes = [replaced.process.poll() for replaced in self.processes[:-1]]
        self.processes[-1].process.kill()
        served = sum(any(word == SERVED for _, word in request.answers) for request in load.sent_requests)
        return broken_rules(load.sent_requests, REQUEST_TIMEOUT_MS) | {
            "served": served / len(load.sent_requests),
            "keys_run": len(runs_by_key),
            "keys_run_twice": sum(runs > 1 for runs in runs_by_key.values()),
            "roster_off": self.withdrawals,
            "ready_ms": [round(ready_ms) for ready_ms in self.ready_ms],
            "left": exit_codes,
            "private_mb": [round(size_mb, 1) for size_mb in self.private_mb],
        }

    def close(self) -> None:
        """End the processes and close the listening socket."""
        for node in self.processes:
            node.process.kill()
            node.process.wait()
        self.listening.close()
        self.addresses.close()


def _ask(load: LoadGenerator, source: str, class_name: str, key: str) -> None:
    load.send(source, class_name, key)


def is_ready(admin: Address) -> bool:
    """Tell whether a process accepts clients. On loopback the call takes a millisecond at most."""
    connection = HTTPConnection(admin.host, admin.port, timeout=0.2)
    try:
        connection.request("GET", "/-/ready")
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()


def private_mb(pid: int) -> float:
    """Return the memory in MB that a process shares with no other."""
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Private_Dirty:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def play(seed: int, seconds: float, restarts_at_s: list[float]) -> dict[str, Any]:
    """Play one stretch of load in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        run = LoadRun(Path(folder), seed, seconds, restarts_at_s)
        try:
            return run.play()
        finally:
            run.close()


def missed_objectives(replaced: dict[str, Any], ratio: float) -> list[str]:
    """Return the names of the figures that miss their objective."""
    must_be_zero = ("lost", "doubled", "late", "keys_run_twice", "roster_off")
    missed = [name for name in must_be_zero if replaced[name]]
    if replaced["left"] != [0, 0]:
        missed.append("left")
    if ratio < MIN_RATIO:
        missed.append("ratio")
    if max(replaced["ready_ms"], default=1e9) > MAX_READY_MS:
        missed.append("ready_ms")
    return missed


def main() -> int:
    """Run both, print one JSON object; return 1 where an objective is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    options = parser.parse_args()
    seconds = SECONDS_SHORT if options.short else SECONDS
    began = time.monotonic()
    calm = play(options.seed, seconds, [])
    replaced = play(options.seed, seconds, [seconds * share for share in RESTARTS_AT])
    ratio = round(replaced["served"] / calm["served"], 4)
    missed = missed_objectives(replaced, ratio)
    result = {
        "seed": options.seed,
        "seconds": seconds,
        "calm": calm,
        "replaced": replaced,
        "ratio": ratio,
        "took_s": round(time.monotonic() - began, 1),
        "missed": missed,
    }
    print(json.dumps(result))
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
