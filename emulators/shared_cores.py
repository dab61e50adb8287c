"""Cores that all runs on them share evenly, and the load that the machine survives.

Unlike :class:`emulators.core_queue.CoreQueue`, work beyond the cores does not wait in order: every run gets
its part of the cores and all of them become slower, as on the platform. A machine fails where the mean number
of its runs over a window is above what its present speed survives.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from snowthread.net.loop import EventLoop, Timer

UTILIZATION_WINDOW_MS = 500.0  # over which the platform measures the share of the cores in use
HISTORY_MS = 4000.0  # for which changes of the number of runs are recorded
WORK_TOLERANCE_MS = 1e-6  # work this near its end has ended: sums of floats are not exact


@dataclass(order=True, slots=True)
class _Work:
    """Work on the cores; ``ends_at_ms`` is in core time that a run has had which was there throughout."""

    ends_at_ms: float
    number: int
    owner: str = field(compare=False)
    on_done: Callable[[], None] | None = field(compare=False)  # None: removed


class _LoadChange(NamedTuple):
    """From when on how many runs were on the cores."""

    at_ms: float
    runs: int


class SharedCores:
    """Processor sharing: ``n`` runs on ``cores`` cores each work at a speed of ``min(1, cores / n)``."""

    def __init__(self, loop: EventLoop, cores: int) -> None:
        """Begin idle."""
        self.speed = 1.0  # of the machine, as a share of its warm speed
        self._loop = loop
        self._cores = cores
        self._heap: list[_Work] = []
        self._by_owner: dict[str, _Work] = {}
        self._core_time_ms = 0.0
        self._advanced_at_ms = loop.clock.now()
        self._number = 0
        self._timer: Timer | None = None
        self._history: deque[_LoadChange] = deque([_LoadChange(self._advanced_at_ms, 0)])

    def __len__(self) -> int:
        """Return how many runs are on the cores."""
        return len(self._by_owner)

    def add(self, owner: str, duration_ms: float, on_done: Callable[[], None]) -> None:
        """Put work of so much core time on the cores; ``on_done`` is called at its end."""
        self._advance()
        self._number += 1
        work = _Work(self._core_time_ms + duration_ms, self._number, owner, on_done)
        self._by_owner[owner] = work
        heapq.heappush(self._heap, work)
        self._changed()

    def remove(self, owner: str) -> None:
        """Take a run's work off the cores, if it is there; its ``on_done`` is never called."""
        if owner in self._by_owner:
            self._advance()
            self._by_owner.pop(owner).on_done = None
            self._changed()

    def clear(self) -> None:
        """Take all work off the cores."""
        for owner in list(self._by_owner):
            self.remove(owner)

    def utilization(self) -> float:
        """Return the share of the cores in use over the last half second, from 0 to 1."""
        return self._mean(UTILIZATION_WINDOW_MS, lambda runs: min(1.0, runs / self._cores))

    def mean_runs(self, window_ms: float) -> float:
        """Return the mean number of runs on the cores over the last ``window_ms`` milliseconds."""
        return self._mean(window_ms, float)

    def _mean(self, window_ms: float, value: Callable[[int], float]) -> float:
        now = self._loop.clock.now()
        begin = now - window_ms
        end = now
        total = 0.0
        for change in reversed(self._history):
            total += value(change.runs) * (end - max(change.at_ms, begin))
            end = change.at_ms
            if end <= begin:
                break
        return total / window_ms

    def _advance(self) -> None:
        now = self._loop.clock.now()
        elapsed_ms = max(0.0, now - self._advanced_at_ms)
        self._advanced_at_ms = now
        self._core_time_ms += elapsed_ms * self._rate()

    def _rate(self) -> float:
        """Return the core time that each run gets in a millisecond."""
        return self.speed * min(1.0, self._cores / max(1, len(self._by_owner)))

    def _changed(self) -> None:
        now = self._loop.clock.now()
        self._history.append(_LoadChange(now, len(self._by_owner)))
        while len(self._history) > 1 and self._history[1].at_ms < now - HISTORY_MS:
            self._history.popleft()
        self._schedule()

    def _schedule(self) -> None:
        self._loop.cancel(self._timer)
        self._timer = None
        while self._heap and self._heap[0].on_done is None:
            heapq.heappop(self._heap)
        if self._heap:
            left_ms = max(0.0, self._heap[0].ends_at_ms - self._core_time_ms) / self._rate()
            self._timer = self._loop.call_at(self._advanced_at_ms + left_ms, self._finish_due)

    def _finish_due(self) -> None:
        self._advance()
        done: list[Callable[[], None]] = []
        while self._heap and self._heap[0].ends_at_ms <= self._core_time_ms + WORK_TOLERANCE_MS:
            work = heapq.heappop(self._heap)
            if work.on_done is not None:
                del self._by_owner[work.owner]
                done.append(work.on_done)
        self._changed()
        for on_done in done:
            on_done()
