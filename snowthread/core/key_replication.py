"""Records the idempotency keys that the peer process of a hot restart reports."""

from __future__ import annotations

from snowthread.core import events
from snowthread.core.idempotency import IdempotencyRecord
from snowthread.core.key_release import release_key
from snowthread.core.request_lifecycle import complete_followers
from snowthread.core.transition import HandlerTable, Transition


def key_replicated(transition: Transition, event: events.KeyReplicated) -> None:
    """Record a key that the peer process owns, unless its attempt belongs to this process."""
    state = transition.state
    record = state.idempotency_table.find_by_attempt(event.attempt_id)
    if record is not None and not record.owned_by_peer:
        return
    state.last_request_id += 1
    replicated = IdempotencyRecord(
        event.idempotency_key,
        state.last_request_id if record is None else record.request_id,
        event.attempt_id,
        event.expires_at_ms,
        event.body_digest,
        owned_by_peer=True,
    )
    state.idempotency_table.put(replicated, transition.now_ms)
    if event.completed:
        key_run_completed(transition, events.KeyRunCompleted(event.attempt_id, event.result))


def key_run_completed(transition: Transition, event: events.KeyRunCompleted) -> None:
    """Record the end of a run of the peer process, and answer the retries that wait for it."""
    table = transition.state.idempotency_table
    record = table.find_by_attempt(event.attempt_id)
    if record is not None and record.owned_by_peer:
        table.complete(event.attempt_id, event.result)
        complete_followers(transition, record, event.result)


def key_released(transition: Transition, event: events.KeyReleased) -> None:
    """Release a key of the peer process whose attempt never ran; the retries that wait for it fail."""
    record = transition.state.idempotency_table.find_by_attempt(event.attempt_id)
    if record is not None and record.owned_by_peer:
        release_key(transition, record)
        complete_followers(transition, record, None)


HANDLERS: HandlerTable = {
    events.KeyReplicated: key_replicated,
    events.KeyRunCompleted: key_run_completed,
    events.KeyReleased: key_released,
}
