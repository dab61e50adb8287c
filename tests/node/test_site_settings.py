"""Settings that only some sites have, and what they change on the wire."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from support.node_harness import START, NodeHarness, StartNode
from support.node_peers import (
    attempt_id,
    complete_run,
    example_settings,
    read_answer,
    read_command,
    read_work_command,
    request,
    send_notice,
)

from snowthread import config

RETRY_ROUNDS = 40  # rounds of 50 ms after which the retries of a call have ended
ROUND_MS = 50.0
CLASS_DEADLINE_MS = 5300.0  # the deadline of the class "recalc" in the example settings


@pytest.fixture
def fields(below: str) -> Iterator[dict[str, Any]]:
    """Return the fields of a valid configuration whose setting ``below`` has the parametrized value."""
    harness = NodeHarness(settings=example_settings(below=below))
    yield harness.fields
    harness.close()


@pytest.mark.parametrize("below", ["shared", "tier", "silent"])
def test_database_address_is_valid_or_an_error_whatever_is_below(fields: dict[str, Any]) -> None:
    assert config.parse(fields).database is not None
    with pytest.raises(config.ConfigError, match="index: 'nowhere'"):
        config.parse(fields | {"index": "nowhere"})


@pytest.mark.parametrize("absent", ["", None])
@pytest.mark.parametrize("below", ["shared", "tier"])
def test_database_address_is_required_where_runs_make_calls(
    fields: dict[str, Any], absent: str | None
) -> None:
    with pytest.raises(config.ConfigError, match="index: must be an address, because"):
        config.parse(fields | {"index": absent})


@pytest.mark.parametrize("absent", ["", None])
@pytest.mark.parametrize("below", ["silent"])
def test_database_address_may_be_absent_where_runs_make_no_calls(
    fields: dict[str, Any], absent: str | None
) -> None:
    assert config.parse(fields | {"index": absent}).database is None


def test_call_without_a_database_is_skipped_and_its_run_is_answered(start_node: StartNode) -> None:
    harness = start_node(
        settings=example_settings(below="silent", class_skip_worth=[0.6, 0.0, 0.0]), index=""
    )
    harness.connect("1")
    harness.send("1", request(1, "match"))
    assert read_command(harness)["action"] == "start"
    send_notice(harness, "wants", pos=1, uid=attempt_id(1), content=b"?")
    harness.settle()
    for _ in range(RETRY_ROUNDS):  # no retry opens a connection
        harness.advance(ROUND_MS)
    assert harness.node.database.connection_count() == 0
    assert read_work_command(harness) == {"action": "omit", "uid": attempt_id(1), "pos": 1}
    complete_run(harness, 2, 1)
    assert read_answer(harness, "1")[2:] == [None, [b"made", {}]]


def test_request_without_a_deadline_has_that_of_its_class(start_node: StartNode) -> None:
    """If a site does not pass on deadlines, a request does not contain its caller's timeout."""
    harness = start_node(settings=example_settings(passes_deadline=False))
    harness.connect("1")
    harness.send("1", request(1, "recalc", wait=None))
    assert read_command(harness)["lane"] == "recalc"
    while harness.clock.now_ms < START + CLASS_DEADLINE_MS - 2 * ROUND_MS:
        harness.advance(ROUND_MS)
    harness.assert_silent("1")
    harness.clock.now_ms = START + CLASS_DEADLINE_MS
    kind, number, error, result = read_answer(harness, "1")
    assert (kind, number, error[0], result) == (1, 1, "Throttled", None)
    for malformed in ("", "soon", "-1"):
        harness.send("1", request(2, "recalc", wait=malformed))
        assert read_answer(harness, "1")[:3] == [1, 2, ["Failed", {}]]
