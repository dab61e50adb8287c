"""The fleet of a scenario: its nodes, its emulators, and the relays between them.

Each node is a ``python -m snowthread`` with a state folder of its own. One ``emulators.fleet_services``
process emulates a machine (runtime) a node, the shared formula database and the registry; one
``emulators.balancers`` sends all the traffic. A relay stands between each node and the balancers, the
database and the registry.
"""

from __future__ import annotations

import json
import random
import signal
import socket
import time
from dataclasses import dataclass
from pathlib import Path

from snowthread.address import Address
from snowthread.lab.address_reservation import AddressReservation
from snowthread.lab.cores import CoreAllocation
from snowthread.lab.datagram_relay import DatagramRelay
from snowthread.lab.deployment import (
    ServiceAddresses,
    balancers_plan,
    features_file,
    node_fields,
    services_plan,
)
from snowthread.lab.processes import (
    FLEET_HOST,
    LOOPBACK_NETWORK,
    START_TIMEOUT_S,
    EmulatorProcess,
    NodeProcess,
    StartError,
    format_address,
    read_example_configuration,
    require_repository,
    stop_nodes,
)
from snowthread.lab.relay import Relay
from snowthread.lab.scenario import LinkName, Scenario
from snowthread.net.loop import EventLoop, TaskSteps
from snowthread.recovery import storage

LOOP_STEP_S = 0.02


@dataclass(frozen=True, slots=True)
class NodeLinks:
    """The relays round one node."""

    front: Relay  # from the balancers; open only while the node accepts connections
    database: Relay
    registry: DatagramRelay

    def get(self, name: LinkName) -> Relay | DatagramRelay:
        """Return the relay that a scenario calls by this name."""
        match name:
            case LinkName.FRONT:
                return self.front
            case LinkName.DATABASE:
                return self.database
            case LinkName.REGISTRY:
                return self.registry

    def close(self) -> None:
        """Close all three."""
        for relay in (self.front, self.database, self.registry):
            relay.close()


class Fleet:
    """The processes and relays of one run of a scenario, in a folder of its own."""

    def __init__(self, scenario: Scenario, folder: Path, loop: EventLoop, cores: CoreAllocation) -> None:
        """Write all configurations and start the emulators and relays; the nodes are not started yet."""
        require_repository("lab")
        self.scenario = scenario
        self.folder = folder
        self.loop = loop
        self.ready_ms: dict[str, list[float]] = {}  # from each start of a node until it accepts
        self._cores = cores
        folder.mkdir(parents=True, exist_ok=True)
        self._reservation = AddressReservation(FLEET_HOST)
        addresses = ServiceAddresses(
            runtimes=[self._reservation.reserve() for _ in range(scenario.nodes)],
            database=self._reservation.reserve(),
            registry=self._reservation.reserve(socket.SOCK_DGRAM),
        )
        plan = services_plan(scenario, addresses)
        self.services = self._start_emulator("emulators.fleet_services", plan, folder / "fleet.json")
        self.links: dict[str, NodeLinks] = {}
        self.nodes: dict[str, NodeProcess] = {}
        self._create_nodes(addresses)
        fronts = {name: links.front.address for name, links in self.links.items()}
        plan = balancers_plan(scenario, fronts, addresses.registry, LOOPBACK_NETWORK)
        self.balancers = self._start_emulator("emulators.balancers", plan, folder / "balancers.json")

    def _start_emulator(self, module: str, plan: dict[str, object], path: Path) -> EmulatorProcess:
        path.write_text(json.dumps(plan))
        return EmulatorProcess(module, str(path), log=path.with_suffix(".log"))

    def _create_nodes(self, addresses: ServiceAddresses) -> None:
        generator = random.Random(self.scenario.seed)
        for number, name in enumerate(self.scenario.node_names()):
            listen = self._reservation.reserve()
            database = self._create_relay(addresses.database, generator)
            front = self._create_relay(listen, generator)
            front.close()
            links = NodeLinks(front, database, DatagramRelay(self.loop, addresses.registry))
            self.links[name] = links
            self.nodes[name] = self._create_node(name, number, listen, addresses.runtimes[number], links)

    def _create_relay(self, target: Address, generator: random.Random) -> Relay:
        listen = self._reservation.reserve()
        return Relay(self.loop, listen, target, random.Random(generator.random()))

    def _create_node(
        self, name: str, number: int, listen: Address, runtime: Address, links: NodeLinks
    ) -> NodeProcess:
        folder = self.folder / name
        state = state_folder(folder)
        state.mkdir(parents=True, exist_ok=True)
        fields = node_fields(self.scenario, read_example_configuration())
        fields |= {
            "name": name,
            "listen": format_address(listen),
            "runtime": format_address(runtime),
            "index": format_address(links.database.address),
            "roster": format_address(links.registry.address),
            "seed": f"{self.scenario.seed * 1000 + number:016x}",
        }
        config = folder / "node.json"
        features = folder / "features.hcl"
        config.write_text(json.dumps(fields))
        features.write_text(features_file(self.scenario, folder))
        environment = {"NODE_CONFIG": str(config), "TMPDIR": str(state), "NODE_LOG": "INFO"}
        command = ("snowthread", "serve", "--with", str(features))
        return NodeProcess(name, number, listen, folder, command, environment)

    def start(self) -> None:
        """Start all nodes and run the loop until each accepts connections.

        Raises:
            StartError: A node has ended, or the nodes took too long.
        """
        self._cores.assign_lab(self.services.process.pid, self.balancers.process.pid)
        for node in self.nodes.values():
            if self.scenario.comeback:  # as an operator does for a new machine: no incarnation ran keys
                storage.create_key_log(state_folder(node.folder))
            self.start_node(node)
        deadline = time.monotonic() + START_TIMEOUT_S
        while not all(node.accepting for node in self.nodes.values()):
            dead = [node.name for node in self.nodes.values() if not node.running]
            if dead or time.monotonic() > deadline:
                raise StartError(f"{dead or 'some'}", self.folder)
            self.loop.run_once(LOOP_STEP_S)

    def start_node(self, node: NodeProcess) -> None:
        """Start a node; its front opens as soon as it accepts connections."""
        with (node.folder / f"log.{node.starts + 1}").open("wb") as log:
            node.start(log)
        assert node.process is not None
        self._cores.assign_node(node.process.pid)
        self.loop.spawn(self._open_front_when_accepting(node))

    def _open_front_when_accepting(self, node: NodeProcess) -> TaskSteps:
        started_ms = self.loop.clock.now()
        if (yield from node.wait_until_accepting(self.loop)):
            self.links[node.name].front.open()
            took_ms = round(self.loop.clock.now() - started_ms, 1)
            self.ready_ms.setdefault(node.name, []).append(took_ms)

    def signal_node(self, node: NodeProcess, number: signal.Signals) -> None:
        """Send a signal to a node that is running; SIGKILL also cuts the power of its machine."""
        if not node.running:
            return
        if number in (signal.SIGKILL, signal.SIGSTOP):
            self.announce_down(node)
        node.send_signal(number)
        if number is signal.SIGKILL:
            self.links[node.name].front.close()
            self.services.send(f"cold {node.number}")

    def restart_node(self, node: NodeProcess) -> None:
        """Start a node again; kill it first where a graceful shutdown has not ended yet."""
        self.signal_node(node, signal.SIGKILL)
        self.start_node(node)

    def announce_down(self, node: NodeProcess) -> None:
        """Notify the balancers that requests open at a node now may go without an answer."""
        self.balancers.send(f"down {node.name}")

    def accepting_nodes(self) -> int:
        """Return how many nodes are running and accept connections."""
        return sum(node.running and node.accepting for node in self.nodes.values())

    def pids(self) -> dict[str, int]:
        """Return the process number of each emulator and node."""
        nodes = {node.name: node.process.pid for node in self.nodes.values() if node.process is not None}
        return {"fleet": self.services.process.pid, "balancers": self.balancers.process.pid} | nodes

    def close(self) -> None:
        """Stop all processes and relays."""
        stop_nodes(self.nodes.values())
        self.balancers.stop()
        self.services.stop()
        for links in self.links.values():
            links.close()
        self._reservation.close()


def state_folder(node_folder: Path) -> Path:
    """Return where a node keeps its state, in the folder of its run."""
    return node_folder / "state"
