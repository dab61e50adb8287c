"""Messages of a node's peers: a balancer's requests and answers, the runtime's commands and notices."""

from __future__ import annotations

import base64
import json
from copy import deepcopy
from typing import Any

import msgpack

from snowthread.frontends.balancers.codec import FAREWELL
from support.node_harness import EXAMPLE, START, NodeHarness

FAREWELL_MESSAGE = [2, "farewell", []]
DATABASE_REPLY = b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nr"
HEALTH_CHECK = b"\x94\x00\x01\xa6health\x91\x80"  # the request with number 1


def example_settings(**domain: Any) -> dict[str, Any]:
    """Return the example's settings with changes to their ``domain`` object."""
    found = deepcopy(json.loads(EXAMPLE.read_bytes())["settings"])
    found["domain"] |= domain
    assert isinstance(found, dict)
    return found


def attempt_id(number: int) -> str:
    """Return the attempt id that :func:`request` uses for this number."""
    return f"{number:016x}"


def request(number: int, method: str, at: float = START, **fields: Any) -> bytes:
    """Return a balancer's encoded request; a field whose value is None is omitted."""
    all_fields = {
        "id": attempt_id(number),
        "at": str(int(at)),
        "from": "1",
        "wait": "5000",
        "kb": "20",
        "rank": "0.5",
    } | fields
    present = {name: value for name, value in all_fields.items() if value is not None}
    packed: bytes = msgpack.packb([0, number, method, [present, b"x"]])
    return packed


def read_answer(harness: NodeHarness, peer_name: str) -> list[Any]:
    """Return the next message that the node sends to a balancer."""
    unpacker = msgpack.Unpacker()
    while True:
        more = harness.receive(peer_name, 1)
        assert more, "the node closed the connection or sent no message in time"
        unpacker.feed(more)
        for found in unpacker:
            return list(found)


def read_command(harness: NodeHarness) -> dict[str, Any]:
    """Return the next command that the node sends to the runtime."""
    line = b""
    while not line.endswith(b"\n"):
        more = harness.receive("runtime", 1)
        assert more, "the node closed the link or sent no command in time"
        line += more
    return dict(json.loads(line))


def read_work_command(harness: NodeHarness) -> dict[str, Any]:
    """Return the next command to the runtime that is not a request for a load sample."""
    command = read_command(harness)
    while command["action"] == "gauges":
        command = read_command(harness)
    return command


def send_notice(harness: NodeHarness, action: str, **fields: Any) -> None:
    """Send a notice as the runtime; ``content`` is given as bytes and sent in Base64."""
    if "content" in fields:
        fields["content"] = base64.b64encode(fields["content"]).decode()
    harness.send("runtime", json.dumps({"action": action} | fields).encode() + b"\n")


def complete_run(harness: NodeHarness, pos: int, number: int, content: bytes = b"made") -> None:
    """Report, as the runtime, that a request's run succeeded; ``pos`` is the number of the notice."""
    send_notice(harness, "end", pos=pos, uid=attempt_id(number), code="done", wall_ms=9, content=content)


def send_load_sample(harness: NodeHarness, echo: str) -> None:
    """Send a load sample as the runtime, and let the node process it."""
    send_notice(harness, "load", echo=echo, meters=[0.1, 0, 0.1, 1])
    harness.settle()


def make_runtime_ready(harness: NodeHarness) -> None:
    """Accept the link to the runtime and report, as a runtime that has just started, that it is ready."""
    harness.accept("runtime")
    _expect_line(harness, b'{"action":"sync","pos":0}\n')
    send_notice(harness, "ready", code="seasoned", wall_ms=0)
    harness.settle()
    _expect_line(harness, b'{"action":"gauges","echo":"sync-1"}\n')


def _expect_line(harness: NodeHarness, line: bytes) -> None:
    assert harness.receive("runtime", len(line)) == line


def reconnect_runtime(harness: NodeHarness, pos: int, echo: str) -> None:
    """Accept the node's next link to the runtime, which has kept running between the links."""
    harness.advance(500.0)
    harness.accept("runtime")
    assert read_command(harness) == {"action": "sync", "pos": pos}
    send_notice(harness, "ready", code="seasoned", wall_ms=9000)
    assert read_command(harness) == {"action": "gauges", "echo": echo}
    send_load_sample(harness, echo)


def serve_request(harness: NodeHarness, peer_name: str, number: int, pos: int) -> None:
    """Check that a request is run, and that its result is sent once the run has completed."""
    command = read_work_command(harness)
    assert command["action"] == "start" and command["uid"] == attempt_id(number)
    complete_run(harness, pos, number)
    found = read_answer(harness, peer_name)
    assert found[:3] == [1, number, None] and found[3][0] == b"made"


def is_closed_by_node(harness: NodeHarness, peer_name: str) -> bool:
    """Return whether the node closes or resets the connection and sends at most a farewell before."""
    try:
        return harness.receive(peer_name, 100) in (b"", FAREWELL) and harness.closed_by_node
    except ConnectionError:
        return True
