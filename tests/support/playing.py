"""What tests of single moments say and hear beside a Player: requests, answers, the lines of the runtime."""

from __future__ import annotations

import base64
import json
from copy import deepcopy
from typing import Any

import msgpack

from snowthread.frontends.balancers.codec import FAREWELL
from support.exchange import EXAMPLE, START, Player


def settings(**domain: Any) -> dict[str, Any]:
    """The example's settings with another domain."""
    found = deepcopy(json.loads(EXAMPLE.read_bytes())["settings"])
    found["domain"] |= domain
    assert isinstance(found, dict)
    return found


def ready(player: Player) -> None:
    """A runtime that has started and reads."""
    for who, what, rest in (
        ("runtime", "accept", ""),
        ("runtime", "<", r'{"action":"sync","pos":0}\n'),
        ("runtime", ">", r'{"action":"ready","code":"seasoned","wall_ms":0}\n'),
        ("runtime", "<", r'{"action":"gauges","echo":"sync-1"}\n'),
    ):
        player.step(who, what, rest)


def message(number: int, method: str, at: float = START, **fields: Any) -> bytes:
    """A request; a field of None is left out."""
    told = {
        "id": f"{number:016x}",
        "at": str(int(at)),
        "from": "1",
        "wait": "5000",
        "kb": "20",
        "rank": "0.5",
    } | fields
    fields_told = {name: value for name, value in told.items() if value is not None}
    packed: bytes = msgpack.packb([0, number, method, [fields_told, b"x"]])
    return packed


def answer(player: Player, who: str) -> list[Any]:
    """The next answer that the peer gets."""
    unpacker = msgpack.Unpacker()
    while True:
        more = player.came(who, 1)
        assert more, "no answer came"
        unpacker.feed(more)
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


def notice(player: Player, action: str, **fields: Any) -> None:
    """The runtime says something; the content in plain bytes."""
    if "content" in fields:
        fields["content"] = base64.b64encode(fields["content"]).decode()
    player.peers["runtime"].sendall(json.dumps({"action": action} | fields).encode() + b"\n")


def uid(number: int) -> str:
    """The id of a request that ``message`` made."""
    return f"{number:016x}"


def done(player: Player, pos: int, number: int, content: bytes = b"made") -> None:
    """The runtime says that the run of a request went through."""
    notice(player, "end", pos=pos, uid=uid(number), code="done", wall_ms=9, content=content)


def ends(player: Player, who: str) -> bool:
    """Does the node close, with a reset or without, and say no more than a farewell before?"""
    try:
        return player.came(who, 100) in (b"", FAREWELL) and player.ended
    except ConnectionError:
        return True
