"""The link to the runtime goes silent, breaks or migrates while commands are in flight."""

from __future__ import annotations

import socket
from typing import Any

import pytest
from support.node_harness import NodeHarness, StartNode, address, loopback
from support.node_peers import (
    attempt_id,
    complete_run,
    example_settings,
    is_closed_by_node,
    read_answer,
    read_command,
    read_work_command,
    reconnect_runtime,
    request,
    send_load_sample,
    send_notice,
)

from snowthread.clients.runtime import LOAD_SAMPLE_QUEUE_LIMIT
from snowthread.clients.runtime_link import (
    KEEPALIVE_AFTER_SILENCE_MS,
    KEEPALIVE_TIMEOUT_MS,
    MIGRATION_TIMEOUT_MS,
)
from snowthread.core import effects


def start_command(number: int, class_name: str) -> dict[str, str]:
    """Return the command that starts a request's run."""
    return {"action": "start", "uid": attempt_id(number), "lane": class_name, "content": "eA=="}


def pass_silence_timeout(harness: NodeHarness) -> None:
    """Keep the runtime silent on an intact link until the node gives up the link."""
    harness.advance(KEEPALIVE_AFTER_SILENCE_MS)
    command = read_command(harness)
    while command != {"action": "gauges", "echo": "alive"}:
        command = read_command(harness)
    harness.advance(KEEPALIVE_TIMEOUT_MS)
    harness.settle()


def test_silent_link_is_replaced_and_runs_go_on(harness: NodeHarness) -> None:
    harness.connect("1")
    harness.send("1", request(1, "match", wait="11000"))
    assert read_command(harness)["action"] == "start"  # sent on a link that is dead already
    pass_silence_timeout(harness)
    reconnect_runtime(harness, 0, "sync-2")
    assert read_command(harness) == start_command(1, "match")
    complete_run(harness, 1, 1)
    assert read_answer(harness, "1")[:3] == [1, 1, None]


def test_keyed_start_on_a_dead_link_is_not_resent_and_frees_its_slot(harness: NodeHarness) -> None:
    harness.connect("1")
    harness.send("1", request(1, "dispense", once="k1", wait="9000"))
    assert read_command(harness)["action"] == "start"
    pass_silence_timeout(harness)
    reconnect_runtime(harness, 0, "sync-2")
    for _ in range(40):
        harness.advance(50.0)
    assert read_answer(harness, "1")[2][0] == "Failed"
    assert read_work_command(harness) == {"action": "stop", "uid": attempt_id(1)}
    assert not harness.node.state.requests  # the request is removed, so that its slot is free


@pytest.mark.parametrize(("effect", "resent"), [("read_like", True), ("non_idempotent", False)])
def test_start_before_a_link_break_is_resent_only_where_it_is_safe(
    start_node: StartNode, effect: str, resent: bool
) -> None:
    """A run may end just before its start is resent: the runtime would then run it a second time."""
    fields = example_settings()
    fields["classes"][1]["effect"] = effect
    harness = start_node(settings=fields)
    harness.connect("1")
    harness.send("1", request(1, "recalc"))
    assert read_command(harness)["action"] == "start"
    harness.close_peer("runtime")
    reconnect_runtime(harness, 0, "sync-2")
    if resent:
        assert read_command(harness) == start_command(1, "recalc")
        return
    commands: list[dict[str, Any]] = []
    for _ in range(30):
        harness.advance(50.0)
    assert read_answer(harness, "1")[:3] == [1, 1, ["Failed", {}]]
    while not commands or commands[-1]["action"] != "stop":
        commands.append(read_command(harness))
    assert "start" not in [command["action"] for command in commands]


def test_runtime_that_is_not_ready_after_a_break_is_reconnected(harness: NodeHarness) -> None:
    harness.close_peer("runtime")
    harness.advance(500.0)
    harness.accept("runtime")
    assert read_command(harness) == {"action": "sync", "pos": 0}
    pass_silence_timeout(harness)
    assert is_closed_by_node(harness, "runtime")
    reconnect_runtime(harness, 0, "sync-2")


def test_runtime_that_never_started_is_waited_for(unready_harness: NodeHarness) -> None:
    harness = unready_harness
    harness.accept("runtime")
    assert read_command(harness) == {"action": "sync", "pos": 0}
    for _ in range(5):
        harness.advance(KEEPALIVE_AFTER_SILENCE_MS + KEEPALIVE_TIMEOUT_MS)
    harness.assert_silent("runtime")
    send_notice(harness, "ready", code="fresh", wall_ms=0)
    assert read_command(harness) == {"action": "gauges", "echo": "sync-1"}


def test_echo_unread_at_the_end_of_the_wait_is_read(harness: NodeHarness) -> None:
    harness.advance(KEEPALIVE_AFTER_SILENCE_MS)
    harness.advance_late(KEEPALIVE_TIMEOUT_MS)
    send_notice(harness, "load", echo="alive", meters=[0.1, 0, 0.1, 1])
    harness.settle()
    assert harness.node.state.runtime_connected and harness.node.state.link_number == 1


def test_link_with_many_unread_commands_migrates_after_their_echo_and_loses_none(
    harness: NodeHarness,
) -> None:
    link = harness.peers["runtime"]
    sent = 0
    while len(harness.node.runtime._commands.lines) < LOAD_SAMPLE_QUEUE_LIMIT:
        harness.node.runtime.send(effects.DeliverReply(attempt_id(sent), b"r" * 4000))
        sent += 1
        assert sent < 5000
    listener = loopback(socket.SOCK_STREAM)
    harness.reload(runtime=address(listener))
    harness.settle()
    got = b""
    rounds = 0
    while b"move-1" not in got:
        harness.node.loop.run_once(0.0)
        rounds += 1
        assert rounds < 50_000, (
            f"{got.count(b'give')} of {sent} commands read, but no marker of the migration"
        )
        try:
            got += link.recv(1 << 16)
        except BlockingIOError:
            continue
    assert got.count(b'"give"') == sent
    send_load_sample(harness, "move-1")
    assert link.recv(10) == b""
    harness.listeners["runtime"] = listener
    harness.accept("runtime")
    assert read_command(harness) == {"action": "sync", "pos": 0}


def test_starts_sent_to_an_address_that_never_answered_are_resent(harness: NodeHarness) -> None:
    """The link migrates to an address whose listener reads nothing, and then migrates again."""
    harness.connect("1")
    listener = loopback(socket.SOCK_STREAM)
    harness.reload(runtime=address(listener))
    assert read_command(harness) == {"action": "gauges", "echo": "move-1"}
    send_load_sample(harness, "move-1")
    harness.listeners["runtime"] = listener
    harness.accept("runtime")
    harness.send("1", request(1, "match", wait="11000"))
    harness.settle()
    harness.clock.now_ms += 1000.0  # long enough for everything that was sent to arrive
    harness.settle()
    back = loopback(socket.SOCK_STREAM)
    harness.reload(runtime=address(back))
    harness.settle()
    harness.advance(MIGRATION_TIMEOUT_MS)
    harness.listeners["runtime"] = back
    reconnect_runtime(harness, 0, "sync-2")
    assert read_command(harness) == start_command(1, "match")
