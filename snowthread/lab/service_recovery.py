"""Measures how service recovers after a fault. Pure.

Service is smoothed by a mean over three seconds. It has fully recovered in the first second from which three
smoothed values in a row reach 95 % of the baseline. Each later smoothed value below 90 % is a later dip.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

FULL_SERVICE_SHARE = 0.95  # Service counts as full from this share of the baseline.
DIP_SHARE = 0.9  # Service below this share of the baseline, after it was full again, is a later dip.
FULL_SERVICE_SECONDS = 3  # Service must be full for this number of consecutive seconds.


class ServiceRecovery(NamedTuple):
    """The time until service was full after a fault, and the number of later dips."""

    full_service_s: float | None  # Seconds from the fault to full service; None if the run ended before.
    later_dips: int  # Number of seconds in which service dipped again; "second_dips" in the summary.


def smooth(values: Sequence[float]) -> list[float]:
    """Return the mean of each value and its direct neighbors."""
    windows = [values[max(0, index - 1) : index + 2] for index in range(len(values))]
    return [sum(window) / len(window) for window in windows]


def measure_recovery(service: Sequence[float], fault_s: float, baseline: float) -> ServiceRecovery:
    """Return when service recovered from a fault, and how many seconds dipped later.

    Args:
        service: Service in each second of the run.
        fault_s: Time of the fault, in seconds from the start of the run.
        baseline: Service before the fault.
    """
    smoothed = smooth(service)
    for second in range(int(fault_s) + 1, len(smoothed) - FULL_SERVICE_SECONDS + 1):
        end = second + FULL_SERVICE_SECONDS
        if all(value >= FULL_SERVICE_SHARE * baseline for value in smoothed[second:end]):
            dips = sum(value < DIP_SHARE * baseline for value in smoothed[end:])
            return ServiceRecovery(max(0.0, second - fault_s), dips)
    return ServiceRecovery(None, 0)
