"""Two processes of one node during a hot restart, both simulated in this process on real sockets."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgpack
import pytest

from snowthread.hot_restart import channel, socket_file
from snowthread.hot_restart.channel import HotRestartChannel
from snowthread.hot_restart.socket_file import PeerProcess
from snowthread.node.operator_calls import POLL_INTERVAL_MS
from support.exchange import ExchangePlayer, loopback
from support.operator_calls import OperatorCall

# Attempt ids of the requests in a test.
FIRST_ATTEMPT = "00000000000000a1"
SECOND_ATTEMPT = "00000000000000b1"
THIRD_ATTEMPT = "00000000000000c1"
DEFAULT_KEY = "k1"
SOCKET_BYTES = 65536  # most bytes read from a socket at a time


def packed_request(  # noqa: PLR0913  # one argument per field of a request
    number: int,
    attempt_id: str,
    *,
    arrived_at_ms: float,
    method: str = "dispense",
    key: str | None = DEFAULT_KEY,
    body: bytes = b"p",
    timeout_ms: int = 5000,
    memory_kb: int = 20,
) -> bytes:
    """Return a balancer's encoded request."""
    fields = {
        "id": attempt_id,
        "at": f"{arrived_at_ms:.0f}",
        "from": "4",
        "wait": str(timeout_ms),
        "kb": str(memory_kb),
        "rank": "0.5",
    }
    if key is not None:
        fields["once"] = key
    packed: bytes = msgpack.packb([0, number, method, [fields, body]])
    return packed


def responses(sock: socket.socket) -> list[list[Any]]:
    """Return the received responses as [number, error, result]; farewells are skipped."""
    unpacker = msgpack.Unpacker()
    try:
        unpacker.feed(sock.recv(SOCKET_BYTES))
    except BlockingIOError:
        return []
    return [
        [message[1], message[2] and message[2][0], message[3] and message[3][0]]
        for message in unpacker
        if message[0] == 1
    ]


def ready_status(player: ExchangePlayer) -> int:
    """Return the HTTP status of a process's readiness endpoint."""
    return player.node.operator_calls.ready()[0]


def concurrency_ceiling(player: ExchangePlayer) -> float:
    """Return the maximum number of runs that the admission controller of a process would start."""
    controller = player.node.state.controller
    assert controller is not None
    return controller.concurrency.ceiling(controller.state.age_s(controller._now))


def max_connections(player: ExchangePlayer) -> int:
    """Return the limit of balancers' connections of a process."""
    return player.node.balancers._max_connections


class ProcessPair:
    """A predecessor and a successor that share a listening socket, each with its own runtime and registry.

    ``socket_file.peer_process`` is patched: the connecting process is always the one that was started last,
    and it counts as exited once the writing end of its pipe is closed.
    """

    def __init__(self, directory: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self._listening = loopback(socket.SOCK_STREAM)
        self._directory = str(directory)
        # The reading ends of the pipes, one per process, in the order of starting.
        self._exit_descriptors: list[int] = []
        self._alive_descriptors: dict[int, int] = {}  # the writing ends, by id() of the player
        self._frozen: ExchangePlayer | None = None
        self._successor: ExchangePlayer | None = None
        self.all: list[ExchangePlayer] = []
        monkeypatch.setattr(socket_file, "peer_process", self._latest_process)
        self._predecessor: ExchangePlayer | None = self._start_process()
        self.settle()

    def _latest_process(self, _: socket.socket) -> PeerProcess:
        return PeerProcess(len(self._exit_descriptors), os.dup(self._exit_descriptors[-1]))

    def _start_process(self) -> ExchangePlayer:
        exit_descriptor, alive_descriptor = os.pipe()
        self._exit_descriptors.append(exit_descriptor)
        player = ExchangePlayer(os.dup(self._listening.fileno()), self._directory)
        self._alive_descriptors[id(player)] = alive_descriptor
        self.all.append(player)
        return player

    @property
    def predecessor(self) -> ExchangePlayer:
        """The process that was started first; it must not have ended."""
        assert self._predecessor is not None, "the predecessor has ended"
        return self._predecessor

    @property
    def successor(self) -> ExchangePlayer:
        """The process that was started last; it must not have ended."""
        assert self._successor is not None, "there is no successor"
        return self._successor

    @property
    def running(self) -> list[ExchangePlayer]:
        """The processes that have not ended and are not frozen, the predecessor first."""
        both = (self._predecessor, self._successor)
        return [player for player in both if player is not None and player is not self._frozen]

    def has_ended(self, player: ExchangePlayer) -> bool:
        """Return whether a process was ended or killed."""
        return id(player) not in self._alive_descriptors

    def launch_successor(self) -> ExchangePlayer:
        """Start the successor without running its event loop yet."""
        self._successor = self._start_process()
        return self._successor

    def start_successor(self) -> None:
        """Start the successor, let it take over the clients and connect its runtime."""
        started = self.launch_successor()
        self.settle()
        if self._successor is started:  # it may have been killed during the takeover
            self.connect_runtime(started)

    @contextmanager
    def frozen_predecessor(self) -> Iterator[ExchangePlayer]:
        """Stop the predecessor's event loop and clock for the duration of the block."""
        self._frozen = self.predecessor
        try:
            yield self._frozen
        finally:
            self._frozen = None

    def settle(self, rounds: int = 2) -> None:
        """Run the event loops of both processes until the effects of all data sent have occurred."""
        for _ in range(rounds):
            for player in self.running:
                player.settle()

    def advance(self, elapsed_ms: float) -> None:
        """Advance the clocks of both processes and run their event loops."""
        for player in self.running:
            player.clock.now_ms += elapsed_ms
        self.settle()

    def call(self, player: ExchangePlayer, drained: bool) -> int:
        """Make an operator's call at one process, and return its HTTP status once it is answered."""
        call = OperatorCall(player, drained)
        self.settle()
        while not call.status:
            self.advance(POLL_INTERVAL_MS)
        return call.status

    def connect_runtime(self, player: ExchangePlayer) -> None:
        """Connect the runtime of a process and let it report that it is ready."""
        player.step("runtime", "accept", "")
        self.notify(player, {"action": "ready", "code": "seasoned", "wall_ms": 0})

    def notify(self, player: ExchangePlayer, *notices: dict[str, Any]) -> None:
        """Send notices from the runtime to a process."""
        for notice in notices:
            player.peers["runtime"].sendall(json.dumps(notice).encode() + b"\n")
        self.settle()

    def complete_run(
        self, player: ExchangePlayer, position: int, attempt_id: str, content: str = "cg=="
    ) -> None:
        """Let the runtime report that a run succeeded; ``content`` is the result in Base64."""
        self.notify(
            player,
            {
                "action": "end",
                "pos": position,
                "uid": attempt_id,
                "code": "done",
                "wall_ms": 9,
                "content": content,
            },
        )

    def started_runs(self, player: ExchangePlayer) -> list[str]:
        """Return the ids of the attempts whose runs a process has started since the last call."""
        if "runtime" not in player.peers:
            return []
        try:
            lines = player.peers["runtime"].recv(SOCKET_BYTES).splitlines()
        except BlockingIOError:
            return []
        return [fields["uid"] for fields in map(json.loads, lines) if fields["action"] == "start"]

    def connect(self, player: ExchangePlayer) -> socket.socket:
        """Connect a balancer so that this process accepts the connection, not the other one."""
        before = player.node.balancers.count()
        sock = socket.create_connection(self._listening.getsockname())
        for _ in range(5):
            player.settle()
        assert player.node.balancers.count() == before + 1
        sock.setblocking(False)
        return sock

    def request(
        self,
        sock: socket.socket,
        number: int,
        attempt_id: str,
        *,
        arrived_at_ms: float | None = None,
        settle: bool = True,
        **fields: Any,
    ) -> None:
        """Send a request; ``fields`` as in :func:`packed_request`."""
        if arrived_at_ms is None:
            arrived_at_ms = self.running[0].clock.now_ms
        sock.sendall(packed_request(number, attempt_id, arrived_at_ms=arrived_at_ms, **fields))
        if settle:
            self.settle()

    def end(self, player: ExchangePlayer) -> None:
        """End a process between two steps, as SIGKILL does: it sends nothing more."""
        hot_restart = self._silence(player)
        hot_restart._closed = True
        player.node.loop.end_all_tasks()
        self._remove(player)
        self.settle()
        self.advance(channel.CONNECT_RETRY_INTERVAL_MS)

    def kill(self, player: ExchangePlayer) -> None:
        """Kill a process in the middle of a step: the rest of the step is not carried out."""
        hot_restart = self._silence(player)
        assert hot_restart._link is not None
        hot_restart._link.disconnect()
        self._remove(player)

    def _silence(self, player: ExchangePlayer) -> HotRestartChannel:
        """Close the listening sockets of a process and stop it from posting events."""
        hot_restart = player.node.hot_restart
        assert hot_restart is not None
        player.node._stopped = True
        hot_restart._closed = True
        for listening in (hot_restart._listener, player.node.balancers.acceptor._listener):
            if listening is not None:
                player.node.loop.close(listening)
        return hot_restart

    def _remove(self, player: ExchangePlayer) -> None:
        os.close(self._alive_descriptors.pop(id(player)))
        if player is self._predecessor:
            self._predecessor = None
        else:
            self._successor = None

    def close(self) -> None:
        """End both processes and close every socket."""
        for player in self.running:
            player.node._stopped = True
            if player.node.hot_restart is not None:
                player.node.hot_restart.close()
            player.node.loop.end_all_tasks()
        for player in self.all:
            for sock in (*player.peers.values(), *player.listeners.values()):
                sock.close()
        for descriptor in (*self._exit_descriptors, *self._alive_descriptors.values()):
            os.close(descriptor)
        self._listening.close()
