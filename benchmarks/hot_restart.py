"""A node's process replaced twice under load, against the same load with no replacement in the same run.

Balancers keep their connections until they are told to go; a third of the keyed requests is tried again soon
after, on whichever process it reaches. Counted: what is served, lost, answered twice or late; keys that were
run twice; what the roster hears; how soon the new process is ready; memory of both together.

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
from functools import partial
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

from benchmarks.rig import ROOT, SERVED, Load, broken_rules, free_address
from emulators.site import RuntimeEmulator, SiteEmulator, SiteScript
from snowthread.address import Address
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop, TaskSteps, Wait

CORES, RUN_MS, USE = 8, 100.0, 0.7
MIX = {"match": 0.5, "recalc": 0.3, "dispense": 0.2}
WAIT_MS = 3000.0
AIMS = {"ratio": 0.98, "ready_ms": 3000.0}


class Day:
    """One stretch of load on one node, whichever process it is."""

    def __init__(self, folder: Path, seed: int, seconds: float, replace_at: list[float]) -> None:
        self.loop, self.folder, self.rng = EventLoop(Clock()), folder, random.Random(seed)
        self.seconds, self.replace_at = seconds, replace_at
        self.started: list[str] = []
        self.offs = 0
        self.ready_ms: list[float] = []
        self.private_mb: list[float] = []
        self.door = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.fields = json.loads((ROOT / "examples" / "node.json").read_bytes())
        self.fields |= {name: free_address() for name in ("runtime", "index")}
        self.fields |= {
            "roster": free_address(socket.SOCK_DGRAM),
            "listen": "{}:{}".format(*self.door.getsockname()),
        }
        self.fields["settings"]["domain"]["cores"] = CORES
        script = SiteScript(other_ms=RUN_MS, cores=CORES, tell=self._tell)
        self.script = script
        SiteEmulator(self.loop, self.fields, script)
        self.processes = [self._start(self.fields["runtime"])]

    def _tell(self, line: str) -> None:
        words = line.split()
        if words[0] == "runtime:":
            self.started.append(words[2])
        self.offs += line.startswith("roster:") and line.endswith("off")

    def _start(self, runtime: str) -> tuple[subprocess.Popen[bytes], str]:
        admin = free_address()
        path = self.folder / f"node{len(self.ready_ms)}{os.urandom(2).hex()}.json"
        path.write_text(json.dumps(self.fields | {"runtime": runtime, "admin_addr": admin}))
        made = subprocess.Popen(
            [sys.executable, "-m", "snowthread"],
            cwd=ROOT,
            stderr=subprocess.DEVNULL,
            pass_fds=(self.door.fileno(),),
            env=os.environ
            | {
                "NODE_CONFIG": str(path),
                "NODE_FD": str(self.door.fileno()),
                "TMPDIR": str(self.folder),
                "PYTHONPATH": str(ROOT),
            },
        )
        return made, admin

    def _ready(self, admin: str) -> TaskSteps:
        """Ask until it says yes. The call blocks this loop for a millisecond at most: it is on loopback."""
        address = Address.parse(admin)
        while True:
            connection = HTTPConnection(address.host, address.port, timeout=0.2)
            try:
                connection.request("GET", "/-/ready")
                if connection.getresponse().status == 200:
                    return
            except OSError:
                pass
            finally:
                connection.close()
            yield Wait(until=self.loop.clock.now() + 20.0)

    def _replace(self) -> TaskSteps:
        runtime = free_address()
        RuntimeEmulator(self.loop, Address.parse(runtime), self.script)
        (old, _), began = self.processes[-1], self.loop.clock.now()
        new, admin = self._start(runtime)
        self.processes.append((new, admin))
        yield from self._ready(admin)
        self.ready_ms.append(self.loop.clock.now() - began)
        self.private_mb.append(private_mb(old.pid) + private_mb(new.pid))
        old.send_signal(signal.SIGTERM)

    def _begin(self) -> None:
        self.loop.spawn(self._replace())

    @staticmethod
    def _ask(load: Load, source: str, kind: str, once: str) -> None:
        load.ask(source, kind, once)

    def play(self) -> dict[str, Any]:
        """Load, with the replacements at their times; what came of it."""
        first = self.loop.spawn(self._ready(self.processes[0][1]))
        while first.steps is not None:
            self.loop.run_once(0.02)
        load = Load(self.fields["listen"], [f"127.0.0.{n}" for n in range(2, 10)], WAIT_MS, self.loop)
        begin, at = self.loop.clock.now(), 0.0
        while at < self.seconds * 1000.0:
            at += self.rng.expovariate(CORES * USE / RUN_MS)
            kind = self.rng.choices(list(MIX), list(MIX.values()))[0]
            once = f"{self.rng.getrandbits(128):032x}" if kind == "dispense" else ""
            source = f"127.0.0.{self.rng.randrange(2, 10)}"
            self.loop.call_at(begin + at, partial(self._ask, load, source, kind, once))
            if once and self.rng.random() < 1 / 3:
                again, source = at + self.rng.uniform(1.0, 600.0), f"127.0.0.{self.rng.randrange(2, 10)}"
                self.loop.call_at(begin + again, partial(self._ask, load, source, kind, once))
        for seconds in self.replace_at:
            self.loop.call_at(begin + seconds * 1000.0, self._begin)
        load.run_until(begin + self.seconds * 1000.0 + WAIT_MS + 300.0)
        keys = {asked.uid: asked.once for asked in load.asked}
        runs = Counter(keys[uid] for uid in self.started if keys.get(uid))
        left = [process.poll() for process, _ in self.processes[:-1]]
        self.processes[-1][0].kill()
        served = sum(any(word == SERVED for _, word in a.answers) for a in load.asked)
        return broken_rules(load.asked, WAIT_MS) | {
            "served": served / len(load.asked),
            "keys_run": len(runs),
            "keys_run_twice": sum(n > 1 for n in runs.values()),
            "roster_off": self.offs,
            "ready_ms": [round(ms) for ms in self.ready_ms],
            "left": left,
            "private_mb": [round(mb, 1) for mb in self.private_mb],
        }

    def close(self) -> None:
        """End what was started."""
        for process, _ in self.processes:
            process.kill()
            process.wait()
        self.door.close()


def private_mb(pid: int) -> float:
    """Memory that is this process's own."""
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Private_Dirty:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def main() -> int:
    """Run both, print one JSON object; 1 where an aim is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--short", action="store_true")
    options = parser.parse_args()
    seconds = 10.0 if options.short else 40.0
    found: dict[str, Any] = {"seed": options.seed, "seconds": seconds}
    began = time.monotonic()
    for name, at in (("calm", []), ("replaced", [seconds * 0.25, seconds * 0.65])):
        with tempfile.TemporaryDirectory() as folder:
            day = Day(Path(folder), options.seed, seconds, list(at))
            try:
                found[name] = day.play()
            finally:
                day.close()
    replaced = found["replaced"]
    found["ratio"] = round(replaced["served"] / found["calm"]["served"], 4)
    found["took_s"] = round(time.monotonic() - began, 1)
    wrong = [name for name in ("lost", "doubled", "late", "keys_run_twice", "roster_off") if replaced[name]]
    wrong += ["left"] if replaced["left"] != [0, 0] else []
    wrong += ["ratio"] if found["ratio"] < AIMS["ratio"] else []
    wrong += ["ready_ms"] if max(replaced["ready_ms"], default=1e9) > AIMS["ready_ms"] else []
    print(json.dumps(found | {"missed": wrong}))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
