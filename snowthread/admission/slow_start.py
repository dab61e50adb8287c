"""Slow start: limits the runs of a cold node to a window that grows with measured success, not with time.

Times are arguments, in milliseconds of Unix time. As in TCP, the window doubles every round up
to a threshold and grows by one per round beyond it::

    state     event                                next
    --------  -----------------------------------  --------------------------------------------------
    growing   success, window below threshold      window += 1 (doubles per round), <= max_window
    growing   success, window from threshold on    window += 1 / window (one per round), <= max_window
    growing   loss (a run late or cancelled)       window = max(min_window, window * backoff_factor);
                                                   threshold = window
    growing   success, settle_ms at max_window     complete, unless the machine is known to be cold
    complete  loss                                 growing, as above
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class SlowStart:
    """A window of runs in flight.

    Raises:
        ValueError: the windows or the factor are out of range.
    """

    max_window: float  # the run limit of the node once it is warm
    min_window: float = 1.0
    backoff_factor: float = 0.5  # factor applied to the window after a loss
    settle_ms: float = 2000.0  # milliseconds at the full window before the slow start is complete
    window: float = 0.0  # runs that may be in flight
    ssthresh: float = math.inf  # slow-start threshold: window from which growth is slow
    full_since_ms: float | None = None  # when the window became full, in milliseconds; None: it is not full
    is_complete: bool = False
    # The machine is known to be cold, so the slow start is not completed at any window.
    is_known_cold: bool = False
    loss_count: int = 0  # losses so far

    def __post_init__(self) -> None:
        valid_factor = 0 < self.backoff_factor < 1
        if not valid_factor or self.min_window < 1 or self.max_window < self.min_window:
            raise ValueError(
                f"slow start out of range: window from {self.min_window} to {self.max_window}, "
                f"backoff factor {self.backoff_factor}"
            )
        self.window = max(self.window, self.min_window)

    def admits(self, in_flight: int) -> bool:
        """Return whether one more run may start while ``in_flight`` runs are active."""
        return self.is_complete or in_flight < math.floor(self.window)

    def success(self, now_ms: float) -> None:
        """Grow the window, because a run ended within its latency objective."""
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
        """Cut the window, because a run was late or cancelled: too much was admitted."""
        self.loss_count += 1
        self.is_complete = False
        self.window = max(self.min_window, self.window * self.backoff_factor)
        self.ssthresh = self.window
        self.full_since_ms = None
