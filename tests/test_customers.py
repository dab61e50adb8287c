"""Other customers' settings: what one site tells and another does not, on the wire as it then looks."""

from __future__ import annotations

import base64
import json
from copy import deepcopy
from typing import Any

import msgpack
import pytest
from exchange import START, Player

from snowthread import config

BELOW = {"shared": "127.0.0.1:5432", "tier": "127.0.0.1:5432", "silent": ""}


def settings(**domain: Any) -> dict[str, Any]:
    """The example's settings with another domain."""
    found = deepcopy(Player().fields["settings"])
    found["domain"] |= domain
    assert isinstance(found, dict)
    return found


def ready(player: Player) -> None:
    """A runtime that has started and reads."""
    for who, what, rest in (("runtime", "accept", ""), ("runtime", "<", r'{"action":"sync","pos":0}\n'),
                            ("runtime", ">", r'{"action":"ready","code":"seasoned","wall_ms":0}\n'),
                            ("runtime", "<", r'{"action":"gauges","echo":"sync-1"}\n')):
        player.step(who, what, rest)


def message(number: int, method: str, **fields: Any) -> bytes:
    """A request; a field of None is left out."""
    told = {"id": f"{number:016x}", "at": str(int(START)), "from": "1", "wait": "5000", "kb": "20",
            "rank": "0.5"} | fields
    fields_told = {name: value for name, value in told.items() if value is not None}
    packed: bytes = msgpack.packb([0, number, method, [fields_told, b"x"]])
    return packed


def answer(player: Player, who: str) -> list[Any]:
    """The next answer that the peer gets."""
    unpacker = msgpack.Unpacker()
    while True:
        unpacker.feed(player.came(who, 1))
        for found in unpacker:
            return list(found)


def command(player: Player) -> dict[str, Any]:
    """The next line that the runtime gets."""
    line = b""
    while not line.endswith(b"\n"):
        more = player.came("runtime", 1)
        assert more, "nothing came"
        line += more
    return dict(json.loads(line))


@pytest.mark.parametrize("below", BELOW)
def test_an_index_is_wanted_where_calls_are_made_below_and_only_there(below: str) -> None:
    fields = Player(settings=settings(below=below)).fields
    assert config.parse(fields).index is not None
    for absent in ("", None):
        if below == "silent":
            assert config.parse(fields | {"index": absent}).index is None
        else:
            with pytest.raises(config.ConfigError, match="index: an address is wanted"):
                config.parse(fields | {"index": absent})
    with pytest.raises(config.ConfigError, match="index: 'nowhere'"):
        config.parse(fields | {"index": "nowhere"})


def test_a_node_with_nothing_below_serves_and_a_call_all_the_same_never_ran() -> None:
    player = Player(settings=settings(below="silent", class_skip_worth=[0.6, 0.0, 0.0]), index="")
    ready(player)
    player.step("1", "connect", "")
    player.peers["1"].sendall(message(1, "match"))
    assert command(player)["action"] == "start"
    wants = {"action": "wants", "pos": 1, "uid": f"{1:016x}", "content": base64.b64encode(b"?").decode()}
    player.peers["runtime"].sendall(json.dumps(wants).encode() + b"\n")
    player.settle()
    for _ in range(40):  # the tries end by the rules of the decisions; no connection is opened for any
        player.clock.time += 50.0
        player.settle()
    assert player.node.index.count() == 0
    told = command(player)
    while told["action"] == "gauges":
        told = command(player)
    assert told == {"action": "omit", "uid": f"{1:016x}", "pos": 1}
    end = {"action": "end", "pos": 2, "uid": f"{1:016x}", "code": "done", "wall_ms": 9,
           "content": base64.b64encode(b"made").decode()}
    player.peers["runtime"].sendall(json.dumps(end).encode() + b"\n")
    assert answer(player, "1")[2:] == [None, [b"made", {}]]


def test_a_request_without_a_deadline_has_its_class_s() -> None:
    """Where deadlines are not passed on a request says nothing of how long its caller waits."""
    player = Player(settings=settings(passes_deadline=False))
    ready(player)
    player.step("1", "connect", "")
    player.peers["1"].sendall(message(1, "recalc", wait=None))
    assert command(player)["lane"] == "recalc"
    deadline = 5300.0  # of the class, in the example
    while player.clock.time < START + deadline - 100.0:
        player.clock.time += 50.0
        player.settle()
    player.silent("1")
    player.clock.time = START + deadline
    kind, number, error, result = answer(player, "1")
    assert (kind, number, error[0], result) == (1, 1, "Throttled", None)
    for wrong in ("", "soon", "-1"):
        player.peers["1"].sendall(message(2, "recalc", wait=wrong))
        assert answer(player, "1")[:3] == [1, 2, ["Failed", {}]]
