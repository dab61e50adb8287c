"""The source of time for the whole program: Unix milliseconds as a float."""

from __future__ import annotations

import itertools
import time

MS_PER_S = 1000.0
NS_PER_MS = 1_000_000
_monotonic_steps_ns = itertools.count()  # shared by all manual clocks, as the monotonic clock is


class Clock:
    """The system's Unix clock; times in peers' messages are on this clock too."""

    def now(self) -> float:
        """Return the current time in milliseconds since the Unix epoch."""
        return time.time() * MS_PER_S

    def monotonic_ns(self) -> int:
        """Return the time of the host's monotonic clock, which all its processes share, in nanoseconds."""
        return time.monotonic_ns()


class ManualClock(Clock):
    """A clock for tests, whose time changes only when ``now_ms`` is set."""

    def __init__(self, now: float) -> None:
        self.now_ms = now

    def now(self) -> float:
        """Return ``now_ms``, in milliseconds since the Unix epoch."""
        return self.now_ms

    def monotonic_ns(self) -> int:
        """Return ``now_ms`` in nanoseconds, and later than at each call before, at all clocks."""
        return int(self.now_ms * NS_PER_MS) + next(_monotonic_steps_ns)
