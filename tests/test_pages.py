"""The pages name files, tests and terms that are there."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
FOLDERS = ("snowthread", "emulators", "benchmarks", "examples", "deploy", "tests")
FILE_NAME = re.compile(r"`([\w./-]+\.py)`")
TEST_NAME = re.compile(r"`([a-z0-9]+(?:_[a-z0-9]+){2,})`")
UNWRITTEN = {"benchmarks/admin.py", "benchmarks/site.py"}  # the roadmap says that they are not there
LETTER_TERMS = (  # that the operators ask for, each with a row of the glossary
    "rejected",
    "forwarded",
    "attempt",
    "retry",
    "hedged request",
    "idempotent",
    "idempotency key",
    "notified",
    "complete",
    "draining",
    "graceful shutdown",
    "warming up",
    "slow start",
    "recovery ramp",
    "latency objective",
    "priority weight",
    "fault",
    "outlier",
    "ejected",
    "health check",
    "load report",
    "endpoint list",
    "watch event",
    "poll",
    "backoff",
    "Retry-After",
    "capacity",
    "quota",
    "admitted",
    "shed load",
    "gossip",
    "leader",
    "lease holder",
    "incarnation",
    "cached",
    "in flight",
    "reserved",
    "sticky",
    "migrate",
)


def exists(name: str) -> bool:
    """Return whether there is a file of this path, in full or relative to a folder of the project."""
    if (ROOT / name).exists():
        return True
    return any(path.is_file() for folder in FOLDERS for path in (ROOT / folder).glob(f"**/{name}"))


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_files_that_a_page_names_are_there(page: Path) -> None:
    names = set(FILE_NAME.findall(page.read_text())) - UNWRITTEN
    assert {name for name in names if not exists(name)} == set()


def test_tests_that_the_page_on_crossings_names_are_there() -> None:
    tests = "".join(path.read_text() for path in (ROOT / "tests").rglob("test_*.py"))
    rows = (ROOT / "docs/crossings.md").read_text().splitlines()
    shown_by = [row.rstrip(" |").rsplit("|", 1)[-1] for row in rows if row.startswith("|")]
    names = {name for cell in shown_by for name in TEST_NAME.findall(cell)}
    assert len(names) > 30
    assert {name for name in names if f"def test_{name}(" not in tests} == set()


def test_glossary_has_a_row_for_each_term_that_the_operators_ask_for() -> None:
    rows = (ROOT / "docs/glossary.md").read_text().splitlines()
    terms = [row.split("|")[2] for row in rows if row.startswith("|")]
    assert {term for term in LETTER_TERMS if not any(term in cell for cell in terms)} == set()
