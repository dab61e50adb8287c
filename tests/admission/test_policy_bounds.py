"""The bounds of the decision module: its size, and what it may import."""

from __future__ import annotations

import ast
import sys
import tomllib
from pathlib import Path

from snowthread.admission import controller

ROOT = Path(__file__).parents[2]
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]
TYPES = [  # types, tables and generic arithmetic: they decide nothing
    ROOT / "snowthread/admission" / name
    for name in (
        "settings.py",
        "events.py",
        "actions.py",
        "request.py",
        "statistics.py",
        "class_times.py",
        "cores.py",
        "memory.py",
        "open_requests.py",
        "call_table.py",
        "tenant_table.py",
        "timer_queue.py",
    )
]


def imported(path: Path) -> set[str]:
    """Return the modules that a file imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            for alias in node.names:
                submodule = ROOT.joinpath(*(node.module or "").split("."), f"{alias.name}.py")
                names.add(module_name(submodule) if submodule.exists() else node.module or "")
    return names


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts)


def test_module_keeps_its_bounds() -> None:
    lines = [line for path in POLICY for line in path.read_text().splitlines() if line.strip()]
    assert Path(controller.__file__) in POLICY
    assert len(lines) <= 800 and max(map(len, lines)) <= 110


def test_module_and_its_types_import_nothing_else_of_the_program() -> None:
    for paths, ours in ((POLICY, POLICY + TYPES), (TYPES, TYPES)):
        allowed = set(map(module_name, ours))
        for path in paths:
            for name in imported(path):
                assert name in allowed or name.split(".")[0] in sys.stdlib_module_names, (path, name)
