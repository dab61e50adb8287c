"""Work on the cores of an emulated machine."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from snowthread.net.loop import EventLoop

UTILIZATION_AT_START = 0.1  # reported before anything was measured


class _Work(NamedTuple):
    """A piece of work that waits for a core."""

    duration_ms: float
    on_done: Callable[[], None]


class CoreQueue:
    """Does as many pieces of work at a time as there are cores; the rest waits in order."""

    def __init__(self, loop: EventLoop, cores: int) -> None:
        """Begin idle."""
        self._loop = loop
        self._cores = cores
        self._busy = 0
        self._waiting: deque[_Work] = deque()
        self._abandoned = False
        self._used_ms = 0.0  # of core time since the last measurement
        self._measured_ms = 0.0  # when that was; 0: never

    def __len__(self) -> int:
        """Pieces of work that run or wait."""
        return self._busy + len(self._waiting)

    def add(self, duration_ms: float, on_done: Callable[[], None]) -> None:
        """Occupy a core for so long, now or once one is free, and call ``on_done`` then."""
        self._waiting.append(_Work(duration_ms, on_done))
        self._start_waiting()

    def abandon(self) -> None:
        """Give up all work: nothing of it is ever done."""
        self._abandoned = True

    def measure_utilization(self) -> float:
        """Return the share of core time used since the last measurement, between 0 and 1."""
        now = self._loop.clock.now()
        elapsed_ms = max(1.0, now - self._measured_ms) * self._cores
        utilization = min(1.0, self._used_ms / elapsed_ms) if self._measured_ms else UTILIZATION_AT_START
        self._used_ms = 0.0
        self._measured_ms = now
        return utilization

    def _start_waiting(self) -> None:
        while self._waiting and self._busy < self._cores:
            work = self._waiting.popleft()
            self._busy += 1
            self._loop.call_at(self._loop.clock.now() + work.duration_ms, partial(self._finish, work))

    def _finish(self, work: _Work) -> None:
        if self._abandoned:
            return
        self._busy -= 1
        self._used_ms += work.duration_ms
        work.on_done()
        self._start_waiting()
