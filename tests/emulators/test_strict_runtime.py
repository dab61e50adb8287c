"""The strict runtime follows the platform's protocol when links break and runs are stopped."""

from __future__ import annotations

import json
import random
import socket
import time
from typing import Any

import pytest
from support.program import reserve_address

from emulators.strict_runtime import MachineModel, StrictRuntime
from snowthread.address import Address
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop

READ_TIMEOUT_S = 5.0
ENDLESS_RUN_MS = 1e9


class Link:
    """The node's end of a link to the runtime."""

    def __init__(self, loop: EventLoop, address: Address, position: int = 0) -> None:
        self._loop = loop
        self._sock = socket.create_connection(address)
        self._sock.setblocking(False)
        self._unread = b""
        self.send(action="sync", pos=position)
        assert self.read()["action"] == "ready"

    def send(self, **command: Any) -> None:
        self._sock.sendall(json.dumps(command).encode() + b"\n")

    def start(self, attempt_id: str) -> None:
        self.send(action="start", uid=attempt_id, lane="match", content="eA==")

    def read(self) -> dict[str, Any]:
        end = time.monotonic() + READ_TIMEOUT_S
        while b"\n" not in self._unread:
            assert time.monotonic() < end, "the runtime sent no message"
            self._loop.run_once(0.01)
            try:
                self._unread += self._sock.recv(65536)
            except BlockingIOError:
                continue
        line, _, self._unread = self._unread.partition(b"\n")
        return dict(json.loads(line))

    def measured_runs(self) -> int:
        """Return the number of runs on the cores after all commands sent so far."""
        self.send(action="gauges", echo="t")
        while (message := self.read())["action"] != "load":
            pass
        return int(message["meters"][1])


@pytest.fixture
def loop() -> EventLoop:
    return EventLoop(Clock())


def make_runtime(loop: EventLoop, supports_stop: bool = True) -> Address:
    address = reserve_address()
    model = MachineModel(mean_run_ms=ENDLESS_RUN_MS, supports_stop=supports_stop)
    StrictRuntime(loop, address, model, random.Random(1))
    return address


def test_commands_on_a_replaced_link_are_ignored(loop: EventLoop) -> None:
    address = make_runtime(loop)
    old = Link(loop, address)
    new = Link(loop, address)
    old.start("a")
    new.start("b")
    assert new.measured_runs() == 1


def test_run_continues_without_a_link_and_a_second_start_has_no_effect(loop: EventLoop) -> None:
    address = make_runtime(loop)
    Link(loop, address).start("a")
    loop.run_once(0.05)
    link = Link(loop, address)
    link.start("a")
    assert link.measured_runs() == 1


def test_stopped_run_leaves_the_cores_and_the_next_link_receives_its_notice_again(loop: EventLoop) -> None:
    address = make_runtime(loop)
    link = Link(loop, address)
    link.start("a")
    link.send(action="stop", uid="a")
    assert link.measured_runs() == 0
    assert Link(loop, address).read()["code"] == "aborted"


def test_run_that_cannot_be_stopped_continues(loop: EventLoop) -> None:
    link = Link(loop, make_runtime(loop, supports_stop=False))
    link.start("a")
    link.send(action="stop", uid="a")
    assert link.read() == {"action": "nack", "code": "stop", "uid": "a"}
    assert link.measured_runs() == 1


def test_run_of_a_finished_request_ends_at_its_call_and_does_not_start_again(loop: EventLoop) -> None:
    address = reserve_address()
    model = MachineModel(mean_run_ms=1.0, call_share={"match": 1.0})
    runtime = StrictRuntime(loop, address, model, random.Random(1))
    link = Link(loop, address)
    link.start("a")
    assert link.read()["action"] == "wants"
    runtime.finish_request("a")
    assert link.read()["code"] == "aborted"
    link.start("a")
    assert link.read()["code"] == "stale"
    assert runtime.runs_by_attempt == {"a": 1}
