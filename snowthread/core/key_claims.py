"""Claims of idempotency keys between the two processes of a hot restart.

The successor uses no key without permission of the predecessor, so a request that reaches both processes
runs in at most one of them. At the successor a request waits until the predecessor has decided on its claim:

====================================  ===================================================================
event at the successor                effect on the requests that wait for the key
====================================  ===================================================================
``KeyClaimDecided``, granted          the claimant is admitted; the others become its retries or claim
                                      the key again
``KeyClaimDecided``, denied           they get the owner's result if the owner is known here, else fail
``KeyClaimTimedOut``                  the request with this response address is rejected
``RequestCancelled``                  the request with this response address is dropped
``PeerProcessConnected``,             all are handled again from the start
``PeerProcessExited``
====================================  ===================================================================
"""

from __future__ import annotations

from enum import Enum

from snowthread.core import effects, events
from snowthread.core.idempotency import IdempotencyRecord
from snowthread.core.state import NodeState, PendingClaim
from snowthread.core.transition import HandlerTable, Transition

KEY_CLAIM_TIMEOUT_MS = 400.0  # how long a request waits at most for the decision on its key claim
# At most this share of a request's time left is spent waiting for the decision; the rest is for its run.
KEY_CLAIM_WAIT_RATIO = 0.5
MAX_PENDING_KEY_CLAIMS = 256  # limit of keys with an undecided claim

# Reasons of a rejection as they are written to the log.
TOO_MANY_CLAIMS = "too many undecided key claims"
CLAIM_TIMED_OUT = "key claim not decided in time"


class ClaimDecision(Enum):
    """The predecessor's decision on the key claim of a request."""

    UNDECIDED = "undecided"
    GRANTED = "granted"
    DENIED = "denied"


def claim_key(
    transition: Transition,
    event: events.RequestReceived,
    claim_request: events.KeyClaimRequested,
    class_deadline_s: float,
) -> None:
    """Queue a request until the predecessor has decided on its key, and claim the key if nobody has yet.

    The request is rejected if too many claims are undecided.

    Args:
        transition: the context in which the event is handled.
        event: the request.
        claim_request: the claim to send to the predecessor.
        class_deadline_s: the deadline of the request's class, counted from its arrival, which applies if the
            request has no timeout of its own.
    """
    state = transition.state
    claim = state.pending_claims.get(claim_request.idempotency_key)
    if claim is None:
        if len(state.pending_claims) >= MAX_PENDING_KEY_CLAIMS:
            _reject(transition, event, TOO_MANY_CLAIMS)
            return
        claim = PendingClaim(event.attempt_id, [])
        state.pending_claims[claim_request.idempotency_key] = claim
        transition.send_to_peer_process(claim_request)
    claim.waiting_requests.append(event)
    timeout_ms = event.timeout_ms
    if timeout_ms is None:
        timeout_ms = state.admission_clock.duration_ms(class_deadline_s)
    time_left_ms = max(0.0, claim_request.arrived_at_ms + timeout_ms - transition.now_ms)
    decide_by_ms = transition.now_ms + min(KEY_CLAIM_TIMEOUT_MS, KEY_CLAIM_WAIT_RATIO * time_left_ms)
    transition.emit(effects.ScheduleTimer(decide_by_ms, events.KeyClaimTimedOut(event.response_address)))


def remove_waiting_request(
    state: NodeState, response_address: events.ResponseAddress
) -> events.RequestReceived | None:
    """Remove the request with this response address from its pending claim.

    Return the request, or None if no request with this address waits for a decision on its key.
    """
    for claim in state.pending_claims.values():
        for request in claim.waiting_requests:
            if request.response_address == response_address:
                claim.waiting_requests.remove(request)
                return request
    return None


def key_claim_timed_out(transition: Transition, event: events.KeyClaimTimedOut) -> None:
    """Reject a request that has waited too long for the decision on its key claim."""
    request = remove_waiting_request(transition.state, event.response_address)
    if request is not None:
        _reject(transition, request, CLAIM_TIMED_OUT)


def _reject(transition: Transition, request: events.RequestReceived, reason: str) -> None:
    """Reject a request that was not passed to the admission controller."""
    rejected = effects.Rejected(attempt_id=request.attempt_id, reason=reason)
    transition.respond(request.response_address, rejected)


def key_claim_requested(transition: Transition, event: events.KeyClaimRequested) -> None:
    """Grant or deny the successor's claim of a key; runs in the predecessor.

    A granted key belongs to the successor for the longest idempotency window of all classes. The successor
    reports the window of the request's class when it admits the request. That report may be lost while the
    run continues, so until it arrives the longest window is assumed.
    """
    state = transition.state
    table = state.idempotency_table
    is_free = table.owner_at(event.idempotency_key, event.arrived_at_ms) is None
    granted = is_free and not table.conflicts_with(event.idempotency_key, event.body_digest)
    if granted:
        state.last_request_id += 1
        window_s = max((c.idempotency_window_s for c in state.settings.classes), default=0.0)
        record = IdempotencyRecord(
            event.idempotency_key,
            state.last_request_id,
            event.attempt_id,
            expires_at_ms=transition.now_ms + state.admission_clock.duration_ms(window_s),
            body_digest=event.body_digest,
            owned_by_peer=True,
        )
        table.put(record, transition.now_ms)
    transition.send_to_peer_process(events.KeyClaimDecided(event.idempotency_key, event.attempt_id, granted))


HANDLERS: HandlerTable = {
    events.KeyClaimTimedOut: key_claim_timed_out,
    events.KeyClaimRequested: key_claim_requested,
}
