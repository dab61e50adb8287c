"""Claims of idempotency keys between the two processes of a hot restart.

The successor takes no key without the predecessor's permission, so a request that reaches both processes
runs in at most one of them. At the successor a request waits until the predecessor has decided:

====================================  ==================================================================
event at the successor                what becomes of the requests that wait for the key
====================================  ==================================================================
``KeyClaimDecided``, granted          the claimant is admitted; later ones are its retries or claim anew
``KeyClaimDecided``, denied           the owner's result answers them if it is known here, else they fail
``KeyClaimTimedOut``                  the request it names is rejected
``RequestCancelled``                  the request it names is dropped
``PeerProcessConnected``, ``Exited``  all are taken up anew
====================================  ==================================================================
"""

from __future__ import annotations

from enum import Enum

from snowthread.core import effects, events
from snowthread.core.idempotency import IdempotencyRecord
from snowthread.core.state import NodeState, PendingClaim
from snowthread.core.transition import HandlerTable, Transition

KEY_CLAIM_TIMEOUT_MS = 400.0  # the longest wait for a decision
KEY_CLAIM_WAIT_RATIO = 0.5  # of the time left, at most: the rest is for the run
MAX_PENDING_KEY_CLAIMS = 256  # keys whose claim may be undecided at once

# Why a request is rejected, for the log.
TOO_MANY_CLAIMS = "too many undecided key claims"
CLAIM_TIMED_OUT = "key claim not decided in time"


class ClaimDecision(Enum):
    """What the predecessor decided on the key of a request."""

    UNDECIDED = "undecided"
    GRANTED = "granted"
    DENIED = "denied"


def claim_key(
    transition: Transition,
    event: events.RequestReceived,
    claim_request: events.KeyClaimRequested,
    class_deadline_s: float,
) -> None:
    """Make a request wait until the predecessor has decided on its key.

    ``class_deadline_s`` is the deadline of its class, from its arrival, which holds where the
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


def withdraw_claim(
    state: NodeState, response_address: events.ResponseAddress
) -> events.RequestReceived | None:
    """Drop a request that waits for a decision on its key; return it, or None where none waits."""
    for claim in state.pending_claims.values():
        for request in claim.waiting_requests:
            if request.response_address == response_address:
                claim.waiting_requests.remove(request)
                return request
    return None


def key_claim_timed_out(transition: Transition, event: events.KeyClaimTimedOut) -> None:
    """Reject a request that waited too long for the decision on its key."""
    request = withdraw_claim(transition.state, event.response_address)
    if request is not None:
        _reject(transition, request, CLAIM_TIMED_OUT)


def _reject(transition: Transition, request: events.RequestReceived, reason: str) -> None:
    """Reject a request that never reached the controller."""
    rejected = effects.Rejected(attempt_id=request.attempt_id, reason=reason)
    transition.respond(request.response_address, rejected)


def key_claim_requested(transition: Transition, event: events.KeyClaimRequested) -> None:
    """Decide, as the predecessor, whether the successor may have a key.

    A granted key belongs to the successor for the longest window of all classes. The successor reports the
    window of the request's class once it admits the request; if that report is lost, the run may go on all
    the same.
    """
    state = transition.state
    table = state.idempotency_table
    is_free = table.owner_at(event.idempotency_key, event.arrived_at_ms) is None
    granted = is_free and not table.conflicts_with(event.idempotency_key, event.body_digest)
    if granted:
        state.last_request_number += 1
        window_s = max((c.idempotency_window_s for c in state.settings.classes), default=0.0)
        record = IdempotencyRecord(
            event.idempotency_key,
            state.last_request_number,
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
