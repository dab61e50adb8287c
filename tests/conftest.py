"""Tests that are known to fail: KNOWN-RED.txt at the root, at most three lines of ``test | cause | issue``.

They run all the same. One that fails is passed over and printed, one that passes is printed as such. A line
too many, one that is not of that form, or one whose test is not there ends the run.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path("KNOWN-RED.txt")  # below the root of the run
MOST = 3

_known = pytest.StashKey[dict[str, str]]()


def read(text: str) -> dict[str, str]:
    """Test to cause and issue; ValueError says which line is wrong."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise ValueError(f"{len(lines)} lines, {MOST} at most")
    known = {}
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"not 'test | cause | issue': {line}")
        known[parts[0]] = f"{parts[1]} ({parts[2]})"
    return known


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    path = config.rootpath / KNOWN_RED
    try:
        known = config.stash[_known] = read(path.read_text()) if path.exists() else {}
    except ValueError as error:
        raise pytest.UsageError(f"{KNOWN_RED}: {error}") from None
    there = {item.nodeid: item for item in items}
    whole = not any(arg for arg in config.invocation_params.args if not str(arg).startswith("-"))
    for name, why in known.items():
        if name in there:
            there[name].add_marker(pytest.mark.xfail(reason=why, strict=False))
        elif whole:  # a run of chosen tests can't tell
            raise pytest.UsageError(f"{KNOWN_RED}: no such test: {name}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    known = config.stash.get(_known, {})
    for kind, what in (("xfailed", "fails, as known"), ("xpassed", "PASSES: take its line out")):
        for report in terminalreporter.stats.get(kind, []):
            if report.nodeid in known:
                terminalreporter.write_line(f"known red: {report.nodeid}: {what}: {known[report.nodeid]}")
