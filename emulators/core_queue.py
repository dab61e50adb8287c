"""The cores of an emulated machine, with a queue for further work."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from snowthread.net.loop import EventLoop

UTILIZATION_AT_START = 0.1  # Utilization returned by the first measurement, which has no interval to cover.


class _Work(NamedTuple):
    """A task for one core."""

    duration_ms: float
    on_done: Callable[[], None]


class CoreQueue:
    """Runs one task per core at a time and queues further tasks in order of arrival."""

    def __init__(self, loop: EventLoop, cores: int) -> None:
        """Start without tasks."""
        self._loop = loop
        self._cores = cores
        self._busy = 0
        self._waiting: deque[_Work] = deque()
        self._abandoned = False
        self._used_ms = 0.0  # Core time in ms used since the last measurement.
        # Time of the last measurement in ms of the loop's clock; 0 if there was none.
        self._measured_ms = 0.0

    def __len__(self) -> int:
        """Return the number of tasks that run or are queued."""
        return self._busy + len(self._waiting)

    def add(self, duration_ms: float, on_done: Callable[[], None]) -> None:
        """Occupy a core for ``duration_ms``, as soon as one is free, and call ``on_done`` afterwards."""
        self._waiting.append(_Work(duration_ms, on_done))
        self._start_waiting()

    def abandon(self) -> None:
        """Abandon all tasks: none of them finishes or calls its ``on_done`` any more."""
        self._abandoned = True

    def measure_utilization(self) -> float:
        """Return the share of the core time that was used since the last measurement, from 0 to 1."""
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
