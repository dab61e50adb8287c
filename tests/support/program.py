"""Runs the program and the toy site as separate processes on free ports."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from snowthread.address import Address
from snowthread.lab.address_reservation import AddressReservation
from snowthread.lab.processes import format_address
from support.node_harness import EXAMPLE

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 30.0  # limit of one wait for a process to exit or answer
RESERVATION = AddressReservation("127.0.0.1")
"""The addresses that were given to programs; they stay reserved until this process exits."""
SOCKET_KINDS = {
    "listen": socket.SOCK_STREAM,
    "runtime": socket.SOCK_STREAM,
    "index": socket.SOCK_STREAM,
    "roster": socket.SOCK_DGRAM,
}
"""The keys of the addresses in a configuration, each with the kind of its socket."""


def reserve_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> Address:
    """Return a loopback address that is given to no other program of these tests."""
    return RESERVATION.reserve(kind)


def configuration(folder: Path, **changes: Any) -> Path:
    """Write the example's configuration with reserved addresses and ``changes``; return its path."""
    addresses = {
        key: format_address(reserve_address(kind)) for key, kind in SOCKET_KINDS.items() if key not in changes
    }
    path = folder / "node.json"
    path.write_text(json.dumps(json.loads(EXAMPLE.read_bytes()) | addresses | changes))
    return path


def environment(path: Path) -> dict[str, str]:
    """Return environment variables with which a process reads this configuration."""
    return os.environ | {"NODE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}


def listen_address(path: Path) -> tuple[str, int]:
    """Return the host and port at which a node with this configuration listens."""
    host, port = json.loads(path.read_text())["listen"].split(":")
    return host, int(port)


@contextmanager
def started(*command: str, **options: Any) -> Iterator[subprocess.Popen[str]]:
    """Start the Python interpreter with arguments; the process is killed at the end."""
    process = subprocess.Popen(
        [sys.executable, *command],
        cwd=ROOT,
        text=True,
        stderr=subprocess.PIPE,
        stdout=subprocess.PIPE,
        **options,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


@contextmanager
def node(path: Path, *command: str, **options: Any) -> Iterator[subprocess.Popen[str]]:
    """Start a node with this configuration and wait until it listens."""
    with started("-m", "snowthread", *command, env=environment(path), **options) as process:
        assert "listens on" in next_log_line(process)
        yield process


@contextmanager
def site(path: Path) -> Iterator[subprocess.Popen[str]]:
    """Start the toy site at the addresses of a configuration, and wait until it is ready."""
    with started("examples/toy_site.py", str(path), env=environment(path)) as process:
        assert process.stdout is not None
        assert "ready" in process.stdout.readline()
        yield process


def next_log_line(process: subprocess.Popen[str]) -> str:
    """Return the next line that a process logs; waits until there is one."""
    assert process.stderr is not None
    return process.stderr.readline()


def run_program(
    path: Path, *command: str, variables: dict[str, str] | None = None, **options: Any
) -> subprocess.CompletedProcess[str]:
    """Run the program until it exits, with additional environment variables if given."""
    return subprocess.run(
        [sys.executable, "-m", "snowthread", *command],
        cwd=ROOT,
        env=environment(path) | (variables or {}),
        text=True,
        capture_output=True,
        timeout=TIMEOUT_S,
        check=False,
        **options,
    )
