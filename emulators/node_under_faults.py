"""A real node process with emulated peers, and relays that inject faults into its connections to them.

The node is a ``python -m snowthread`` process. All emulators and relays run on the event loop of the caller's
process, and the caller sets the faults of the relays while it runs the loop.
"""

from __future__ import annotations

import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
from collections.abc import Mapping
from contextlib import ExitStack
from copy import deepcopy
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

from emulators.load_generator import LoadGenerator
from emulators.metered_database import MeteredDatabase
from emulators.site import RegistryEmulator, SiteScript
from emulators.strict_runtime import MachineModel, StrictRuntime
from snowthread.address import Address
from snowthread.lab.address_reservation import AddressReservation
from snowthread.lab.processes import format_address
from snowthread.lab.relay import Relay
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop

ROOT = Path(__file__).parents[1]
EXAMPLE_CONFIGURATION = ROOT / "examples" / "node.json"
START_TIMEOUT_MS = 30_000.0
LOOP_STEP_S = 0.02
HOST = "127.0.0.1"
MAX_OBJECTIVE_RATIO = 0.7  # Maximum ratio of a class's latency objective to its deadline.
MIN_KEY_WINDOW_S = 15.951  # Minimum ``window_s`` in the settings of a class with idempotency keys.
MS_PER_S = 1000.0
POLL_MS = 50.0
SOURCES = ("127.0.0.2", "127.0.0.3", "127.0.0.4")  # Source addresses of the emulated balancers.


class NodeStartError(RuntimeError):
    """The node process ended before it accepted connections, or took too long to accept them."""

    def __init__(self, log: str) -> None:
        """Include what the node has logged so far."""
        self.log = log
        super().__init__(f"the node did not start; its log: {log}")


@dataclass(slots=True)
class NodeScenario:
    """The settings of the node, the machine of its runtime, and the load offered to it."""

    model: MachineModel
    load_ratio: float  # Ratio of the core time that the offered runs need to that of the machine's cores.
    class_shares: Mapping[str, float]
    keyed_classes: frozenset[str] = frozenset({"dispense"})
    preemption: str = "drop"
    # Changes to ``domain`` in the example's settings.
    domain: Mapping[str, Any] = field(default_factory=dict)
    database_ms: float = 20.0
    wait_ms: float = 3000.0  # Time in ms for which balancers wait for an answer.
    deadline_s: float = 0.0  # Deadline in s of all classes; 0 keeps those of the example's settings.
    stop_ms: int = 3700
    # Changes to ``limits`` in the example's configuration.
    limits: Mapping[str, Any] = field(default_factory=dict)

    def settings(self) -> dict[str, Any]:
        """Return the settings of ``examples/node.json`` with the changes of this scenario."""
        settings: dict[str, Any] = deepcopy(json.loads(EXAMPLE_CONFIGURATION.read_bytes())["settings"])
        settings["domain"] |= {"cores": self.model.cores, "preemption": self.preemption} | dict(self.domain)
        settings["rules"] |= {
            "fall_multiple": self.model.warm_runs_per_core_max,
            "overload_for_s": self.model.overload_window_ms / MS_PER_S,
            "cold_share": self.model.cold_speed_ratio,
            "ramp_time_s": self.model.warmup_ms / MS_PER_S,
        }
        for request_class in settings["classes"]:
            is_keyed = request_class["name"] in self.keyed_classes
            request_class["effect"] = "idempotency_key" if is_keyed else "read_like"
            if self.deadline_s:
                request_class["deadline_s"] = self.deadline_s
                request_class["goal_time_s"] = min(
                    request_class["goal_time_s"], MAX_OBJECTIVE_RATIO * self.deadline_s
                )
            request_class["window_s"] = max(request_class["window_s"], MIN_KEY_WINDOW_S if is_keyed else 0.0)
        return settings

    def requests_per_s(self) -> float:
        """Return the mean number of requests per second."""
        return self.load_ratio * self.model.cores / self.model.mean_run_ms * MS_PER_S


class NodeUnderFaults:
    """A node process, its peers and the relays between them; as a context manager, it stops them on exit."""

    def __init__(self, folder: Path, scenario: NodeScenario, seed: int) -> None:
        """Start the emulators and relays; :meth:`start_node` starts the node.

        Args:
            folder: Folder for the node's configuration and log.
            scenario: Settings, machine and load.
            seed: Seed of all random values.
        """
        self.loop = EventLoop(Clock())
        self.scenario = scenario
        self.generator = random.Random(seed)
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / "node.log"
        self._resources = ExitStack()
        addresses = self._resources.enter_context(AddressReservation(HOST))
        runtime = addresses.reserve()
        database = addresses.reserve()
        registry = addresses.reserve(socket.SOCK_DGRAM)
        self.listen_address = addresses.reserve()
        self.runtime = StrictRuntime(self.loop, runtime, scenario.model, self.generator)
        self.database = MeteredDatabase(self.loop, database, scenario.database_ms)
        RegistryEmulator(self.loop, registry, SiteScript())
        self.runtime_relay = Relay(self.loop, addresses.reserve(), runtime, self.generator)
        self.database_relay = Relay(self.loop, addresses.reserve(), database, self.generator)
        self._config_path = folder / "node.json"
        self._config_path.write_text(json.dumps(self._configuration(registry)))
        self.load_generator = LoadGenerator(
            format_address(self.listen_address), SOURCES, scenario.wait_ms, loop=self.loop, balancer_number=1
        )
        self.load_generator.puts_key_in_body = True

    def _configuration(self, registry: Address) -> dict[str, Any]:
        example: dict[str, Any] = json.loads(EXAMPLE_CONFIGURATION.read_bytes())
        return example | {
            "listen": format_address(self.listen_address),
            "runtime": format_address(self.runtime_relay.address),
            "index": format_address(self.database_relay.address),
            "roster": format_address(registry),
            "stop_ms": self.scenario.stop_ms,
            "limits": example["limits"] | dict(self.scenario.limits),
            "settings": self.scenario.settings(),
        }

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.loop.end_all_tasks()
        self._resources.close()

    def start_node(self) -> None:
        """Start the node, and wait until it is connected to its runtime and accepts connections.

        Raises:
            NodeStartError: The process ended before that, or took longer than ``START_TIMEOUT_MS``.
        """
        self.runtime.reset_for_new_node()
        environment = os.environ | {"NODE_CONFIG": str(self._config_path), "PYTHONPATH": str(ROOT)}
        log = self._resources.enter_context(self.log_path.open("ab"))
        # The service starts the node with SIGHUP ignored, too.
        command = f"trap '' HUP; exec {shlex.quote(sys.executable)} -m snowthread"
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        deadline_ms = self.loop.clock.now() + START_TIMEOUT_MS
        links = self.runtime.links
        while self.runtime.links == links or not self._accepts_connections():
            if self.process.poll() is not None or self.loop.clock.now() > deadline_ms:
                raise NodeStartError(self.log())
            self.run_for(POLL_MS)

    def _accepts_connections(self) -> bool:
        with socket.socket() as probe:
            return probe.connect_ex(self.listen_address) == 0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node if its process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def run_for(self, duration_ms: float) -> None:
        """Run the event loop, and with it the emulators, for ``duration_ms`` milliseconds."""
        self.load_generator.run_until(self.loop.clock.now() + duration_ms)

    def schedule_load(self, seconds: float) -> None:
        """Schedule the requests of the scenario for the next ``seconds`` seconds."""
        scenario = self.scenario
        self.load_generator.schedule_arrivals(
            self.generator, scenario.requests_per_s(), seconds, scenario.class_shares, scenario.keyed_classes
        )

    def log(self) -> str:
        """Return what the node has logged so far."""
        return self.log_path.read_text() if self.log_path.exists() else ""
