"""Tests the figures of a run's summary: when service has recovered, and what the nodes found at start."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from snowthread.lab import state_damage
from snowthread.lab.record_summary import summarize_records
from snowthread.lab.service_recovery import ServiceRecovery, measure_recovery, smooth
from snowthread.records.model import Record


def test_smoothing_takes_the_mean_with_both_neighbours() -> None:
    assert smooth([0.0, 3.0, 6.0, 3.0]) == [1.5, 3.0, 4.0, 4.5]
    assert smooth([]) == []


@pytest.mark.parametrize(
    ("service", "fault_s", "expected"),
    [
        # Smoothed over three seconds, the dip in seconds 3 and 4 ends in second 6, 3 s after the fault.
        ([1.0, 1.0, 1.0, 0.0, 0.0, 1.0, 1.0, 1.0, 1.0, 1.0], 3.0, ServiceRecovery(3.0, 0)),
        ([1.0, 1.0, 1.0, 0.0, 0.0, 1.0, 1.0, 1.0, 1.0, 1.0], 3.5, ServiceRecovery(2.5, 0)),
        # Full for three seconds, then a second dip, which smoothing spreads to the neighboring seconds.
        ([1.0, 1.0, 0.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.0, 1.0, 1.0], 2.0, ServiceRecovery(2.0, 3)),
        ([1.0, 1.0, 1.0, 0.5, 0.5, 0.5, 0.5], 3.0, ServiceRecovery(None, 0)),
        ([1.0, 1.0, 1.0], 9.0, ServiceRecovery(None, 0)),  # The fault is after the end of the run.
    ],
)
def test_service_has_recovered_once_three_seconds_reach_the_baseline(
    service: list[float], fault_s: float, expected: ServiceRecovery
) -> None:
    assert measure_recovery(service, fault_s, baseline=1.0) == expected


def record(kind: str, **fields: Any) -> Record:
    return Record("n1", "boot", 1, 0.0, kind, fields)


@pytest.mark.parametrize(
    ("prefix", "key_log", "incarnation", "write"),
    [("recovery", "key_log", "incarnation", "write_failed"), ("comeback", "ring", "life", "write")],
    ids=["present names", "names before 2026-12-02"],
)
def test_findings_of_starts_are_counted_by_event_and_verdict(
    prefix: str, key_log: str, incarnation: str, write: str
) -> None:
    summary = summarize_records(
        [
            record("note", event=f"{prefix}.{key_log}", verdict="whole"),
            record("note", event=f"{prefix}.{key_log}", verdict="whole"),
            record("note", event=f"{prefix}.snapshot", verdict="torn"),
            record("note", event=f"{prefix}.{incarnation}"),
            # A failed write of a snapshot or an incarnation says nothing about a start.
            record("note", event=f"{prefix}.{write}"),
            record("note", event="node.started"),
            record("note"),
        ]
    )
    assert summary["starts"] == {"ring whole": 2, "snapshot torn": 1, "life": 1}


def test_requests_read_with_old_run_times_are_stale_decisions() -> None:
    summary = summarize_records(
        [
            record("start", classes=[["match", 1000.0, 0]]),
            record("second", totals=[["match", 0, {"read": 5}]], run_ages_s={"match": 2.2}),
            record("second", totals=[["match", 0, {"read": 3}]], run_ages_s={"match": 2.3}),
            record("second", totals=[["match", 0, {"read": 2}]]),
            record("second", totals=[["other", 0, {"read": 1}]], run_ages_s={"other": 99.0}),
        ]
    )
    assert summary["stale_decisions"] == 3 and summary["decisions"] == 11


def test_state_damage_changes_one_byte_halves_or_deletes_each_file(tmp_path: Path) -> None:
    state = tmp_path / "state"
    (state / "inner").mkdir(parents=True)
    data = bytes(range(100))
    files = [state / "a", state / "inner" / "b"]
    for path in files:
        path.write_bytes(data)
    (state / "empty").write_bytes(b"")

    state_damage.corrupt_files(state)
    for path in files:
        assert sum(new != old for new, old in zip(path.read_bytes(), data, strict=True)) == 1
    state_damage.truncate_files(state)
    assert [path.stat().st_size for path in files] == [50, 50]
    state_damage.delete_contents(state)
    assert state.is_dir() and not list(state.iterdir())
