"""The lines of the runtime's protocol: valid notices, invalid lines, and encoded commands."""

from __future__ import annotations

import contextlib
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snowthread.admission.settings import Outcome
from snowthread.clients.runtime_codec import NoticeError, decode, encode, encode_sync
from snowthread.core import effects, events

ATTEMPT = "00000000000000a1"


@pytest.mark.parametrize(
    ("fields", "number", "event"),
    [
        ({"action": "ready", "code": "fresh", "wall_ms": -1.0}, None, events.RuntimeConnected(True, 0.0)),
        ({"action": "ready", "code": "warm", "wall_ms": 5}, None, events.RuntimeConnected(False, 5.0)),
        (
            {"action": "end", "uid": ATTEMPT, "code": "crashed", "wall_ms": 2.5, "pos": 3},
            3,
            events.RunCompleted(ATTEMPT, Outcome.FAILURE, 2.5, b""),
        ),
        (
            {"action": "wants", "uid": ATTEMPT, "content": "Pw==", "pos": 4},
            4,
            events.CallRequested(ATTEMPT, 4, b"?"),
        ),
        (
            {"action": "load", "echo": "alive", "meters": [1, 0.5]},
            None,
            events.LoadSampleReceived("alive", (1.0, 0.5)),
        ),
        ({"action": "nack", "code": "start"}, None, events.CommandRejected("", True)),
        ({"action": "of a later version", "pos": 9}, 9, None),
    ],
)
def test_notice_becomes_an_event_with_its_number(
    fields: dict[str, Any], number: int | None, event: events.Event | None
) -> None:
    assert decode(orjson.dumps(fields)) == (number, event)


@pytest.mark.parametrize(
    "line",
    [
        b"{",
        b"[]",
        b'{"action": "end", "code": "done"}',
        b'{"action": "end", "uid": "a", "code": "unknown"}',
        b'{"action": "end", "uid": "a", "code": "done", "content": "not base64"}',
        b'{"action": "end", "uid": "a", "code": "done", "wall_ms": "soon"}',
        b'{"action": "wants", "uid": "a", "pos": null}',
        b'{"action": "load", "echo": "a", "meters": 3}',
        b'{"action": "ready", "code": "fresh", "pos": -1}',
        b'{"action": "ready", "code": "fresh", "pos": "3"}',
    ],
)
def test_line_that_is_no_notice_is_an_error(line: bytes) -> None:
    with pytest.raises(NoticeError):
        decode(line)


@given(
    st.binary(max_size=80) | st.builds(lambda text: b'{"action":"end",' + text + b"}", st.binary(max_size=40))
)
@settings(max_examples=300, deadline=None)
def test_no_bytes_raise_any_other_error(line: bytes) -> None:
    with contextlib.suppress(NoticeError):
        decode(line)


@pytest.mark.parametrize(
    ("command", "line"),
    [
        (
            effects.StartRun(ATTEMPT, "match", b"x"),
            b'{"action":"start","uid":"00000000000000a1","lane":"match","content":"eA=="}\n',
        ),
        (effects.StopRun(ATTEMPT), b'{"action":"stop","uid":"00000000000000a1"}\n'),
        (
            effects.DeliverReply(ATTEMPT, b"r"),
            b'{"action":"give","uid":"00000000000000a1","content":"cg=="}\n',
        ),
        (effects.SkipCall(ATTEMPT, 7), b'{"action":"omit","uid":"00000000000000a1","pos":7}\n'),
        (effects.RequestLoadSample("alive"), b'{"action":"gauges","echo":"alive"}\n'),
    ],
)
def test_command_is_one_line(command: effects.Command | effects.RequestLoadSample, line: bytes) -> None:
    assert encode(command) == line


def test_sync_names_the_last_notice_read() -> None:
    assert encode_sync(12) == b'{"action":"sync","pos":12}\n'
