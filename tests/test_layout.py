"""Checks of the source layout: sizes of files and functions, assignments, and imports between modules."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
SOURCE_FOLDERS = ("snowthread", "emulators", "examples", "benchmarks", "tests")
SOURCES = sorted(path for folder in SOURCE_FOLDERS for path in ROOT.joinpath(folder).rglob("*.py"))
PROGRAM = [path for path in SOURCES if path.relative_to(ROOT).parts[0] in ("snowthread", "emulators")]
FILE_LINES_MAX = 400
FUNCTION_LINES_MAX = 40


def module_name(path: Path) -> str:
    """Return the dotted module name of a file; for ``__init__.py``, that of the package."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(path): path for path in PROGRAM}


def imported_modules(path: Path) -> set[str]:
    """Return the program's modules that a file imports, including local and type-checking imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            submodules = {f"{node.module}.{alias.name}" for alias in node.names}
            names |= submodules & MODULES.keys() or {node.module}
    return names & MODULES.keys()


def functions(path: Path) -> Iterator[ast.FunctionDef | ast.AsyncFunctionDef]:
    """Yield the functions and methods that a file defines."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            yield node


def several_assignments(path: Path) -> list[int]:
    """Return the lines of statements with several assignments; a swap of names counts as one."""
    lines = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Assign):
            continue
        target = node.targets[0]
        if len(node.targets) > 1:
            lines.append(node.lineno)
        elif isinstance(target, ast.Tuple) and isinstance(node.value, ast.Tuple):
            names = {ast.unparse(element) for element in target.elts}
            if names != {ast.unparse(element) for element in node.value.elts}:
                lines.append(node.lineno)
    return lines


def name_of(path: Path) -> str:
    return str(path.relative_to(ROOT))


def test_files_are_short() -> None:
    lengths = {name_of(path): len(path.read_text().splitlines()) for path in SOURCES}
    assert {name: length for name, length in lengths.items() if length > FILE_LINES_MAX} == {}


def test_functions_are_short() -> None:
    lengths = {
        (name_of(path), node.name): (node.end_lineno or node.lineno) - node.lineno + 1
        for path in SOURCES
        for node in functions(path)
    }
    assert {name: length for name, length in lengths.items() if length > FUNCTION_LINES_MAX} == {}


def test_one_assignment_a_statement() -> None:
    found = {name_of(path): several_assignments(path) for path in PROGRAM}
    assert {name: lines for name, lines in found.items() if lines} == {}


def test_no_modules_import_each_other_in_a_circle() -> None:
    imports = {name: imported_modules(path) - {name} for name, path in MODULES.items()}
    try:
        TopologicalSorter(imports).prepare()
    except CycleError as error:
        pytest.fail(" -> ".join(error.args[1]), pytrace=False)


LAYERS = (  # packages and modules of the program, lowest first; each imports only lower layers and itself
    {"address", "log"},
    {"admission", "net"},
    {"config_shape"},
    {"config", "ldap"},
    {"core", "hcl"},
    {"clients", "frontends", "hot_restart", "records", "recovery", "sites", "tenants"},
    {"operator"},
    {"reload"},
    {"node"},
    {"serve", "console", "incident"},
    {"lab"},
    {"demo"},
    {"cli", "__main__"},
)
COMMAND_LINES = {  # command lines of features, which only ``snowthread.cli`` imports; in the top layer
    f"snowthread.{package}.cli"
    for package in ("console", "incident", "lab", "records", "recovery", "tenants")
}


def layer(module: str) -> int:
    """Return the index of a module's layer; the command lines of features are in the top layer."""
    if module in COMMAND_LINES:
        return len(LAYERS) - 1
    part = module.split(".")[1]
    return next(number for number, parts in enumerate(LAYERS) if part in parts)


def may_import(importer: str, imported: str) -> bool:
    """Return whether the layers allow ``importer`` to import ``imported``."""
    if imported == "snowthread":
        return True
    same_package = importer.split(".")[1] == imported.split(".")[1] and imported not in COMMAND_LINES
    return (
        same_package
        or layer(imported) < layer(importer)
        or importer in ("snowthread.cli", "snowthread.__main__")
    )


def test_nothing_imports_upwards() -> None:
    upwards = {
        (module, imported)
        for module, path in MODULES.items()
        if module.startswith("snowthread.")
        for imported in imported_modules(path)
        if imported.startswith("snowthread") and not may_import(module, imported)
    }
    assert upwards == set()


def test_only_the_demo_imports_emulators() -> None:
    importers = {
        module
        for module, path in MODULES.items()
        if module.startswith("snowthread")
        and any(imported.startswith("emulators") for imported in imported_modules(path))
    }
    assert importers <= {"snowthread.lab.demo_fleet"}
