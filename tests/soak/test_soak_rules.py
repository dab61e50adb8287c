"""The violation of each rule that a soak checks is reported."""

from __future__ import annotations

from dataclasses import replace

import pytest

from emulators.persistent_clients import CLOSE_RACE_MS, ClientRequest
from emulators.request_protocol import KEYED_BODY_PREFIX, REJECTED, SERVED
from emulators.soak_plan import draw_plan
from emulators.soak_rules import (
    ANSWER_SLACK_MS,
    TEST_HOST_SLACK_MS,
    SoakObservation,
    check_answers,
    check_load,
    check_process,
    check_runs,
    evaluate,
)
from emulators.strict_runtime import LoadPeak

KILLED_AT_MS = 100_000.0
WAIT_MS = 1000.0
EMPTY = SoakObservation(draw_plan(1), killed_at_ms=KILLED_AT_MS)
"""A soak without requests."""


def answered(*answers: str, after_ms: float = 10.0) -> ClientRequest:
    """Return a request with these answers, sent well before the kill."""
    request = ClientRequest("dispense", "k1", WAIT_MS, attempt_id="a1", sent_ms=KILLED_AT_MS - 5000.0)
    request.answers = list(answers)
    request.answered_ms = request.sent_ms + after_ms
    return request


def soak_of(request: ClientRequest) -> SoakObservation:
    """Return a soak with one request."""
    return replace(EMPTY, requests=[request])


def test_one_answer_in_time_breaks_no_rule() -> None:
    soak = soak_of(answered(SERVED))
    assert check_answers(soak) == [] and check_runs(soak) == [] and check_load(soak) == []
    assert evaluate(soak).broken == []


def test_missing_answer_is_reported() -> None:
    assert "was not answered" in check_answers(soak_of(answered()))[0]


def test_answer_that_is_not_expected_may_be_missing() -> None:
    request = answered()
    request.answer_expected = False
    assert check_answers(soak_of(request)) == []


def test_second_answer_is_reported() -> None:
    assert "twice" in check_answers(soak_of(answered(SERVED, SERVED)))[0]


def test_late_answer_is_reported() -> None:
    late_ms = WAIT_MS + ANSWER_SLACK_MS + TEST_HOST_SLACK_MS + 1.0
    assert "after its deadline" in check_answers(soak_of(answered(SERVED, after_ms=late_ms)))[0]


def test_request_whose_connection_was_lost_is_reported() -> None:
    request = answered()
    request.lost_reason = f"connection ended {CLOSE_RACE_MS + 1.0} ms after the request"
    assert "lost" in check_answers(soak_of(request))[0]


def test_key_that_ran_twice_is_reported() -> None:
    soak = replace(soak_of(answered(SERVED)), runs_by_body={KEYED_BODY_PREFIX + b"k1": 2})
    assert "ran 2 times" in check_runs(soak)[0]


def test_rejection_of_a_keyed_attempt_that_ran_is_reported() -> None:
    soak = replace(soak_of(answered(REJECTED)), runs_by_attempt={"a1": 1})
    assert "was rejected although it ran" in check_runs(soak)[0]


def test_overload_of_the_machine_and_too_many_database_calls_are_reported() -> None:
    broken = " ".join(check_load(replace(EMPTY, peak=LoadPeak(5.0, 1.0, 1.0), peak_mean_calls=100.0)))
    assert "machine was overloaded" in broken and "concurrent database calls" in broken


@pytest.mark.parametrize(
    ("soak", "broken"),
    [
        (replace(EMPTY, log="ERROR: x"), "the node's log contains 'ERROR'"),
        (replace(EMPTY, exit_status=1), "the node exited with status 1"),
    ],
)
def test_error_in_the_log_and_error_exit_status_are_reported(soak: SoakObservation, broken: str) -> None:
    assert evaluate(soak).broken == check_process(soak) == [broken]
