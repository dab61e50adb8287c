"""The release of an idempotency key whose attempt never ran, so that a retry may run the request."""

from __future__ import annotations

from snowthread.core.idempotency import IdempotencyRecord
from snowthread.core.run_log import log_key_release
from snowthread.core.transition import Transition


def release_key(transition: Transition, record: IdempotencyRecord) -> bool:
    """Free the key of an attempt, and return whether it was freed.

    A key whose run has begun stays taken. Whoever asks for its release may know less than the table: that one
    start of a request began no run says nothing about its other starts.
    """
    released = transition.state.idempotency_table.release(record)
    log_key_release(transition, record, released)
    return released
