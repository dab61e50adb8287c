"""The lab's runner: starts the processes of a scenario, plays its plan and its load, and sums up.

Processes: one ``standins.fleet`` (a runtime a node, the shared formula database, the roster) and a
``python -m snowthread`` a node, each its own process with its own state folder (``TMPDIR``). Between each
node and the database a TCP :class:`~snowthread.lab.relay.Relay`, between each node and the roster a
:class:`~snowthread.lab.relay.DatagramRelay`; the load calls the nodes straight, as balancers do, and where a
node does not take the connection the request goes to the next node that does. The runner itself is one loop:
relays, load and the plan's timers. It never decides for a node.

Accounting, a request at a time: served, refused, failed, lost (no answer though its node lived on), or gone
with its node (no answer and its node was killed while it was open). A keyed run is doubled where the fleet's
ledger shows its key begun more than once.
"""

from __future__ import annotations

import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from functools import partial
from typing import IO, Any

from snowthread.address import Address
from snowthread.lab.plan import Scenario, Step, lines
from snowthread.lab.relay import DatagramRelay, Relay
from snowthread.net.clock import Clock
from snowthread.net.loop import Loop
from snowthread.warm import disk
from snowthread.warm.snapshot import PRIORS, Snapshot, encode
from standins.callers import SERVED, Asked, Load

ROOT = Path(__file__).parent.parent.parent
WAIT_MS = 3000.0  # a request's time, as balancers give it
START_PATIENCE_S = 30.0
SOURCES = ["127.0.0.2", "127.0.0.3"]
MIX = {"match": 0.6, "recalc": 0.4}  # of the requests with no key
FULL = 0.95  # of the service before, that counts as full again


def _text(address: Address) -> str:
    return f"{address.host}:{address.port}"


def free(kind: socket.SocketKind = socket.SOCK_STREAM) -> Address:
    """A free port on loopback."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return Address(*sock.getsockname()[:2])


@dataclass(slots=True)
class Node:
    name: str
    listen: Address
    folder: Path
    config: Path
    process: subprocess.Popen[bytes] | None = None
    lives: int = 0
    load: Load | None = None
    open_by_life: dict[int, list[Asked]] = field(default_factory=dict)

    @property
    def state(self) -> Path:
        return self.folder / "state"

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None


class Lab:
    """One play of a scenario in a folder of its own."""

    def __init__(self, scenario: Scenario, folder: Path, baseline: bool = False) -> None:
        self.scenario, self.folder = scenario, folder
        self.loop = Loop(Clock())
        self.draw = random.Random(scenario.seed)
        self.gone: set[int] = set()  # ids of requests whose node was killed while they were open
        self.redirected = 0
        self.alive_by_s: list[int] = []
        self.events: list[dict[str, Any]] = []
        self.logs: list[IO[bytes]] = []
        folder.mkdir(parents=True, exist_ok=True)
        database, roster = free(), free(socket.SOCK_DGRAM)
        runtimes = [free() for _ in range(scenario.nodes)]
        plan = {"runtimes": [_text(a) for a in runtimes], "database": _text(database),
                "roster": _text(roster), "cores": scenario.cores, "run_ms": scenario.run_ms,
                "call_ms": scenario.call_ms}
        (folder / "fleet.json").write_text(json.dumps(plan))
        self.fleet = subprocess.Popen([sys.executable, "-m", "standins.fleet", str(folder / "fleet.json")],
                                      cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
                                      env=os.environ | {"PYTHONPATH": str(ROOT)})
        assert self.fleet.stdout is not None
        if "ready" not in self.fleet.stdout.readline():
            raise RuntimeError("the fleet's stand-in did not start")
        self.database = {name: Relay(self.loop, Address("127.0.0.1", 0), database, random.Random(n), name)
                         for n, name in enumerate(scenario.names())}
        self.roster = {name: DatagramRelay(self.loop, roster, name) for name in scenario.names()}
        self.nodes = {name: self._node(name, runtimes[n]) for n, name in enumerate(scenario.names())}

    def _node(self, name: str, runtime: Address) -> Node:
        folder = self.folder / name
        (folder / "state").mkdir(parents=True, exist_ok=True)
        fields = json.loads((ROOT / "examples" / "node.json").read_bytes())
        listen, database, roster = free(), self.database[name].address, self.roster[name].address
        fields |= {"name": name, "listen": _text(listen), "runtime": _text(runtime), "index": _text(database),
                   "roster": _text(roster), "stop_ms": 1500}
        fields["settings"]["domain"]["cores"] = self.scenario.cores
        config = folder / "node.json"
        config.write_text(json.dumps(fields))
        return Node(name, listen, folder, config)

    # processes

    def start(self, node: Node) -> None:
        log = open(node.folder / f"log.{node.lives + 1}", "wb")  # closed at the end of the play
        self.logs.append(log)
        environment = {"PYTHONPATH": str(ROOT), "NODE_CONFIG": str(node.config), "TMPDIR": str(node.state),
                       "NODE_LOG": "WARNING"}
        node.process = subprocess.Popen([sys.executable, "-m", "snowthread"], cwd=ROOT, stdout=log,
                                        stderr=log, env=os.environ | environment)
        node.lives += 1

    def listens(self, node: Node) -> bool:
        try:
            socket.create_connection(node.listen, 0.2).close()
        except OSError:
            return False
        return True

    def start_all(self) -> None:
        for node in self.nodes.values():
            self.start(node)
        until = time.monotonic() + START_PATIENCE_S
        for node in self.nodes.values():
            while not self.listens(node):
                if time.monotonic() > until or not node.alive():
                    raise RuntimeError(f"{node.name} did not start; see {node.folder}")
                time.sleep(0.05)
            node.load = Load(f"{node.listen.host}:{node.listen.port}", SOURCES, WAIT_MS, self.loop)
            node.load.keyed_bodies = True

    def stop_all(self) -> None:
        for node in self.nodes.values():
            if node.alive():
                assert node.process is not None
                node.process.send_signal(signal.SIGCONT)
                node.process.terminate()
        for node in self.nodes.values():
            if node.process is not None:
                try:
                    node.process.wait(10)
                except subprocess.TimeoutExpired:
                    node.process.kill()
                    node.process.wait()
        for log in self.logs:
            log.close()

    # the plan

    def _kill(self, node: Node, how: signal.Signals) -> None:
        if node.process is None or not node.alive():
            return
        node.process.send_signal(how)
        if how is signal.SIGKILL:
            assert node.load is not None
            self.gone.update(id(asked) for asked in node.load.asked if not asked.answers)

    def act(self, step: Step) -> None:
        """Carry out one step of the plan now."""
        self.events.append({"at_ms": step.at_ms, "do": step.do, "nodes": list(step.nodes), "link": step.link})
        if step.do == "slow" or (step.do == "heal" and not step.nodes):
            assert self.fleet.stdin is not None
            self.fleet.stdin.write(f"slow {step.value if step.do == 'slow' else 1.0}\n")
            self.fleet.stdin.flush()
            return
        for name in step.nodes:
            node = self.nodes[name]
            match step.do:
                case "kill":
                    self._kill(node, signal.SIGKILL)
                case "term":
                    self._kill(node, signal.SIGTERM)
                case "stop":
                    self._kill(node, signal.SIGSTOP)
                case "cont":
                    self._kill(node, signal.SIGCONT)
                case "start":
                    if node.process is not None and node.process.poll() is None:
                        node.process.kill()  # a term that did not end in time: the plan wants it back now
                    if node.process is not None:
                        node.process.wait()
                    self.start(node)
                case "wipe":
                    shutil.rmtree(node.state, ignore_errors=True)
                    node.state.mkdir(parents=True, exist_ok=True)
                case "tear":
                    for path in node.state.rglob("*"):
                        if path.is_file():
                            os.truncate(path, path.stat().st_size // 2)
                case "age":
                    disk.write(node.state, encode(Snapshot(0, node.lives, time.time() * 1000.0, PRIORS)))
                case "partition" | "delay" | "cut" | "heal":
                    self._link(node, step)

    def _link(self, node: Node, step: Step) -> None:
        relay = self.database[node.name] if step.link == "database" else self.roster[node.name]
        if step.do == "partition":
            relay.faults.partitioned = True
        elif step.do == "delay":
            relay.faults.delay_ms = step.value
        elif step.do == "cut":
            relay.faults.cuts += 1
        else:
            relay.faults.clear()

    # the load

    def _capacity_per_s(self) -> float:
        return self.scenario.nodes * self.scenario.cores * 1000.0 / self.scenario.run_ms

    def _ask(self, order: list[str], class_name: str, key: str) -> None:
        for at, name in enumerate(order):
            load = self.nodes[name].load
            if load is None or not self.nodes[name].alive():
                continue
            try:
                load.ask(SOURCES[len(load.asked) % len(SOURCES)], class_name, key)
            except OSError:
                load.asked.pop()  # not taken: nothing was asked of it, a balancer tries the next
                continue
            self.redirected += at > 0
            return

    def schedule_load(self, begin_ms: float) -> None:
        scenario, draw = self.scenario, self.draw
        rate = scenario.load.share * self._capacity_per_s()
        names, at = scenario.names(), begin_ms
        while at < begin_ms + scenario.duration_ms:
            at += draw.expovariate(rate) * 1000.0
            keyed = draw.random() < scenario.load.keyed
            home = draw.randrange(len(names))
            order = names[home:] + names[:home]
            kind = "dispense" if keyed else draw.choices(list(MIX), list(MIX.values()))[0]
            key = f"{draw.getrandbits(64):016x}" if keyed else ""
            self.loop.call_at(at, partial(self._ask, order, kind, key))
            if keyed and draw.random() < scenario.load.repeats:
                again = at + draw.uniform(300.0, 2500.0)
                self.loop.call_at(again, partial(self._ask, order, kind, key))

    # a play

    def play(self) -> dict[str, Any]:
        self.start_all()
        begin = self.loop.clock.now()
        self.schedule_load(begin)
        for step in self.scenario.steps:
            self.loop.call_at(begin + step.at_ms, partial(self.act, step))
        end = begin + self.scenario.duration_ms + WAIT_MS + 500.0
        next_sample = begin
        while self.loop.clock.now() < end:
            self.loop.round(0.02)
            if self.loop.clock.now() >= next_sample:
                up = [node.alive() and self.listens(node) for node in self.nodes.values()]
                self.alive_by_s.append(sum(up))
                next_sample += 1000.0
        report = self._report()
        self.stop_all()
        assert self.fleet.stdin is not None
        self.fleet.stdin.close()
        self.fleet.wait(10)
        for relay in self.database.values():
            relay.close()
        for roster in self.roster.values():
            roster.close()
        return summary(self, begin, report)

    def _report(self) -> dict[str, Any]:
        assert self.fleet.stdin is not None and self.fleet.stdout is not None
        self.fleet.stdin.write("report\n")
        self.fleet.stdin.flush()
        reported: dict[str, Any] = json.loads(self.fleet.stdout.readline())
        return reported


def summary(lab: Lab, begin: float, report: dict[str, Any]) -> dict[str, Any]:
    """What a play came to, as one JSON object."""
    scenario = lab.scenario
    asked = [a for node in lab.nodes.values() if node.load is not None for a in node.load.asked]
    counts: Counter[str] = Counter()
    late = 0
    for a in asked:
        if not a.answers:
            counts["gone with its node" if id(a) in lab.gone else "lost"] += 1
            continue
        counts["answered twice"] += len(a.answers) > 1
        counts[a.answers[0][1]] += 1
        late += a.answers[0][0] > a.at + WAIT_MS + 110.0
    seconds = int(scenario.duration_ms // 1000)
    asked_s, served_s, refused_s = [0] * seconds, [0] * seconds, [0] * seconds
    for a in asked:
        second = int((a.at - begin) // 1000)
        if 0 <= second < seconds:
            asked_s[second] += 1
            served_s[second] += any(word == SERVED for _, word in a.answers)
            refused_s[second] += bool(a.answers) and a.answers[0][1] != SERVED
    served = [good / all_ if all_ else 1.0 for good, all_ in zip(served_s, asked_s, strict=True)]
    faults = [step.at_ms for step in scenario.steps if step.do in ("kill", "term", "stop")]
    first = int(faults[0] // 1000) if faults else seconds
    before = sum(served[1:first]) / max(1, len(served[1:first])) if first > 1 else 1.0
    smooth = [sum(served[max(0, s - 1):s + 2]) / len(served[max(0, s - 1):s + 2]) for s in range(seconds)]
    low = [s for s in range(first, seconds) if smooth[s] < FULL * before]  # three seconds: 1 s is noise
    back_s = (low[-1] + 1 - faults[0] / 1000.0) if low and faults else 0.0
    dips = sum(1 for s in range(1, len(low)) if low[s] != low[s - 1] + 1)
    database = {int(k): v for k, v in report["database_by_s"].items()}
    base = int(begin // 1000)
    peak = max((v for k, v in database.items() if k >= base), default=0)
    keyed = report["keyed"]
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "scenario": scenario.name, "seed": scenario.seed, "nodes": scenario.nodes, "plan": lines(scenario),
        "database_per_s": scenario.database_per_s,
        "asked": len(asked), "answers": dict(counts), "late": late, "redirected": lab.redirected,
        "keyed_runs_doubled": sum(count > 1 for count in keyed.values()), "keys_run": len(keyed),
        "served_before": round(before, 3), "time_to_full_s": round(max(0.0, back_s), 1), "second_dips": dips,
        "served_by_s": [round(s, 3) for s in served], "asked_by_s": asked_s, "refused_by_s": refused_s,
        "database_by_s": [database.get(base + s, 0) for s in range(seconds)],
        "database_peak_over_capacity": round(peak / scenario.database_per_s, 3),
        "alive_by_s": lab.alive_by_s[:seconds], "events": lab.events,
        "lab_cpu_s": round(usage.ru_utime + usage.ru_stime, 2),
    }
