"""Responses without a result name their attempt, and rejections also their reason, for the log."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest
from support.core_events import make_request
from support.exchange import START, ExchangePlayer
from support.response_log import ResponseLog

from snowthread.admission.settings import Outcome
from snowthread.core import effects, events
from snowthread.core.reducer import reduce
from snowthread.core.state import NodeState

EXCHANGE_PATHS = sorted((Path(__file__).parents[1] / "exchanges").glob("*.txt"))


def test_responses_of_the_recorded_exchanges_carry_their_attempt(response_log: ResponseLog) -> None:
    for path in EXCHANGE_PATHS:
        ExchangePlayer().play(path.read_text())
    response_log.check()
    types = {type(response) for _, response in response_log.without_result}
    assert types == {effects.Rejected, effects.Failed}


def test_a_request_of_an_unknown_class_and_an_attempt_in_flight_fail_under_their_own_attempt(
    state: NodeState, response_log: ResponseLog
) -> None:
    reduce(state, make_request(1, "idempotent", START), START)
    reduce(state, make_request(2, "no such class", START), START)
    reduce(state, make_request(1, "idempotent", START), START)
    assert [response.attempt_id for _, response in response_log.without_result] == [
        f"{number:016x}" for number in (2, 1)
    ]


@pytest.mark.parametrize("body", [b"p", b"another"])
def test_a_retry_that_fails_does_so_under_its_own_attempt(
    state: NodeState, response_log: ResponseLog, body: bytes
) -> None:
    """The retry waits for an original that fails, or has the key of the original and another body."""
    reduce(state, events.RuntimeConnected(starts_cold=False, runtime_age_ms=0.0), START)
    original = make_request(1, "keyed", START, idempotency_key="k")
    reduce(state, original, START)
    retry = replace(make_request(2, "keyed", START, idempotency_key="k"), body=body)
    reduce(state, retry, START)
    reduce(state, events.RunCompleted(original.attempt_id, Outcome.FAILURE, 1.0, b""), START)
    answered = {response.attempt_id for _, response in response_log.without_result}
    assert answered == {original.attempt_id, retry.attempt_id}
