"""Assigns processor cores to the processes of a run."""

from __future__ import annotations

import os


class CoreAllocation:
    """Assigns the last cores of the machine to the lab and its emulators, and the others to the nodes.

    It has no effect if the machine has fewer than twice as many cores as the lab is to have.
    """

    def __init__(self, lab_cores: int) -> None:
        """Divide the cores that this process may use now, without assigning any yet."""
        self._available_cores = sorted(os.sched_getaffinity(0))
        self._enabled = len(self._available_cores) >= 2 * lab_cores
        self._lab_cores = self._available_cores[-lab_cores:]
        self._node_cores = self._available_cores[:-lab_cores]

    def assign_lab(self, *pids: int) -> None:
        """Restrict this process and the given processes to the lab's cores."""
        if self._enabled:
            for pid in (os.getpid(), *pids):
                os.sched_setaffinity(pid, self._lab_cores)

    def assign_node(self, pid: int) -> None:
        """Restrict a node's process to the nodes' cores."""
        if self._enabled:
            os.sched_setaffinity(pid, self._node_cores)

    def release(self) -> None:
        """Allow this process to use all cores again."""
        os.sched_setaffinity(0, self._available_cores)
