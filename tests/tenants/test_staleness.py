"""Staleness stages follow the age of the tenant data."""

from __future__ import annotations

from snowthread.tenants.staleness import StalenessRules, StalenessStage, StalenessTracker


def test_the_stage_follows_the_age_and_is_reported_once() -> None:
    tracker = StalenessTracker(StalenessRules(stale_ms=1000.0, old_ms=5000.0))
    assert tracker.take_stage_change(0.0) is None and tracker.stage(0.0) is StalenessStage.NONE
    tracker.confirm(100.0)
    stages = [tracker.take_stage_change(now) for now in (100.0, 1100.0, 1101.0, 5100.0, 5101.0)]
    assert stages == [StalenessStage.FRESH, None, StalenessStage.STALE, None, StalenessStage.OLD]
    tracker.confirm(6000.0)
    assert tracker.take_stage_change(6000.0) is StalenessStage.FRESH


def test_a_clock_set_back_makes_nothing_older() -> None:
    tracker = StalenessTracker(StalenessRules())
    tracker.confirm(100.0)
    assert tracker.age_ms(50.0) == 0.0
