"""Reads the resources that a process has used; every function raises OSError if there is no such process."""

from __future__ import annotations

import os
from pathlib import Path

# Fields of /proc/PID/stat, counted from the first after the process name: user and system time in clock
# ticks.
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12
KB_PER_MB = 1024.0


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


def child_pids(pid: int) -> list[int]:
    """Return the process IDs of a process's children that have not ended."""
    return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def resident_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB; 0 once it has ended but is not reaped."""
    return _read_kb(Path(f"/proc/{pid}/status"), "VmRSS:") / KB_PER_MB


def private_memory_mb(pid: int) -> float:
    """Return the memory in MB that a process shares with no other; 0 once it has ended but is not reaped."""
    return _read_kb(Path(f"/proc/{pid}/smaps_rollup"), "Private_Dirty:") / KB_PER_MB


def _read_kb(path: Path, key: str) -> int:
    for line in path.read_text().splitlines():
        if line.startswith(key):
            return int(line.split()[1])
    return 0
