"""Attempt ids whose run was started lately, so that an id that comes again starts no second run.

Balancers use a new id for each attempt. One that comes again is a copy of an attempt that may have run, of a
client that has left, for example; of a class without idempotency keys nothing else tells the two apart.

This module reads no clock: all times are passed in, as Unix times in milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_STARTED_ATTEMPTS = 20_000  # beyond it the oldest ids are dropped


class StartedAttempts:
    """The ids of started attempts, each until the time from which on no copy of it is expected."""

    def __init__(self, max_attempts: int = MAX_STARTED_ATTEMPTS) -> None:
        self._max_attempts = max_attempts
        self._expires_at_ms: OrderedDict[str, float] = OrderedDict()  # by attempt id, the last started last

    def __len__(self) -> int:
        return len(self._expires_at_ms)

    def add(self, attempt_id: str, expires_at_ms: float, now_ms: float) -> None:
        """Record that the run of an attempt is started; drop the ids that have expired or are too many."""
        expiries = self._expires_at_ms
        expiries[attempt_id] = expires_at_ms
        expiries.move_to_end(attempt_id)
        while expiries and (len(expiries) > self._max_attempts or next(iter(expiries.values())) <= now_ms):
            expiries.popitem(last=False)

    def contains(self, attempt_id: str, now_ms: float) -> bool:
        """Return whether a run of this attempt was started and its id has not expired."""
        expires_at_ms = self._expires_at_ms.get(attempt_id)
        return expires_at_ms is not None and now_ms < expires_at_ms
