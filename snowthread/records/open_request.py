"""A request that the observer has seen arrive and not end."""

from __future__ import annotations

from snowthread.records.model import RequestCounts
from snowthread.records.second import Second


class OpenRequest:
    """A request that is not answered yet. No dataclass: one is made for each request."""

    __slots__ = (
        "arrived_at_ms",
        "attempt_id",
        "call_in_flight",
        "class_name",
        "counted_in",
        "run_started",
        "tenant",
        "totals",
    )

    def __init__(self, attempt_id: str, class_name: str, tenant: str, arrived_at_ms: float) -> None:
        self.attempt_id = attempt_id
        self.class_name = class_name
        self.tenant = tenant
        self.arrived_at_ms = arrived_at_ms
        self.run_started = False
        self.call_in_flight = False
        self.totals: RequestCounts | None = None  # its row in the second where it was counted last
        self.counted_in: Second | None = None
