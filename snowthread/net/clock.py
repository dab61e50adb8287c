"""The source of time for the whole program: Unix milliseconds as a float."""

from __future__ import annotations

import time

MS_PER_S = 1000.0


class Clock:
    """The system's Unix clock; times in peers' messages are on this clock too."""

    def now(self) -> float:
        """Return the current time in milliseconds since the Unix epoch."""
        return time.time() * MS_PER_S


class ManualClock(Clock):
    """A clock for tests, whose time changes only when ``now_ms`` is set."""

    def __init__(self, now: float) -> None:
        self.now_ms = now

    def now(self) -> float:
        """Return ``now_ms``, in milliseconds since the Unix epoch."""
        return self.now_ms
