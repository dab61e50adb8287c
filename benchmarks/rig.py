"""What the measurements share: processes on loopback that end with them, and a load that counts requests."""

from __future__ import annotations

import json
import os
import random
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from emulators.load_generator import FAILED, REFUSED, SERVED, Asked, Load

__all__ = ["FAILED", "REFUSED", "SERVED", "Asked", "Load"]

ROOT = Path(__file__).parent.parent


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """A loopback address with a free port, below those that the load's own connections are given."""
    while True:
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("0.0.0.0", random.randrange(20_000, 32_000)))
            except OSError:
                continue
            return f"127.0.0.1:{sock.getsockname()[1]}"


def configuration(folder: Path, cores: int, **changes: Any) -> Path:
    """The example's configuration on free ports."""
    fields = json.loads((ROOT / "examples" / "node.json").read_bytes())
    for name in ("listen", "runtime", "index"):
        fields[name] = free_address()
    fields["roster"] = free_address(socket.SOCK_DGRAM)
    fields["settings"]["domain"]["cores"] = cores
    fields |= {"listen": fields["listen"].replace("127.0.0.1", "0.0.0.0")} | changes
    path = folder / "node.json"
    path.write_text(json.dumps(fields))
    return path


@contextmanager
def process(
    *command: str, ready: str, where: str = "stdout", cwd: Path = ROOT, **environment: str
) -> Iterator[subprocess.Popen[str]]:
    """A process that is ready once it says so, and ends with the block."""
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
        stream = made.stdout if where == "stdout" else made.stderr
        assert stream is not None
        lines = []
        for line in iter(stream.readline, ""):
            lines.append(line)
            if ready in line:
                break
        else:
            raise RuntimeError(f"{command} did not start: {lines}")
        yield made
    finally:
        made.kill()
        made.wait()


def cpu_s(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    words = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def children(pid: int) -> list[int]:
    """The processes that it has started."""
    return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def memory_mb(pid: int) -> float:
    """Its memory now."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024.0
    return 0.0


def broken_rules(asked: list[Asked], wait_ms: float) -> dict[str, int]:
    """How many were lost, answered twice, or late."""
    return {
        "asked": len(asked),
        "lost": sum(not a.answers for a in asked),
        "doubled": sum(len(a.answers) > 1 for a in asked),
        "late": sum(bool(a.answers) and a.answers[0][0] > a.at + wait_ms + 110.0 for a in asked),
    }


def per_second(asked: list[Asked]) -> list[float]:
    """Share served of each second's requests, by when they were asked."""
    begin = min(a.at for a in asked)
    counts: dict[int, list[int]] = {}
    for a in asked:
        row = counts.setdefault(int((a.at - begin) / 1000.0), [0, 0])
        row[0] += 1
        row[1] += any(word == SERVED for _, word in a.answers)
    return [good / all_ for _, (all_, good) in sorted(counts.items()) if all_ >= 5]


def quantile(values: list[float], q: float) -> float:
    """The value below which a share of them lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]
