"""Berger's formulas for an overloaded server, in the symbols of his paper. Arithmetic only.

The paper is Arthur W. Berger, "Comparison of call gapping and percent blocking for overload control in
distributed switching systems and telecommunications networks". In the formulas lambda is the arrival rate and
mu the service rate, both in units of work per second; rho is the utilization, b the blocking probability, and
beta the abandonment ratio: the rate at which waiting requests become useless, divided by mu.
"""

from __future__ import annotations

import math


def target_utilization(arrival_rate: float, service_rate: float, beta: float) -> float:
    """Return the utilization with the best goodput: min(lambda / mu, 1 + beta - sqrt(beta (1 + beta)))."""
    return min(arrival_rate / service_rate, 1.0 + beta - math.sqrt(beta * (1.0 + beta)))


def blocking_probability(arrival_rate: float, service_rate: float, beta: float) -> float:
    """Return the blocking probability b = max(0, 1 - mu rho / lambda), or 0 if either rate is unknown."""
    if arrival_rate > 0.0 and service_rate > 0.0:
        utilization = target_utilization(arrival_rate, service_rate, beta)
        return max(0.0, 1.0 - service_rate * utilization / arrival_rate)
    return 0.0
