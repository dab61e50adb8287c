"""Retries with an idempotency key when memory is short, and after runs that the runtime has ended."""

from __future__ import annotations

import pytest
from support.node_harness import StartNode
from support.node_peers import (
    attempt_id,
    complete_run,
    example_settings,
    read_answer,
    read_command,
    request,
    send_notice,
)


def test_retry_whose_cached_result_was_evicted_fails_and_never_runs_again(start_node: StartNode) -> None:
    # Enough memory to cache one result of 4 KiB, not two.
    harness = start_node(limits={"memory_mb": 0.05, "sockets": 512})
    harness.connect("1")
    for n in (1, 2):
        harness.send("1", request(n, "dispense", once=f"k{n}"))
        assert read_command(harness)["action"] == "start"
        complete_run(harness, n, n, b"r" * 4000)
        assert read_answer(harness, "1")[:3] == [1, n, None]
    for n, failed in ((1, True), (2, False)):
        harness.send("1", request(10 + n, "dispense", once=f"k{n}"))
        assert (read_answer(harness, "1")[2] is not None) == failed
    harness.assert_silent("runtime")


@pytest.mark.parametrize("ran", [True, False])
def test_retry_without_memory_is_rejected_only_if_the_first_attempt_never_ran(
    start_node: StartNode, ran: bool
) -> None:
    harness = start_node(settings=example_settings(memory_kb=200.0))
    harness.connect("1")
    for n in () if ran else (1, 2):  # these requests occupy both cores
        harness.send("1", request(n, "match", kb="1"))
        assert read_command(harness)["action"] == "start"
    harness.send("1", request(3, "dispense", once="k1", kb="10"))
    if ran:
        assert read_command(harness)["uid"] == attempt_id(3)
    harness.send("1", request(4, "dispense", once="k1", kb="100"))
    found = read_answer(harness, "1")
    assert found[1] == 4 and found[2][0] == ("Failed" if ran else "Throttled")
    harness.assert_silent("runtime")


@pytest.mark.parametrize("preemption", ["drop", "pause", "silent"])
def test_keyed_request_whose_run_ended_at_its_call_never_runs_again(
    start_node: StartNode, preemption: str
) -> None:
    """Guards against a second run for a client that gave up at a call, of which the node hears late."""
    harness = start_node(settings=example_settings(preemption=preemption))
    harness.connect("1")
    harness.send("1", request(1, "dispense", once="k1"))
    assert read_command(harness)["uid"] == attempt_id(1)
    send_notice(harness, "wants", pos=1, uid=attempt_id(1), content=b"c")
    send_notice(harness, "end", pos=2, uid=attempt_id(1), code="aborted", wall_ms=300)
    send_notice(harness, "end", pos=3, uid=attempt_id(1), code="stale", wall_ms=0)  # of a second start
    assert read_answer(harness, "1")[1:3] == [1, ["Failed", {}]]
    harness.send("1", request(2, "dispense", once="k1"))
    harness.settle()
    harness.assert_silent("runtime")
    assert read_answer(harness, "1")[1:3] == [2, ["Failed", {}]]
