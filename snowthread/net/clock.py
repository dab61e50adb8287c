"""The one source of time: Unix milliseconds as a float."""

from __future__ import annotations

import time

MS_PER_S = 1000.0


class Clock:
    """The system's Unix clock, by which peers state their times, too."""

    def now(self) -> float:
        """Return the milliseconds since the epoch."""
        return time.time() * MS_PER_S


class ManualClock(Clock):
    """A clock for tests, which stands still until ``now_ms`` is set."""

    def __init__(self, now: float) -> None:
        self.now_ms = now

    def now(self) -> float:
        """Return the time that was set."""
        return self.now_ms
