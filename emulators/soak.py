"""A soak of one real node: random traffic and faults from a seed, an early kill, then a check of all rules.

``python -m emulators.soak SEED [SEED ...]`` runs one soak per seed in sequence and prints a JSON line for
each. The exit status is 1 if any rule was broken.
"""

from __future__ import annotations

import json
import math
import signal
import sys
import tempfile
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import asdict
from functools import partial
from pathlib import Path
from typing import Any

from emulators.node_under_faults import NodeUnderFaults
from emulators.persistent_clients import ClientRequest, PersistentClients
from emulators.soak_plan import FaultKind, PlannedFault, SoakPlan, draw_plan
from emulators.soak_rules import SoakObservation, SoakResult, evaluate

AFTER_KILL_MS = 300.0
TERMINATION_GAP_MS = 150.0
REPEAT_AFTER_MS = (100.0, 1500.0)
MS_PER_S = 1000.0


class Soak:
    """One soak of a node, from its start to its kill."""

    def __init__(self, folder: Path, plan: SoakPlan) -> None:
        """Start the node and its peers."""
        self.plan = plan
        self.node = NodeUnderFaults(folder, plan.scenario, plan.seed)
        self.node.start_node()
        self._generator = self.node.generator
        self._clients = PersistentClients(
            self.node.loop,
            self.node.listen_address,
            self._generator,
            plan.connections,
            self.node.runtime.finish_request,
        )
        self._paused_ms = 0.0
        self._killed_at_ms = 0.0
        self._fault_handlers: dict[FaultKind, Callable[[PlannedFault], None]] = {
            FaultKind.RUNTIME_RESET: self._reset_runtime,
            FaultKind.RUNTIME_DOWN: self._take_runtime_down,
            FaultKind.RUNTIME_DELAY: self._delay_runtime,
            FaultKind.RUNTIME_SILENT: self._silence_runtime,
            FaultKind.DATABASE_RESET: self._reset_database,
            FaultKind.DATABASE_DOWN: self._take_database_down,
            FaultKind.DATABASE_SLOW: self._slow_database,
            FaultKind.CLIENT_RESET: lambda _: self._clients.reset_random_connection(),
            FaultKind.IDLE_CONNECTIONS: self._open_idle_connections,
            FaultKind.RELOAD: lambda _: self.node.signal(signal.SIGHUP),
            FaultKind.PAUSE: self._pause,
        }

    def run(self) -> SoakResult:
        """Run the traffic and the faults of the plan, and return the evaluation."""
        loop = self.node.loop
        plan = self.plan
        with ExitStack() as stack:
            stack.enter_context(self.node)
            stack.callback(self._clients.close_idle_connections)
            begin_ms = loop.clock.now()
            self._schedule_traffic(begin_ms)
            for fault in plan.faults:
                loop.call_at(begin_ms + fault.at_ms, partial(self._fault_handlers[fault.kind], fault))
            self.node.run_for(plan.traffic_ms)
            self._terminate_and_kill()
            return evaluate(self._observe())

    # Traffic of the clients.

    def _schedule_traffic(self, begin_ms: float) -> None:
        """Schedule all requests until the kill, as a Poisson process."""
        scenario = self.plan.scenario
        names = list(scenario.class_shares)
        shares = list(scenario.class_shares.values())
        at_ms = begin_ms
        end_ms = begin_ms + self.plan.traffic_ms + scenario.stop_ms
        while at_ms < end_ms:
            at_ms += self._generator.expovariate(scenario.requests_per_s()) * MS_PER_S
            name = self._generator.choices(names, shares)[0]
            key = f"{self._generator.getrandbits(128):032x}" if name in scenario.keyed_classes else ""
            self.node.loop.call_at(at_ms, partial(self._send, name, key))

    def _send(self, class_name: str, key: str) -> None:
        if self._killed_at_ms:
            return
        request = self._clients.send(class_name, key, self.plan.scenario.wait_ms)
        now = self.node.loop.clock.now()
        if self._generator.random() < self.plan.cancelled_share:
            give_up_ms = now + self._generator.uniform(0.0, request.wait_ms)
            self.node.loop.call_at(give_up_ms, partial(self._give_up, request))
        if key and self._generator.random() < self.plan.repeated_share:
            repeat_ms = now + self._generator.uniform(*REPEAT_AFTER_MS)
            self.node.loop.call_at(repeat_ms, partial(self._repeat, request))

    def _give_up(self, request: ClientRequest) -> None:
        self._clients.give_up(request)
        if math.isfinite(self.plan.cancel_delay_ms):
            self._call_later(self.plan.cancel_delay_ms, partial(self._clients.cancel, request))

    def _repeat(self, request: ClientRequest) -> None:
        if not self._killed_at_ms:
            self._clients.send(request.class_name, request.idempotency_key, request.wait_ms)

    # Faults of the plan, and their end after a duration.

    def _call_later(self, delay_ms: float, call: Callable[[], None]) -> None:
        self.node.loop.call_at(self.node.loop.clock.now() + delay_ms, call)

    def _reset_runtime(self, _fault: PlannedFault) -> None:
        self.node.runtime_relay.faults.cut_count += 1

    def _take_runtime_down(self, fault: PlannedFault) -> None:
        self._reset_runtime(fault)
        self._silence_runtime(fault)

    def _silence_runtime(self, fault: PlannedFault) -> None:
        faults = self.node.runtime_relay.faults
        faults.partitioned = True
        self._call_later(fault.duration_ms, faults.clear)

    def _delay_runtime(self, fault: PlannedFault) -> None:
        faults = self.node.runtime_relay.faults
        faults.delay_ms = fault.value
        self._call_later(fault.duration_ms, faults.clear)

    def _reset_database(self, _fault: PlannedFault) -> None:
        self.node.database_relay.faults.cut_count += 1

    def _take_database_down(self, fault: PlannedFault) -> None:
        self._reset_database(fault)
        self.node.database_relay.close()
        self._call_later(fault.duration_ms, self.node.database_relay.open)

    def _slow_database(self, fault: PlannedFault) -> None:
        self.node.database.answer_ms = fault.value
        self._call_later(fault.duration_ms, self._restore_database)

    def _restore_database(self) -> None:
        self.node.database.answer_ms = self.plan.scenario.database_ms

    def _open_idle_connections(self, fault: PlannedFault) -> None:
        self._clients.open_idle_connections(int(fault.value))
        self._call_later(fault.duration_ms, self._clients.close_idle_connections)

    def _pause(self, fault: PlannedFault) -> None:
        self._paused_ms += fault.duration_ms
        self.node.signal(signal.SIGSTOP)
        self._call_later(fault.duration_ms, partial(self.node.signal, signal.SIGCONT))

    def _terminate_and_kill(self) -> None:
        """Send SIGTERM as often as the plan says, and kill the node at the earliest time that is allowed."""
        for number in range(self.plan.terminations):
            self._call_later(number * TERMINATION_GAP_MS, partial(self.node.signal, signal.SIGTERM))
        self.node.run_for(self.plan.scenario.stop_ms)
        self._killed_at_ms = self.node.loop.clock.now()
        self._clients.node_killed = True
        self.node.signal(signal.SIGKILL)
        self.node.run_for(AFTER_KILL_MS)

    def _observe(self) -> SoakObservation:
        node = self.node
        return SoakObservation(
            plan=self.plan,
            requests=self._clients.requests,
            runs_by_body=node.runtime.runs_by_body,
            runs_by_attempt=node.runtime.runs_by_attempt,
            peak=node.runtime.peak,
            links=node.runtime.links,
            peak_mean_calls=node.database.peak_mean_calls,
            killed_at_ms=self._killed_at_ms,
            paused_ms=self._paused_ms,
            log=node.log(),
            exit_status=node.process.wait() if node.process is not None else None,
        )


def run_soak(seed: int) -> SoakResult:
    """Run the soak of a seed in a temporary folder and return its result.

    If a rule was broken, the node's log is copied to ``soak-SEED.log`` in the system's temporary folder.
    """
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(Path(folder), draw_plan(seed))
        result = soak.run()
        if result.broken:
            log_copy = Path(tempfile.gettempdir()) / f"soak-{seed}.log"
            log_copy.write_text(soak.node.log())
        return result


def main(arguments: list[str]) -> int:
    """Run a soak for each seed given; return the exit status."""
    status = 0
    for argument in arguments:
        result: dict[str, Any] = asdict(run_soak(int(argument)))
        status = max(status, int(bool(result["broken"])))
        print(json.dumps(result), flush=True)
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
