"""Races of database calls: timeout, connection or class change in the loop round in which a call ends."""

from __future__ import annotations

from dataclasses import replace

import pytest
from support.node_harness import NodeHarness, StartNode
from support.node_peers import (
    DATABASE_REPLY,
    attempt_id,
    example_settings,
    read_command,
    read_work_command,
    request,
    send_notice,
)

from snowthread.clients.database import IDLE_TIMEOUT_MS
from snowthread.core import effects

RETRY_DUE_MS = 60.0  # after this time a call without a connection, or that lost it, is retried
IDLE_CONNECTION_MS = 40.0  # time after a reply at which the connection can be reused


def start_run_that_calls(harness: NodeHarness, number: int, pos: int) -> None:
    """Send a request, and let its run call the database."""
    harness.send("1", request(number, "match", wait="11000"))
    command = read_command(harness)
    while command["action"] in ("gauges", "give"):
        command = read_command(harness)
    assert command["action"] == "start"
    send_notice(harness, "wants", pos=pos, uid=attempt_id(number), content=b"?")
    harness.settle()


def receive_call(harness: NodeHarness, number: int) -> None:
    """Receive, as the database, the complete call of a request's run."""
    call = b""
    while not call.endswith(b"\r\n\r\n?"):
        more = harness.receive("index", 1)
        assert more, call
        call += more
    assert f"X-Parent-Id: {attempt_id(number)}".encode() in call


def reply_to_call(harness: NodeHarness) -> None:
    """Reply as the database, and wait until the connection can be reused."""
    harness.send("index", DATABASE_REPLY)
    harness.settle()
    harness.advance(IDLE_CONNECTION_MS)


def test_reply_unread_at_the_call_timeout_is_delivered(harness: NodeHarness) -> None:
    harness.connect("1")
    harness.send("1", request(1, "dispense", once="k1", wait="11000"))
    assert read_command(harness)["action"] == "start"
    send_notice(harness, "wants", pos=1, uid=attempt_id(1), content=b"?")
    harness.accept("index")
    (link,) = harness.node.database._calls.values()
    assert link.call is not None
    assert b"POST /lookup" in harness.receive("index", 20)
    harness.advance_late(link.call.timeout_ms)
    harness.send("index", DATABASE_REPLY)
    assert read_work_command(harness) == {"action": "give", "uid": attempt_id(1), "content": "cg=="}


def test_call_assigned_as_its_connection_s_idle_time_ends_is_made_once(harness: NodeHarness) -> None:
    database = harness.node.database
    call = effects.StartCall(attempt_id(1), b"?", 9000.0, True)
    database.start_call(call)
    harness.accept("index")
    assert harness.receive("index", 30).startswith(b"POST")
    harness.send("index", DATABASE_REPLY)
    harness.settle()
    harness.advance_late(IDLE_TIMEOUT_MS)  # wakes the connection's task, which will close the connection
    database.start_call(replace(call, attempt_id=attempt_id(2)))
    harness.settle()
    assert database.connection_count() == 1
    assert f"X-Parent-Id: {attempt_id(2)}".encode() in harness.peers["index"].recv(500)
    harness.assert_silent("index")
    harness.listeners["index"].setblocking(False)
    with pytest.raises(BlockingIOError):
        harness.listeners["index"].accept()


def test_call_on_a_broken_used_connection_is_retried_by_the_class_as_it_was_read(
    start_node: StartNode,
) -> None:
    """After a class becomes non-idempotent, calls of earlier requests are still retried.

    Calls of later requests use new connections.
    """
    harness = start_node(settings=example_settings(cores=6, calls_out=200.0))
    harness.connect("1")

    start_run_that_calls(harness, 1, 1)
    harness.accept("index")
    receive_call(harness, 1)
    reply_to_call(harness)
    start_run_that_calls(harness, 2, 2)
    receive_call(harness, 2)  # on the same connection
    changed = example_settings(cores=6, calls_out=200.0)
    changed["classes"][0]["effect"] = "non_idempotent"
    harness.reload(settings=changed)
    harness.close_peer("index")
    harness.advance(RETRY_DUE_MS)
    harness.accept("index")
    receive_call(harness, 2)
    reply_to_call(harness)
    start_run_that_calls(harness, 3, 3)
    harness.accept("index")  # a new connection, although one is idle
    receive_call(harness, 3)


def test_completed_call_frees_its_connection_for_the_next_when_none_is_idle(start_node: StartNode) -> None:
    harness = start_node(
        settings=example_settings(calls_out=200.0, cores=6, memory_kb=60000.0),
        limits={"memory_mb": 64, "sockets": 64},
    )
    harness.connect("1")
    database = harness.node.database
    max_connections = database._max_connections
    for n in range(1, max_connections + 2):
        harness.send("1", request(n, "match", wait="11000"))
        assert read_command(harness)["action"] == "start"
        send_notice(harness, "wants", pos=n, uid=attempt_id(n), content=b"?")
        harness.settle()
    assert database.connection_count() == len(database._calls) == max_connections  # one more call is waiting
    listener = harness.listeners["index"]
    listener.settimeout(5.0)
    completed, *rest = [listener.accept()[0] for _ in range(max_connections)]
    # The waiting call's retry is due from now on, but sockets are read before timers run.
    harness.clock.now_ms += RETRY_DUE_MS
    completed.sendall(DATABASE_REPLY)
    assert read_work_command(harness) == {"action": "give", "uid": attempt_id(1), "content": "cg=="}
    harness.settle()
    last = listener.accept()[0]
    last.settimeout(5.0)
    assert f"X-Parent-Id: {attempt_id(max_connections + 1)}".encode() in last.recv(1000)
    assert database.connection_count() == len(database._calls) == max_connections
    for sock in (completed, *rest, last):
        sock.close()
