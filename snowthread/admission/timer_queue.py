"""A queue of times by request, with a single timer armed for the earliest of them."""

from __future__ import annotations

import heapq
import math
from collections.abc import Container, Iterator

from snowthread.admission.actions import Action, SetTimer
from snowthread.admission.request import RequestRecord

UPDATE_TIMER = 1  # label of the timer of the periodic update
DEADLINE_TIMER = 2  # label of the timer of the deadline queue
NO_REQUEST = -1  # in place of a request id, for entries that belong to no request


class TimerQueue:
    """The times at which requests have to be checked.

    An entry is a check of one request: whether its time is over, whether the next try of its call is due, or
    whether its run is lost. ``watch_deadline`` subtracts a margin, so that an answer arrives in time; where a
    check must not be early, the calling function adds the margin first.

    Entries are not removed when a request ends; they are skipped when they are due. Times within the
    tolerance count as equal: otherwise a timer that fires early by a rounding error would be armed again
    and again.
    """

    def __init__(self, label: int, margin_s: float, tolerance_s: float) -> None:
        self._label = label
        self._margin_s = margin_s  # seconds before its deadline at which a request is checked
        self._tolerance_s = tolerance_s
        self._heap: list[tuple[float, int]] = []
        self._fires_at = math.inf

    def watch_deadline(self, request: RequestRecord, deadline_at: float) -> None:
        """Check a request one margin before a deadline, so that its answer arrives in time."""
        heapq.heappush(self._heap, (deadline_at - self._margin_s, request.id))

    def add(self, at: float) -> None:
        """Add a time that belongs to no request and is never skipped."""
        heapq.heappush(self._heap, (at, NO_REQUEST))

    def arm(self, now: float, open_requests: Container[int]) -> list[Action]:
        """Return a timer for the earliest entry, unless a timer that fires earlier is armed already."""
        heap = self._heap
        while heap and heap[0][1] not in open_requests and heap[0][1] != NO_REQUEST:
            heapq.heappop(heap)
        if not heap or heap[0][0] >= self._fires_at - self._tolerance_s:
            return []
        self._fires_at = max(now, heap[0][0])
        return [SetTimer(max(0.0, self._fires_at - now), self._label)]

    def fire(self, now: float) -> bool:
        """Return whether the armed timer has fired; if so, no timer is armed any more.

        The event of a timer that was replaced by an earlier one comes too soon and is to be ignored.
        """
        if now + self._tolerance_s < self._fires_at:
            return False
        self._fires_at = math.inf
        return True

    def pop_due(self, now: float) -> Iterator[int]:
        """Yield the request ids of due entries, and of those that are added during the iteration."""
        while self._heap and self._heap[0][0] <= now + self._tolerance_s:
            yield heapq.heappop(self._heap)[1]
