"""Clock offsets: estimated within their error bounds, also if clocks are set or nodes are not linked."""

from __future__ import annotations

from dataclasses import replace

import pytest
from support.incident_days import ONE_CRASH, reconstruct

from emulators.recorded_incidents import DAY_BEGIN_S, generate_day
from snowthread.records.model import Record

STEP_MS = 8000.0
LAST_BEFORE_STEP = 120  # number of the last record before the clock is set back


@pytest.mark.parametrize("seed", range(8))
def test_offsets_and_drifts_are_found_within_their_bounds(seed: int) -> None:
    day = generate_day(seed, nodes=5, seconds=300, offset_ms=3000.0, drift_ppm=200.0)
    (first_segment, first), *others = reconstruct(day).clocks.offsets.items()
    true_first = day.clocks[first_segment.node]
    for segment, found in others:  # only differences between nodes can be estimated
        true_offset_ms = day.clocks[segment.node].offset_ms - true_first.offset_ms
        true_drift_ppm = day.clocks[segment.node].drift_ppm - true_first.drift_ppm
        truth_ms = true_offset_ms + true_drift_ppm * 1e-3 * (found.at / 1000.0 - DAY_BEGIN_S)
        error_ms = found.offset_ms - first.offset_ms - truth_ms
        assert abs(error_ms) <= found.bound_ms + first.bound_ms, (segment, error_ms, found, first)
        assert abs(found.drift_ppm - first.drift_ppm - true_drift_ppm) < 40.0
        assert found.bound_ms < 100.0 and found.group == first.group


def set_back(record: Record) -> Record:
    """Return the record with the time and request ages of a clock that was set back by STEP_MS."""
    fields = record.fields
    if "floors" in fields:
        ages = {caller: age_ms - STEP_MS for caller, age_ms in fields["floors"].items()}
        fields = fields | {"floors": ages}
    return replace(record, at_ms=record.at_ms - STEP_MS, fields=fields)


def test_a_clock_that_steps_back_begins_a_new_segment() -> None:
    day = generate_day(2, nodes=3, seconds=240)
    day.records["n1"] = [
        set_back(record) if record.number > LAST_BEFORE_STEP else record for record in day.records["n1"]
    ]
    reconstruction = reconstruct(day)
    offsets = {
        segment.part: offset
        for segment, offset in reconstruction.clocks.offsets.items()
        if segment.node == "n1"
    }
    assert set(offsets) == {0, 1} and abs(offsets[0].offset_ms - offsets[1].offset_ms - STEP_MS) < 100.0
    assert not reconstruction.timeline.sentences


def test_nodes_without_common_balancers_are_reported_as_not_ordered() -> None:
    day = generate_day(1, nodes=2, seconds=120, faults=ONE_CRASH)
    for record in day.records["n1"]:
        if "floors" in record.fields:
            ages = record.fields["floors"]
            record.fields["floors"] = {caller + 100: age_ms for caller, age_ms in ages.items()}
    reconstruction = reconstruct(day)
    assert len({offset.group for offset in reconstruction.clocks.offsets.values()}) == 2
    assert any("not linked by requests" in line for line in reconstruction.timeline.unknown)
