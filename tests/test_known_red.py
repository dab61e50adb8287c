"""What CI does with KNOWN-RED.txt, on a small suite of its own."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

SUITE = """
def test_fails(): assert False
def test_passes(): assert True
"""


def run(folder: Path, *lines: str) -> tuple[int, str]:
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_small.py").write_text(SUITE)
    shutil.copy(Path(__file__).parent / "conftest.py", folder)
    if lines:
        (folder / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-pno:cacheprovider"],
        cwd=folder,
        text=True,
        capture_output=True,
        timeout=60.0,
    )
    return done.returncode, done.stdout + done.stderr


def test_without_a_line_nothing_is_passed_over(tmp_path: Path) -> None:
    assert run(tmp_path)[0] == 1


def test_a_known_one_is_passed_over_and_printed(tmp_path: Path) -> None:
    code, said = run(tmp_path, "test_small.py::test_fails | a cause | 23")
    assert code == 0 and "known red: test_small.py::test_fails: fails, as known: a cause (23)" in said


def test_one_that_passes_is_told_and_others_still_count(tmp_path: Path) -> None:
    code, said = run(tmp_path, "test_small.py::test_passes | a cause | 23")
    assert code == 1 and "known red: test_small.py::test_passes: PASSES" in said


@pytest.mark.parametrize(
    ("lines", "word"),
    [
        (["test_small.py::test_gone | a cause | 23"], "no such test"),
        (["test_small.py::test_fails"], "not 'test | cause | issue'"),
        ([f"test_small.py::test_{n} | a cause | 23" for n in range(4)], "4 lines, 3 at most"),
    ],
)
def test_a_line_that_is_wrong_or_too_many_ends_the_run(tmp_path: Path, lines: list[str], word: str) -> None:
    code, said = run(tmp_path, *lines)
    assert code not in (0, 1) and word in said
