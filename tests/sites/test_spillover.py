"""Tests how a lost site's load is distributed: caps, distances, and conservation of the load."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from snowthread.sites.spillover import MAX_SPARE_SHARE, SpilloverTarget, allocate_spillover

LATENCY_OBJECTIVE_MS = 500.0


@settings(max_examples=200, deadline=None)
@given(
    st.floats(0.0, 1000.0),
    st.dictionaries(
        st.sampled_from("abcdef"),
        st.builds(SpilloverTarget, st.floats(-10.0, 500.0), st.floats(0.0, 400.0)),
        max_size=6,
    ),
)
def test_no_target_exceeds_its_cap_and_no_load_is_lost(
    load: float, targets: dict[str, SpilloverTarget]
) -> None:
    allocation = allocate_spillover(load, targets, LATENCY_OBJECTIVE_MS)
    allocated = sum(allocation.rates_per_s.values())
    assert allocated + allocation.unallocated_per_s == pytest.approx(load, abs=1e-6)
    for name, rate in allocation.rates_per_s.items():
        assert -1e-9 <= rate <= MAX_SPARE_SHARE * targets[name].spare_capacity_per_s + 1e-6
        assert targets[name].round_trip_ms < LATENCY_OBJECTIVE_MS / 2.0
    capacity = sum(
        MAX_SPARE_SHARE * target.spare_capacity_per_s
        for target in targets.values()
        if target.spare_capacity_per_s > 0 and target.round_trip_ms < LATENCY_OBJECTIVE_MS / 2.0
    )
    assert allocation.unallocated_per_s == pytest.approx(max(0.0, load - capacity), abs=1e-6)


def test_a_nearer_target_gets_more() -> None:
    targets = {"near": SpilloverTarget(100.0, 0.0), "far": SpilloverTarget(100.0, 200.0)}
    rates = allocate_spillover(40.0, targets, LATENCY_OBJECTIVE_MS).rates_per_s
    assert rates["near"] > rates["far"] > 0.0


def test_what_exceeds_a_full_target_goes_to_the_others() -> None:
    targets = {"small": SpilloverTarget(10.0, 0.0), "large": SpilloverTarget(100.0, 100.0)}
    rates = allocate_spillover(85.0, targets, LATENCY_OBJECTIVE_MS).rates_per_s
    assert rates["small"] == pytest.approx(8.0)
    assert rates["large"] == pytest.approx(77.0)
