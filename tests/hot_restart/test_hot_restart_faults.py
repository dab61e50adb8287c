"""Faults during a hot restart: lost messages, broken links, killed or frozen processes, a stale socket."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest
from support.exchange import START, ExchangePlayer
from support.hot_restart import ProcessPair, ready_status

from snowthread.core import events
from snowthread.core.state import HandoverRole
from snowthread.hot_restart import channel, link, messages, socket_file
from snowthread.hot_restart.channel import HotRestartChannel

FIRST_ATTEMPT = "00000000000000d1"
KEYS = ("k1", "k2", "k3", "k4")
TIMEOUT_MS = 5000.0


def test_queue_for_a_frozen_process_is_bounded(pair: ProcessPair, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(link, "QUEUE_MAX_MESSAGES", 50)
    pair.start_successor()
    hot_restart = pair.predecessor.node.hot_restart
    assert hot_restart is not None and hot_restart._link is not None
    queue = hot_restart._link._queue
    for index in range(20_000):  # more messages than the socket buffers hold
        pair.predecessor.node.post(events.KeyClaimRequested(f"s{index}", f"{index:016x}", START, b"x" * 200))
        assert len(queue) <= 50
    for _ in range(3):
        pair.advance(channel.CONNECT_RETRY_INTERVAL_MS)
    pair.settle(40)
    assert ready_status(pair.successor) == 200
    assert pair.successor.node.state.handover_role is HandoverRole.SUCCESSOR  # the successor has reconnected


class KilledError(Exception):
    """Raised in place of a message that a process does not send, because it is killed."""


def key_of(attempt_id: str) -> str:
    """Return the idempotency key of an attempt id of :func:`play_handover`."""
    return "k1" if attempt_id == FIRST_ATTEMPT else f"k{int(attempt_id[-4:]) + 1}"


def play_handover(pair: ProcessPair) -> None:
    """Send requests with keys before and after the start of a successor; retries reach both processes."""

    def request(sock: socket.socket | None, number: int, attempt_id: str, key: str) -> None:
        if sock is not None:
            pair.request(sock, number, attempt_id, key=key, arrived_at_ms=START)

    predecessor = pair.predecessor
    first = pair.connect(predecessor)
    request(first, 1, FIRST_ATTEMPT, "k1")
    pair.start_successor()
    successors = [player for player in pair.running if player is not predecessor]
    accepting = [player for player in successors if player.node.balancers.accepting]
    second = pair.connect(accepting[0]) if accepting else None
    for index, key in enumerate(KEYS):
        request(second, 1 + index, f"00000000000e{index:04}", key)
        request(None if pair.has_ended(predecessor) else first, 2 + index, f"00000000000f{index:04}", key)


@pytest.mark.parametrize("side", ["predecessor", "successor"])
@pytest.mark.parametrize("fate", ["dropped", "killed", "disconnected"])
@pytest.mark.parametrize("step", range(8))
def test_no_key_runs_twice_whichever_message_is_lost_or_process_dies(
    pair: ProcessPair, monkeypatch: pytest.MonkeyPatch, side: str, fate: str, step: int
) -> None:
    """Each message of either process is in turn dropped, or replaced by a kill or a broken link."""
    sent = {"predecessor": 0, "successor": 0}
    predecessor = pair.predecessor
    send = HotRestartChannel._send
    killed: list[ExchangePlayer] = []

    def send_or_fail(hot_restart: HotRestartChannel, message: messages.OutgoingMessage) -> None:
        sender = "predecessor" if hot_restart is predecessor.node.hot_restart else "successor"
        if hot_restart._link is None:
            return
        sent[sender] += 1
        if sender != side or sent[sender] != step + 1:
            send(hot_restart, message)
        elif fate == "disconnected":
            hot_restart._link.disconnect()
        elif fate == "killed":
            victim = predecessor if sender == "predecessor" else pair.successor
            pair.kill(victim)
            killed.append(victim)
            raise KilledError

    monkeypatch.setattr(HotRestartChannel, "_send", send_or_fail)
    play_handover(pair)
    assert bool(killed) == (fate == "killed" and sent[side] > step)
    keys_run = [key_of(attempt_id) for player in pair.all for attempt_id in pair.started_runs(player)]
    assert "k1" in keys_run
    assert len(keys_run) == len(set(keys_run)), keys_run
    pair.advance(channel.CONNECT_RETRY_INTERVAL_MS)
    pair.advance(TIMEOUT_MS + 50.0)  # past every deadline, so that no request may be left open
    for player in pair.running:
        assert not player.node.state.requests_by_response_address
        assert not any(claim.waiting_requests for claim in player.node.state.pending_claims.values())


def test_stale_socket_file_is_not_taken_for_a_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with socket.socket(socket.AF_UNIX) as stale:
        stale.bind(str(tmp_path / socket_file.SOCKET_NAME))
    pair = ProcessPair(tmp_path, monkeypatch)
    try:
        node = pair.predecessor.node
        assert not node.balancers.accepting  # the owner of the file may be about to replace it
        pair.advance(channel.JOIN_TIMEOUT_MS + channel.CONNECT_RETRY_INTERVAL_MS)
        pair.advance(channel.CONNECT_RETRY_INTERVAL_MS)
        assert node.balancers.accepting
        assert ready_status(pair.predecessor) == 200
        pair.connect_runtime(pair.predecessor)
        pair.start_successor()
        assert pair.successor.node.state.handover_role is HandoverRole.SUCCESSOR
    finally:
        pair.close()


def test_successor_of_a_frozen_predecessor_accepts_no_clients(pair: ProcessPair) -> None:
    successor = pair.launch_successor()
    for _ in range(10):
        successor.settle()
    assert ready_status(successor) == 503
    assert not successor.node.balancers.accepting
    assert pair.predecessor.node.balancers.accepting  # the predecessor serves on


@pytest.mark.parametrize(
    "message",
    [
        None,
        [],
        ["no"],
        [["hello"], 1],
        [7],
        ["freed", 7],
        ["key", "k", "u", 1.0, b"", True],
        ["hello", 99],
        ["over", "u", "text"],
    ],
)
def test_invalid_message_is_a_protocol_error(message: object) -> None:
    with pytest.raises(messages.PeerProtocolError):
        messages.decode(message)
