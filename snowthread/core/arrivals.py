"""Arriving requests: checks of class, attempt and idempotency key, admission, and cancellation."""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

from snowthread.admission import events as admission_events
from snowthread.admission.settings import Idempotency, RequestClass
from snowthread.core import effects, events
from snowthread.core.idempotency import DIGEST_BYTES
from snowthread.core.key_claims import ClaimDecision, claim_key, remove_waiting_request
from snowthread.core.request_lifecycle import cancel_call, finish_unless_running
from snowthread.core.state import HandoverRole, NodeState, Request
from snowthread.core.transition import HandlerTable, Transition

MIN_TIME_LEFT_MS = 1.0  # reported for a request that is read past its deadline; 0 would mean no deadline
DIGEST_KEY_MAX_BYTES = blake2b.MAX_KEY_SIZE  # class names are cut to this length to key the body digest


class _KeyMatch(NamedTuple):
    """The idempotency key of a request and the result of its lookup in the idempotency table."""

    idempotency_key: str | None
    body_digest: bytes
    original_id: int | None  # id of the request that owns the key; None unless this one is a retry


_NO_KEY = _KeyMatch(None, b"", None)  # the result for a request whose class is not keyed


def request_digest(event: events.RequestReceived) -> bytes:
    """Return a digest of the class name and the body; a retry with the same key has to match both."""
    class_name = event.class_name.encode()[:DIGEST_KEY_MAX_BYTES]
    return blake2b(event.body, digest_size=DIGEST_BYTES, key=class_name).digest()


def request_received(
    transition: Transition,
    event: events.RequestReceived,
    claim: ClaimDecision = ClaimDecision.UNDECIDED,
) -> None:
    """Pass a request to the admission controller, answer it at once, or let it wait for its key claim.

    Args:
        transition: the context in which the event is handled.
        event: the request.
        claim: the decision of the predecessor process on the request's key, if there is one.
    """
    state = transition.state
    transition.ensure_controller()
    state.last_request_id += 1
    arrived_at_ms = min(event.arrived_at_ms, transition.now_ms)
    request_class = _find_class(state, event.class_name, transition.now_ms)
    if request_class is None or event.attempt_id in state.requests_by_attempt_id:
        # The class is unknown, or the attempt is already in progress: only a response that leaves open
        # whether the request has run is correct.
        transition.respond(event.response_address, effects.Failed(event.attempt_id))
        return
    key = _NO_KEY
    if request_class.idempotency is Idempotency.KEYED:
        match = _match_key(transition, event, request_class, arrived_at_ms, claim)
        if match is None:
            return
        key = match
    if key.original_id is None and state.started_attempts.contains(event.attempt_id, transition.now_ms):
        # The id has come again: the attempt may have run, and there is no record of its result.
        transition.respond(event.response_address, effects.Failed(event.attempt_id))
    else:
        _admit(transition, event, request_class, arrived_at_ms, key)
    if claim is ClaimDecision.GRANTED:
        _release_unused_claim(transition, event.attempt_id)


def _match_key(
    transition: Transition,
    event: events.RequestReceived,
    request_class: RequestClass,
    arrived_at_ms: float,
    claim: ClaimDecision,
) -> _KeyMatch | None:
    """Look up a request's key; return None if the request was answered or waits for its key claim."""
    state = transition.state
    idempotency_key = event.idempotency_key
    body_digest = request_digest(event)
    if not idempotency_key or not _is_key_usable(state, idempotency_key, body_digest, arrived_at_ms):
        transition.respond(event.response_address, effects.Failed(event.attempt_id))
        return None
    original_id = state.idempotency_table.owner_at(idempotency_key, arrived_at_ms)
    if original_id is None and state.handover_role is HandoverRole.SUCCESSOR:
        if claim is ClaimDecision.UNDECIDED:
            claim_request = events.KeyClaimRequested(
                idempotency_key, event.attempt_id, arrived_at_ms, body_digest
            )
            claim_key(transition, event, claim_request, request_class.deadline_s)
            return None
        if claim is ClaimDecision.DENIED:  # an attempt that is unknown to this process owns the key
            transition.respond(event.response_address, effects.Failed(event.attempt_id))
            return None
    return _KeyMatch(idempotency_key, body_digest, original_id)


def _release_unused_claim(transition: Transition, attempt_id: str) -> None:
    """Release a granted key to the predecessor process if its request was rejected at once."""
    state = transition.state
    if (
        state.handover_role is HandoverRole.SUCCESSOR
        and state.idempotency_table.find_by_attempt(attempt_id) is None
    ):
        transition.send_to_peer_process(events.KeyReleased(attempt_id))


def _find_class(state: NodeState, name: str, now_ms: float) -> RequestClass | None:
    """Return the class of this name, or None if it is unknown or its retention after removal has ended."""
    for request_class in state.settings.classes:
        if request_class.name == name:
            is_expired = state.retired_until_ms and state.retired_until_ms.get(name, now_ms) < now_ms
            return None if is_expired else request_class
    return None


def _is_key_usable(state: NodeState, idempotency_key: str, body_digest: bytes, arrived_at_ms: float) -> bool:
    """Return whether a request may use the key.

    It may not if the key is recorded with another body, or if an earlier incarnation of the node may have run
    a request with this key.
    """
    table = state.idempotency_table
    if table.conflicts_with(idempotency_key, body_digest):
        return False
    return (
        state.indeterminate_keys is None
        or table.owner_at(idempotency_key, arrived_at_ms) is not None
        or not state.indeterminate_keys.may_have_run(idempotency_key, arrived_at_ms)
    )


def _admit(
    transition: Transition,
    event: events.RequestReceived,
    request_class: RequestClass,
    arrived_at_ms: float,
    key: _KeyMatch,
) -> None:
    """Add the request to the state and pass it to the admission controller."""
    state = transition.state
    request = Request(
        state.last_request_id,
        event.attempt_id,
        event.class_name,
        event.body,
        event.response_address,
        key.idempotency_key,
        key.original_id,
        transition.now_ms,
        request_class,
        event.memory_kb,
        key.body_digest,
    )
    state.requests[request.request_id] = request
    state.requests_by_attempt_id[event.attempt_id] = request
    state.requests_by_response_address[event.response_address] = request
    transition.dispatch(_arrival_event(transition, event, request, arrived_at_ms))


def _arrival_event(
    transition: Transition, event: events.RequestReceived, request: Request, arrived_at_ms: float
) -> admission_events.RequestArrived:
    """Return the admission event that passes a request to the controller."""
    clock = transition.state.admission_clock
    now_ms = transition.now_ms
    time_left_s = None
    if event.timeout_ms is not None:
        time_left_s = clock.duration_s(max(MIN_TIME_LEFT_MS, arrived_at_ms + event.timeout_ms - now_ms))
    return admission_events.RequestArrived(
        request_id=request.request_id,
        class_name=event.class_name,
        memory_kb=event.memory_kb,
        partition_key=event.partition_key,
        time_left_s=time_left_s,
        rank=event.rank,
        caller_id=event.caller_id,
        tenant=event.tenant,
        unread_s=clock.duration_s(now_ms - arrived_at_ms),
        original_id=request.original_id,
    )


def request_cancelled(transition: Transition, event: events.RequestCancelled) -> None:
    """Handle the cancellation of a request by its balancer.

    If runs can be stopped, the run of the request is stopped, and retries that wait for its result then fail.
    Otherwise the run continues to its end.
    """
    request = transition.state.requests_by_response_address.pop(event.response_address, None)
    if request is None:
        remove_waiting_request(transition.state, event.response_address)
        return
    request.response_address = None
    cancel_call(transition, request)
    transition.dispatch(admission_events.RequestCancelled(request.request_id))
    finish_unless_running(transition, request)


def health_check_received(transition: Transition, event: events.HealthCheckReceived) -> None:
    """Answer a health check."""
    transition.respond(event.response_address, effects.HealthStatus(transition.state.accepts_work))


def key_claim_decided(transition: Transition, event: events.KeyClaimDecided) -> None:
    """Continue with the requests that waited for the predecessor's decision on their key."""
    claim = transition.state.pending_claims.pop(event.idempotency_key, None)
    waiting_requests = [] if claim is None else claim.waiting_requests
    if not event.granted:
        for request in waiting_requests:
            request_received(transition, request, ClaimDecision.DENIED)
        return
    if claim is not None and waiting_requests and waiting_requests[0].attempt_id == claim.attempt_id:
        request_received(transition, waiting_requests.pop(0), ClaimDecision.GRANTED)
    else:
        # The claimant was cancelled or timed out meanwhile: its key is released, and the others claim it.
        transition.send_to_peer_process(events.KeyReleased(event.attempt_id))
    for request in waiting_requests:
        request_received(transition, request)


def reprocess_waiting_requests(transition: Transition) -> None:
    """Handle all requests that wait for a key claim again, after the peer process connected or exited."""
    state = transition.state
    claims = state.pending_claims
    state.pending_claims = {}
    for claim in claims.values():
        for request in claim.waiting_requests:
            request_received(transition, request)


HANDLERS: HandlerTable = {
    events.RequestReceived: request_received,
    events.RequestCancelled: request_cancelled,
    events.HealthCheckReceived: health_check_received,
    events.KeyClaimDecided: key_claim_decided,
}
