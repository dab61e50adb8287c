"""An index of the balancer number ranges that tenants claim."""

from __future__ import annotations

import math
from bisect import bisect_right, insort
from typing import NamedTuple

from snowthread.tenants.model import Tenant


class _ClaimedRange(NamedTuple):
    """A range of balancer numbers and the tenant that claims it; sorts by the first number."""

    first: int
    last: int
    tenant_id: str


class BalancerRanges:
    """The balancer number ranges of all tenants."""

    def __init__(self) -> None:
        self._ranges: list[_ClaimedRange] = []  # sorted by first number
        self._max_span = 0  # the largest difference between the last and first number of a range

    def add(self, tenant: Tenant) -> None:
        """Add the ranges of a tenant that is not yet in the index."""
        for first, last in tenant.balancers:
            insort(self._ranges, _ClaimedRange(first, last, tenant.id))
            self._max_span = max(self._max_span, last - first)

    def remove(self, tenant_id: str) -> None:
        """Remove all ranges of a tenant."""
        self._ranges = [claim for claim in self._ranges if claim.tenant_id != tenant_id]
        self._max_span = max((claim.last - claim.first for claim in self._ranges), default=0)

    def claimants(self, balancer_number: int) -> list[str]:
        """Return the ids of the tenants whose ranges contain this balancer number, in ascending order."""
        end = bisect_right(self._ranges, (balancer_number, math.inf, ""))
        start = bisect_right(self._ranges, (balancer_number - self._max_span, -1, ""))
        return sorted({claim.tenant_id for claim in self._ranges[start:end] if balancer_number <= claim.last})
