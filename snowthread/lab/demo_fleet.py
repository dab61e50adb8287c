"""Fleet of the demo: three nodes with skewed clocks, each with emulated services and its own load."""

from __future__ import annotations

import json
import random
import signal
import socket
from collections.abc import Callable
from pathlib import Path

from emulators.load_generator import LoadGenerator
from snowthread.lab.address_reservation import AddressReservation
from snowthread.lab.processes import (
    FLEET_HOST,
    EmulatorProcess,
    NodeProcess,
    StartError,
    format_address,
    read_example_configuration,
    stop_nodes,
)
from snowthread.net.loop import Coroutine, EventLoop, Wait

# Offset of the clock of each node's machine from the true time, in seconds.
CLOCK_OFFSETS_S = (0.4, -0.6, 0.0)
NODE_COUNT = len(CLOCK_OFFSETS_S)
CORES_PER_NODE = 4  # Number of cores of each node's machine.
RUN_MS = 20.0
DATABASE_CALL_MS = 15.0
SHUTDOWN_TIMEOUT_MS = 1500
START_TIMEOUT_MS = 20_000.0
EXIT_POLL_MS = 50.0
LOOP_STEP_S = 0.02
REQUESTS_PER_S = 60.0  # Requests per second to each node.
CLASS_SHARES = {"match": 0.5, "recalc": 0.2, "dispense": 0.3}
BALANCER_HOSTS = ("127.0.0.1", "127.0.0.2")
BALANCER_NUMBER = 10
LOAD_SEED = 1


class DemoFleet:
    """The node and emulator processes of the demo, and the load generators in this process."""

    def __init__(self, folder: Path, loop: EventLoop) -> None:
        """Write the configurations to a folder and start the emulators; :meth:`start` starts the nodes."""
        self.folder = folder
        self.records = folder / "records"
        self.loop = loop
        self.records.mkdir(parents=True, exist_ok=True)
        self._features = folder / "demo.hcl"
        self._features.write_text(f'records {{\n  folder = "{self.records}"\n}}\n')
        self._reservation = AddressReservation(FLEET_HOST)
        self.nodes = [self._create_node(index) for index in range(NODE_COUNT)]
        self._site_emulators = [
            EmulatorProcess(
                "emulators.site", str(self._config_file(node.index)), str(CORES_PER_NODE), str(RUN_MS)
            )
            for node in self.nodes
        ]
        self.load_generators = [
            LoadGenerator(
                format_address(node.listen), BALANCER_HOSTS, loop=loop, balancer_number=BALANCER_NUMBER
            )
            for node in self.nodes
        ]
        for load in self.load_generators:
            load.alternatives = [other for other in self.load_generators if other is not load]

    def _config_file(self, index: int) -> Path:
        return self.folder / f"node{index + 1}.json"

    def _create_node(self, index: int) -> NodeProcess:
        name = f"n{index + 1}"
        listen = self._reservation.reserve()
        fields = read_example_configuration()
        fields["settings"]["domain"]["cores"] = CORES_PER_NODE
        # "index" and "roster" are the configuration keys for the addresses of the database and the registry.
        fields |= {
            "name": name,
            "listen": format_address(listen),
            "runtime": format_address(self._reservation.reserve()),
            "index": format_address(self._reservation.reserve()),
            "roster": format_address(self._reservation.reserve(socket.SOCK_DGRAM)),
            "stop_ms": SHUTDOWN_TIMEOUT_MS,
        }
        config = self._config_file(index)
        config.write_text(json.dumps(fields))
        offset_s = str(CLOCK_OFFSETS_S[index])
        command = ("emulators.skewed_clock", offset_s, "serve", "--with", str(self._features))
        return NodeProcess(name, index, listen, self.folder, command, {"NODE_CONFIG": str(config)})

    def start(self) -> None:
        """Start the nodes one after the other.

        Raises:
            StartError: A node ended or did not accept connections in time.
        """
        for node in self.nodes:
            node.start()
            self.loop.spawn(self._wait_until_accepting(node))
            deadline = self.loop.clock.now() + START_TIMEOUT_MS
            while not node.accepting:
                if self.loop.clock.now() >= deadline or not node.running:
                    raise StartError(f"demo node {node.index + 1}")
                self.loop.run_once(LOOP_STEP_S)
        self.set_database_call_time(DATABASE_CALL_MS)

    def _wait_until_accepting(self, node: NodeProcess) -> Coroutine:
        yield from node.wait_until_accepting(self.loop, START_TIMEOUT_MS)

    def start_load(self, seconds: float) -> None:
        """Send requests to all nodes for this many seconds; the same requests are drawn in each demo."""
        generator = random.Random(LOAD_SEED)
        for load in self.load_generators:
            load.schedule_arrivals(generator, REQUESTS_PER_S, seconds, CLASS_SHARES)

    def set_database_call_time(self, milliseconds: float) -> None:
        """Set the duration of every database call from now on."""
        for site in self._site_emulators:
            # "index" is the emulator's name for the database.
            site.send(f"index {milliseconds}")

    def stop_action(self, index: int, signal_number: signal.Signals) -> Callable[[], None]:
        """Return an action that stops a node with a signal and moves its load to the other nodes."""

        def stop() -> None:
            self.load_generators[index].paused = True
            self.nodes[index].send_signal(signal_number)

        return stop

    def restart_action(self, index: int) -> Callable[[], None]:
        """Return an action that restarts a node after it has ended, and gives its load back to it."""
        return lambda: self._spawn_restart(index)

    def _spawn_restart(self, index: int) -> None:
        self.loop.spawn(self._restart(self.nodes[index], self.load_generators[index]))

    def _restart(self, node: NodeProcess, load: LoadGenerator) -> Coroutine:
        while node.running:
            yield Wait(until_ms=self.loop.clock.now() + EXIT_POLL_MS)
        node.start()
        yield from node.wait_until_accepting(self.loop, START_TIMEOUT_MS)
        load.paused = False

    def close(self) -> None:
        """Close the load connections and stop all processes; the nodes shut down gracefully."""
        self.loop.end_all_tasks()
        stop_nodes(self.nodes)
        for site in self._site_emulators:
            site.stop()
        self._reservation.close()
