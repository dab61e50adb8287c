"""The controller makes exactly the decisions in the recorded traces."""

from __future__ import annotations

import json
from itertools import zip_longest
from pathlib import Path

import pytest
from support.admission_scenarios import SCENARIOS, Scenario
from support.decision_trace import ACTION_KINDS, EVENT_KINDS, read_trace, trace_lines, trace_path

DATA = Path(__file__).parent / "data"


@pytest.mark.parametrize("scenario", SCENARIOS, ids=[scenario.name for scenario in SCENARIOS])
def test_decisions_are_those_recorded(scenario: Scenario) -> None:
    recorded = read_trace(trace_path(DATA, scenario))
    replayed = trace_lines(scenario)
    for number, (recorded_line, replayed_line) in enumerate(
        zip_longest(recorded, replayed, fillvalue="(no line)"), start=1
    ):
        if recorded_line != replayed_line:
            pytest.fail(
                f"line {number} differs\nrecorded: {recorded_line}\nreplayed: {replayed_line}", pytrace=False
            )


def test_recorded_traces_hold_every_kind_of_event_and_action() -> None:
    steps = [json.loads(line) for scenario in SCENARIOS for line in read_trace(trace_path(DATA, scenario))]
    actions = [action for step in steps for action in step["actions"]]
    assert {step["event"] for step in steps} == EVENT_KINDS
    assert {action["action"] for action in actions} == ACTION_KINDS
    rejections = [action for action in actions if action["action"] == "reject"]
    assert {rejection["last"] for rejection in rejections} == {True, False}
    assert any(
        rejection["retry-after"] > 0.0 for rejection in rejections
    )  # Retry-After is sent only while requests are blocked
