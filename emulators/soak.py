"""A soak of one real node: seeded traffic and faults, an early kill, and every rule checked afterwards.

``python -m emulators.soak SEED [SEED ...]`` plays the seeds one after the other and prints a JSON line each.
Its status is 1 if any rule was broken.
"""

from __future__ import annotations

import json
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from emulators.node_under_faults import NodeUnderFaults
from emulators.persistent_clients import KEYED_BODY_PREFIX, REJECTED, ClientRequest, PersistentClients
from emulators.soak_plan import FaultKind, PlannedFault, SoakPlan, draw_plan
from snowthread.admission.concurrency import CAPACITY_MARGIN_RATIO

ANSWER_SLACK_MS = 110.0  # the settings' 60 ms and the protocol's 50 ms
MACHINE_SLACK_MS = 100.0  # of the machine that plays: node, emulators and clients share it
UNANSWERABLE_MS = 30.0  # before the kill: what is sent then no node can read and answer
AFTER_KILL_MS = 300.0
TERMINATION_GAP_MS = 150.0
REPEAT_AFTER_MS = (100.0, 1500.0)
ERRORS_IN_LOG = ("Traceback", " failed\n", "ERROR", "CRITICAL")


@dataclass(slots=True)
class SoakResult:
    """What came of one soak; ``broken`` names each rule that was broken, with its figures."""

    seed: int
    requests: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    links: int = 0
    peak_runs_per_core: float = 0.0
    peak_of_survived: float = 0.0
    calls_in_hand: float = 0.0
    latest_ms: float = 0.0  # the latest answer after its due time
    broken: list[str] = field(default_factory=list)


class Soak:
    """One soak."""

    def __init__(self, folder: Path, plan: SoakPlan) -> None:
        """Start the node and its peers."""
        self.plan = plan
        self.node = NodeUnderFaults(folder, plan.scenario, plan.seed)
        self.node.start_node()
        self._generator = self.node.generator
        self._clients = PersistentClients(
            self.node.loop, self.node.listen_address, self._generator, plan.connections
        )
        self._paused_ms = 0.0
        self._killed_at_ms = 0.0
        self._apply: dict[FaultKind, Callable[[PlannedFault], None]] = {
            FaultKind.RUNTIME_RESET: self._reset_runtime,
            FaultKind.RUNTIME_DOWN: self._take_runtime_down,
            FaultKind.RUNTIME_DELAY: self._delay_runtime,
            FaultKind.RUNTIME_SILENT: self._silence_runtime,
            FaultKind.DATABASE_RESET: self._reset_database,
            FaultKind.DATABASE_DOWN: self._take_database_down,
            FaultKind.DATABASE_SLOW: self._slow_database,
            FaultKind.CLIENT_RESET: lambda fault: self._clients.reset_one(),
            FaultKind.CROWD: self._open_crowd,
            FaultKind.RELOAD: lambda fault: self.node.signal(signal.SIGHUP),
            FaultKind.PAUSE: self._pause,
        }

    def run(self) -> SoakResult:
        """Play the plan and judge it."""
        loop, plan = self.node.loop, self.plan
        try:
            begin_ms = loop.clock.now()
            self._schedule_traffic(begin_ms)
            for fault in plan.faults:
                loop.call_at(begin_ms + fault.at_ms, partial(self._apply[fault.kind], fault))
            self.node.run_for(plan.traffic_ms)
            self._terminate()
            return self._judge()
        finally:
            self._clients.close_crowd()
            self.node.__exit__()

    # Traffic.

    def _schedule_traffic(self, begin_ms: float) -> None:
        """Schedule Poisson arrivals until the kill."""
        plan, scenario = self.plan, self.plan.scenario
        names, shares = list(scenario.class_shares), list(scenario.class_shares.values())
        at_ms, end_ms = begin_ms, begin_ms + plan.traffic_ms + scenario.stop_ms
        while at_ms < end_ms:
            at_ms += self._generator.expovariate(scenario.requests_per_s()) * 1000.0
            name = self._generator.choices(names, shares)[0]
            key = f"{self._generator.getrandbits(128):032x}" if name in scenario.keyed_classes else ""
            self.node.loop.call_at(at_ms, partial(self._send, name, key))

    def _send(self, class_name: str, key: str) -> None:
        if self._killed_at_ms:
            return
        request = self._clients.send(class_name, key, self.plan.scenario.wait_ms)
        now = self.node.loop.clock.now()
        if self._generator.random() < self.plan.cancelled_share:
            cancel_ms = now + self._generator.uniform(0.0, request.wait_ms)
            self.node.loop.call_at(cancel_ms, partial(self._clients.cancel, request))
        if key and self._generator.random() < self.plan.repeated_share:
            repeat_ms = now + self._generator.uniform(*REPEAT_AFTER_MS)
            self.node.loop.call_at(repeat_ms, partial(self._repeat, request))

    def _repeat(self, request: ClientRequest) -> None:
        if not self._killed_at_ms:
            self._clients.send(request.class_name, request.idempotency_key, request.wait_ms)

    # Faults.

    def _later(self, delay_ms: float, call: Callable[[], None]) -> None:
        self.node.loop.call_at(self.node.loop.clock.now() + delay_ms, call)

    def _reset_runtime(self, fault: PlannedFault) -> None:
        self.node.runtime_link.faults.cuts += 1

    def _take_runtime_down(self, fault: PlannedFault) -> None:
        self._reset_runtime(fault)
        self._silence_runtime(fault)

    def _silence_runtime(self, fault: PlannedFault) -> None:
        faults = self.node.runtime_link.faults
        faults.partitioned = True
        self._later(fault.duration_ms, faults.clear)

    def _delay_runtime(self, fault: PlannedFault) -> None:
        faults = self.node.runtime_link.faults
        faults.delay_ms = fault.value
        self._later(fault.duration_ms, faults.clear)

    def _reset_database(self, fault: PlannedFault) -> None:
        self.node.database_link.faults.cuts += 1

    def _take_database_down(self, fault: PlannedFault) -> None:
        self._reset_database(fault)
        self.node.database_link.close()
        self._later(fault.duration_ms, self.node.database_link.open)

    def _slow_database(self, fault: PlannedFault) -> None:
        self.node.database.answer_ms = fault.value
        self._later(fault.duration_ms, self._heal_database)

    def _heal_database(self) -> None:
        self.node.database.answer_ms = self.plan.scenario.database_ms

    def _open_crowd(self, fault: PlannedFault) -> None:
        self._clients.open_crowd(int(fault.value))
        self._later(fault.duration_ms, self._clients.close_crowd)

    def _pause(self, fault: PlannedFault) -> None:
        self._paused_ms += fault.duration_ms
        self.node.signal(signal.SIGSTOP)
        self._later(fault.duration_ms, partial(self.node.signal, signal.SIGCONT))

    def _terminate(self) -> None:
        """Send SIGTERM, in a series where the plan says so, and kill at the earliest time allowed."""
        for number in range(self.plan.terminations):
            self._later(number * TERMINATION_GAP_MS, partial(self.node.signal, signal.SIGTERM))
        self.node.run_for(self.plan.scenario.stop_ms)
        self._killed_at_ms = self.node.loop.clock.now()
        self._clients.node_is_gone = True
        self.node.signal(signal.SIGKILL)
        self.node.run_for(AFTER_KILL_MS)

    # Rules.

    def _judge(self) -> SoakResult:
        node, requests = self.node, self._clients.requests
        result = SoakResult(
            seed=self.plan.seed,
            requests=len(requests),
            outcomes=dict(Counter(r.answers[0] if r.answers else "none" for r in requests)),
            links=node.runtime.links,
            peak_runs_per_core=round(node.runtime.peak.runs_per_core, 2),
            peak_of_survived=round(node.runtime.peak.share_of_survived, 2),
            calls_in_hand=round(node.database.peak_mean, 2),
            latest_ms=round(max((r.lateness_ms for r in requests if r.answers), default=0.0), 1),
        )
        for check in (self._check_answers, self._check_runs, self._check_load, self._check_process):
            result.broken += check()
        return result

    def _check_answers(self) -> list[str]:
        """Return how the rule was broken that each request read has one answer, in time."""
        slack_ms = ANSWER_SLACK_MS + MACHINE_SLACK_MS + self._paused_ms
        broken = []
        for request in self._clients.requests:
            told = f"{request.class_name} {request.attempt_id} sent {self._before_kill(request.sent_ms)}"
            due_ms = min(request.sent_ms + request.wait_ms + slack_ms, self._killed_at_ms)
            if len(request.answers) > 1:
                broken.append(f"{told} was answered twice: {request.answers}")
            elif request.lost_reason:
                broken.append(f"{told} lost: {request.lost_reason}")
            elif request.answers and request.lateness_ms > slack_ms:
                broken.append(f"{told} answered {request.lateness_ms:.0f} ms after its due time")
            elif not request.answers and request.is_owed and self._was_answerable(request, due_ms):
                broken.append(f"{told} has no answer")
        return broken

    def _was_answerable(self, request: ClientRequest, due_ms: float) -> bool:
        return due_ms <= self._killed_at_ms and request.sent_ms < self._killed_at_ms - UNANSWERABLE_MS

    def _before_kill(self, at_ms: float) -> str:
        return f"{self._killed_at_ms - at_ms:.0f} ms before the kill"

    def _check_runs(self) -> list[str]:
        """Return which keys ran twice, and which attempts were rejected though they ran."""
        runtime, scenario = self.node.runtime, self.plan.scenario
        broken = [
            f"key {body!r} ran {count} times"
            for body, count in runtime.bodies_begun.items()
            if body.startswith(KEYED_BODY_PREFIX) and count > 1
        ]
        broken += [
            f"keyed attempt {request.attempt_id} was rejected and ran"
            for request in self._clients.requests
            if request.class_name in scenario.keyed_classes
            and REJECTED in request.answers
            and request.attempt_id in runtime.runs_begun
        ]
        return broken

    def _check_load(self) -> list[str]:
        """Return whether the machine or the database had more than they bear."""
        broken = []
        peak, quota = self.node.runtime.peak, self.plan.scenario.settings()["domain"]["calls_out"]
        if peak.share_of_survived >= 1.0:
            broken.append(f"the machine fell: {peak}")
        elif peak.share_of_survived > CAPACITY_MARGIN_RATIO:
            broken.append(f"the machine had more than the margin allows: {peak}")
        if self.node.database.peak_mean > quota:
            broken.append(f"{self.node.database.peak_mean:.2f} calls in hand, {quota} allowed")
        return broken

    def _check_process(self) -> list[str]:
        process, log = self.node.process, self.node.log()
        broken = [f"the log has {text!r}" for text in ERRORS_IN_LOG if text in log]
        if process is not None and process.wait() not in (0, -signal.SIGKILL):
            broken.append(f"the node exited with {process.returncode}")
        return broken


def play(seed: int) -> SoakResult:
    """Play one seed in a folder of its own; the node's log is kept where a rule was broken."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(Path(folder), draw_plan(seed))
        result = soak.run()
        if result.broken:
            kept = Path(tempfile.gettempdir()) / f"soak-{seed}.log"
            kept.write_text(soak.node.log())
        return result


def main(arguments: list[str]) -> int:
    """Play the seeds given; return the exit status."""
    status = 0
    for argument in arguments:
        result: dict[str, Any] = asdict(play(int(argument)))
        status = max(status, int(bool(result["broken"])))
        print(json.dumps(result), flush=True)
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
