"""Moments at which two events cross, each forced on real connections: docs/crossings.md has the list.

The bad order is made, not waited for. A round of the loop reads sockets before it looks at its timers, and
what a timer woke goes first in the round after: so ``late`` plays the round in which time is up, and what is
sent behind it lies unread when the node acts on that, as it does where the loop was late.
"""

from __future__ import annotations

import os
import signal
import socket
import struct
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import msgpack
import pytest
from support.exchange import START, Player, address, loopback
from support.playing import answer, command, done, ends, message, notice, ready, settings, uid

from snowthread import config
from snowthread.clients.database import KEEP_MS
from snowthread.clients.runtime import ALIVE_MS, FENCE_MS, QUEUE_MAX, SILENT_MS
from snowthread.core import effects
from snowthread.frontends.balancers.server import PART_MS, PLACES_LEAST
from snowthread.net.limits import FIRST_BYTE_TIMEOUT_MS, FRESH_IDLE_MS, SWEEP_INTERVAL_MS
from snowthread.node import BLOCKED_SIGNALS
from snowthread.node.shutdown import CLOSE_LISTENER_BEFORE_KILL_MS, QUIET_BEFORE_EXIT_MS

FAREWELL = [2, "farewell", []]
REPLY = b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nr"  # to a call


def late(player: Player, ms: float) -> None:
    """Time goes by and the loop sees no more than that."""
    player.clock.now_ms += ms
    player.node.loop.run_once(0.0)


def started(**changes: Any) -> Player:
    player = Player(**changes)
    ready(player)
    return player


def connected(player: Player, *names: str) -> None:
    for name in names:
        player.step(name, "connect", "")
        player.settle()


def served(player: Player, who: str, number: int, pos: int) -> None:
    """The request is run and its result comes back."""
    told = command(player)
    while told["action"] == "gauges":
        told = command(player)
    assert told["action"] == "start" and told["uid"] == uid(number)
    done(player, pos, number)
    found = answer(player, who)
    assert found[:3] == [1, number, None] and found[3][0] == b"made"


# The closing of idle connections.


def test_a_request_unread_when_the_farewell_s_time_is_up_is_served() -> None:
    player = started()
    connected(player, "1")
    player.node.balancers.set_idle_timeout(100.0)
    player.step("clock", str(SWEEP_INTERVAL_MS), "")
    assert answer(player, "1") == FAREWELL
    late(player, PART_MS)
    player.peers["1"].sendall(message(1, "match"))
    served(player, "1", 1, 1)


def test_a_first_request_unread_when_the_wait_for_it_is_over_is_served() -> None:
    player = started()
    connected(player, "1")
    late(player, FIRST_BYTE_TIMEOUT_MS)
    player.peers["1"].sendall(message(1, "match"))
    served(player, "1", 1, 1)


def test_a_request_unread_on_the_connection_that_would_make_room_is_served() -> None:
    player = started()
    player.node.balancers.set_max_connections(PLACES_LEAST)
    connected(player, *(str(n) for n in range(PLACES_LEAST)))
    player.clock.now_ms += FRESH_IDLE_MS
    new = socket.create_connection(player.node.balancers.address)  # at the door before the request is sent
    player.peers["0"].sendall(message(1, "match"))
    served(player, "0", 1, 1)
    assert player.node.balancers.count() == PLACES_LEAST  # another made room, and only one
    assert player.node.balancers.peer_address(PLACES_LEAST + 1) and player.node.balancers.peer_address(1)
    new.close()


def test_a_request_in_pieces_is_neither_parted_with_nor_makes_room() -> None:
    player = started()
    player.node.balancers.set_max_connections(PLACES_LEAST)
    connected(player, *(str(n) for n in range(PLACES_LEAST)))
    whole = message(1, "match")
    player.peers["0"].sendall(whole[:40])
    player.settle()
    player.node.balancers.set_idle_timeout(100.0)
    player.step("clock", str(SWEEP_INTERVAL_MS + 1.0), "")
    for n in range(1, PLACES_LEAST):
        assert answer(player, str(n)) == FAREWELL
    player.silent("0")
    new = socket.create_connection(player.node.balancers.address)
    player.settle()
    player.step("clock", str(PART_MS + SWEEP_INTERVAL_MS), "")
    player.peers["0"].sendall(whole[40:])
    served(player, "0", 1, 1)
    new.close()


def test_a_farewell_on_its_way_takes_no_request_in_pieces_along() -> None:
    player = started()
    connected(player, "1")
    whole = message(1, "match")
    player.node.balancers.set_idle_timeout(100.0)
    player.step("clock", str(SWEEP_INTERVAL_MS), "")
    assert answer(player, "1") == FAREWELL
    player.peers["1"].sendall(whole[:-1])  # it crossed; its last byte comes when time is up
    player.settle()
    player.step("clock", str(PART_MS + SWEEP_INTERVAL_MS), "")
    player.peers["1"].sendall(whole[-1:])
    served(player, "1", 1, 1)


def test_a_connection_dropped_before_its_first_step_leaves_the_table() -> None:
    """Where the machine stands still while it accepts, one accepted in this turn is old enough to go."""
    player = started()
    hub = player.node.balancers
    hub.set_max_connections(PLACES_LEAST)
    busy = [str(n) for n in range(PLACES_LEAST - 1)]
    connected(player, *busy)
    for n, name in enumerate(busy):
        player.peers[name].sendall(message(100 + n, "match"))
    player.settle()
    first, second = (socket.create_connection(hub.address) for _ in range(2))
    assert hub.accept_all(1)
    player.clock.now_ms += FRESH_IDLE_MS
    assert hub.accept_all(1)
    assert hub.count() == PLACES_LEAST
    unpacker = msgpack.Unpacker()
    first.settimeout(5.0)
    while more := first.recv(100):
        unpacker.feed(more)
    assert list(unpacker) == [FAREWELL]
    first.close()
    second.close()


def test_a_peer_that_is_gone_as_farewell_is_said_to_all_stops_nobody_else_s() -> None:
    player = started()
    connected(player, "1", "2", "3")
    player.peers["2"].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    player.peers.pop("2").close()  # a reset that the node has not looked at yet
    player.node.balancers.say_farewell_to_all()
    player.settle()
    assert answer(player, "1") == answer(player, "3") == FAREWELL
    assert player.node.balancers.count() == 2


# A connection that ends.


def test_what_is_open_is_failed_where_its_connection_ends_for_one_bad_message() -> None:
    player = started()
    connected(player, "1")
    player.peers["1"].sendall(message(1, "match") + message(2, "recalc") + b"\xa5hello")
    player.settle()
    assert [answer(player, "1")[:3] for _ in range(2)] == [[1, 1, ["Failed", {}]], [1, 2, ["Failed", {}]]]
    assert ends(player, "1")
    assert [command(player)["action"] for _ in range(4)] == ["start", "start", "stop", "stop"]


def test_what_is_open_is_failed_where_the_rest_of_a_message_never_comes() -> None:
    player = started()
    connected(player, "1")
    player.peers["1"].sendall(message(1, "match") + message(2, "match")[:30])
    player.settle()
    for _ in range(14):
        player.step("clock", str(SWEEP_INTERVAL_MS), "")
    assert answer(player, "1")[:3] == [1, 1, ["Failed", {}]]
    assert ends(player, "1")


def test_answers_not_taken_yet_go_out_whole_before_a_connection_ends() -> None:
    player = started()
    checks, most = b"\x94\x00\x01\xa6health\x91\x80", 20_000
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(player.node.balancers.address)
    player.peers["1"] = sock
    player.settle()
    (connection,) = player.node.balancers._connections.values()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    sent = 0
    while len(connection.unsent_bytes) < 16_000 and sent < most:  # under 32 KiB it is still read from
        sock.sendall(checks * 100)
        sent += 100
        player.settle()
    assert len(connection.unsent_bytes) >= 16_000
    sock.sendall(b"\xa5hello")
    player.settle()
    sock.setblocking(False)
    got, idle = b"", 0
    while idle < 2000:
        player.node.loop.run_once(0.0005)
        try:
            more = sock.recv(65536)
        except BlockingIOError:
            idle += 1
            continue
        if not more:
            break
        got += more
    unpacker = msgpack.Unpacker()
    unpacker.feed(got)
    assert len(list(unpacker)) == sent


def test_who_shuts_its_writing_side_hears_what_became_of_what_is_open() -> None:
    player = started()
    connected(player, "1")
    player.peers["1"].sendall(message(1, "match"))
    player.peers["1"].shutdown(socket.SHUT_WR)
    player.settle()
    assert answer(player, "1")[:3] == [1, 1, ["Failed", {}]]
    assert ends(player, "1")
    assert [command(player)["action"] for _ in range(2)] == ["start", "stop"]


def test_who_sends_copies_and_takes_the_slower_ones_back_is_not_told_to_leave() -> None:
    player = started()
    connected(player, "1", "2")
    pos = 0
    for n in range(1, 160, 2):
        player.peers["1"].sendall(message(n, "match") + message(n + 1, "match"))
        for _ in range(2):
            told = command(player)
            assert told["action"] == "start"
        player.peers["1"].sendall(msgpack.packb([2, "cancel", [n + 1]]))
        assert answer(player, "1")[:3] == [1, n + 1, ["Failed", {}]]
        assert command(player)["action"] == "stop"
        pos += 1
        notice(player, "end", pos=pos, uid=uid(n + 1), code="aborted", wall_ms=1, content=b"")
        pos += 1
        done(player, pos, n)
        assert answer(player, "1")[:2] == [1, n], n


# Shutdown.


def test_what_crossed_the_last_farewell_is_answered_however_late_the_loop_is() -> None:
    player = started()
    connected(player, "1")
    node = player.node
    node.loop.spawn(node.shutdown.serve_until_kill(player.clock.now_ms + 1000.0))
    player.settle()
    player.step("clock", str(1000.0 - CLOSE_LISTENER_BEFORE_KILL_MS), "")
    assert answer(player, "1") == FAREWELL
    late(player, QUIET_BEFORE_EXIT_MS)
    player.peers["1"].sendall(b"\x94\x00\x01\xa6health\x91\x80")
    assert answer(player, "1")[:2] == [1, 1]
    player.step("clock", str(QUIET_BEFORE_EXIT_MS), "")
    player.settle()
    assert node._gone


def test_a_run_that_ends_once_the_door_is_closed_and_all_was_quiet_is_served() -> None:
    player = started()
    connected(player, "1")
    player.peers["1"].sendall(message(1, "dispense", once="k1", wait="9000"))
    assert command(player)["action"] == "start"
    player.step("leave", "", "")
    node = player.node
    node.loop.spawn(node.shutdown.serve_until_kill(START + 3200.0))
    player.settle()
    player.step("clock", str(3200.0 - CLOSE_LISTENER_BEFORE_KILL_MS), "")
    for _ in range(2):  # nothing comes or goes, and the request is open
        player.step("clock", str(0.75 * QUIET_BEFORE_EXIT_MS), "")
    assert not node._gone
    done(player, 1, 1)
    assert answer(player, "1") == FAREWELL
    assert answer(player, "1")[:3] == [1, 1, None]
    for _ in range(3):
        player.step("clock", str(0.5 * QUIET_BEFORE_EXIT_MS), "")
    assert node._gone


@pytest.fixture
def signals() -> Iterator[None]:
    """The handlers as they were."""
    kept = {number: signal.getsignal(number) for number in BLOCKED_SIGNALS}
    waker = signal.set_wakeup_fd(-1)
    yield
    signal.set_wakeup_fd(waker)
    for number, handler in kept.items():
        signal.signal(number, handler)


@pytest.mark.usefixtures("signals")
@pytest.mark.parametrize(("after", "runs"), [(1950.0, True), (2010.0, False)])
def test_the_grace_counts_from_the_signal_not_from_when_it_is_read(after: float, runs: bool) -> None:
    player = started()
    connected(player, "1")
    player.node.listen_for_signals()
    player.settle()
    os.kill(os.getpid(), signal.SIGTERM)
    player.clock.now_ms += 300.0  # the loop is held up
    player.settle()
    assert player.node.state.shutting_down
    assert answer(player, "1") == FAREWELL
    player.clock.now_ms = START + after
    player.peers["1"].sendall(message(1, "match", at=START + after))
    if runs:
        served(player, "1", 1, 1)
    else:
        assert answer(player, "1")[2][0] == "Throttled"


@pytest.mark.usefixtures("signals")
def test_off_stays_off_whatever_comes_while_leaving() -> None:
    player = started()
    player.node.listen_for_signals()
    player.settle()
    for number in (signal.SIGTERM, signal.SIGTERM):
        os.kill(os.getpid(), number)
        player.settle()
    roster = loopback(socket.SOCK_DGRAM)
    player.node.apply_configuration(config.parse(player.fields | {"roster": address(roster)}))
    roster.settimeout(5.0)
    for n in range(6):  # until its door closes
        player.step("clock", "400", "")
        assert roster.recv(100) == b"HERE n1 off"
        if n == 3:
            player.node.operator_calls.drain()
            assert player.node.operator_calls.resume()[0] == 409
    roster.close()


@pytest.mark.usefixtures("signals")
@pytest.mark.parametrize("first", ["end", "signal"])
def test_a_run_that_ends_in_the_turn_of_the_signal_is_served_once(first: str) -> None:
    player = started()
    connected(player, "1")
    player.node.listen_for_signals()
    player.peers["1"].sendall(message(1, "dispense", once="k1"))
    assert command(player)["action"] == "start"
    if first == "end":
        done(player, 1, 1)
    os.kill(os.getpid(), signal.SIGTERM)
    if first == "signal":
        player.node.loop.run_once(0.0)
        done(player, 1, 1)
    player.settle()
    player.clock.now_ms = START + 3200.0 - CLOSE_LISTENER_BEFORE_KILL_MS
    player.settle()
    player.step("clock", str(QUIET_BEFORE_EXIT_MS), "")
    player.settle()
    found = [answer(player, "1") for _ in range(2)]
    assert FAREWELL in found and [1, 1, None] in [one[:3] for one in found]
    assert player.node._gone
    player.silent("1")


@pytest.mark.parametrize("first", ["leave", "move"])
def test_a_runtime_that_moves_while_the_node_leaves_is_heard_to_the_end(first: str) -> None:
    player = started()
    connected(player, "1")
    player.peers["1"].sendall(message(1, "dispense", once="k1"))
    assert command(player)["action"] == "start"
    listener = loopback(socket.SOCK_STREAM)
    moved = config.parse(player.fields | {"runtime": address(listener)})
    for what in (first, "move" if first == "leave" else "leave"):
        if what == "leave":
            player.step("leave", "", "")
        else:
            player.node.apply_configuration(moved)
    assert answer(player, "1") == FAREWELL
    assert command(player) == {"action": "gauges", "echo": "move-1"}
    notice(player, "load", echo="move-1", meters=[0.1, 0, 0.1, 1])
    player.settle()
    player.listeners["runtime"] = listener
    player.step("runtime", "accept", "")
    assert command(player) == {"action": "sync", "pos": 0}
    notice(player, "ready", code="seasoned", wall_ms=9000)
    done(player, 1, 1)
    assert answer(player, "1")[:3] == [1, 1, None]


# A runtime that goes quiet, and links that move.


def silent_for_good(player: Player) -> None:
    """The runtime says nothing more, and its link does not break."""
    player.step("clock", str(SILENT_MS), "")
    told = command(player)
    while told != {"action": "gauges", "echo": "alive"}:
        told = command(player)
    player.step("clock", str(ALIVE_MS), "")
    player.settle()


def relinked(player: Player, pos: int, echo: str) -> None:
    player.step("clock", "500", "")
    player.step("runtime", "accept", "")
    assert command(player) == {"action": "sync", "pos": pos}
    notice(player, "ready", code="seasoned", wall_ms=9000)
    assert command(player) == {"action": "gauges", "echo": echo}
    notice(player, "load", echo=echo, meters=[0.1, 0, 0.1, 1])
    player.settle()


def test_a_link_whose_other_end_says_nothing_more_is_made_anew_and_runs_go_on() -> None:
    player = started()
    connected(player, "1")
    player.peers["1"].sendall(message(1, "match", wait="11000"))
    assert command(player)["action"] == "start"  # into a link that is dead already
    silent_for_good(player)
    relinked(player, 0, "sync-2")
    assert command(player) == {"action": "start", "uid": uid(1), "lane": "match", "content": "eA=="}
    done(player, 1, 1)
    assert answer(player, "1")[:3] == [1, 1, None]


def test_a_keyed_start_into_a_dead_link_is_not_sent_again_and_frees_its_place() -> None:
    player = started()
    connected(player, "1")
    player.peers["1"].sendall(message(1, "dispense", once="k1", wait="9000"))
    assert command(player)["action"] == "start"
    silent_for_good(player)
    relinked(player, 0, "sync-2")
    for _ in range(40):
        player.step("clock", "50", "")
    assert answer(player, "1")[2][0] == "Failed"
    told = command(player)
    while told["action"] == "gauges":
        told = command(player)
    assert told == {"action": "stop", "uid": uid(1)}
    assert not player.node.state.requests  # its place is another's


@pytest.mark.parametrize(("effect", "again"), [("read_like", True), ("non_idempotent", False)])
def test_a_start_before_a_break_is_given_again_only_where_it_is_safe(effect: str, again: bool) -> None:
    """Its run may end just as the start comes again: the runtime would then run it a second time."""
    fields = settings()
    fields["classes"][1]["effect"] = effect
    player = started(settings=fields)
    connected(player, "1")
    player.peers["1"].sendall(message(1, "recalc"))
    assert command(player)["action"] == "start"
    player.step("runtime", "close", "")
    relinked(player, 0, "sync-2")
    if again:
        assert command(player) == {"action": "start", "uid": uid(1), "lane": "recalc", "content": "eA=="}
        return
    told = []
    for _ in range(30):
        player.step("clock", "50", "")
    assert answer(player, "1")[:3] == [1, 1, ["Failed", {}]]
    while not told or told[-1]["action"] != "stop":
        told.append(command(player))
    assert "start" not in [line["action"] for line in told]


def test_a_runtime_that_accepts_and_is_not_ready_after_a_break_is_linked_anew() -> None:
    player = started()
    player.step("runtime", "close", "")
    player.step("clock", "500", "")
    player.step("runtime", "accept", "")
    assert command(player) == {"action": "sync", "pos": 0}
    silent_for_good(player)
    assert ends(player, "runtime")
    relinked(player, 0, "sync-2")


def test_a_runtime_that_never_started_is_waited_for() -> None:
    player = Player()
    player.step("runtime", "accept", "")
    assert command(player) == {"action": "sync", "pos": 0}
    for _ in range(5):
        player.step("clock", str(SILENT_MS + ALIVE_MS), "")
    player.silent("runtime")
    notice(player, "ready", code="fresh", wall_ms=0)
    assert command(player) == {"action": "gauges", "echo": "sync-1"}


def test_an_echo_that_lies_unread_when_the_wait_is_over_is_heard() -> None:
    player = started()
    player.step("clock", str(SILENT_MS), "")
    late(player, ALIVE_MS)
    notice(player, "load", echo="alive", meters=[0.1, 0, 0.1, 1])
    player.settle()
    assert player.node.state.runtime_connected and player.node.state.link_number == 1


def test_a_link_with_many_commands_unread_moves_on_their_echo_and_loses_none() -> None:
    player = started()
    link = player.peers["runtime"]
    sent = 0
    while len(player.node.runtime._lines) < QUEUE_MAX:
        player.node.runtime.send(effects.DeliverReply(uid(sent), b"r" * 4000))
        sent += 1
        assert sent < 5000
    listener = loopback(socket.SOCK_STREAM)
    player.node.apply_configuration(config.parse(player.fields | {"runtime": address(listener)}))
    player.settle()
    got, rounds = b"", 0
    while b"move-1" not in got:
        player.node.loop.run_once(0.0)
        rounds += 1
        assert rounds < 50_000, f"{got.count(b'give')} of {sent} read, and no word that it moves"
        try:
            got += link.recv(1 << 16)
        except BlockingIOError:
            continue
    assert got.count(b'"give"') == sent
    notice(player, "load", echo="move-1", meters=[0.1, 0, 0.1, 1])
    player.settle()
    assert link.recv(10) == b""
    player.listeners["runtime"] = listener
    player.step("runtime", "accept", "")
    assert command(player) == {"action": "sync", "pos": 0}


def test_starts_for_a_place_that_never_answered_are_not_taken_for_read() -> None:
    """The runtime moves; whoever listens at the new place reads nothing, and the node moves on once more."""
    player = started()
    connected(player, "1")
    listener = loopback(socket.SOCK_STREAM)
    player.node.apply_configuration(config.parse(player.fields | {"runtime": address(listener)}))
    assert command(player) == {"action": "gauges", "echo": "move-1"}
    notice(player, "load", echo="move-1", meters=[0.1, 0, 0.1, 1])
    player.settle()
    player.listeners["runtime"] = listener
    player.step("runtime", "accept", "")
    player.peers["1"].sendall(message(1, "match", wait="11000"))
    player.settle()
    player.clock.now_ms += 1000.0  # all that went has long had time to come through
    player.settle()
    back = loopback(socket.SOCK_STREAM)
    player.node.apply_configuration(config.parse(player.fields | {"runtime": address(back)}))
    player.settle()
    player.step("clock", str(FENCE_MS), "")
    player.listeners["runtime"] = back
    relinked(player, 0, "sync-2")
    assert command(player) == {"action": "start", "uid": uid(1), "lane": "match", "content": "eA=="}


# Calls.


def test_a_reply_that_lies_there_when_its_time_is_up_is_taken() -> None:
    player = started()
    connected(player, "1")
    player.peers["1"].sendall(message(1, "dispense", once="k1", wait="11000"))
    assert command(player)["action"] == "start"
    notice(player, "wants", pos=1, uid=uid(1), content=b"?")
    player.step("index", "accept", "")
    (link,) = player.node.database._calls.values()
    assert link.call is not None
    assert b"POST /lookup" in player.came("index", 20)
    late(player, link.call.timeout_ms)
    player.peers["index"].sendall(REPLY)
    told = command(player)
    while told["action"] == "gauges":
        told = command(player)
    assert told == {"action": "give", "uid": uid(1), "content": "cg=="}


def test_a_call_assigned_as_a_connection_s_time_to_rest_is_over_is_made_once() -> None:
    player = started()
    index = player.node.database
    call = effects.StartCall(uid(1), b"?", 9000.0, True)
    index.start_call(call)
    player.step("index", "accept", "")
    assert player.came("index", 30).startswith(b"POST")
    player.peers["index"].sendall(REPLY)
    player.settle()
    late(player, KEEP_MS)  # its task is woken to end
    index.start_call(replace(call, attempt_id=uid(2)))
    player.settle()
    assert index.connection_count() == 1
    assert f"X-Parent-Id: {uid(2)}".encode() in player.peers["index"].recv(500)
    player.silent("index")
    player.listeners["index"].setblocking(False)
    with pytest.raises(BlockingIOError):
        player.listeners["index"].accept()


def test_a_used_connection_that_breaks_after_a_class_got_another_effect() -> None:
    """What was read as safe is called once more; what is read since never goes over a used connection."""
    player = started(settings=settings(cores=6, calls_out=200.0))
    connected(player, "1")

    def asks(number: int, pos: int) -> None:
        player.peers["1"].sendall(message(number, "match", wait="11000"))
        told = command(player)
        while told["action"] in ("gauges", "give"):
            told = command(player)
        assert told["action"] == "start"
        notice(player, "wants", pos=pos, uid=uid(number), content=b"?")
        player.settle()

    def called(number: int) -> None:
        head = b""
        while not head.endswith(b"\r\n\r\n?"):
            more = player.came("index", 1)
            assert more, head
            head += more
        assert f"X-Parent-Id: {uid(number)}".encode() in head

    def rested() -> None:
        """The call is replied to, and its connection may carry the next one."""
        player.peers["index"].sendall(REPLY)
        player.settle()
        player.step("clock", "40", "")

    asks(1, 1)
    player.step("index", "accept", "")
    called(1)
    rested()
    asks(2, 2)
    called(2)  # over the same connection
    changed = settings(cores=6, calls_out=200.0)
    changed["classes"][0]["effect"] = "non_idempotent"
    player.node.apply_configuration(config.parse(player.fields | {"settings": changed}))
    player.step("index", "close", "")
    player.step("clock", "60", "")
    player.step("index", "accept", "")
    called(2)
    rested()
    asks(3, 3)
    player.step("index", "accept", "")  # though one rests
    called(3)


def test_a_call_that_ends_makes_room_for_the_next_one_where_no_other_connection_rests() -> None:
    player = started(
        settings=settings(calls_out=200.0, cores=6, memory_kb=60000.0),
        limits={"memory_mb": 64, "sockets": 64},
    )
    connected(player, "1")
    index = player.node.database
    most = index._most
    for n in range(1, most + 2):
        player.peers["1"].sendall(message(n, "match", wait="11000"))
        assert command(player)["action"] == "start"
        notice(player, "wants", pos=n, uid=uid(n), content=b"?")
        player.settle()
    assert index.connection_count() == len(index._calls) == most  # one waits: there is no connection for it
    door = player.listeners["index"]
    door.settimeout(5.0)
    ends_now, *rest = [door.accept()[0] for _ in range(most)]
    player.clock.now_ms += (
        60.0  # its next try is due, but what lies unread is looked at before the timers are
    )
    ends_now.sendall(REPLY)
    told = command(player)
    while told["action"] == "gauges":
        told = command(player)
    assert told == {"action": "give", "uid": uid(1), "content": "cg=="}
    player.settle()
    last = door.accept()[0]
    last.settimeout(5.0)
    assert f"X-Parent-Id: {uid(most + 1)}".encode() in last.recv(1000)
    assert index.connection_count() == len(index._calls) == most
    for sock in (ends_now, *rest, last):
        sock.close()


def test_a_repeat_whose_result_had_to_go_fails_and_never_runs_again() -> None:
    player = started(limits={"memory_mb": 0.05, "sockets": 512})  # room for one result of 4 KiB
    connected(player, "1")
    for n in (1, 2):
        player.peers["1"].sendall(message(n, "dispense", once=f"k{n}"))
        assert command(player)["action"] == "start"
        done(player, n, n, b"r" * 4000)
        assert answer(player, "1")[:3] == [1, n, None]
    for n, failed in ((1, True), (2, False)):
        player.peers["1"].sendall(message(10 + n, "dispense", once=f"k{n}"))
        assert (answer(player, "1")[2] is not None) == failed
    player.silent("runtime")


@pytest.mark.parametrize("ran", [True, False])
def test_a_repeat_for_which_there_is_no_memory_is_refused_only_while_the_first_never_ran(ran: bool) -> None:
    player = started(settings=settings(memory_kb=200.0))
    connected(player, "1")
    for n in () if ran else (1, 2):  # these take both cores
        player.peers["1"].sendall(message(n, "match", kb="1"))
        assert command(player)["action"] == "start"
    player.peers["1"].sendall(message(3, "dispense", once="k1", kb="10"))
    if ran:
        assert command(player)["uid"] == uid(3)
    player.peers["1"].sendall(message(4, "dispense", once="k1", kb="100"))
    found = answer(player, "1")
    assert found[1] == 4 and found[2][0] == ("Failed" if ran else "Throttled")
    player.silent("runtime")


# Settings taken up.


def test_gauges_asked_for_in_the_order_of_before_are_not_read_in_the_new_one() -> None:
    player = started()
    notice(player, "load", echo="sync-1", meters=[0.9, 7, 0.1, 1])
    player.step("clock", "250", "")
    assert command(player) == {"action": "gauges", "echo": "1"}
    turned = settings(meters=["links", "heap_share", "on_cores", "core_use"])
    player.node.apply_configuration(config.parse(player.fields | {"settings": turned}))
    state = player.node.state
    assert player.clock.now_ms - state.load_sample_at_ms > 1000.0  # none is known
    notice(player, "load", echo="1", meters=[0.9, 7, 0.1, 1])
    player.settle()
    assert player.clock.now_ms - state.load_sample_at_ms > 1000.0
    player.step("clock", "250", "")
    assert command(player) == {"action": "gauges", "echo": "2"}
    notice(player, "load", echo="2", meters=[1, 0.1, 7, 0.9])
    player.settle()
    assert state.load_sample == (1, 0.1, 7, 0.9) and state.load_sample_at_ms == player.clock.now_ms


def test_a_longer_window_holds_for_keys_that_ran_before_it_was_told() -> None:
    player = started()
    connected(player, "1")
    player.peers["1"].sendall(message(1, "dispense", once="k1"))
    served(player, "1", 1, 1)
    longer = settings()
    longer["classes"][2]["window_s"] = 25.0
    player.node.apply_configuration(config.parse(player.fields | {"settings": longer}))
    player.step("clock", "20000", "")
    connected(player, "2")
    player.peers["2"].sendall(message(2, "dispense", at=START + 20_000.0, once="k1"))
    found = answer(player, "2")
    assert found[:3] == [1, 2, None] and found[3][0] == b"made"


def test_an_idle_time_that_is_told_anew_is_kept_from_then_on() -> None:
    player = started()
    connected(player, "1")
    for number in (1, 2):  # checks only: with requests the decisions would say it too, sooner or later
        player.peers["1"].sendall(msgpack.packb([0, number, "health", [{}]]))
        assert answer(player, "1")[:2] == [1, number]
    player.node.apply_configuration(config.parse(player.fields | {"settings": settings(idle_s=0.5)}))
    player.step("clock", "1300", "")
    assert answer(player, "1") == FAREWELL
