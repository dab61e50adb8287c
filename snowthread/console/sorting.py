"""The orders in which the console shows nodes; the values are those of the option ``--sort``."""

from __future__ import annotations

from enum import StrEnum


class SortOrder(StrEnum):
    """What nodes are sorted by; for a number, the node that most needs attention comes first."""

    NODE = "node"
    STATE = "state"
    READ = "read"
    SHARE_IN_TIME = "aim"
    REJECTED = "refused"
    FAILED = "failed"
    BLOCKING_PROBABILITY = "b"
    CALL_DURATION = "calls"

    def next(self) -> SortOrder:
        """Return the next order; after the last order comes the first."""
        orders = list(SortOrder)
        return orders[(orders.index(self) + 1) % len(orders)]
