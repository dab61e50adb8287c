"""The orders in which nodes are shown; their values are those of the option ``--sort``."""

from __future__ import annotations

from enum import StrEnum


class SortOrder(StrEnum):
    """What nodes are sorted by; figures have the node that needs attention first."""

    NODE = "node"
    STATE = "state"
    READ = "read"
    SHARE_IN_TIME = "aim"
    REJECTED = "refused"
    FAILED = "failed"
    BLOCKING_PROBABILITY = "b"
    CALL_DURATION = "calls"

    def next(self) -> SortOrder:
        """Return the order after this one; the first follows the last."""
        orders = list(SortOrder)
        return orders[(orders.index(self) + 1) % len(orders)]
