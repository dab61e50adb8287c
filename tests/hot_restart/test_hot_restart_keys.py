"""Idempotency keys during a hot restart: no key runs twice, whichever process its attempts reach."""

from __future__ import annotations

import msgpack
import pytest
from support.exchange import START
from support.hot_restart import FIRST_ATTEMPT, SECOND_ATTEMPT, THIRD_ATTEMPT, ProcessPair, responses

from snowthread.core import events
from snowthread.core.key_claims import KEY_CLAIM_TIMEOUT_MS, MAX_PENDING_KEY_CLAIMS
from snowthread.core.state import HandoverRole

REQUESTS_PER_CONNECTION = 32


def test_successor_answers_a_retry_with_the_result_of_the_predecessor(pair: ProcessPair) -> None:
    first = pair.connect(pair.predecessor)
    pair.request(first, 1, FIRST_ATTEMPT)
    assert pair.started_runs(pair.predecessor) == [FIRST_ATTEMPT]
    pair.complete_run(pair.predecessor, 1, FIRST_ATTEMPT)
    assert responses(first) == [[1, None, b"r"]]
    pair.start_successor()
    second = pair.connect(pair.successor)
    pair.request(second, 1, SECOND_ATTEMPT)
    assert responses(second) == [[1, None, b"r"]]
    # Another body with the same key is a conflict, not a retry.
    pair.request(second, 2, THIRD_ATTEMPT, body=b"another thing")
    assert responses(second) == [[2, "Failed", None]]
    assert pair.started_runs(pair.successor) == []


def test_retry_waits_for_the_run_in_either_other_process(pair: ProcessPair) -> None:
    first = pair.connect(pair.predecessor)
    pair.request(first, 1, FIRST_ATTEMPT)
    pair.start_successor()
    second = pair.connect(pair.successor)
    pair.request(second, 1, SECOND_ATTEMPT)
    assert responses(second) == []
    pair.complete_run(pair.predecessor, 1, FIRST_ATTEMPT)
    assert responses(second) == [[1, None, b"r"]]
    assert pair.started_runs(pair.successor) == []
    pair.request(second, 2, SECOND_ATTEMPT, key="k2")
    assert pair.started_runs(pair.successor) == [SECOND_ATTEMPT]
    pair.request(first, 2, THIRD_ATTEMPT, key="k2")  # this request was sent before the farewell arrived
    pair.complete_run(pair.successor, 1, SECOND_ATTEMPT, "cjI=")
    assert responses(first)[-1] == [2, None, b"r2"]
    assert pair.started_runs(pair.predecessor) == [FIRST_ATTEMPT]


@pytest.mark.parametrize("predecessor_first", [True, False])
def test_claims_that_cross_on_the_link_start_one_run(pair: ProcessPair, predecessor_first: bool) -> None:
    """Each process reads its attempt before it reads the claim of the other process."""
    pair.start_successor()
    attempts = [(pair.predecessor, FIRST_ATTEMPT), (pair.successor, SECOND_ATTEMPT)]
    for player, attempt_id in attempts if predecessor_first else reversed(attempts):
        player.node.post(
            events.RequestReceived((99, 1), attempt_id, "dispense", b"p", START, 5000.0, 4, 20.0, 0.5, "k1")
        )
    pair.settle()
    assert pair.started_runs(pair.predecessor) == [FIRST_ATTEMPT]
    assert pair.started_runs(pair.successor) == []


def test_runs_of_a_killed_predecessor_are_indeterminate_and_not_run_again(pair: ProcessPair) -> None:
    first = pair.connect(pair.predecessor)
    pair.request(first, 1, FIRST_ATTEMPT)
    pair.start_successor()
    second = pair.connect(pair.successor)
    pair.request(second, 1, SECOND_ATTEMPT)
    pair.end(pair.predecessor)
    pair.settle()
    assert responses(second) == [[1, "Failed", None]]
    pair.request(second, 2, THIRD_ATTEMPT, arrived_at_ms=START, key="k1")
    assert responses(second) == [[2, "Failed", None]]
    pair.request(second, 3, THIRD_ATTEMPT, arrived_at_ms=START, key="k9")
    assert responses(second) == []
    assert pair.started_runs(pair.successor) == [THIRD_ATTEMPT]
    assert pair.successor.node.state.handover_role is HandoverRole.STANDALONE


def test_rejected_request_of_the_successor_leaves_its_key_free(pair: ProcessPair) -> None:
    first = pair.connect(pair.predecessor)
    pair.start_successor()
    second = pair.connect(pair.successor)
    pair.successor.node.post(events.PeerLoadReported(0, 15_900.0, 0))
    pair.request(second, 1, FIRST_ATTEMPT, memory_kb=100)  # rejected on arrival, as no memory is left
    assert [error for _, error, _ in responses(second)] == ["Throttled"]
    pair.request(first, 1, SECOND_ATTEMPT)
    assert pair.started_runs(pair.predecessor) == [SECOND_ATTEMPT]


def test_claim_without_decision_is_rejected_and_a_late_grant_is_released(pair: ProcessPair) -> None:
    pair.start_successor()
    second = pair.connect(pair.successor)
    with pair.frozen_predecessor() as predecessor:
        pair.request(second, 1, FIRST_ATTEMPT)
        assert responses(second) == []
        pair.advance(KEY_CLAIM_TIMEOUT_MS)
        assert responses(second) == [[1, "Throttled", None]]
        assert pair.started_runs(pair.successor) == []
    pair.settle()
    assert predecessor.node.state.idempotency_table.find_by_attempt(FIRST_ATTEMPT) is None
    pair.request(second, 2, SECOND_ATTEMPT)
    assert pair.started_runs(pair.successor) == [SECOND_ATTEMPT]


def test_request_cancelled_during_its_claim_is_not_run_and_pending_claims_are_bounded(
    pair: ProcessPair,
) -> None:
    pair.start_successor()
    sock = pair.connect(pair.successor)
    with pair.frozen_predecessor() as predecessor:
        pair.request(sock, 1, FIRST_ATTEMPT)
        sock.sendall(msgpack.packb([2, "cancel", [1]]))
        for index in range(MAX_PENDING_KEY_CLAIMS + 1):
            if index % REQUESTS_PER_CONNECTION == 0:
                sock = pair.connect(pair.successor)
            is_last = (
                index % REQUESTS_PER_CONNECTION == REQUESTS_PER_CONNECTION - 1
                or index == MAX_PENDING_KEY_CLAIMS
            )
            pair.request(sock, 2 + index, f"{index:016x}", key=f"y{index}", settle=is_last)
        # The claim beyond the limit of pending claims is rejected.
        assert [error for _, error, _ in responses(sock)] == ["Throttled"]
    pair.settle()
    assert FIRST_ATTEMPT not in pair.started_runs(pair.successor)
    assert predecessor.node.state.idempotency_table.find_by_attempt(FIRST_ATTEMPT) is None
