"""The entry of the observer for a request that is not answered yet."""

from __future__ import annotations

from snowthread.records.model import RequestCounts
from snowthread.records.second import SecondCounts


class OpenRequest:
    """A request that is not answered yet. Not a dataclass, because one is created for each request."""

    __slots__ = (
        "arrived_at_ms",
        "attempt_id",
        "call_in_flight",
        "class_name",
        "counts",
        "counts_second",
        "run_started",
        "tenant",
    )

    def __init__(self, attempt_id: str, class_name: str, tenant: str, arrived_at_ms: float) -> None:
        self.attempt_id = attempt_id
        self.class_name = class_name
        self.tenant = tenant
        self.arrived_at_ms = arrived_at_ms
        self.run_started = False
        self.call_in_flight = False
        self.counts: RequestCounts | None = None  # the row in which the request was counted last
        self.counts_second: SecondCounts | None = None  # the second that ``counts`` belongs to
