"""The fleet of a scenario: its nodes, its emulators, and the relays between them.

Each node is a process ``python -m snowthread`` with its own state folder. One ``emulators.fleet_services``
process emulates a machine (runtime) per node, the shared formula database and the registry. One
``emulators.balancers`` process sends all requests. Relays connect each node to the balancers, the database
and the registry.
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
    balancers_configuration,
    node_configuration,
    operator_file,
    services_configuration,
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
from snowthread.net.loop import Coroutine, EventLoop
from snowthread.recovery import storage

LOOP_STEP_S = 0.02


@dataclass(frozen=True, slots=True)
class NodeLinks:
    """The relays on the links of one node."""

    # Relay for connections from the balancers; it listens only while the node accepts connections.
    inbound: Relay
    database: Relay
    registry: DatagramRelay

    def get(self, name: LinkName) -> Relay | DatagramRelay:
        """Return the relay for a link of a scenario."""
        match name:
            case LinkName.INBOUND:
                return self.inbound
            case LinkName.DATABASE:
                return self.database
            case LinkName.REGISTRY:
                return self.registry

    def close(self) -> None:
        """Close the relays of all three links."""
        for relay in (self.inbound, self.database, self.registry):
            relay.close()


class Fleet:
    """The processes and relays of one run of a scenario, in their own folder."""

    def __init__(self, scenario: Scenario, folder: Path, loop: EventLoop, cores: CoreAllocation) -> None:
        """Write all configurations and start emulators and relays; :meth:`start` starts the nodes."""
        require_repository("lab")
        self.scenario = scenario
        self.folder = folder
        self.loop = loop
        # Time in ms from each start of a node until it accepted connections, by node name.
        self.ready_ms: dict[str, list[float]] = {}
        self._cores = cores
        folder.mkdir(parents=True, exist_ok=True)
        self._reservation = AddressReservation(FLEET_HOST)
        addresses = ServiceAddresses(
            runtimes=[self._reservation.reserve() for _ in range(scenario.nodes)],
            database=self._reservation.reserve(),
            registry=self._reservation.reserve(socket.SOCK_DGRAM),
        )
        configuration = services_configuration(scenario, addresses)
        self.services = self._start_emulator("emulators.fleet_services", configuration, folder / "fleet.json")
        self.links: dict[str, NodeLinks] = {}
        self.nodes: dict[str, NodeProcess] = {}
        self._create_nodes(addresses)
        inbound_addresses = {name: links.inbound.address for name, links in self.links.items()}
        configuration = balancers_configuration(
            scenario, inbound_addresses, addresses.registry, LOOPBACK_NETWORK
        )
        self.balancers = self._start_emulator("emulators.balancers", configuration, folder / "balancers.json")

    def _start_emulator(self, module: str, configuration: dict[str, object], path: Path) -> EmulatorProcess:
        path.write_text(json.dumps(configuration))
        return EmulatorProcess(module, str(path), log=path.with_suffix(".log"))

    def _create_nodes(self, addresses: ServiceAddresses) -> None:
        generator = random.Random(self.scenario.seed)
        for index, name in enumerate(self.scenario.node_names()):
            listen = self._reservation.reserve()
            database = self._create_relay(addresses.database, generator)
            inbound = self._create_relay(listen, generator)
            inbound.close()
            links = NodeLinks(inbound, database, DatagramRelay(self.loop, addresses.registry))
            self.links[name] = links
            self.nodes[name] = self._create_node(name, index, listen, addresses.runtimes[index], links)

    def _create_relay(self, target: Address, generator: random.Random) -> Relay:
        listen = self._reservation.reserve()
        return Relay(self.loop, listen, target, random.Random(generator.random()))

    def _create_node(
        self, name: str, index: int, listen: Address, runtime: Address, links: NodeLinks
    ) -> NodeProcess:
        folder = self.folder / name
        state = state_folder(folder)
        state.mkdir(parents=True, exist_ok=True)
        fields = node_configuration(self.scenario, read_example_configuration())
        # "index" and "roster" are the configuration keys for the addresses of the database and the registry.
        fields |= {
            "name": name,
            "listen": format_address(listen),
            "runtime": format_address(runtime),
            "index": format_address(links.database.address),
            "roster": format_address(links.registry.address),
            "seed": f"{self.scenario.seed * 1000 + index:016x}",
        }
        config = folder / "node.json"
        features = folder / "features.hcl"
        config.write_text(json.dumps(fields))
        features.write_text(operator_file(self.scenario, folder))
        environment = {"NODE_CONFIG": str(config), "TMPDIR": str(state), "NODE_LOG": "INFO"}
        command = ("snowthread", "serve", "--with", str(features))
        return NodeProcess(name, index, listen, folder, command, environment)

    def start(self) -> None:
        """Start all nodes and run the event loop until each accepts connections.

        Raises:
            StartError: A node has ended, or the nodes took too long.
        """
        self._cores.assign_lab(self.services.process.pid, self.balancers.process.pid)
        for node in self.nodes.values():
            # As an operator does for a new machine: an empty key log states that no keyed request ran.
            if self.scenario.comeback:
                storage.create_key_log(state_folder(node.folder))
            self.start_node(node)
        deadline = time.monotonic() + START_TIMEOUT_S
        while not all(node.accepting for node in self.nodes.values()):
            dead = [node.name for node in self.nodes.values() if not node.running]
            if dead or time.monotonic() > deadline:
                raise StartError(", ".join(dead) or "some nodes", self.folder)
            self.loop.run_once(LOOP_STEP_S)

    def start_node(self, node: NodeProcess) -> None:
        """Start a node; its inbound relay opens as soon as the node accepts connections."""
        with (node.folder / f"log.{node.starts + 1}").open("wb") as log:
            node.start(log)
        assert node.process is not None
        self._cores.assign_node(node.process.pid)
        self.loop.spawn(self._open_inbound_relay_when_accepting(node))

    def _open_inbound_relay_when_accepting(self, node: NodeProcess) -> Coroutine:
        started_ms = self.loop.clock.now()
        if (yield from node.wait_until_accepting(self.loop)):
            self.links[node.name].inbound.open()
            took_ms = round(self.loop.clock.now() - started_ms, 1)
            self.ready_ms.setdefault(node.name, []).append(took_ms)

    def signal_node(self, node: NodeProcess, signal_number: signal.Signals) -> None:
        """Send a signal to a node if it is running; SIGKILL also power-cycles its emulated machine."""
        if not node.running:
            return
        if signal_number in (signal.SIGKILL, signal.SIGSTOP):
            self.report_node_down(node)
        node.send_signal(signal_number)
        if signal_number is signal.SIGKILL:
            self.links[node.name].inbound.close()
            self.services.send(f"cold {node.index}")

    def restart_node(self, node: NodeProcess) -> None:
        """Restart a node; if it is still shutting down, it is killed first."""
        self.signal_node(node, signal.SIGKILL)
        self.start_node(node)

    def report_node_down(self, node: NodeProcess) -> None:
        """Tell the balancers that requests open at a node may stay unanswered from now on."""
        self.balancers.send(f"down {node.name}")

    def accepting_nodes(self) -> int:
        """Return the number of nodes that are running and accept connections."""
        return sum(node.running and node.accepting for node in self.nodes.values())

    def pids(self) -> dict[str, int]:
        """Return the process ID of each emulator and node, by name."""
        nodes = {node.name: node.process.pid for node in self.nodes.values() if node.process is not None}
        return {"fleet": self.services.process.pid, "balancers": self.balancers.process.pid} | nodes

    def close(self) -> None:
        """Stop all processes and close all relays."""
        stop_nodes(self.nodes.values())
        self.balancers.stop()
        self.services.stop()
        for links in self.links.values():
            links.close()
        self._reservation.close()


def state_folder(node_folder: Path) -> Path:
    """Return the state folder of a node, given the folder of its run."""
    return node_folder / "state"
