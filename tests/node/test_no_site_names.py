"""The program contains no names of sites: classes, tenants, zones and tiers come from settings only."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

from support.node_peers import example_settings

ROOT = Path(__file__).parents[2]
EMULATING_PARTS = {"lab", "demo.py"}
"""Parts that emulate the example site; ``run`` and ``sim`` in deploy/balancer.toml load neither."""

OTHER_SITES_NAMES = {
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


def site_names() -> set[str]:
    """Return the names of classes, tenants, zones, tiers and sites of all known deployments."""
    names = set(OTHER_SITES_NAMES)
    for path in sorted((ROOT / "deploy/sites").glob("*/*.toml")):
        site = tomllib.loads(path.read_text())
        names |= {site["name"], *site["net"]["zones"]}
        for kind in ("class", "tenant", "tier"):
            names |= {part["name"] for part in site.get(kind, [])}
    return names | {request_class["name"] for request_class in example_settings()["classes"]}


def names_in(program: str, known: set[str]) -> set[str]:
    """Return the names that occur as a string literal; a hyphenated name also as a word within one."""
    strings = {
        node.value
        for node in ast.walk(ast.parse(program))
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }
    return {
        name
        for name in known
        for string in strings
        if string == name or ("-" in name and re.search(rf"\b{re.escape(name)}\b", string))
    }


def test_neither_program_nor_deploy_file_names_a_site_s_parts() -> None:
    known = site_names()
    assert {"match", "recalc", "dispense", "lodz-labels", "charge", "swansea-tickets"} <= known
    assert names_in("a = 'dispense'", known) == {"dispense"}  # shows that the check can fail
    program = ROOT / "snowthread"
    for path in sorted(program.rglob("*.py")):
        if not EMULATING_PARTS & set(path.relative_to(program).parts):
            assert not names_in(path.read_text(), known), path
    deploy_file = (ROOT / "deploy/balancer.toml").read_text()
    assert not [name for name in known if re.search(rf"\b{re.escape(name)}\b", deploy_file)]
