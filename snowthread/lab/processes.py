"""Starts, watches and stops the processes of a fleet on loopback: nodes and emulators.

Both the lab and the demo use this module. Emulators are part of the repository but not of the installed
package, so both commands run only from a clone.
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
ACCEPT_POLL_MS = 25.0  # Interval between attempts to connect to a node that was started.
_OCTET_VALUES = 250
_HIGH_OCTET = 1 + os.getpid() // _OCTET_VALUES % _OCTET_VALUES
_LOW_OCTET = os.getpid() % _OCTET_VALUES
# Loopback network of this process, derived from its process ID so that concurrent fleets hardly ever share
# one: only process IDs that differ by a multiple of 62,500 give the same. With 250 values, both octets are
# valid (below 255); the first is never 0, so that the network is not that of 127.0.0.1. The host .1 has the
# nodes and emulators; .2 and above have the balancers.
LOOPBACK_NETWORK = f"127.{_HIGH_OCTET}.{_LOW_OCTET}"
FLEET_HOST = f"{LOOPBACK_NETWORK}.1"


class StartError(RuntimeError):
    """A process of the fleet ended or took too long during its start."""

    def __init__(self, names: str, folder: Path | None = None) -> None:
        """Store the names of the processes, and the folder or file with their logs; None if there is none."""
        self.names = names
        self.folder = folder
        super().__init__(f"{names} did not start" + (f"; see {folder}" if folder else ""))


class EmulatorEndedError(RuntimeError):
    """An emulator process ended while it was needed."""

    def __init__(self, module: str, log: Path | None) -> None:
        """Store the emulator's module, and the path of its log; None if it has none."""
        self.module = module
        self.log = log
        super().__init__(f"{module} ended unexpectedly (log file: {log})")


def require_repository(command: str) -> None:
    """Check that the repository's emulators are present.

    Raises:
        ConfigError: They are missing, because the package runs outside a clone of the repository.
    """
    if not (ROOT / "emulators").is_dir():
        raise ConfigError(f"the {command} needs the emulators of the repository; run it from a clone")


def format_address(address: Address) -> str:
    """Return an address as ``host:port``, the form used in configurations."""
    return f"{address.host}:{address.port}"


def read_example_configuration() -> dict[str, Any]:
    """Return the fields of the repository's example node configuration."""
    fields: dict[str, Any] = json.loads((ROOT / "examples" / "node.json").read_bytes())
    return fields


@dataclass(slots=True)
class NodeProcess:
    """One node of a fleet: how to start it, and its current process."""

    name: str
    index: int  # Index of the node within the fleet, starting at 0.
    listen: Address
    folder: Path
    command: tuple[str, ...]  # The module to run with ``python -m``, followed by its arguments.
    environment: Mapping[str, str]
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0
    # Whether SIGKILL was sent: the process then counts as ended, even while poll() still returns None.
    killed: bool = False
    # Whether the node accepted a connection since its last start and was not killed since.
    accepting: bool = False

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and not self.killed and self.process.poll() is None

    def start(self, log: IO[bytes] | int = subprocess.DEVNULL) -> None:
        """Start a new process after the previous one has ended, without waiting until it accepts connections.

        Args:
            log: Destination of the process's standard output and standard error.
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
        """Wait, as a coroutine, until the current process accepts connections.

        Args:
            loop: The event loop.
            timeout_ms: Maximum time to wait.

        Returns:
            False if the process ended or was replaced, or the time is over.
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

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is None or not self.running:
            return
        self.process.send_signal(signal_number)
        if signal_number is signal.SIGKILL:
            self.killed = True
            self.accepting = False


def stop_nodes(nodes: Iterable[NodeProcess]) -> None:
    """Shut down all nodes gracefully; kill those that take longer than ``STOP_TIMEOUT_S``."""
    nodes = list(nodes)
    for node in nodes:
        node.send_signal(signal.SIGCONT)
        node.send_signal(signal.SIGTERM)
    for node in nodes:
        if node.process is not None:
            _wait_or_kill(node.process)


class EmulatorProcess:
    """A process that runs a module of ``emulators`` and reads commands, one per line, from standard input."""

    def __init__(self, module: str, *arguments: str, log: Path | None = None) -> None:
        """Start the process and wait until it prints that it is ready.

        Args:
            module: Name of the module.
            arguments: Command-line arguments of the module.
            log: File for the process's standard error; without one, standard error is discarded.

        Raises:
            StartError: The process ended before it was ready.
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
        """Send a command to the process."""
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()

    def report(self) -> dict[str, Any]:
        """Request a report from the process and return it.

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
        """End the process by closing its standard input; kill it if that takes over ``STOP_TIMEOUT_S``."""
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
