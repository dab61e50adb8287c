"""Tests that the lab's balancers count lost, repeated and corrupt answers.

Other tests require these counts to be zero, which is only meaningful if each of them can rise.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from typing import Any

import msgpack
import pytest

from emulators.balancers import Balancers
from emulators.servers import accept_connections, listen
from emulators.traffic_plan import TrafficPlan
from snowthread.address import Address
from snowthread.net.clock import Clock
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

PLAN = {
    "roster": "127.0.0.1:9",
    "sources": "127.0.0",
    "seed": 1,
    "per_s": 20.0,
    "seconds": 1.0,
    "keyed": 0.0,
    "repeats": 0.0,
    "foreign": 0.0,
    "own_number": 0,
    "others_number": 100,
    "again_ms": [10.0, 20.0],
    "classes": [
        {
            "name": name,
            "share": 1.0,
            "goal_ms": 500.0,
            "deadline_ms": 1000.0,
            "worth": 1.0,
            "late_value": 0.2,
            "skip_worth": 1.0,
            "keyed": name == "dispense",
        }
        for name in ("match", "dispense")
    ],
}


class ScriptedNode:
    """A node that sends each answer ``answers`` times, with a fixed body."""

    def __init__(self, loop: EventLoop, answers: int = 1, body: bytes = b"a warm grey known") -> None:
        self.loop = loop
        self.answers = answers
        self.body = body
        self.listener = listen(Address("127.0.0.1", 0))
        loop.spawn(accept_connections(loop, self.listener, self._serve))

    def _serve(self, connection: socket.socket) -> Coroutine:
        unpacker = msgpack.Unpacker()
        try:
            while True:
                yield Wait(connection.fileno(), READABLE)
                data = connection.recv(65536)
                if not data:
                    return
                unpacker.feed(data)
                for _, number, _, _ in unpacker:
                    connection.sendall(msgpack.packb([1, number, None, [self.body, {}]]) * self.answers)
        finally:
            self.loop.close(connection)


class Fleet:
    """A scripted node, and the balancers that send requests to it."""

    def __init__(self, loop: EventLoop, node: ScriptedNode) -> None:
        self.loop = loop
        self.node = node
        host, port = node.listener.getsockname()
        plan = TrafficPlan.from_json(PLAN | {"nodes": {"n1": f"{host}:{port}"}})
        self.balancers = Balancers(loop, plan)

    def run(self, capsys: pytest.CaptureFixture[str]) -> dict[str, Any]:
        """Run the plan until the last deadline, and return the report of the balancers."""
        self.balancers.handle("go", "")
        end = self.loop.clock.now() + 2500.0
        while self.loop.clock.now() < end:
            self.loop.run_once(0.02)
        self.balancers.handle("report", "")
        report: dict[str, Any] = json.loads(capsys.readouterr().out)
        return report


@pytest.fixture
def fleet(request: pytest.FixtureRequest) -> Iterator[Fleet]:
    loop = EventLoop(Clock())
    fleet = Fleet(loop, ScriptedNode(loop, **request.param))
    yield fleet
    loop.end_all_tasks()


@pytest.mark.parametrize("fleet", [{}], indirect=True)
def test_each_request_answered_once_is_served(fleet: Fleet, capsys: pytest.CaptureFixture[str]) -> None:
    report = fleet.run(capsys)
    sent = sum(report["by_second"]["asked"])
    assert sent > 5 and sum(report["by_second"]["served"]) == sent
    assert report["tries"]["served"] >= sent and report["tries"]["spoilt"] == report["lost"] == 0
    assert "answered twice" not in report["tries"]


@pytest.mark.parametrize("fleet", [{"answers": 2}], indirect=True)
def test_second_answer_to_a_request_is_counted(fleet: Fleet, capsys: pytest.CaptureFixture[str]) -> None:
    report = fleet.run(capsys)
    assert report["tries"]["answered twice"] == report["tries"]["served"] > 5


@pytest.mark.parametrize("fleet", [{"answers": 0}], indirect=True)
def test_missing_answer_is_counted_as_lost(fleet: Fleet, capsys: pytest.CaptureFixture[str]) -> None:
    report = fleet.run(capsys)
    assert report["lost"] == report["tries"]["tries"] > 5 and report["gone_with_node"] == 0


@pytest.mark.parametrize("fleet", [{"body": b"a cold grey"}], indirect=True)
def test_answer_with_another_body_is_counted_as_spoilt(
    fleet: Fleet, capsys: pytest.CaptureFixture[str]
) -> None:
    report = fleet.run(capsys)
    assert report["tries"]["spoilt"] == report["tries"]["served"] > 5
