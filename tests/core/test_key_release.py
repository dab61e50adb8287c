"""A key is released only while its attempt counts as never run."""

from __future__ import annotations

import pytest
from support.core_events import connect, make_request, started_attempts
from support.exchange import START

from snowthread.admission.settings import Outcome
from snowthread.core import effects, events
from snowthread.core.idempotency import LATE_READ_ALLOWANCE_MS, IdempotencyRecord, IdempotencyTable
from snowthread.core.reducer import reduce
from snowthread.core.state import HandoverRole, NodeState

ATTEMPT = f"{1:016x}"
KEY = "key"
NOTHING_STARTED = events.RunCompleted(ATTEMPT, Outcome.NOT_STARTED, 0.0, b"")
START_REJECTED = events.CommandRejected(ATTEMPT, is_start=True)
CALL_REQUESTED = events.CallRequested(ATTEMPT, 1, b"c")


def start_run(state: NodeState) -> None:
    connect(state, START)
    assert started_attempts(reduce(state, make_request(1, "keyed", START, KEY), START)) == [ATTEMPT]


def released_to_peer(emitted: list[effects.Effect]) -> bool:
    return effects.SendToPeerProcess(events.KeyReleased(ATTEMPT)) in emitted


@pytest.mark.parametrize("proof", [NOTHING_STARTED, START_REJECTED])
@pytest.mark.parametrize("has_called", [False, True])
def test_a_key_is_released_by_proof_that_nothing_ran_unless_the_run_has_called(
    state: NodeState, proof: events.Event, has_called: bool
) -> None:
    """Guards against a second run after the runtime denies a run that has asked for a call."""
    start_run(state)
    state.handover_role = HandoverRole.PREDECESSOR
    if has_called:
        reduce(state, CALL_REQUESTED, START)
    assert released_to_peer(reduce(state, proof, START)) is not has_called
    emitted = reduce(state, make_request(2, "keyed", START, KEY), START)
    assert bool(started_attempts(emitted)) is not has_called


@pytest.mark.parametrize("has_run", [False, True])
def test_the_peer_process_cannot_release_a_key_that_ran(state: NodeState, has_run: bool) -> None:
    """Guards against a second run of a key that the other process of a hot restart first reports as run."""
    connect(state, START)
    reduce(state, events.PeerProcessConnected(is_predecessor=True), START)
    reduce(state, events.KeyClaimRequested(KEY, ATTEMPT, START, b""), START)
    if has_run:
        reduce(state, events.KeyRunCompleted(ATTEMPT, None), START)
    reduce(state, events.KeyReleased(ATTEMPT), START)
    assert (state.idempotency_table.owner_at(KEY, START) is not None) is has_run


def test_a_released_key_stays_taken_for_retries_from_the_window_of_an_earlier_run(state: NodeState) -> None:
    """Guards against a second run for a retry that is read late, after a newer attempt was dropped unrun."""
    start_run(state)
    reduce(state, events.RunCompleted(ATTEMPT, Outcome.SUCCESS, 1.0, b"r"), START)
    for number in (2, 3):  # these occupy both cores
        reduce(state, make_request(number, "idempotent", START + 9200.0), START + 9200.0)
    newer = make_request(4, "keyed", START + 9200.0, KEY)
    assert started_attempts(reduce(state, newer, START + 9200.0)) == []
    reduce(state, events.RequestCancelled(newer.response_address), START + 9210.0)
    reduce(state, events.RunCompleted(f"{2:016x}", Outcome.SUCCESS, 1.0, b"r"), START + 9220.0)
    late = make_request(5, "keyed", START + 8900.0, KEY)
    assert started_attempts(reduce(state, late, START + 9230.0)) == []
    retry = make_request(6, "keyed", START + 9240.0, KEY)
    assert started_attempts(reduce(state, retry, START + 9240.0)) == [retry.attempt_id]


def test_a_key_that_is_used_again_after_each_window_keeps_few_earlier_records() -> None:
    """Guards against memory that grows with each use of a key whose window is short."""
    table = IdempotencyTable()
    window_ms = 1000.0
    for number in range(100):
        now_ms = START + number * window_ms
        record = table.put(IdempotencyRecord(KEY, number, f"{number:016x}", now_ms + window_ms, b""), now_ms)
    kept = 0
    while record.replaced is not None:
        record = record.replaced
        kept += 1
    assert kept <= 1 + LATE_READ_ALLOWANCE_MS / window_ms
