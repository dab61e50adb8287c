"""Graceful shutdown while messages, signals, completed runs or a runtime migration arrive."""

from __future__ import annotations

import os
import signal
import socket

import pytest
from support.node_harness import GRACE_MS, START, NodeHarness, address, loopback
from support.node_peers import (
    FAREWELL_MESSAGE,
    HEALTH_CHECK,
    complete_run,
    read_answer,
    read_command,
    request,
    send_load_sample,
    send_notice,
    serve_request,
)
from support.operator_calls import set_drained

from snowthread.node.shutdown import (
    CLOSE_LISTENER_BEFORE_KILL_MS,
    EXIT_BEFORE_KILL_MS,
    QUIET_BEFORE_EXIT_MS,
)


def test_message_that_crossed_the_last_farewell_is_answered_by_a_late_loop(harness: NodeHarness) -> None:
    harness.connect("1")
    node = harness.node
    node.loop.spawn(node.shutdown.serve_until_kill(harness.clock.now_ms + 1000.0))
    harness.settle()
    harness.advance(1000.0 - CLOSE_LISTENER_BEFORE_KILL_MS)
    assert read_answer(harness, "1") == FAREWELL_MESSAGE
    harness.advance_late(QUIET_BEFORE_EXIT_MS)
    harness.send("1", HEALTH_CHECK)
    assert read_answer(harness, "1")[:2] == [1, 1]
    harness.advance(QUIET_BEFORE_EXIT_MS)
    harness.settle()
    assert node._stopped


def test_requests_unread_as_a_paused_process_goes_on_shortly_before_the_kill_are_answered(
    harness: NodeHarness,
) -> None:
    """Guards against an exit with unread requests.

    The process was paused past its time to exit, and exited without reading what had arrived meanwhile.
    """
    harness.connect("1")
    harness.send("1", HEALTH_CHECK)
    assert read_answer(harness, "1")[:2] == [1, 1]
    harness.begin_shutdown()
    node = harness.node
    node.loop.spawn(node.shutdown.serve_until_kill(START + GRACE_MS))
    harness.settle()
    harness.advance(GRACE_MS - CLOSE_LISTENER_BEFORE_KILL_MS)
    assert read_answer(harness, "1") == FAREWELL_MESSAGE
    harness.advance_late(CLOSE_LISTENER_BEFORE_KILL_MS - EXIT_BEFORE_KILL_MS + 1.0)
    harness.send("1", request(2, "dispense", once="k1", wait="900", at=harness.clock.now_ms))
    harness.settle()
    assert read_answer(harness, "1")[:2] == [1, 2]
    assert node._stopped


def test_run_that_completes_after_the_listener_closed_is_answered(harness: NodeHarness) -> None:
    harness.connect("1")
    harness.send("1", request(1, "dispense", once="k1", wait="9000"))
    assert read_command(harness)["action"] == "start"
    harness.begin_shutdown()
    node = harness.node
    node.loop.spawn(node.shutdown.serve_until_kill(START + GRACE_MS))
    harness.settle()
    harness.advance(GRACE_MS - CLOSE_LISTENER_BEFORE_KILL_MS)
    for _ in range(2):  # no data is received or sent, but the request is open
        harness.advance(0.75 * QUIET_BEFORE_EXIT_MS)
    assert not node._stopped
    complete_run(harness, 1, 1)
    assert read_answer(harness, "1") == FAREWELL_MESSAGE
    assert read_answer(harness, "1")[:3] == [1, 1, None]
    for _ in range(3):
        harness.advance(0.5 * QUIET_BEFORE_EXIT_MS)
    assert node._stopped


@pytest.mark.usefixtures("restored_signals")
@pytest.mark.parametrize(("after", "runs"), [(1950.0, True), (2010.0, False)])
def test_time_to_accept_requests_counts_from_the_signal_not_from_its_read(
    harness: NodeHarness, after: float, runs: bool
) -> None:
    harness.connect("1")
    harness.node.listen_for_signals()
    harness.settle()
    os.kill(os.getpid(), signal.SIGTERM)
    harness.clock.now_ms += 300.0  # the event loop is late
    harness.settle()
    assert harness.node.state.shutting_down
    assert read_answer(harness, "1") == FAREWELL_MESSAGE
    harness.clock.now_ms = START + after
    harness.send("1", request(1, "match", at=START + after))
    if runs:
        serve_request(harness, "1", 1, 1)
    else:
        assert read_answer(harness, "1")[2][0] == "Throttled"


@pytest.mark.usefixtures("restored_signals")
def test_registration_stays_off_during_shutdown(harness: NodeHarness) -> None:
    harness.node.listen_for_signals()
    harness.settle()
    for number in (signal.SIGTERM, signal.SIGTERM):
        os.kill(os.getpid(), number)
        harness.settle()
    registry = loopback(socket.SOCK_DGRAM)
    harness.reload(roster=address(registry))
    registry.settimeout(5.0)
    for n in range(6):  # until the listener closes
        harness.advance(400.0)
        assert registry.recv(100) == b"HERE n1 off"
        if n == 3:
            assert set_drained(harness, True) == 200
            assert set_drained(harness, False) == 409
    registry.close()


@pytest.mark.usefixtures("restored_signals")
@pytest.mark.parametrize("first", ["completion", "signal"])
def test_run_that_completes_in_the_round_of_the_signal_is_answered_once(
    harness: NodeHarness, first: str
) -> None:
    harness.connect("1")
    harness.node.listen_for_signals()
    harness.send("1", request(1, "dispense", once="k1"))
    assert read_command(harness)["action"] == "start"
    if first == "completion":
        complete_run(harness, 1, 1)
    os.kill(os.getpid(), signal.SIGTERM)
    if first == "signal":
        harness.node.loop.run_once(0.0)
        complete_run(harness, 1, 1)
    harness.settle()
    harness.clock.now_ms = START + GRACE_MS - CLOSE_LISTENER_BEFORE_KILL_MS
    harness.settle()
    harness.advance(QUIET_BEFORE_EXIT_MS)
    harness.settle()
    found = [read_answer(harness, "1") for _ in range(2)]
    assert FAREWELL_MESSAGE in found and [1, 1, None] in [one[:3] for one in found]
    assert harness.node._stopped
    harness.assert_silent("1")


@pytest.mark.parametrize("first", ["shutdown", "migration"])
def test_runtime_that_migrates_during_shutdown_is_read_to_the_end(harness: NodeHarness, first: str) -> None:
    harness.connect("1")
    harness.send("1", request(1, "dispense", once="k1"))
    assert read_command(harness)["action"] == "start"
    listener = loopback(socket.SOCK_STREAM)
    for event in (first, "migration" if first == "shutdown" else "shutdown"):
        if event == "shutdown":
            harness.begin_shutdown()
        else:
            harness.reload(runtime=address(listener))
    assert read_answer(harness, "1") == FAREWELL_MESSAGE
    assert read_command(harness) == {"action": "gauges", "echo": "move-1"}
    send_load_sample(harness, "move-1")
    harness.listeners["runtime"] = listener
    harness.accept("runtime")
    assert read_command(harness) == {"action": "sync", "pos": 0}
    send_notice(harness, "ready", code="seasoned", wall_ms=9000)
    complete_run(harness, 1, 1)
    assert read_answer(harness, "1")[:3] == [1, 1, None]
