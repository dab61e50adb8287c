"""New settings are applied while requests, connections and load samples are in progress."""

from __future__ import annotations

import msgpack
from support.node_harness import START, NodeHarness
from support.node_peers import (
    FAREWELL_MESSAGE,
    example_settings,
    read_answer,
    read_command,
    request,
    send_notice,
    serve_request,
)


def test_load_sample_requested_in_the_old_gauge_order_is_ignored(harness: NodeHarness) -> None:
    send_notice(harness, "load", echo="sync-1", meters=[0.9, 7, 0.1, 1])
    harness.advance(250.0)
    assert read_command(harness) == {"action": "gauges", "echo": "1"}
    reordered = example_settings(meters=["links", "heap_share", "on_cores", "core_use"])
    harness.reload(settings=reordered)
    state = harness.node.state
    assert (
        harness.clock.now_ms - state.load_sample_at_ms > 1000.0
    )  # the age shows that no load sample is known
    send_notice(harness, "load", echo="1", meters=[0.9, 7, 0.1, 1])
    harness.settle()
    assert harness.clock.now_ms - state.load_sample_at_ms > 1000.0
    harness.advance(250.0)
    assert read_command(harness) == {"action": "gauges", "echo": "2"}
    send_notice(harness, "load", echo="2", meters=[1, 0.1, 7, 0.9])
    harness.settle()
    assert state.load_sample == (1, 0.1, 7, 0.9) and state.load_sample_at_ms == harness.clock.now_ms


def test_longer_idempotency_window_applies_to_keys_that_ran_before(harness: NodeHarness) -> None:
    harness.connect("1")
    harness.send("1", request(1, "dispense", once="k1"))
    serve_request(harness, "1", 1, 1)
    longer = example_settings()
    longer["classes"][2]["window_s"] = 25.0
    harness.reload(settings=longer)
    harness.advance(20_000.0)
    harness.connect("2")
    harness.send("2", request(2, "dispense", at=START + 20_000.0, once="k1"))
    found = read_answer(harness, "2")
    assert found[:3] == [1, 2, None] and found[3][0] == b"made"


def test_reloaded_idle_time_applies_to_open_connections(harness: NodeHarness) -> None:
    harness.connect("1")
    for number in (1, 2):  # health checks, as requests would make the admission controller set the timeout
        harness.send("1", msgpack.packb([0, number, "health", [{}]]))
        assert read_answer(harness, "1")[:2] == [1, number]
    harness.reload(settings=example_settings(idle_s=0.5))
    harness.advance(1300.0)
    assert read_answer(harness, "1") == FAREWELL_MESSAGE
