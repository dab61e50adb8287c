"""Slow start: how many runs a cold node admits, grown on measured success and not by a timer.

Pure: times are passed in, in milliseconds of the one clock. As in TCP, the window doubles every round up to a
threshold and grows by one a round beyond it::

    state     event                                next
    --------  -----------------------------------  --------------------------------------------------
    growing   success, window under threshold      window += 1 (doubles a round), <= max_window
    growing   success, window over threshold       window += 1 / window (one a round), <= max_window
    growing   loss (rejected, late, timed out)     window = max(min_window, window * backoff_factor);
                                                   threshold = window
    growing   success, at max_window for settle    complete
    complete  loss                                 growing, as above
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class SlowStart:
    """A window of runs in flight."""

    max_window: float  # the run limit that the node would have warm
    min_window: float = 1.0
    backoff_factor: float = 0.5  # of the window, that a loss leaves
    settle_ms: float = 2000.0  # at the full window before the slow start is complete
    window: float = 0.0
    ssthresh: float = math.inf  # the window from which it grows slowly
    full_since_ms: float | None = None  # ms: when the window became full
    is_complete: bool = False
    is_known_cold: bool = False  # never complete, whatever the window: the machine is known to be cold still
    loss_count: int = 0

    def __post_init__(self) -> None:
        valid_factor = 0 < self.backoff_factor < 1
        if not valid_factor or self.min_window < 1 or self.max_window < self.min_window:
            raise ValueError(
                f"slow start: windows {self.min_window} to {self.max_window}, factor {self.backoff_factor}"
            )
        self.window = max(self.window, self.min_window)

    def admits(self, in_flight: int) -> bool:
        """Return whether one more run may start, with ``in_flight`` going on."""
        return self.is_complete or in_flight < math.floor(self.window)

    def success(self, now_ms: float) -> None:
        """Grow the window: a run ended within its latency objective."""
        if self.is_complete:
            return
        step = 1.0 if self.window < self.ssthresh else 1.0 / self.window
        self.window = min(self.max_window, self.window + step)
        if self.window < self.max_window:
            return
        if self.full_since_ms is None:
            self.full_since_ms = now_ms
        elif now_ms - self.full_since_ms >= self.settle_ms and not self.is_known_cold:
            self.is_complete = True

    def loss(self) -> None:
        """Cut the window: a run was rejected, late or timed out, so too much was admitted."""
        self.loss_count += 1
        self.is_complete = False
        self.window = max(self.min_window, self.window * self.backoff_factor)
        self.ssthresh = self.window
        self.full_since_ms = None
