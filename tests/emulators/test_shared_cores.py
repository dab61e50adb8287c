"""Cores that runs share evenly: the time until work ends, and the mean load by which overload is detected."""

from __future__ import annotations

import pytest

from emulators.shared_cores import SharedCores
from snowthread.net.clock import ManualClock
from snowthread.net.loop import EventLoop

STEP_MS = 10.0


class SharedCoresOnManualClock:
    """Shared cores on a clock that the test advances, and the time in ms at which each owner's work ended."""

    def __init__(self, cores: int) -> None:
        self.clock = ManualClock(1000.0)
        self.loop = EventLoop(self.clock)
        self.cores = SharedCores(self.loop, cores)
        self.ended_ms: dict[str, float] = {}

    def add(self, owner: str, duration_ms: float) -> None:
        self.cores.add(owner, duration_ms, lambda: self.ended_ms.update({owner: self.clock.now_ms - 1000.0}))

    def advance(self, ms: float) -> None:
        end_ms = self.clock.now_ms + ms
        while self.clock.now_ms < end_ms:
            self.clock.now_ms += STEP_MS
            self.loop.run_once(0.0)


def test_runs_in_excess_of_the_cores_slow_each_other_down() -> None:
    machine = SharedCoresOnManualClock(cores=2)
    for owner in "abcd":
        machine.add(owner, 100.0)
    machine.advance(190.0)
    assert not machine.ended_ms and len(machine.cores) == 4
    machine.advance(20.0)
    assert machine.ended_ms == pytest.approx(dict.fromkeys("abcd", 200.0), abs=STEP_MS)


def test_removed_run_never_ends_and_the_other_runs_get_its_share() -> None:
    machine = SharedCoresOnManualClock(cores=1)
    machine.add("a", 100.0)
    machine.add("b", 100.0)
    machine.advance(100.0)
    machine.cores.remove("a")
    machine.advance(60.0)
    assert machine.ended_ms == pytest.approx({"b": 150.0}, abs=STEP_MS)
    machine.advance(500.0)
    assert "a" not in machine.ended_ms


def test_work_takes_longer_at_reduced_speed() -> None:
    machine = SharedCoresOnManualClock(cores=1)
    machine.cores.speed = 0.25
    machine.add("a", 100.0)
    machine.advance(500.0)
    assert machine.ended_ms == pytest.approx({"a": 400.0}, abs=STEP_MS)


def test_mean_load_and_utilization_are_measured_over_their_windows() -> None:
    machine = SharedCoresOnManualClock(cores=2)
    machine.advance(1000.0)
    for owner in "abc":
        machine.add(owner, 10_000.0)
    machine.advance(500.0)
    assert machine.cores.mean_runs(2000.0) == pytest.approx(0.75)
    assert machine.cores.utilization() == pytest.approx(1.0)
    machine.cores.clear()
    machine.advance(250.0)
    assert machine.cores.utilization() == pytest.approx(0.5)
    assert len(machine.cores) == 0
