"""Clients that close their connection while much that they wrote is unread."""

from __future__ import annotations

import json
import socket

import msgpack
import pytest
from support.node_harness import NodeHarness
from support.node_peers import (
    HEALTH_CHECK,
    attempt_id,
    read_answer,
    read_work_command,
    request,
    send_notice,
    serve_request,
)

from snowthread.frontends.balancers.framing import READ_BYTES

LARGE_BODY = bytes(2000)
LARGE_REQUESTS = 30  # fewer than a connection may have open, and more bytes than several reads take
SMALL_REQUESTS = 300  # more than one turn handles


def large_requests(first: int) -> bytes:
    """Return keyed requests with large bodies; the keys are the same for all values of ``first``."""
    messages = []
    for index in range(LARGE_REQUESTS):
        _, number, name, (fields, _) = msgpack.unpackb(request(first + index, "dispense", once=f"k{index}"))
        messages.append(msgpack.packb([0, number, name, [fields, LARGE_BODY]]))
    return b"".join(messages)


def small_requests() -> bytes:
    """Return small requests without keys."""
    return b"".join(request(number, "match") for number in range(1, SMALL_REQUESTS + 1))


def drain(harness: NodeHarness) -> None:
    """Run the loop until the node has read all that was sent."""
    for _ in range(20):
        harness.settle()


@pytest.mark.parametrize("data", [large_requests(1), small_requests()], ids=["large", "small"])
def test_requests_that_are_unread_when_their_client_leaves_are_not_run(
    harness: NodeHarness, data: bytes
) -> None:
    """Guards against requests that are sent on to the runtime after their client has closed."""
    harness.connect("1")
    harness.send("1", data)
    assert len(data) > 3 * READ_BYTES
    harness.peers.pop("1").close()
    drain(harness)
    assert harness.node.balancers.count() == 0 and not harness.node.state.requests
    harness.assert_silent("runtime")


def test_request_read_before_a_decision_to_close_is_not_run_if_its_client_has_left(
    harness: NodeHarness,
) -> None:
    """Guards the other path on which a connection is read: before an eviction, a timeout or the exit."""
    harness.connect("1")
    harness.send("1", request(1, "match"))
    harness.peers.pop("1").close()
    harness.node.balancers.read_pending()
    assert not harness.node.state.requests
    drain(harness)
    harness.assert_silent("runtime")


def test_open_requests_are_cancelled_before_the_unread_rest_is_handled(harness: NodeHarness) -> None:
    """Guards against runs that go on for a client that has left, until all that it wrote is read."""
    harness.connect("1")
    harness.send("1", request(1000, "match"))
    assert read_work_command(harness)["action"] == "start"
    harness.send("1", small_requests())
    harness.peers["1"].shutdown(socket.SHUT_WR)
    harness.node.loop.run_once(0.0)
    assert read_work_command(harness)["action"] == "stop"
    drain(harness)
    answers = [read_answer(harness, "1")[:3] for _ in range(SMALL_REQUESTS + 1)]
    assert answers == [[1, number, ["Failed", {}]] for number in (1000, *range(1, SMALL_REQUESTS + 1))]
    harness.assert_silent("runtime")


def test_keys_of_a_client_that_has_left_run_once_when_they_come_again(harness: NodeHarness) -> None:
    """Guards against a second run of a key, by the first client's unread requests or by the second's."""
    harness.connect("1", "2")
    harness.send("1", large_requests(1))
    harness.peers.pop("1").close()
    harness.send("2", large_requests(101))
    drain(harness)
    lines = harness.peers["runtime"].recv(1_000_000).splitlines()
    started = [json.loads(line)["uid"] for line in lines if b'"start"' in line]
    of_second_client = {attempt_id(101 + index) for index in range(LARGE_REQUESTS)}
    assert started and set(started) <= of_second_client
    assert len(started) == len(set(started))


def test_health_check_of_a_client_that_only_shuts_its_writing_side_is_answered(harness: NodeHarness) -> None:
    harness.connect("1")
    harness.send("1", HEALTH_CHECK)
    harness.peers["1"].shutdown(socket.SHUT_WR)
    assert read_answer(harness, "1")[:3] == [1, 1, None]


def test_attempt_that_comes_again_after_its_client_has_left_is_not_run_again(harness: NodeHarness) -> None:
    """Guards against two runs of one attempt id of a class without idempotency keys."""
    harness.connect("1", "2")
    harness.send("1", request(1, "match"))
    assert read_work_command(harness)["action"] == "start"
    harness.close_peer("1")
    assert read_work_command(harness)["action"] == "stop"
    send_notice(harness, "end", pos=1, uid=attempt_id(1), code="aborted", wall_ms=1, content=b"")
    harness.settle()
    harness.send("2", request(1, "match"))
    assert read_answer(harness, "2")[:3] == [1, 1, ["Failed", {}]]
    harness.assert_silent("runtime")


def test_attempt_that_comes_again_with_its_key_gets_the_result_of_its_run(harness: NodeHarness) -> None:
    harness.connect("1", "2")
    harness.send("1", request(1, "dispense", once="k1"))
    serve_request(harness, "1", 1, pos=1)
    harness.send("2", request(1, "dispense", once="k1"))
    assert read_answer(harness, "2")[:3] == [1, 1, None]
    harness.assert_silent("runtime")
