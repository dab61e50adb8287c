"""Each rule that a soak checks is reported when it is broken."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from emulators.persistent_clients import CROSSING_MS, ClientRequest
from emulators.request_protocol import KEYED_BODY_PREFIX, REJECTED, SERVED
from emulators.soak import ANSWER_SLACK_MS, MACHINE_SLACK_MS, Soak
from emulators.soak_plan import draw_plan
from emulators.strict_runtime import Peak

KILLED_AT_MS = 100_000.0


@pytest.fixture(scope="module")
def soak(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Soak]:
    """Yield a soak whose node has served nothing yet."""
    soak = Soak(Path(tmp_path_factory.mktemp("soak")), draw_plan(1))
    soak._killed_at_ms = KILLED_AT_MS
    yield soak
    soak.node.__exit__()


def request(soak: Soak, *answers: str, answered_after_ms: float = 10.0) -> ClientRequest:
    """Return a request sent well before the kill, the only one of the soak."""
    found = ClientRequest("dispense", "k1", 1000.0, attempt_id="a1", sent_ms=KILLED_AT_MS - 5000.0)
    found.answers = list(answers)
    found.answered_ms = found.sent_ms + answered_after_ms
    soak._clients.requests[:] = [found]
    return found


def test_one_answer_in_time_breaks_no_rule(soak: Soak) -> None:
    request(soak, SERVED)
    assert soak._check_answers() == [] and soak._check_runs() == [] and soak._check_load() == []


def test_missing_answer_is_reported(soak: Soak) -> None:
    request(soak)
    assert "no answer" in soak._check_answers()[0]


def test_answer_that_is_not_owed_may_be_missing(soak: Soak) -> None:
    request(soak).is_owed = False
    assert soak._check_answers() == []


def test_second_answer_is_reported(soak: Soak) -> None:
    request(soak, SERVED, SERVED)
    assert "twice" in soak._check_answers()[0]


def test_late_answer_is_reported(soak: Soak) -> None:
    late_ms = 1000.0 + ANSWER_SLACK_MS + MACHINE_SLACK_MS + 1.0
    request(soak, SERVED, answered_after_ms=late_ms)
    assert "after its due time" in soak._check_answers()[0]


def test_request_whose_connection_ended_is_reported(soak: Soak) -> None:
    request(soak).lost_reason = f"connection ended {CROSSING_MS + 1.0} ms after it was sent"
    assert "lost" in soak._check_answers()[0]


def test_key_that_ran_twice_is_reported(soak: Soak) -> None:
    request(soak, SERVED)
    soak.node.runtime.bodies_begun[KEYED_BODY_PREFIX + b"k1"] = 2
    assert "ran 2 times" in soak._check_runs()[0]
    soak.node.runtime.bodies_begun.clear()


def test_rejection_of_what_ran_is_reported(soak: Soak) -> None:
    request(soak, REJECTED)
    soak.node.runtime.runs_begun["a1"] = 1
    assert "was rejected and ran" in soak._check_runs()[0]
    soak.node.runtime.runs_begun.clear()


def test_machine_and_database_with_more_than_they_survive_are_reported(soak: Soak) -> None:
    soak.node.runtime.peak = Peak(5.0, 1.0, 1.0)
    soak.node.database.peak_mean = 100.0
    broken = " ".join(soak._check_load())
    assert "machine fell" in broken and "calls in hand" in broken
    soak.node.runtime.peak = Peak()
    soak.node.database.peak_mean = 0.0
