"""Programs that benchmarks start on loopback, and their configuration."""

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
        """Name its command, and what it had written until then."""
        self.command = command
        self.lines = lines
        super().__init__(f"{command} did not start: {lines}")


def reserve_address(addresses: AddressReservation, kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """Return an address on loopback that is reserved, as host:port."""
    return f"{LOOPBACK_HOST}:{addresses.reserve(kind).port}"


def write_configuration(folder: Path, addresses: AddressReservation, cores: int) -> Path:
    """Write the example's configuration on reserved addresses and return its path.

    ``addresses`` reserves ports of all hosts, as the node listens on all and the balancers have several.
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
    *command: str, ready: str, where: str = "stdout", cwd: Path = ROOT, **environment: str
) -> Iterator[subprocess.Popen[str]]:
    """Run a Python program in the block, from when it has written ``ready`` to the stream ``where``.

    ProgramStartError says that it ended before.
    """
    process = subprocess.Popen(
        [sys.executable, *command],
        cwd=cwd,
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE if where == "stdout" else subprocess.DEVNULL,
        stderr=subprocess.PIPE if where == "stderr" else subprocess.DEVNULL,
        env=os.environ | {"PYTHONPATH": str(cwd)} | environment,
    )
    try:
        _wait_for_line(process.stdout if where == "stdout" else process.stderr, ready, command)
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
