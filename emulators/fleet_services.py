"""Emulate the peers of all nodes of a fleet as one process of the lab.

It runs one machine per node, the formula database that the nodes share, and the registry.

``python -m emulators.fleet_services PLAN_JSON`` reads a file with ``runtimes`` (addresses), ``database``,
``roster``, ``cores``, ``run_ms`` (by class), ``call_ms``, ``slots``, ``seed``, ``calls`` (classes that call
the database) and ``warmth`` (see :class:`emulators.machine.WarmupModel`). It prints ``fleet: ready`` and then
executes commands from standard input:

    slow F          multiplies the time of the database's calls by F from now on (1 restores it)
    cold N          power-cycles the machine with this number
    generation G    sets the generation of the fleet that the registry announces from now on
    report          prints runs by key, load of the database and overloads of the machines as one line of JSON
    (end)           the end of the input ends the process
"""

from __future__ import annotations

import json
import random
import sys
from pathlib import Path
from typing import Any

from emulators.fleet_registry import FleetRegistry
from emulators.machine import Machine, WarmupModel
from emulators.request_protocol import KEYED_BODY_PREFIX
from emulators.shared_database import SharedDatabase
from emulators.site import SiteScript
from emulators.stdin_commands import handle_commands
from snowthread.address import Address
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop

SAMPLE_INTERVAL_MS = 1000.0
MS_PER_S = 1000.0
SLOWDOWN_MIN = 0.01


class FleetServices:
    """The machines, the database and the registry of a fleet, and the commands that change them."""

    def __init__(self, loop: EventLoop, plan: dict[str, Any]) -> None:
        """Listen on all addresses of the plan."""
        self._loop = loop
        generator = random.Random(plan["seed"])
        script = SiteScript(
            run_ms=plan["run_ms"], cores=int(plan["cores"]), calling_classes=frozenset(plan["calls"])
        )
        model = WarmupModel(**plan["warmth"])
        self._machines = [
            Machine(loop, Address.parse(address), script, model, random.Random(generator.getrandbits(32)))
            for address in plan["runtimes"]
        ]
        self._database = SharedDatabase(
            loop, Address.parse(plan["database"]), float(plan["call_ms"]), int(plan["slots"])
        )
        self._registry = FleetRegistry(loop, Address.parse(plan["roster"]))
        self._warmth_by_second: dict[int, float] = {}  # Mean warmth of the machines, from 0 to 1, by second.
        self._sample_warmth()

    def _sample_warmth(self) -> None:
        now = self._loop.clock.now()
        self._loop.call_at(now + SAMPLE_INTERVAL_MS, self._sample_warmth)
        warmth = sum(machine.warmth for machine in self._machines) / len(self._machines)
        self._warmth_by_second[int(now // MS_PER_S)] = round(warmth, 3)

    def handle(self, command: str, argument: str) -> None:
        """Execute a command from standard input."""
        match command:
            case "slow":
                self._database.slowdown = max(SLOWDOWN_MIN, float(argument))
            case "cold":
                self._machines[int(argument)].restart()
            case "generation":
                self._registry.generation = int(argument)
            case "report":
                print(json.dumps(self._report()), flush=True)

    def _report(self) -> dict[str, Any]:
        """Return the figures of all services so far; :mod:`snowthread.lab.summary` reads the keys."""
        return {
            "keyed": count_keyed_runs(self._machines),
            "calls": dict(self._database.received_by_second),
            "done": dict(self._database.completed_by_second),
            "held": dict(self._database.max_calls_by_second),
            "database_refused": self._database.rejected,
            "falls": [machine.overloads for machine in self._machines],
            "known": [round(machine.warmth, 3) for machine in self._machines],
            "warmth": self._warmth_by_second,
            "old_lives": self._registry.stale_reports,
        }


def count_keyed_runs(machines: list[Machine]) -> dict[str, int]:
    """Return how many runs of each idempotency key each machine started, by ``machine/key``.

    In the lab, the body of a request with an idempotency key names the key.
    """
    return {
        f"{number}/{body.removeprefix(KEYED_BODY_PREFIX).decode(errors='replace')}": count
        for number, machine in enumerate(machines)
        for body, count in machine.runs.items()
        if body.startswith(KEYED_BODY_PREFIX)
    }


def main(path: str) -> None:
    """Run the services of a plan until standard input ends."""
    loop = EventLoop(Clock())
    services = FleetServices(loop, json.loads(Path(path).read_text()))
    print("fleet: ready", flush=True)
    handle_commands(loop, services.handle)
    loop.run()


if __name__ == "__main__":
    main(sys.argv[1])
