"""Start programs for benchmarks on loopback, and write their configuration."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO

from snowthread.lab.address_reservation import ANY_HOST, AddressReservation

ROOT = Path(__file__).parent.parent
LOOPBACK_HOST = "127.0.0.1"


class ProgramStartError(RuntimeError):
    """A program ended before it was ready."""

    def __init__(self, command: tuple[str, ...], lines: list[str]) -> None:
        """Include the program's command and the lines that it had written until then."""
        self.command = command
        self.lines = lines
        super().__init__(f"program {command} ended before it was ready; its output: {lines}")


def reserve_address(addresses: AddressReservation, kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """Reserve an address on loopback and return it as host:port."""
    return f"{LOOPBACK_HOST}:{addresses.reserve(kind).port}"


def write_configuration(folder: Path, addresses: AddressReservation, cores: int) -> Path:
    """Write the configuration of ``examples/node.json`` with reserved addresses and return its path.

    Args:
        folder: Folder for the file.
        addresses: Reserves ports on all hosts, as the node listens on all of them and the balancers have
            several addresses.
        cores: Number of cores in the node's settings.
    """
    fields = json.loads((ROOT / "examples" / "node.json").read_bytes())
    fields["listen"] = f"{ANY_HOST}:{addresses.reserve().port}"
    for name in ("runtime", "index"):
        fields[name] = reserve_address(addresses)
    fields["roster"] = reserve_address(addresses, socket.SOCK_DGRAM)
    fields["settings"]["domain"]["cores"] = cores
    path = folder / "node.json"
    path.write_text(json.dumps(fields))
    return path


@contextmanager
def run_program(
    *command: str, ready: str, stream: str = "stdout", cwd: Path = ROOT, **environment: str
) -> Iterator[subprocess.Popen[str]]:
    """Run a Python program for the duration of the block, which starts once the program is ready.

    A program that ends before it is ready raises ProgramStartError.

    Args:
        command: Arguments of the Python interpreter.
        ready: Text in the line that the program writes when it is ready.
        stream: Stream that is read for this line, ``stdout`` or ``stderr``; the other one is discarded.
        cwd: Working directory, which is also the program's ``PYTHONPATH``.
        environment: Additional environment variables.
    """
    process = subprocess.Popen(
        [sys.executable, *command],
        cwd=cwd,
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE if stream == "stdout" else subprocess.DEVNULL,
        stderr=subprocess.PIPE if stream == "stderr" else subprocess.DEVNULL,
        env=os.environ | {"PYTHONPATH": str(cwd)} | environment,
    )
    try:
        _wait_for_line(process.stdout if stream == "stdout" else process.stderr, ready, command)
        yield process
    finally:
        process.kill()
        process.wait()


def _wait_for_line(stream: IO[str] | None, ready: str, command: tuple[str, ...]) -> None:
    assert stream is not None
    lines = []
    for line in iter(stream.readline, ""):
        lines.append(line)
        if ready in line:
            return
    raise ProgramStartError(command, lines)
