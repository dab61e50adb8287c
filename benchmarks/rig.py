"""Parts that benchmarks share: processes on loopback, a load that counts its requests, and figures."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO, Any

from emulators.load_generator import FAILED, REJECTED, SERVED, LoadGenerator, SentRequest
from snowthread.lab.address_reservation import ANY_HOST, AddressReservation

__all__ = ["FAILED", "REJECTED", "SERVED", "SentRequest", "LoadGenerator"]

ROOT = Path(__file__).parent.parent
LATE_SLACK_MS = 110.0  # beyond its timeout, until an answer counts as late
MIN_REQUESTS_PER_SECOND = 5  # of a second whose share is told


def reserve_address(addresses: AddressReservation, kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """Return an address on loopback that is reserved, as host:port."""
    return f"127.0.0.1:{addresses.reserve(kind).port}"


def configuration(folder: Path, addresses: AddressReservation, cores: int, **changes: Any) -> Path:
    """Write the example's configuration on reserved addresses and return its path."""
    fields = json.loads((ROOT / "examples" / "node.json").read_bytes())
    for name in ("listen", "runtime", "index"):
        fields[name] = reserve_address(addresses)
    fields["roster"] = reserve_address(addresses, socket.SOCK_DGRAM)
    fields["settings"]["domain"]["cores"] = cores
    fields |= {"listen": fields["listen"].replace("127.0.0.1", ANY_HOST)} | changes
    path = folder / "node.json"
    path.write_text(json.dumps(fields))
    return path


@contextmanager
def run_program(
    *command: str, ready: str, where: str = "stdout", cwd: Path = ROOT, **environment: str
) -> Iterator[subprocess.Popen[str]]:
    """Run a Python program in the block, from when it has written ``ready`` to the stream ``where``."""
    made = subprocess.Popen(
        [sys.executable, *command],
        cwd=cwd,
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE if where == "stdout" else subprocess.DEVNULL,
        stderr=subprocess.PIPE if where == "stderr" else subprocess.DEVNULL,
        env=os.environ | {"PYTHONPATH": str(cwd)} | environment,
    )
    try:
        _wait_for_line(made.stdout if where == "stdout" else made.stderr, ready, command)
        yield made
    finally:
        made.kill()
        made.wait()


def _wait_for_line(stream: IO[str] | None, ready: str, command: tuple[str, ...]) -> None:
    assert stream is not None
    lines = []
    for line in iter(stream.readline, ""):
        lines.append(line)
        if ready in line:
            return
    raise RuntimeError(f"{command} did not start: {lines}")


def cpu_s(pid: int) -> float:
    """Return the seconds of CPU that a process has used."""
    words = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def children(pid: int) -> list[int]:
    """Return the processes that a process has started."""
    return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def broken_rules(asked: list[SentRequest], timeout_ms: float) -> dict[str, int]:
    """Return how many requests there were, and how many were lost, answered twice, or late."""
    return {
        "asked": len(asked),
        "lost": sum(not request.answers for request in asked),
        "doubled": sum(len(request.answers) > 1 for request in asked),
        "late": sum(_is_late(request, timeout_ms) for request in asked),
    }


def _is_late(request: SentRequest, timeout_ms: float) -> bool:
    return bool(request.answers) and request.answers[0][0] > request.sent_ms + timeout_ms + LATE_SLACK_MS


def per_second(asked: list[SentRequest]) -> list[float]:
    """Return the share served of each second's requests, by when they were sent."""
    begin = min(request.sent_ms for request in asked)
    sent: Counter[int] = Counter()
    served: Counter[int] = Counter()
    for request in asked:
        second = int((request.sent_ms - begin) / 1000.0)
        sent[second] += 1
        served[second] += any(word == SERVED for _, word in request.answers)
    return [
        served[second] / sent[second] for second in sorted(sent) if sent[second] >= MIN_REQUESTS_PER_SECOND
    ]


def quantile(values: list[float], q: float) -> float:
    """Return the value below which a share ``q`` of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]
