"""Tests that the programs of a run get different addresses, even if the kernel reuses free ports at once."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from typing import Any

import pytest
from support import program

from benchmarks import programs
from emulators.node_under_faults import NodeScenario, NodeUnderFaults
from emulators.servers import bind_datagrams, listen
from emulators.strict_runtime import MachineModel
from snowthread.lab import demo_fleet, fleet
from snowthread.lab.address_reservation import AddressReservation
from snowthread.lab.cores import CoreAllocation
from snowthread.lab.demo_fleet import DemoFleet
from snowthread.lab.fleet import Fleet
from snowthread.lab.scenario_file import read_scenario
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop

HOST = "127.0.0.1"
NODES = 3
LAB_CORES = 2
TIMEOUT_S = 10.0
OFFERED_PORTS = range(20_000, 32_000)  # Below the kernel's range of free ports, which other tests use.
TCP_KEYS = ("listen", "runtime", "index")
UDP_KEY = "roster"


class LowestPortSocket(socket.socket):
    """A socket that binds to the lowest free port if it asks for any, as a kernel may do."""

    def bind(self, address: Any) -> None:
        if self.family != socket.AF_INET or address[1] != 0:
            super().bind(address)
            return
        shares_address = self.getsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR)
        # A kernel never gives out a port that another socket has, even if both allow sharing.
        self.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        for port in OFFERED_PORTS:
            try:
                super().bind((address[0], port))
            except OSError:
                continue
            self.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, shares_address)
            return
        raise AssertionError("no port is free")


class IdleEmulator:
    """Replaces the process of an emulator, which would bind its ports."""

    def __init__(self, module: str, *arguments: str, log: Path | None = None) -> None:
        pass

    def stop(self) -> None:
        pass


@pytest.fixture
def lowest_ports(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give the lowest free port to each socket that asks for any port."""
    monkeypatch.setattr(socket, "socket", LowestPortSocket)


def read_json(path: Path) -> dict[str, Any]:
    fields: dict[str, Any] = json.loads(path.read_text())
    return fields


def assert_all_differ(addresses: list[str], count: int) -> None:
    assert len(set(addresses)) == len(addresses) == count


def assert_node_addresses_differ(configurations: list[Path]) -> None:
    fields = [read_json(path) for path in configurations]
    assert_all_differ([node[key] for node in fields for key in TCP_KEYS], len(fields) * len(TCP_KEYS))
    assert_all_differ([node[UDP_KEY] for node in fields], len(fields))


@pytest.mark.usefixtures("lowest_ports")
def test_fleet_of_the_lab_gives_every_address_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet, "EmulatorProcess", IdleEmulator)
    path = tmp_path / "scenario.hcl"
    path.write_text(f"nodes = {NODES}\n")
    folder = tmp_path / "run"
    with closing(Fleet(read_scenario(path), folder, EventLoop(Clock()), CoreAllocation(LAB_CORES))):
        services = read_json(folder / "fleet.json")
        fronts = read_json(folder / "balancers.json")["nodes"]
        nodes = [read_json(folder / name / "node.json") for name in fronts]
    tcp = [*services["runtimes"], services["database"], *fronts.values()]
    # "index" is the address of the database's relay.
    tcp += [node[key] for node in nodes for key in ("listen", "index")]
    assert_all_differ(tcp, 4 * NODES + 1)
    assert_all_differ([services[UDP_KEY], *(node[UDP_KEY] for node in nodes)], NODES + 1)


@pytest.mark.usefixtures("lowest_ports")
def test_fleet_of_the_demo_gives_every_address_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(demo_fleet, "EmulatorProcess", IdleEmulator)
    with closing(DemoFleet(tmp_path, EventLoop(Clock()))):
        assert_node_addresses_differ(sorted(tmp_path.glob("node*.json")))


@pytest.mark.usefixtures("lowest_ports")
def test_node_under_faults_gives_every_address_once(tmp_path: Path) -> None:
    scenario = NodeScenario(MachineModel(), load_ratio=0.5, class_shares={"match": 1.0})
    with NodeUnderFaults(tmp_path, scenario, seed=1) as node:
        node.database_relay.close()  # A closed relay keeps its address reserved.
        taken = socket.create_server((HOST, 0))
        assert taken.getsockname()[1] != node.database_relay.address.port
        taken.close()
        node.database_relay.open()
        assert_node_addresses_differ([tmp_path / "node.json"])


def write_benchmark_configuration(folder: Path, addresses: AddressReservation) -> Path:
    return programs.write_configuration(folder, addresses, cores=1)


def write_test_configuration(folder: Path, _addresses: AddressReservation) -> Path:
    return program.configuration(folder)


@pytest.mark.usefixtures("lowest_ports")
@pytest.mark.parametrize("write", [write_benchmark_configuration, write_test_configuration])
def test_two_configurations_share_no_address(
    tmp_path: Path, write: Callable[[Path, AddressReservation], Path]
) -> None:
    folders = [tmp_path / "a", tmp_path / "b"]
    for folder in folders:
        folder.mkdir()
    with AddressReservation(HOST) as addresses:
        assert_node_addresses_differ([write(folder, addresses) for folder in folders])


def test_program_listens_beside_its_reservation_and_others_are_refused_before() -> None:
    with AddressReservation(HOST) as addresses:
        address = addresses.reserve()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        for _ in range(2):  # A program that has ended may bind its address again.
            with listen(address) as listener:
                socket.create_connection(address).close()
                listener.setblocking(True)
                listener.settimeout(TIMEOUT_S)
                listener.accept()[0].close()


def test_datagrams_go_to_the_program_that_binds_beside_the_reservation() -> None:
    with AddressReservation(HOST) as addresses, socket.socket(type=socket.SOCK_DGRAM) as sender:
        address = addresses.reserve(socket.SOCK_DGRAM)
        with bind_datagrams(address) as receiver:
            receiver.settimeout(TIMEOUT_S)
            sender.sendto(b"HERE n1 on", address)
            assert receiver.recv(100) == b"HERE n1 on"


def test_closed_reservation_gives_up_its_ports() -> None:
    with AddressReservation(HOST) as addresses:
        address = addresses.reserve()
        with socket.socket() as other, pytest.raises(OSError):
            other.bind(address)
    with socket.socket() as other:
        other.bind(address)
