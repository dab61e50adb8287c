"""Which tenants claim a balancer's number."""

from __future__ import annotations

import math
from bisect import bisect_right, insort
from typing import NamedTuple

from snowthread.tenants.model import Tenant


class _ClaimedRange(NamedTuple):
    """A range of balancers' numbers and the tenant that claims it; ordered by its first number."""

    first: int
    last: int
    tenant_id: str


class BalancerRanges:
    """The ranges of balancers' numbers of all tenants."""

    def __init__(self) -> None:
        self._ranges: list[_ClaimedRange] = []  # sorted
        self._max_span = 0  # last number minus first

    def add(self, tenant: Tenant) -> None:
        """Add the ranges of a tenant that has none here."""
        for first, last in tenant.balancers:
            insort(self._ranges, _ClaimedRange(first, last, tenant.id))
            self._max_span = max(self._max_span, last - first)

    def remove(self, tenant_id: str) -> None:
        """Remove the ranges of a tenant."""
        self._ranges = [owned for owned in self._ranges if owned.tenant_id != tenant_id]
        self._max_span = max((owned.last - owned.first for owned in self._ranges), default=0)

    def claimants(self, number: int) -> list[str]:
        """Return the tenants whose ranges contain the number, the least id first."""
        end = bisect_right(self._ranges, (number, math.inf, ""))
        start = bisect_right(self._ranges, (number - self._max_span, -1, ""))
        return sorted({owned.tenant_id for owned in self._ranges[start:end] if number <= owned.last})
