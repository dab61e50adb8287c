"""Processes of a fleet on loopback: nodes and emulators, how they are started, watched and stopped.

The lab and the demo both start their fleets with this module. Emulators belong to the repository, not to the
installed package, so both run only from a clone.
"""

from __future__ import annotations

import json
import math
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Generator, Iterable, Mapping
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any

from snowthread.address import Address
from snowthread.config import ConfigError
from snowthread.net.loop import EventLoop, Wait

ROOT = Path(__file__).parent.parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 0.2
ACCEPT_POLL_MS = 25.0  # between two attempts to connect to a node that was started
_OCTET_VALUES = 250
_HIGH_OCTET = 1 + os.getpid() // _OCTET_VALUES % _OCTET_VALUES
_LOW_OCTET = os.getpid() % _OCTET_VALUES
# The loopback network of this process: .1 is the host of nodes and emulators, .2 and on are those of the
# balancers. Fleets that run side by side never collide.
LOOPBACK_NETWORK = f"127.{_HIGH_OCTET}.{_LOW_OCTET}"
FLEET_HOST = f"{LOOPBACK_NETWORK}.1"


class StartError(RuntimeError):
    """A process of the fleet did not start in time."""

    def __init__(self, names: str, folder: Path | None = None) -> None:
        """Name the processes, and the folder of their logs."""
        self.names = names
        self.folder = folder
        super().__init__(f"{names} did not start" + (f"; see {folder}" if folder else ""))


class EmulatorEndedError(RuntimeError):
    """An emulator ended before its time."""

    def __init__(self, module: str, log: Path | None) -> None:
        """Name the module, and the log of its process."""
        self.module = module
        self.log = log
        super().__init__(f"{module} ended; see {log}")


def require_repository(command: str) -> None:
    """Check that the emulators of the repository are there.

    Raises:
        ConfigError: They are not.
    """
    if not (ROOT / "emulators").is_dir():
        raise ConfigError(f"the {command} needs the repository round it: run it from a clone")


def format_address(address: Address) -> str:
    """Return ``host:port``, as configurations have it."""
    return f"{address.host}:{address.port}"


def read_example_configuration() -> dict[str, Any]:
    """Return the fields of the repository's example configuration of a node."""
    fields: dict[str, Any] = json.loads((ROOT / "examples" / "node.json").read_bytes())
    return fields


@dataclass(slots=True)
class NodeProcess:
    """One node of a fleet: how it is started, and its present process."""

    name: str
    number: int  # from 0
    listen: Address
    folder: Path
    command: tuple[str, ...]  # the module to run, and its arguments
    environment: Mapping[str, str]
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0
    killed: bool = False  # SIGKILL was sent: not running, whatever poll() returns until it is reaped
    accepting: bool = False  # took a connection since it was started, and was not killed

    @property
    def running(self) -> bool:
        """Whether its process was started and has not ended."""
        return self.process is not None and not self.killed and self.process.poll() is None

    def start(self, log: IO[bytes] | int = subprocess.DEVNULL) -> None:
        """Start a new process once the last one has ended; does not wait until it accepts connections.

        Its output goes to ``log``.
        """
        if self.process is not None:
            self.process.wait()
        self.process = subprocess.Popen(
            [sys.executable, "-m", *self.command],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env=os.environ | {"PYTHONPATH": str(ROOT)} | dict(self.environment),
        )
        self.starts += 1
        self.killed = False
        self.accepting = False

    def wait_until_accepting(
        self, loop: EventLoop, timeout_ms: float = math.inf
    ) -> Generator[Wait, int, bool]:
        """Wait, in a coroutine, until the present process accepts connections.

        Returns False where it ended, was replaced, or the time is up.
        """
        process = self.process
        deadline = loop.clock.now() + timeout_ms
        while self.process is process and self.running:
            if self._accepts_connections():
                self.accepting = True
                return True
            if loop.clock.now() >= deadline:
                break
            yield Wait(until_ms=loop.clock.now() + ACCEPT_POLL_MS)
        return False

    def _accepts_connections(self) -> bool:
        try:
            socket.create_connection(self.listen, CONNECT_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, where it is running."""
        if self.process is None or not self.running:
            return
        self.process.send_signal(number)
        if number is signal.SIGKILL:
            self.killed = True
            self.accepting = False


def stop_nodes(nodes: Iterable[NodeProcess]) -> None:
    """Have all nodes shut down gracefully, and kill those that take too long."""
    nodes = list(nodes)
    for node in nodes:
        node.send_signal(signal.SIGCONT)
        node.send_signal(signal.SIGTERM)
    for node in nodes:
        if node.process is not None:
            _wait_or_kill(node.process)


class EmulatorProcess:
    """A module of ``emulators`` that runs as a process and takes commands, one a line, on standard input."""

    def __init__(self, module: str, *arguments: str, log: Path | None = None) -> None:
        """Start it and wait until it prints that it is ready; its standard error goes to ``log``.

        Raises:
            StartError: It ended before.
        """
        self.module = module
        self._log = log
        with ExitStack() as stack:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL if log is None else stack.enter_context(log.open("wb")),
                text=True,
                env=os.environ | {"PYTHONPATH": str(ROOT)},
            )
        if "ready" not in self._read_line():
            self.process.wait()
            raise StartError(module, log)

    def send(self, command: str) -> None:
        """Send one command."""
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()

    def report(self) -> dict[str, Any]:
        """Request its report and return it.

        Raises:
            EmulatorEndedError: The process has ended.
        """
        self.send("report")
        line = self._read_line()
        if not line:
            raise EmulatorEndedError(self.module, self._log)
        report: dict[str, Any] = json.loads(line)
        return report

    def stop(self) -> None:
        """End it by closing its standard input; kill it where that takes too long."""
        assert self.process.stdin is not None
        try:
            self.process.stdin.close()
        except OSError:
            self.process.kill()
        _wait_or_kill(self.process)

    def _read_line(self) -> str:
        assert self.process.stdout is not None
        return self.process.stdout.readline()


def _wait_or_kill(process: subprocess.Popen[bytes] | subprocess.Popen[str]) -> None:
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
