"""Checks that the files, tests and names in the documentation pages exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from snowthread.admission.shutdown_times import ANSWER_ALL_MARGIN_S
from snowthread.frontends.balancers.sweeper import FAREWELL_TIMEOUT_MS
from snowthread.node import shutdown

ROOT = Path(__file__).parents[1]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
FOLDERS = ("snowthread", "emulators", "benchmarks", "examples", "deploy", "tests")
FILE_NAME = re.compile(r"`([\w./-]+\.py)`")
TEST_NAME = re.compile(r"`([a-z0-9]+(?:_[a-z0-9]+){2,})`")
CODE_NAME = re.compile(
    r"`((?:\w+\.)*(?:\w*_\w+|[A-Z][a-z]+[A-Z]\w+))`"
)  # snake_case or CamelCase, dotted or not
UNWRITTEN = {"benchmarks/admin.py", "benchmarks/site.py"}  # files that the roadmap names as not written yet
LETTER_TERMS = (  # terms of the operators, each of which must have a row in the glossary
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
    """Return whether a file exists at this path, relative to the root or to any folder of the project."""
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


@pytest.mark.parametrize(
    "text",
    [
        f"| kill - {shutdown.CLOSE_LISTENER_BEFORE_KILL_MS:.0f} ms | pending connections are accepted",
        f"| kill - {1000.0 * ANSWER_ALL_MARGIN_S:.0f} ms | all that is open is answered",
        f"| kill - {shutdown.EXIT_BEFORE_KILL_MS:.0f} ms | exit",
        f"once {shutdown.QUIET_BEFORE_EXIT_MS:.0f} ms passed without work",
        f"a connection whose farewell is less than {FAREWELL_TIMEOUT_MS / 1000.0:.0f} s old",
        f"min(`stop_ms`, {shutdown.SUPERSEDED_MARGIN_MS / 1000.0} s + min(",
        f"min({shutdown.SUPERSEDED_DEADLINE_MAX_MS / 1000.0:.0f} s, longest deadline of a class))",
    ],
)
def test_timeline_of_a_graceful_shutdown_has_the_times_of_the_code(text: str) -> None:
    assert text in " ".join((ROOT / "docs/architecture.md").read_text().split())


def test_names_of_code_on_the_page_on_architecture_are_in_the_code() -> None:
    code = "".join(path.read_text() for path in (ROOT / "snowthread").rglob("*.py"))
    names = set(CODE_NAME.findall((ROOT / "docs/architecture.md").read_text()))
    parts = {part for name in names for part in name.split(".")}
    assert len(names) > 40
    assert {part for part in parts if not re.search(rf"\b{part}\b", code)} == set()
