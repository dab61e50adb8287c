"""Other customers' settings: what one site tells and another does not, on the wire as it then looks."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest
from support.exchange import START, Player
from support.playing import answer, command, done, message, notice, ready, settings, uid

from snowthread import config


@pytest.mark.parametrize("below", ["shared", "tier", "silent"])
def test_an_index_is_wanted_where_calls_are_made_below_and_only_there(below: str) -> None:
    fields = Player(settings=settings(below=below)).fields
    assert config.parse(fields).database is not None
    for absent in ("", None):
        if below == "silent":
            assert config.parse(fields | {"index": absent}).database is None
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
    notice(player, "wants", pos=1, uid=uid(1), content=b"?")
    player.settle()
    for _ in range(40):  # the tries end by the rules of the decisions; no connection is opened for any
        player.clock.now_ms += 50.0
        player.settle()
    assert player.node.database.connection_count() == 0
    told = command(player)
    while told["action"] == "gauges":
        told = command(player)
    assert told == {"action": "omit", "uid": uid(1), "pos": 1}
    done(player, 2, 1)
    assert answer(player, "1")[2:] == [None, [b"made", {}]]


def test_a_request_without_a_deadline_has_its_class_s() -> None:
    """Where deadlines are not passed on a request says nothing of how long its caller waits."""
    player = Player(settings=settings(passes_deadline=False))
    ready(player)
    player.step("1", "connect", "")
    player.peers["1"].sendall(message(1, "recalc", wait=None))
    assert command(player)["lane"] == "recalc"
    deadline = 5300.0  # of the class, in the example
    while player.clock.now_ms < START + deadline - 100.0:
        player.clock.now_ms += 50.0
        player.settle()
    player.silent("1")
    player.clock.now_ms = START + deadline
    kind, number, error, result = answer(player, "1")
    assert (kind, number, error[0], result) == (1, 1, "Throttled", None)
    for wrong in ("", "soon", "-1"):
        player.peers["1"].sendall(message(2, "recalc", wait=wrong))
        assert answer(player, "1")[:3] == [1, 2, ["Failed", {}]]


ROOT = Path(__file__).parents[2]
PLAYED = {"lab", "demo.py"}  # these play the example's site beside the program; `run` and `sim` load neither
ELSEWHERE = {
    "krakow-main",
    "krakow-room-1",
    "cardiff-quiz",
    "kigali-quotes",
    "fetch-question",
    "save-answer",
    "question-bank",
    "round-front",
    "std-6c",
}


def names() -> set[str]:
    """Classes, tenants, zones, tiers and sites of each deployment here, and of those heard of."""
    found = set(ELSEWHERE)
    for path in sorted((ROOT / "deploy/sites").glob("*/*.toml")):
        site = tomllib.loads(path.read_text())
        found |= {site["name"], *site["net"]["zones"]}
        for kind in ("class", "tenant", "tier"):
            found |= {part["name"] for part in site.get(kind, [])}
    return found | {c["name"] for c in settings()["classes"]}


def named(text: str, known: set[str]) -> set[str]:
    """Which of the names stand in a program as a string, or as a word of one that holds no other."""
    strings = {
        node.value
        for node in ast.walk(ast.parse(text))
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }
    return {
        name
        for name in known
        for s in strings
        if s == name or ("-" in name and re.search(rf"\b{re.escape(name)}\b", s))
    }


def test_no_deployment_s_names_stand_in_the_program_or_its_deploy_file() -> None:
    known = names()
    assert {"match", "recalc", "dispense", "lodz-labels", "charge", "swansea-tickets"} <= known
    assert named("a = 'dispense'", known) == {"dispense"}  # the check can fail
    for folder in ("snowthread",):
        for path in sorted((ROOT / folder).rglob("*.py")):
            if not PLAYED & set(path.relative_to(ROOT / folder).parts):
                assert not named(path.read_text(), known), path
    deploy = (ROOT / "deploy/balancer.toml").read_text()
    assert not [name for name in known if re.search(rf"\b{re.escape(name)}\b", deploy)]
