"""The simulator's messages: translation, faults, and the end of the input."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from snowthread.admission.controller import Controller
from snowthread.admission.settings import Idempotency, LoadReportKind, Preemption
from snowthread.admission.simulator_adapter import SimulatorAdapter, parse_settings

FACTS: dict[str, Any] = {
    "classes": [
        {"name": "a", "goal_time_s": 1.0, "deadline_s": 3.0, "effect": "read_like", "importance": 1.0}
    ],
    "domain": {"cores": 2, "memory_kb": 1000.0, "run_factor": 4.0, "say": "silent", "something_new": 1},
    "rules": {"fall_multiple": 3.0},
    "unheard_of": {},
}
BOOT = {"boot": {"i": "worker/1", "prng": 7, "facts": FACTS}}


def process_batches(*batches: list[dict[str, Any]]) -> list[list[dict[str, Any]]]:
    adapter = SimulatorAdapter()
    return [
        json.loads(adapter.process_batch(json.dumps({"now_s": 1.0 + n, "events": b}).encode()))["out"]
        for n, b in enumerate(batches)
    ]


def test_boot_and_run() -> None:
    request = {"accept": {"i": "worker/1", "op_id": 5, "category": "a", "held_kb": 8.0}}
    _, reply = process_batches([BOOT], [request])
    assert {"run": {"i": "worker/1", "op_id": 5}} in reply


def test_unknown_events_and_events_after_down_are_ignored() -> None:
    _, reply, reply_after_down = process_batches(
        [BOOT],
        [{"novelty": {"i": "worker/1"}}],
        [{"down": {"i": "worker/1"}}, {"expired": {"i": "worker/1", "op_id": 3}}],
    )
    assert reply == [] and reply_after_down == []


def test_malformed_line_and_bad_settings_become_the_fault_message() -> None:
    assert "bug" in json.loads(SimulatorAdapter().process_batch(b"{"))["out"][0]
    bad = {"boot": {"i": "worker/1", "prng": 1, "facts": {**FACTS, "classes": []}}}
    (reply,) = process_batches([bad])
    assert "classes" in reply[0]["bug"]["words"]


def test_settings_that_are_absent_or_unknown_get_defaults() -> None:
    classes = [{"name": "a", "goal_time_s": 1.0, "deadline_s": 3.0, "effect": "novel"}]
    domain = {
        "cores": 2,
        "memory_kb": 1000.0,
        "say": "weight",
        "readiness": False,
        "preemption": "silent",
        "passes_deadline": False,
        "tells_gone": True,
        "heard_for_s": None,
    }
    projects = [{"name": "t"}, {"name": "u", "quota_per_s": 3}]
    facts = {
        "classes": classes,
        "domain": domain,
        "projects": projects,
        "telemetry": {"how": "piggyback", "fields": ["tps"]},
        "callers": {"marks_retry": True},
    }
    settings = parse_settings(facts)
    assert (
        settings.load_report_kind is LoadReportKind.WEIGHT
        and settings.preemption is Preemption.NONE
        and settings.marks_retries
    )
    assert settings.classes[0].idempotency is Idempotency.NON_IDEMPOTENT and [
        t.quota_per_s for t in settings.tenants
    ] == [
        0.0,
        3,
    ]
    assert settings.load_report_ttl_s == 0.0
    unknown = parse_settings({**facts, "domain": {**domain, "say": "whisper", "preemption": "ask"}})
    assert unknown.load_report_kind is LoadReportKind.NONE and unknown.preemption is Preemption.NONE
    Controller(unknown, seed=1)
    with pytest.raises(KeyError, match="goal_time_s"):
        parse_settings({**facts, "classes": [{"name": "a", "deadline_s": 3.0}]})


def test_end_of_input_exits_cleanly() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "snowthread.admission.simulator_adapter"],
        input=b'{"now_s":1,"events":[]}\n',
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 0 and done.stdout == b'{"out":[]}\n'
