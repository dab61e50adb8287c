"""Plays abusive clients against one real node that serves ordinary clients, and checks the rules for those.

``python -m emulators.abuse [--seed N] [--seconds S] [--connections N] BEHAVIOUR [BEHAVIOUR ...]`` prints one
line of JSON for each behaviour (see :mod:`emulators.abusive_clients`). The exit status is 1 if any rule was
broken: an answer lost, doubled or late, a keyed request run twice, or the memory limit exceeded.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from functools import partial
from pathlib import Path

from emulators.node_under_faults import ROOT, NodeScenario, NodeUnderFaults
from emulators.persistent_clients import PersistentClients
from emulators.request_protocol import SERVED
from emulators.soak_plan import SoakPlan
from emulators.soak_rules import SoakObservation, check_answers, check_process, check_runs
from emulators.strict_runtime import MachineModel
from snowthread.lab.process_usage import cpu_seconds, resident_memory_mb
from snowthread.lab.processes import format_address

MEMORY_LIMIT_MB = 80.0  # limit of the processes of a node on the days on which one replaces the other
SOCKETS = 512
LOAD_RATIO = 0.3
CLASS_SHARES = {"match": 0.4, "recalc": 0.4, "dispense": 0.2}
KEYED_CLASSES = frozenset({"dispense"})
MEAN_RUN_MS = 20.0
WAIT_MS = 3000.0
CONNECTIONS = 5  # connections of the ordinary clients
BEFORE_MS = 1000.0  # ordinary traffic before the abusive clients come
AFTER_MS = 3500.0  # until every ordinary request has its answer, or is late
MEMORY_SAMPLE_MS = 20.0
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class AbusePlan:
    """Which behaviour is played, for how long and on how many connections at once."""

    behaviour: str
    seconds: float = 5.0
    connections: int = 1
    seed: int = 1
    memory_limit_mb: float = MEMORY_LIMIT_MB
    sockets: int = SOCKETS

    def scenario(self) -> NodeScenario:
        """Return the settings of the node and its ordinary load."""
        return NodeScenario(
            model=MachineModel(mean_run_ms=MEAN_RUN_MS),
            load_ratio=LOAD_RATIO,
            class_shares=CLASS_SHARES,
            keyed_classes=KEYED_CLASSES,
            wait_ms=WAIT_MS,
            limits={"memory_mb": self.memory_limit_mb, "sockets": self.sockets},
        )


@dataclass(slots=True)
class AbuseResult:
    """The figures of one play; ``broken`` has one message per violation of a rule."""

    behaviour: str
    requests: int = 0
    served: int = 0
    latency_p99_ms: float = 0.0
    memory_before_mb: float = 0.0
    memory_peak_mb: float = 0.0
    memory_after_mb: float = 0.0
    node_cpu_s: float = 0.0
    abusive: Mapping[str, int] = field(default_factory=dict)  # what the abusive clients counted
    abusive_runs: int = 0  # runs of requests of the abusive clients
    attempts_run_twice: int = 0  # attempt ids of which more than one run was started
    broken: list[str] = field(default_factory=list)


class AbuseRun:
    """One play of an abusive behaviour against a node."""

    def __init__(self, folder: Path, plan: AbusePlan) -> None:
        """Start the node and its peers."""
        self.plan = plan
        self.node = NodeUnderFaults(folder, plan.scenario(), plan.seed)
        self.node.start_node()
        assert self.node.process is not None
        self._pid = self.node.process.pid
        self._clients = PersistentClients(
            self.node.loop,
            self.node.listen_address,
            self.node.generator,
            CONNECTIONS,
            self.node.runtime.finish_request,
        )
        self._memory_peak_mb = 0.0

    def run(self) -> AbuseResult:
        """Play the ordinary traffic and the abusive clients, and return the figures."""
        plan = self.plan
        result = AbuseResult(plan.behaviour)
        with self.node:
            self._schedule_traffic(BEFORE_MS + plan.seconds * MS_PER_S)
            self.node.run_for(BEFORE_MS)
            result.memory_before_mb = resident_memory_mb(self._pid)
            cpu_before_s = cpu_seconds(self._pid)
            with self._abusive_clients() as process:
                self._sample_memory()
                while process.poll() is None:
                    self.node.run_for(MEMORY_SAMPLE_MS)
                assert process.stdout is not None
                result.abusive = json.loads(process.stdout.read())
            result.node_cpu_s = round(cpu_seconds(self._pid) - cpu_before_s, 2)
            self.node.run_for(AFTER_MS)
            result.memory_peak_mb = self._memory_peak_mb
            result.memory_after_mb = resident_memory_mb(self._pid)
            self._evaluate(result)
        return result

    def _schedule_traffic(self, duration_ms: float) -> None:
        """Schedule the ordinary requests as a Poisson process."""
        generator = self.node.generator
        loop = self.node.loop
        begin_ms = loop.clock.now()
        at_ms = begin_ms
        while at_ms < begin_ms + duration_ms:
            at_ms += generator.expovariate(self.node.scenario.requests_per_s()) * MS_PER_S
            name = generator.choices(list(CLASS_SHARES), list(CLASS_SHARES.values()))[0]
            key = f"{generator.getrandbits(128):032x}" if name in KEYED_CLASSES else ""
            loop.call_at(at_ms, partial(self._send, name, key))

    def _send(self, class_name: str, key: str) -> None:
        self._clients.send(class_name, key, WAIT_MS)

    def _sample_memory(self) -> None:
        self._memory_peak_mb = max(self._memory_peak_mb, resident_memory_mb(self._pid))
        loop = self.node.loop
        loop.call_at(loop.clock.now() + MEMORY_SAMPLE_MS, self._sample_memory)

    @contextmanager
    def _abusive_clients(self) -> Iterator[subprocess.Popen[str]]:
        plan = self.plan
        arguments = (
            format_address(self.node.listen_address),
            plan.behaviour,
            str(plan.seconds),
            str(plan.connections),
            str(plan.seed),
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "emulators.abusive_clients", *arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            yield process
        finally:
            process.kill()
            process.wait()

    def _evaluate(self, result: AbuseResult) -> None:
        node = self.node
        requests = self._clients.requests
        latencies = sorted(r.answered_ms - r.sent_ms for r in requests if r.answers)
        result.requests = len(requests)
        result.served = sum(SERVED in request.answers for request in requests)
        result.latency_p99_ms = round(latencies[len(latencies) * 99 // 100], 1) if latencies else 0.0
        runs = node.runtime.runs_by_attempt
        result.abusive_runs = sum(runs.values()) - sum(runs.get(r.attempt_id, 0) for r in requests)
        result.attempts_run_twice = sum(count > 1 for count in runs.values())
        observed = SoakObservation(
            plan=_soak_plan(self.plan),
            requests=requests,
            runs_by_body=node.runtime.runs_by_body,
            runs_by_attempt=runs,
            killed_at_ms=node.loop.clock.now(),
            log=node.log(),
            exit_status=None if node.process is None else node.process.poll(),
        )
        for check in (check_answers, check_runs, check_process):
            result.broken += check(observed)
        if result.memory_peak_mb > self.plan.memory_limit_mb:
            result.broken.append(
                f"memory reached {result.memory_peak_mb:.1f} of {self.plan.memory_limit_mb} MB"
            )


def _soak_plan(plan: AbusePlan) -> SoakPlan:
    """Return the plan in the form that the rules of the soak take."""
    return SoakPlan(
        seed=plan.seed,
        scenario=plan.scenario(),
        traffic_ms=plan.seconds * MS_PER_S,
        connections=CONNECTIONS,
        cancelled_share=0.0,
        cancel_delay_ms=0.0,
        repeated_share=0.0,
        terminations=0,
        faults=(),
    )


def run_abuse(plan: AbusePlan) -> AbuseResult:
    """Play a plan in a temporary folder and return its figures."""
    with tempfile.TemporaryDirectory() as folder:
        return AbuseRun(Path(folder), plan).run()


def main(arguments: Sequence[str]) -> int:
    """Play each behaviour that is named; return the exit status."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("behaviour", nargs="+")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--connections", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--memory-mb", type=float, default=MEMORY_LIMIT_MB)
    parser.add_argument("--sockets", type=int, default=SOCKETS)
    options = parser.parse_args(arguments)
    status = 0
    for behaviour in options.behaviour:
        plan = AbusePlan(
            behaviour,
            options.seconds,
            options.connections,
            options.seed,
            options.memory_mb,
            options.sockets,
        )
        result = run_abuse(plan)
        status = max(status, int(bool(result.broken)))
        print(json.dumps(asdict(result) | {"broken": [len(result.broken), *result.broken[:2]]}), flush=True)
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
