"""Cores that all runs share evenly, and the mean load from which a machine's overload is determined.

Unlike :class:`emulators.core_queue.CoreQueue`, it queues no work: every run gets an equal part of the cores,
and all runs become slower with each further one, as on the platform. A machine fails if the mean number of
its runs over a window exceeds a limit that depends on its present speed.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from snowthread.net.loop import EventLoop, Timer

UTILIZATION_WINDOW_MS = 500.0  # Window over which the platform measures the share of the cores in use.
HISTORY_MS = 4000.0  # Time for which changes of the number of runs are kept; no window may be longer.
# Work with at most this core time left counts as finished, as sums of floats are inexact.
WORK_TOLERANCE_MS = 1e-6


@dataclass(order=True, slots=True)
class _Work:
    """Work of one run on the cores.

    ``ends_at_ms`` is the end in terms of the core time in ms that a run would have had since the start.
    """

    ends_at_ms: float
    number: int
    owner: str = field(compare=False)
    on_done: Callable[[], None] | None = field(compare=False)  # None if the work was removed.


class _LoadChange(NamedTuple):
    """The number of runs on the cores from a time on."""

    at_ms: float
    runs: int


class SharedCores:
    """Processor sharing: ``n`` runs on ``cores`` cores each work at a speed of ``min(1, cores / n)``."""

    def __init__(self, loop: EventLoop, cores: int) -> None:
        """Start without runs."""
        self.speed = 1.0  # Ratio of the machine's speed to its warm speed.
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
        """Add a run's work of ``duration_ms`` core time at warm speed; ``on_done`` is called at its end."""
        self._advance()
        self._number += 1
        work = _Work(self._core_time_ms + duration_ms, self._number, owner, on_done)
        self._by_owner[owner] = work
        heapq.heappush(self._heap, work)
        self._update_after_change()

    def remove(self, owner: str) -> None:
        """Remove a run's work from the cores if it is there; its ``on_done`` is never called."""
        if owner in self._by_owner:
            self._advance()
            self._by_owner.pop(owner).on_done = None
            self._update_after_change()

    def clear(self) -> None:
        """Remove all work from the cores."""
        for owner in list(self._by_owner):
            self.remove(owner)

    def utilization(self) -> float:
        """Return the mean share of the cores in use over the last half second, from 0 to 1."""
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
        """Return the core time in ms that each run gets per millisecond."""
        return self.speed * min(1.0, self._cores / max(1, len(self._by_owner)))

    def _update_after_change(self) -> None:
        """Record the number of runs, and reschedule the end of the work that finishes first."""
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
        self._update_after_change()
        for on_done in done:
            on_done()
