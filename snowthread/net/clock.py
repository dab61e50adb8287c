"""The one source of time: Unix milliseconds as a float."""

from __future__ import annotations

import time


class Clock:
    """The system's Unix clock, in which peers state their times too."""

    def now(self) -> float:
        """Milliseconds since the epoch."""
        return time.time() * 1000.0


class ManualClock(Clock):
    """A clock that stands where a test puts it."""

    def __init__(self, now: float) -> None:
        self.now_ms = now

    def now(self) -> float:
        return self.now_ms
