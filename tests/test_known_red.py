"""What a run does with KNOWN-RED.txt, shown on a small suite of its own."""

from __future__ import annotations

import shutil
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest

SUITE = """
def test_fails(): assert False
def test_passes(): assert True
"""
PATIENCE_S = 60.0


@dataclass(frozen=True)
class SuiteRun:
    """How a run of the small suite ended, and what it printed."""

    status: int
    output: str


def run_suite(folder: Path, *known_red: str) -> SuiteRun:
    """Run the small suite with these lines in KNOWN-RED.txt, or without the file."""
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_small.py").write_text(SUITE)
    shutil.copy(Path(__file__).parent / "conftest.py", folder)
    if known_red:
        (folder / "KNOWN-RED.txt").write_text("\n".join(known_red) + "\n")
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-pno:cacheprovider"],
        cwd=folder,
        text=True,
        capture_output=True,
        timeout=PATIENCE_S,
        check=False,
    )
    return SuiteRun(done.returncode, done.stdout + done.stderr)


def test_failure_without_a_line_fails_the_run(tmp_path: Path) -> None:
    assert run_suite(tmp_path).status == 1


def test_known_failure_is_passed_over_and_printed(tmp_path: Path) -> None:
    run = run_suite(tmp_path, "test_small.py::test_fails | a cause | 23")
    assert run.status == 0
    assert "known red: test_small.py::test_fails: fails, as known: a cause (23)" in run.output


def test_known_failure_that_passes_is_printed_and_others_still_count(tmp_path: Path) -> None:
    run = run_suite(tmp_path, "test_small.py::test_passes | a cause | 23")
    assert run.status == 1 and "known red: test_small.py::test_passes: PASSES" in run.output


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (["test_small.py::test_gone | a cause | 23"], "no such test"),
        (["test_small.py::test_fails"], "not 'test | cause | issue'"),
        ([f"test_small.py::test_{n} | a cause | 23" for n in range(4)], "4 lines, 3 at most"),
    ],
)
def test_malformed_or_surplus_line_ends_the_run(tmp_path: Path, lines: list[str], message: str) -> None:
    run = run_suite(tmp_path, *lines)
    assert run.status not in (0, 1) and message in run.output
