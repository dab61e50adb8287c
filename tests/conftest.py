"""Tests that are known to fail: KNOWN-RED.txt at the root, at most three lines of ``test | cause | issue``.

They run all the same. One that fails is passed over and printed, one that passes is printed as such. A line
too many, one that is not of that form, or one whose test does not exist ends the run.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path("KNOWN-RED.txt")  # below the root of the run
KNOWN_RED_MAX = 3
FIELDS = 3  # of a line: test, cause, issue

_reasons_key = pytest.StashKey[dict[str, str]]()


def parse_known_red(text: str) -> dict[str, str]:
    """Return cause and issue by test; ValueError says which line is wrong."""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > KNOWN_RED_MAX:
        raise ValueError(f"{len(lines)} lines, {KNOWN_RED_MAX} at most")
    reasons = {}
    for line in lines:
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            raise ValueError(f"not 'test | cause | issue': {line}")
        test, cause, issue = fields
        reasons[test] = f"{cause} ({issue})"
    return reasons


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Let the tests of KNOWN-RED.txt fail without failing the run."""
    path = config.rootpath / KNOWN_RED
    try:
        reasons = parse_known_red(path.read_text()) if path.exists() else {}
    except ValueError as error:
        raise pytest.UsageError(f"{KNOWN_RED}: {error}") from None
    config.stash[_reasons_key] = reasons
    collected = {item.nodeid: item for item in items}
    for test, reason in reasons.items():
        if test in collected:
            collected[test].add_marker(pytest.mark.xfail(reason=reason, strict=False))
        elif _is_whole_run(config):
            raise pytest.UsageError(f"{KNOWN_RED}: no such test: {test}")


def _is_whole_run(config: pytest.Config) -> bool:
    """Return whether no tests were chosen: a run of chosen ones can't tell which exist."""
    return not any(
        argument for argument in config.invocation_params.args if not str(argument).startswith("-")
    )


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the outcome of each test of KNOWN-RED.txt."""
    reasons = config.stash.get(_reasons_key, {})
    for outcome, text in (("xfailed", "fails, as known"), ("xpassed", "PASSES: take its line out")):
        for report in terminalreporter.stats.get(outcome, []):
            if report.nodeid in reasons:
                terminalreporter.write_line(f"known red: {report.nodeid}: {text}: {reasons[report.nodeid]}")
