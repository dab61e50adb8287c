"""Key claims at the successor of a hot restart: requests wait for the predecessor's decision on their key."""

from __future__ import annotations

import pytest
from support.core_events import connect, make_request, started_attempts
from support.exchange import START
from support.response_log import ResponseLog

from snowthread.core import effects, events, key_claims
from snowthread.core.key_claims import KEY_CLAIM_TIMEOUT_MS
from snowthread.core.reducer import reduce
from snowthread.core.state import NodeState

KEY = "key"


@pytest.fixture
def successor(state: NodeState) -> NodeState:
    connect(state, START)
    reduce(state, events.PeerProcessConnected(is_predecessor=False), START)
    return state


def sent_to_peer(emitted: list[effects.Effect]) -> list[object]:
    return [effect.message for effect in emitted if isinstance(effect, effects.SendToPeerProcess)]


def responses(emitted: list[effects.Effect]) -> list[object]:
    return [effect.response for effect in emitted if isinstance(effect, effects.SendResponse)]


def test_a_request_starts_only_once_its_key_is_granted(successor: NodeState) -> None:
    request = make_request(1, "keyed", START, idempotency_key=KEY)
    emitted = reduce(successor, request, START)
    assert [type(message) for message in sent_to_peer(emitted)] == [events.KeyClaimRequested]
    assert started_attempts(emitted) == []
    assert successor.pending_claims[KEY].waiting_requests == [request]
    emitted = reduce(successor, events.KeyClaimDecided(KEY, request.attempt_id, granted=True), START)
    assert started_attempts(emitted) == [request.attempt_id]
    assert successor.pending_claims == {}


def test_all_requests_with_a_denied_key_fail(successor: NodeState, response_log: ResponseLog) -> None:
    for number in (1, 2):
        reduce(successor, make_request(number, "keyed", START, idempotency_key=KEY), START)
    claimant = successor.pending_claims[KEY].attempt_id
    emitted = reduce(successor, events.KeyClaimDecided(KEY, claimant, granted=False), START)
    assert responses(emitted) == [effects.Failed(), effects.Failed()]
    assert [response.attempt_id for _, response in response_log.without_result] == [
        f"{number:016x}" for number in (1, 2)
    ]
    assert started_attempts(emitted) == []


def test_a_granted_key_is_released_where_the_claimant_was_cancelled(successor: NodeState) -> None:
    claimant, other = (make_request(number, "keyed", START, idempotency_key=KEY) for number in (1, 2))
    reduce(successor, claimant, START)
    reduce(successor, other, START)
    reduce(successor, events.RequestCancelled(claimant.response_address), START)
    emitted = reduce(successor, events.KeyClaimDecided(KEY, claimant.attempt_id, granted=True), START)
    released, claimed = sent_to_peer(emitted)
    assert released == events.KeyReleased(claimant.attempt_id)
    assert isinstance(claimed, events.KeyClaimRequested) and claimed.attempt_id == other.attempt_id
    assert started_attempts(emitted) == []


def test_a_request_is_rejected_where_the_decision_takes_too_long(successor: NodeState) -> None:
    emitted = reduce(successor, make_request(1, "keyed", START, idempotency_key=KEY), START)
    (timer,) = (effect for effect in emitted if isinstance(effect, effects.ScheduleTimer))
    assert timer.at_ms == START + KEY_CLAIM_TIMEOUT_MS
    assert responses(reduce(successor, timer.event, timer.at_ms)) == [effects.Rejected()]
    assert successor.pending_claims[KEY].waiting_requests == []


def test_a_request_rejected_for_its_claim_is_logged_with_its_attempt_and_the_reason(
    successor: NodeState, response_log: ResponseLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(key_claims, "MAX_PENDING_KEY_CLAIMS", 1)
    waiting, rejected = (make_request(number, "keyed", START) for number in (1, 2))
    reduce(successor, waiting, START)
    reduce(successor, rejected, START)
    reduce(successor, events.KeyClaimTimedOut(waiting.response_address), START + KEY_CLAIM_TIMEOUT_MS)
    logged = [
        (response.attempt_id, response.reason)
        for _, response in response_log.without_result
        if isinstance(response, effects.Rejected)
    ]
    assert logged == [
        (rejected.attempt_id, key_claims.TOO_MANY_CLAIMS),
        (waiting.attempt_id, key_claims.CLAIM_TIMED_OUT),
    ]
