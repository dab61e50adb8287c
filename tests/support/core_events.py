"""Events for tests of the reducer."""

from __future__ import annotations

from snowthread.core import events


def make_request(
    number: int, class_name: str, sent_at_ms: float, idempotency_key: str | None = None
) -> events.RequestReceived:
    """Return a request whose attempt, response address and key are told apart by its number."""
    return events.RequestReceived(
        response_address=(1, number),
        attempt_id=f"{number:016x}",
        class_name=class_name,
        body=b"p",
        sent_at_ms=sent_at_ms,
        timeout_ms=5000.0,
        caller_id=4,
        memory_kb=20.0,
        rank=0.5,
        idempotency_key=idempotency_key or f"k{number}",
    )
