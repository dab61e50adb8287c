"""The formulas of A. W. Berger for an overloaded server, with his symbols. Arithmetic only.

lambda is the arrival rate and mu the service rate, in units of work a second; rho the utilization; b the
blocking probability; beta the abandonment ratio: the rate at which waiting requests become useless, over mu.
"""

from __future__ import annotations

import math


def target_utilization(arrival_rate: float, service_rate: float, beta: float) -> float:
    """Return the best utilization: rho = min(lambda / mu, 1 + beta - sqrt(beta (1 + beta)))."""
    return min(
        arrival_rate / service_rate,
        1.0 + beta - math.sqrt(beta * (1.0 + beta)),
    )


def blocking_probability(arrival_rate: float, service_rate: float, beta: float) -> float:
    """Return the blocking probability: b = max(0, 1 - mu rho / lambda); 0 where a rate is not known."""
    if arrival_rate > 0.0 and service_rate > 0.0:
        utilization = target_utilization(arrival_rate, service_rate, beta)
        return max(0.0, 1.0 - service_rate * utilization / arrival_rate)
    return 0.0
