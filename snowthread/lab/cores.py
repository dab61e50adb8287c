"""Processor cores of a run: which processes use which."""

from __future__ import annotations

import os


class CoreAllocation:
    """Gives the lab and its emulators the last cores of the machine, and the nodes the others.

    Without effect where the machine has fewer than twice the cores of the lab.
    """

    def __init__(self, lab_cores: int) -> None:
        """Plan with the cores that this process may use now; assign none yet."""
        self._available = sorted(os.sched_getaffinity(0))
        self._enabled = len(self._available) >= 2 * lab_cores
        self._lab = self._available[-lab_cores:]
        self._nodes = self._available[:-lab_cores]

    def assign_lab(self, *pids: int) -> None:
        """Let this process and these use only the lab's cores."""
        if self._enabled:
            for pid in (os.getpid(), *pids):
                os.sched_setaffinity(pid, self._lab)

    def assign_node(self, pid: int) -> None:
        """Let a node's process use only the nodes' cores."""
        if self._enabled:
            os.sched_setaffinity(pid, self._nodes)

    def release(self) -> None:
        """Let this process use all cores again."""
        os.sched_setaffinity(0, self._available)
