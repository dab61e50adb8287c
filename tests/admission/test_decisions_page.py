"""docs/decisions.md names the rules, constants and values of the code."""

from __future__ import annotations

import ast
import importlib
import re
import tomllib
from dataclasses import dataclass
from functools import reduce
from pathlib import Path
from types import ModuleType

import pytest

from snowthread.admission.actions import OperatorMessage
from snowthread.admission.reasons import RejectReason
from snowthread.records.model import FIELD_DESCRIPTIONS, RecordKind, RequestCounts

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs/decisions.md").read_text()
POLICY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
PACKAGE = "snowthread.admission"
COLUMNS = ("question", "rule", "inputs", "reason", "constants", "seen in")
CONSTANT = re.compile(r"`([A-Z][A-Z0-9_]+)` (\S+?)(?:,|$)")
FILE_ENDINGS = (".py", ".md", ".toml")
NAME = re.compile(r"`([a-z_]+(?:\.[A-Za-z_]+)+)`")  # a dotted name in code quotes


@dataclass(frozen=True)
class Row:
    """A row of one of the page's tables."""

    question: str
    rule: str
    inputs: str
    reason: str
    constants: str
    seen_in: str

    @property
    def module(self) -> ModuleType:
        return module_of(self.rule.strip("`"))


def rows(page: str) -> list[Row]:
    lines = [line for line in page.splitlines() if line.startswith("|")]
    cells = [tuple(cell.strip() for cell in line[1:-1].split("|")) for line in lines]
    tables = [row for row in cells if row != COLUMNS and not set("".join(row)) <= set("- |")]
    return [Row(*row) for row in tables]


def module_of(name: str) -> ModuleType:
    """Return the module of a dotted name: in full, or relative to the package."""
    parts = name.split(".")
    if parts[0] != "snowthread":
        return importlib.import_module(f"{PACKAGE}.{parts[0]}")
    size = max(n for n in range(1, len(parts) + 1) if is_module(".".join(parts[:n])))
    return importlib.import_module(".".join(parts[:size]))


def is_module(name: str) -> bool:
    path = ROOT.joinpath(*name.split("."))
    return path.with_suffix(".py").exists() or path.is_dir()


def resolve(name: str) -> object:
    """Return what a dotted name stands for."""
    module = module_of(name)
    full = name if name.startswith("snowthread") else f"{PACKAGE}.{name}"
    attributes = full.removeprefix(module.__name__).split(".")[1:]
    return reduce(getattr, attributes, module)


def numeric_constants(path: str) -> dict[str, float]:
    """Return the names and values of a module's numeric constants."""
    module = importlib.import_module(path.removesuffix(".py").replace("/", "."))
    tree = ast.parse((ROOT / path).read_text())
    names = [
        target.id
        for node in tree.body
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Name) and target.id.isupper()
    ]
    values = {name: getattr(module, name) for name in names}
    return {name: value for name, value in values.items() if isinstance(value, int | float)}


def errors_of(page: str) -> list[str]:
    """Return what the page says that the code does not bear out."""
    errors = []
    for name in NAME.findall(page):
        if name.endswith(FILE_ENDINGS):
            continue
        try:
            resolve(name)
        except (ImportError, AttributeError):
            errors.append(f"{name}: no such module or function")
    for row in rows(page):
        if row.constants and not CONSTANT.findall(row.constants):
            errors.append(f"{row.rule}: constants can't be read: {row.constants}")
        try:
            module = row.module
        except ImportError:
            errors.append(f"{row.rule}: no such module")
            continue
        for name, value in CONSTANT.findall(row.constants):
            if getattr(module, name, None) != float(value):
                errors.append(f"{row.rule}: {name} is not {value}")
    members = re.findall(r"^\| `([A-Z_]+)`:", page, re.MULTILINE)
    errors += [f"{name}: no such reason" for name in members if name not in RejectReason.__members__]
    return errors


def test_page_names_what_is_in_the_code() -> None:
    assert len(rows(PAGE)) > 40
    assert errors_of(PAGE) == []


@pytest.mark.parametrize("member", RejectReason, ids=lambda member: member.name)
def test_each_reject_reason_is_on_the_page_with_its_text(member: RejectReason) -> None:
    assert f"| `{member.name}`:" in PAGE
    assert f"`{member.value}`" in PAGE


@pytest.mark.parametrize("message", OperatorMessage, ids=lambda message: message.name)
def test_each_operator_message_is_on_the_page(message: OperatorMessage) -> None:
    assert f"`{message.value.partition(':')[0]}: " in PAGE


def test_tests_named_on_the_page_are_there() -> None:
    names = set(re.findall(r"`(?:tests/admission/)?(test_\w+\.py)`", PAGE))
    assert len(names) > 12
    assert all(Path(__file__).with_name(name).exists() for name in names)


def test_constants_named_in_the_text_are_on_a_row() -> None:
    text = "\n".join(line for line in PAGE.splitlines() if not line.startswith("|"))
    named = set(re.findall(r"`([A-Z]+_[A-Z_]+)`", text)) - set(RejectReason.__members__)
    assert named
    assert named <= {name for row in rows(PAGE) for name, _ in CONSTANT.findall(row.constants)}


def test_log_lines_of_the_runtime_are_those_of_the_code() -> None:
    sources = [*(ROOT / "snowthread/core").glob("*.py"), ROOT / "snowthread/admission/run_load.py"]
    code = "".join(path.read_text() for path in sources)
    lines = re.findall(r"`(runtime: [^`]+)`", "".join(row.seen_in for row in rows(PAGE)))
    parts = {part.strip(" :") for line in lines for part in re.split(r"\bID\b|\bN\b|\.\.\.", line)}
    assert len(lines) >= 4
    assert [part for part in parts if part not in code] == []


def test_records_named_as_evidence_are_in_the_model() -> None:
    named = {
        name
        for row in rows(PAGE)
        for part in row.seen_in.split(";")
        if part.strip().startswith("records:")
        for name in re.findall(r"`(\w+)`", part)
    }
    kinds = {kind.value for kind in RecordKind}
    fields = {name for described in FIELD_DESCRIPTIONS.values() for name in described}
    assert len(named) > 15
    assert named <= kinds | fields | set(RequestCounts.NAMES)


@pytest.mark.parametrize("path", POLICY)
def test_each_module_of_the_policy_is_on_the_page_with_its_constants(path: str) -> None:
    module = importlib.import_module(path.removesuffix(".py").replace("/", "."))
    assert any(resolve_module(name) is module for name in NAME.findall(PAGE))
    shown = {
        name: float(value)
        for row in rows(PAGE)
        if row.module is module
        for name, value in CONSTANT.findall(row.constants)
    }
    assert shown == numeric_constants(path)


def resolve_module(name: str) -> ModuleType | None:
    return None if name.endswith(FILE_ENDINGS) else module_of(name)


@pytest.mark.parametrize(
    ("right", "wrong"),
    [
        ("`admission_rule.wait_is_too_long`", "`admission_rule.wait_is_long`"),
        ("`blocking.BlockingRule.is_blocked`", "`blocking.BlockingRule.blocks`"),
        ("`memory_limit.exceeds_memory_limit`", "`memory_bound.exceeds_memory_limit`"),
        ("`snowthread.core.key_claims`", "`snowthread.core.key_claim`"),
        ("`EJECTION_S` 10.0", "`EJECTION_S` 11.0"),
        ("`EJECTION_S`", "`EJECTED_S`"),
        ("| `DEADLINE_REACHED`:", "| `DEADLINE_PASSED`:"),
    ],
)
def test_a_wrong_name_or_value_is_found(right: str, wrong: str) -> None:
    assert right in PAGE
    assert errors_of(PAGE.replace(right, wrong))
