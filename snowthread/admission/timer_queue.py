"""A queue of points in time by request, with a single timer armed for the earliest of them."""

from __future__ import annotations

import heapq
import math
from collections.abc import Container, Iterator

from snowthread.admission.actions import Action, SetTimer
from snowthread.admission.request import RequestRecord

UPDATE_TIMER = 1  # label of the timer of the periodic update
DEADLINE_TIMER = 2  # label of the timer of the queue of deadlines
NO_REQUEST = -1


class TimerQueue:
    """Points in time at which requests have to be looked at.

    Entries are not removed when a request ends: they are skipped when they come up. Times within the
    tolerance count as the same, or a timer that fires early by a rounding error would be armed for ever.
    """

    def __init__(self, label: int, margin_s: float, tolerance_s: float) -> None:
        self._label = label
        self._margin_s = margin_s  # by which a request is looked at before its deadline
        self._tolerance_s = tolerance_s
        self._heap: list[tuple[float, int]] = []
        self._fires_at = math.inf

    def watch_deadline(self, request: RequestRecord, deadline_at: float) -> None:
        """Look at a request the margin before a deadline, so that its answer arrives in time."""
        heapq.heappush(self._heap, (deadline_at - self._margin_s, request.id))

    def add(self, at: float) -> None:
        """Add an entry that belongs to no request and is never skipped."""
        heapq.heappush(self._heap, (at, NO_REQUEST))

    def arm(self, now: float, open_requests: Container[int]) -> list[Action]:
        """Set a timer, if one is needed before the timer that is armed already."""
        heap = self._heap
        while heap and heap[0][1] not in open_requests and heap[0][1] != NO_REQUEST:
            heapq.heappop(heap)
        if not heap or heap[0][0] >= self._fires_at - self._tolerance_s:
            return []
        self._fires_at = max(now, heap[0][0])
        return [SetTimer(max(0.0, self._fires_at - now), self._label)]

    def fire(self, now: float) -> bool:
        """Return whether the timer armed last has fired, not one that an earlier one has taken over from."""
        if now + self._tolerance_s < self._fires_at:
            return False
        self._fires_at = math.inf
        return True

    def pop_due(self, now: float) -> Iterator[int]:
        """Yield the request ids of entries whose time has come; those added meanwhile are included."""
        while self._heap and self._heap[0][0] <= now + self._tolerance_s:
            yield heapq.heappop(self._heap)[1]
