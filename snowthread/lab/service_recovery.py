"""How service comes back after a fault. Pure.

Service is fully recovered in the first second from which three smoothed seconds (each the mean of three) in a
row reach 95 % of the baseline. A second dip is a later smoothed second below 90 %.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

FULL_SERVICE_SHARE = 0.95  # of the baseline
DIP_SHARE = 0.9  # of the baseline
FULL_SERVICE_SECONDS = 3  # in a row


class Recovery(NamedTuple):
    """How service came back after a fault."""

    full_service_s: float | None  # from the fault; None: not within the run
    second_dips: int


def smooth(values: Sequence[float]) -> list[float]:
    """Return the mean of each value and its neighbours."""
    windows = [values[max(0, index - 1) : index + 2] for index in range(len(values))]
    return [sum(window) / len(window) for window in windows]


def measure_recovery(service: Sequence[float], fault_s: float, baseline: float) -> Recovery:
    """Return when service, given by second, reached the baseline again after a fault, and its later dips."""
    smoothed = smooth(service)
    for second in range(int(fault_s) + 1, len(smoothed) - FULL_SERVICE_SECONDS + 1):
        end = second + FULL_SERVICE_SECONDS
        if all(value >= FULL_SERVICE_SHARE * baseline for value in smoothed[second:end]):
            dips = sum(value < DIP_SHARE * baseline for value in smoothed[end:])
            return Recovery(max(0.0, second - fault_s), dips)
    return Recovery(None, 0)
