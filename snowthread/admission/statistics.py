"""Generic arithmetic for the controller: averages that forget, a slope, a budget with reservations.

It knows neither requests nor settings and decides nothing: windows and weights are passed in.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


def smooth_towards(value: float, target: float, elapsed_s: float, time_constant_s: float) -> float:
    """Return ``value`` moved exponentially towards ``target`` by the time elapsed."""
    return value + (target - value) * (1.0 - math.exp(-elapsed_s / time_constant_s))


@dataclass(slots=True)
class DecayingCount:
    """A count of events, each of which counts for less as time passes."""

    count: float = 0.0
    counted_at: float = 0.0

    def add(self, now: float, events: float, rate: float, span: float) -> float:
        """Add events and return the count: one is down to 1/e after ``span / rate`` seconds."""
        count = self.count * math.exp((self.counted_at - now) * rate / span) + events
        if events:
            self.count = count
            self.counted_at = now
        return count


class DecayingSums:
    """Sums of several quantities, and of the time in which they were counted, that fade as time is added."""

    __slots__ = ("decay_s", "observed_s", "sums")

    def __init__(self, count: int, decay_s: float) -> None:
        self.decay_s = decay_s  # time added after which what was counted has faded to 1/e
        self.sums = [0.0] * count
        self.observed_s = 0.0

    def add(self, elapsed_s: float, *amounts: float) -> None:
        """Add what was counted in the time elapsed."""
        decay = math.exp(-elapsed_s / self.decay_s)
        self.sums = [total * decay + amount for total, amount in zip(self.sums, amounts, strict=True)]
        self.observed_s = self.observed_s * decay + elapsed_s


class PowerLawFit:
    """How one quantity grows with another, learned by class: y / mean y = (x / mean x) ** exponent.

    The means are geometric and each class's own; the exponent is common to all classes.
    """

    __slots__ = ("_decay_points", "_mean_points", "_sum_xx", "_sum_xy", "means")

    def __init__(self, exponent: float, weight: float, decay_points: float, window: float) -> None:
        self._decay_points = decay_points  # points after which one has faded to 1/e from the exponent
        self._mean_points = window  # points that a mean spans
        self._sum_xx = weight  # second moments of the logarithms, from a first guess of this weight
        self._sum_xy = weight * exponent
        self.means: list[tuple[float, float]] = []  # by class: of x and of y; zeros: not known

    def reset_class(self, index: int) -> None:
        """Start a class anew, or add one at the end."""
        self.means[index : index + 1] = [(0.0, 0.0)]

    def add_point(self, index: int, x: float, y: float) -> None:
        """Take a point into the means and the exponent."""
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
        """Return ``x`` drawn towards the mean of its class by as much as the exponent is under 1."""
        mean = self.means[index][0]
        exponent = min(1.0, max(0.0, self._sum_xy / self._sum_xx))
        return mean * (x / mean) ** exponent if mean > 0.0 else x


def average_rate(rate: float, amount: float, elapsed_s: float, observed_s: float) -> float:
    """Return a rate averaged over ``observed_s``, the last ``elapsed_s`` of which brought ``amount``."""
    return rate + (amount / elapsed_s - rate) * elapsed_s / observed_s


def update_moving_average(
    averages: list[float], index: int, value: float, window: float, fall_window: float
) -> None:
    """Move the average at ``index``, by another window if the value is at most half of it; 0: not known."""
    average = averages[index]
    span = window if value > average / 2.0 else fall_window
    averages[index] = average + (value - average) / span if average > 0.0 else value


class PeakPlateau:
    """Counts how often in a row a value was close to the highest one so far."""

    __slots__ = ("_highest", "_min_ratio", "count")

    def __init__(self, min_ratio: float) -> None:
        self._min_ratio = min_ratio  # share of the highest value from which a value is close to it
        self._highest = 0.0
        self.count = 0

    def add(self, value: float) -> None:
        """Take the next value; a new highest one starts the count anew."""
        is_close = self._min_ratio * self._highest <= value <= self._highest
        self.count = self.count + 1 if is_close else 0
        self._highest = max(self._highest, value)


class ReservationBudget:
    """A token bucket from which tokens are reserved first and settled later by what was used of them."""

    __slots__ = ("available", "capacity", "reserved")

    def __init__(self, capacity: float) -> None:
        self.capacity = capacity
        self.available = capacity  # below zero where more was used than had been reserved
        self.reserved = 0.0

    def refill(self, amount: float) -> None:
        """Add tokens; what is available and what is reserved never exceed the capacity together."""
        self.available += amount
        self.available = min(self.available, self.capacity - self.reserved)

    def reserve(self, amount: float, min_remaining: float) -> bool:
        """Reserve tokens if as many are available beside those to leave; return whether they were."""
        if amount <= 0.0 or amount > self.available - min_remaining:
            return False
        self.reserved += amount
        self.available -= amount
        return True

    def settle(self, reserved: float, used: float) -> None:
        """End a reservation: what was not used of it is available again."""
        self.reserved -= reserved
        self.available += reserved - used
