"""The debug log names each request without a result, and says if its id or the reason is unknown."""

from __future__ import annotations

import pytest
from loguru import logger
from support.node_harness import NodeHarness
from support.node_peers import request

from snowthread.core import effects


@pytest.mark.parametrize(
    ("response", "line"),
    [
        (effects.Failed("a1"), "request a1: failed"),
        (effects.Failed("a1", "deadline reached"), "request a1: failed: deadline reached"),
        (effects.Failed(), "request without an id: failed"),
        (
            effects.Rejected(0.0, False, "a1", "memory limit reached"),
            "request a1: rejected: memory limit reached",
        ),
        (effects.Rejected(), "request without an id: rejected: no reason given"),
    ],
)
def test_response_without_a_result_is_logged_with_id_and_reason(
    harness: NodeHarness, response: effects.Failed | effects.Rejected, line: str
) -> None:
    harness.connect("1")
    harness.send("1", request(1, "dispense", once="k1"))
    harness.settle()
    (connection,) = harness.node.balancers._connections.values()
    assert connection.open_request_numbers == {1}
    logged: list[str] = []
    sink = logger.add(lambda message: logged.append(message.record["message"]), level="DEBUG")
    try:
        harness.node.balancers.send_response(effects.SendResponse((connection.number, 1), response, None))
    finally:
        logger.remove(sink)
    assert logged == [line]
