"""Operators' calls at the two processes of a hot restart, with the real link between them."""

from __future__ import annotations

from contextlib import suppress

import pytest
from support.exchange import ExchangePlayer
from support.hot_restart import ProcessPair, ready_status
from support.operator_calls import OperatorCall

from snowthread.core.idempotency import IdempotencyRecord
from snowthread.hot_restart import channel, socket_file
from snowthread.node.operator_calls import ANSWER_WITHIN_MS

KEYS = 50  # keys that the predecessor sends; its word on the drain is far from the end of them
JOINING_ROUNDS = 8  # rounds of the event loop in which a successor finds and asks the predecessor


def add_keys(player: ExchangePlayer) -> None:
    """Give a process keys to hand over."""
    for number in range(KEYS):
        expires_at_ms = player.clock.now_ms + 60_000.0
        record = IdempotencyRecord(f"k{number}", number + 1, f"{number:016x}", expires_at_ms, b"")
        player.node.state.idempotency_table.put(record, player.clock.now_ms)


def answer(pair: ProcessPair, call: OperatorCall) -> int:
    """Run both processes until a call is answered; return the status."""
    for _ in range(int(2 * ANSWER_WITHIN_MS / channel.CONNECT_RETRY_INTERVAL_MS)):
        if call.status:
            break
        pair.advance(channel.CONNECT_RETRY_INTERVAL_MS)
    return call.status


def drained_at_both(pair: ProcessPair) -> list[bool]:
    """Return whether each process holds the drain, after all messages have been read."""
    pair.settle(10)
    return [player.node.state.drained for player in pair.running]


@pytest.mark.parametrize("rounds", range(JOINING_ROUNDS))
@pytest.mark.parametrize("drained", [True, False])
def test_call_while_the_successor_takes_over_holds_at_both_processes(
    pair: ProcessPair, rounds: int, drained: bool
) -> None:
    # Guards against review/9: 200, and then the predecessor's older word undid the call.
    add_keys(pair.predecessor)
    if not drained:
        assert pair.call(pair.predecessor, True) == 200
    successor = pair.launch_successor()
    for _ in range(rounds):
        successor.node.loop.run_once(0.0)
    call = OperatorCall(successor, drained)
    for _ in range(3):  # the predecessor has not run yet
        successor.node.loop.run_once(0.0)
    assert call.status == 0  # it could be lost with the link, or undone
    assert answer(pair, call) == 200
    assert drained_at_both(pair) == [drained, drained]
    pair.end(pair.predecessor)
    assert drained_at_both(pair) == [drained]


@pytest.mark.parametrize("order", [(0, 1), (1, 0), (0, 1, 0), (1, 1, 0, 0, 1)])
def test_last_of_several_calls_in_a_row_at_either_address_holds(
    pair: ProcessPair, order: tuple[int, ...]
) -> None:
    pair.start_successor()
    for position, process in enumerate(order):
        drained = position % 2 == 0
        assert pair.call(pair.running[process], drained) == 200
        assert [player.node.state.drained for player in pair.running] == [drained, drained]


def test_opposite_calls_that_cross_end_alike_without_further_changes(
    pair: ProcessPair, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against the endless exchange of review/REPORT.md: each process sent back what it was told.
    pair.start_successor()
    assert pair.call(pair.successor, True) == 200
    calls = [OperatorCall(pair.predecessor, False), OperatorCall(pair.successor, True)]
    for player in pair.running:
        player.node.loop.run_once(0.0)
    assert [answer(pair, call) for call in calls] == [200, 200]
    assert drained_at_both(pair) == [True, True]
    changes: list[bool] = []
    for player in pair.running:
        monkeypatch.setattr(player.node.registry, "set_registration", changes.append)
    pair.settle(20)
    assert changes == []


@pytest.mark.parametrize("survivor", [0, 1])
def test_call_made_while_the_link_is_lost_holds_once_it_is_made_again(
    pair: ProcessPair, survivor: int
) -> None:
    pair.start_successor()
    assert pair.call(pair.predecessor, True) == 200
    hot_restart = pair.successor.node.hot_restart
    assert hot_restart is not None and hot_restart._link is not None
    hot_restart._link.disconnect()
    pair.settle()
    call = OperatorCall(pair.running[1 - survivor], False)
    pair.settle()
    assert call.status == 0 or pair.running[survivor].node.state.drained is False
    assert answer(pair, call) == 200
    assert drained_at_both(pair) == [False, False]
    pair.end(pair.running[1 - survivor])
    assert drained_at_both(pair) == [False]


def test_call_that_a_stopped_process_can_not_confirm_is_answered_with_503_in_time(pair: ProcessPair) -> None:
    pair.start_successor()
    with pair.frozen_predecessor():
        call = OperatorCall(pair.successor, True)
        pair.settle()
        pair.advance(ANSWER_WITHIN_MS - 10.0)
        assert call.status == 0
        pair.advance(20.0)
        assert call.status == 503
    assert pair.call(pair.successor, True) == 200
    assert drained_at_both(pair) == [True, True]


def test_call_at_a_process_that_has_not_joined_is_not_carried_out(pair: ProcessPair) -> None:
    with pair.frozen_predecessor():
        successor = pair.launch_successor()
        call = OperatorCall(successor, True)
        for _ in range(3):
            pair.advance(ANSWER_WITHIN_MS / 2)
    assert call.status == 503
    pair.settle(4)
    assert ready_status(successor) == 200
    assert drained_at_both(pair) == [False, False]


def test_waiting_call_is_answered_once_the_other_process_is_gone(pair: ProcessPair) -> None:
    pair.start_successor()
    with pair.frozen_predecessor() as predecessor:
        call = OperatorCall(pair.successor, True)
        pair.settle()
        assert call.status == 0
    pair.end(predecessor)
    assert answer(pair, call) == 200
    assert drained_at_both(pair) == [True]


@pytest.mark.parametrize("process", [0, 1])
def test_call_beside_a_process_of_an_earlier_release_holds(
    pair: ProcessPair, monkeypatch: pytest.MonkeyPatch, process: int
) -> None:
    monkeypatch.setattr(socket_file, "STAMPED_CALLS_NAME", b"\0earlier-release-")
    monkeypatch.setattr(socket_file, "stamps_calls", lambda _name: False)
    pair.start_successor()
    for drained in (True, False, True):
        assert pair.call(pair.running[process], drained) == 200
        assert drained_at_both(pair) == [drained, drained]


def reports(player: ExchangePlayer) -> set[bytes]:
    """Return the distinct reports that the registry has received from a process since the last call."""
    registry = player.peers["roster"]
    registry.setblocking(False)
    received = set()
    with suppress(BlockingIOError):
        while True:
            received.add(registry.recv(100))
    return received


def test_successor_of_a_drained_node_never_reports_it_as_accepting_work(pair: ProcessPair) -> None:
    # Guards against a process that registers the node before it has heard that the node is drained.
    assert pair.call(pair.predecessor, True) == 200
    with pair.frozen_predecessor():
        pair.launch_successor()
        pair.advance(1000.0)
    assert reports(pair.successor) == set()
    pair.settle()
    pair.advance(1000.0)
    assert reports(pair.successor) == {b"HERE n1 off"}
    assert pair.call(pair.successor, False) == 200
    assert reports(pair.successor) == {b"HERE n1 on"}
