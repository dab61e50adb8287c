"""Generic arithmetic for the controller: decaying averages and sums, a power-law fit, a token budget.

It knows neither requests nor settings and makes no decisions: windows and weights are arguments.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


def smooth_towards(value: float, target: float, elapsed_s: float, time_constant_s: float) -> float:
    """Return ``value`` after exponential smoothing towards ``target`` over the elapsed time."""
    return value + (target - value) * (1.0 - math.exp(-elapsed_s / time_constant_s))


@dataclass(slots=True)
class DecayingCount:
    """A count of events that decays exponentially with time."""

    count: float = 0.0
    counted_at: float = 0.0  # when ``count`` was last updated, in seconds

    def add(self, now: float, events: float, rate: float, span: float) -> float:
        """Add events at ``now`` seconds and return the count.

        ``rate`` is in events per second and ``span`` in events: an event has decayed to 1/e after
        ``span / rate`` seconds.
        """
        count = self.count * math.exp((self.counted_at - now) * rate / span) + events
        if events:
            self.count = count
            self.counted_at = now
        return count


class DecayingSums:
    """Sums of several quantities, and the time over which they were counted, that decay with that time."""

    __slots__ = ("decay_s", "observed_s", "sums")

    def __init__(self, count: int, decay_s: float) -> None:
        self.decay_s = decay_s  # seconds of counted time after which an amount has decayed to 1/e
        self.sums = [0.0] * count
        self.observed_s = 0.0

    def add(self, elapsed_s: float, *amounts: float) -> None:
        """Add the amounts that were counted in the elapsed time."""
        decay = math.exp(-elapsed_s / self.decay_s)
        self.sums = [total * decay + amount for total, amount in zip(self.sums, amounts, strict=True)]
        self.observed_s = self.observed_s * decay + elapsed_s


class PowerLawFit:
    """A fit of one quantity to a power of another, by class: y / mean y = (x / mean x) ** exponent.

    The means are geometric and separate for each class; all classes share the exponent.
    """

    __slots__ = ("_decay_points", "_mean_points", "_sum_xx", "_sum_xy", "means")

    def __init__(self, exponent: float, weight: float, decay_points: float, window: float) -> None:
        # Points after which the effect of one on the exponent has decayed to 1/e.
        self._decay_points = decay_points
        self._mean_points = window  # points that a mean spans
        # Second moments of the logarithms; the initial exponent has this weight in them.
        self._sum_xx = weight
        self._sum_xy = weight * exponent
        self.means: list[tuple[float, float]] = []  # means of x and of y by class; zeros: unknown

    def reset_class(self, index: int) -> None:
        """Forget what is known of a class, or add a class at the end."""
        self.means[index : index + 1] = [(0.0, 0.0)]

    def add_point(self, index: int, x: float, y: float) -> None:
        """Update the means of a class and the exponent with a point."""
        mean_x, mean_y = self.means[index] if self.means[index][0] > 0.0 else (x, y)
        log_x = math.log(x / mean_x)
        log_y = math.log(y / mean_y)
        self._sum_xx += log_x * log_x - self._sum_xx / self._decay_points
        self._sum_xy += log_x * log_y - self._sum_xy / self._decay_points
        self.means[index] = (
            mean_x * math.exp(log_x / self._mean_points),
            mean_y * math.exp(log_y / self._mean_points),
        )

    def scale(self, index: int, x: float) -> float:
        """Return ``x`` moved towards the mean of its class, the more the lower the exponent.

        An exponent of 1 leaves ``x`` unchanged, and an exponent of 0 gives the mean.
        """
        mean = self.means[index][0]
        exponent = min(1.0, max(0.0, self._sum_xy / self._sum_xx))
        return mean * (x / mean) ** exponent if mean > 0.0 else x


def average_rate(rate: float, amount: float, elapsed_s: float, observed_s: float) -> float:
    """Return the average rate over ``observed_s`` seconds, given what the last ``elapsed_s`` brought.

    ``rate`` is the average before that, and ``amount`` what was counted in the last ``elapsed_s``.
    """
    return rate + (amount / elapsed_s - rate) * elapsed_s / observed_s


def update_moving_average(
    averages: list[float], index: int, value: float, window: float, fall_window: float
) -> None:
    """Update the moving average at ``index`` with ``value`` (an average of 0 is unknown).

    It spans ``window`` values, or ``fall_window`` if the value is at most half of the average.
    """
    average = averages[index]
    span = window if value > average / 2.0 else fall_window
    averages[index] = average + (value - average) / span if average > 0.0 else value


class PeakPlateau:
    """Counts how many values in a row were close to the highest value so far."""

    __slots__ = ("_highest", "_min_ratio", "count")

    def __init__(self, min_ratio: float) -> None:
        self._min_ratio = min_ratio  # part of the highest value from which a value is close to it
        self._highest = 0.0
        self.count = 0

    def add(self, value: float) -> None:
        """Process the next value; a new highest value restarts the count."""
        is_close = self._min_ratio * self._highest <= value <= self._highest
        self.count = self.count + 1 if is_close else 0
        self._highest = max(self._highest, value)


class ReservationBudget:
    """A token bucket from which tokens are first reserved, and settled later by their actual use."""

    __slots__ = ("available", "capacity", "reserved")

    def __init__(self, capacity: float) -> None:
        self.capacity = capacity
        self.available = capacity  # negative where more tokens were used than had been reserved
        self.reserved = 0.0

    def refill(self, amount: float) -> None:
        """Add tokens; available and reserved tokens together never exceed the capacity."""
        self.available += amount
        self.available = min(self.available, self.capacity - self.reserved)

    def reserve(self, amount: float, min_remaining: float) -> bool:
        """Reserve tokens if at least ``min_remaining`` stay available; return whether it succeeded."""
        if amount <= 0.0 or amount > self.available - min_remaining:
            return False
        self.reserved += amount
        self.available -= amount
        return True

    def settle(self, reserved: float, used: float) -> None:
        """End a reservation: reserved tokens that were not used become available again."""
        self.reserved -= reserved
        self.available += reserved - used
