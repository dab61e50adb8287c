"""What is recalled at a start, and what is forgotten once too old."""

from __future__ import annotations

import pytest

from snowthread.admission import learned_state as recall
from snowthread.admission.controller import Controller
from snowthread.admission.interface import Arrival, Outcome, RequestClass, RunEnded, Settings, Started

CLASSES = (RequestClass("match", goal_s=3.0, deadline_s=9.0),
           RequestClass("recalc", goal_s=2.0, deadline_s=6.0))


def controller(cold: bool = False) -> Controller:
    made = Controller(Settings(classes=CLASSES, cores=2, memory_kb=1e6, cold=cold, cold_share=0.25,
                               ramp_s=8.0), 1)
    made.handle(1.0, Started())
    return made


def runs(made: Controller, took_s: float, count: int, at: float = 1.0) -> float:
    for n in range(count):
        for number, kind in enumerate(CLASSES):
            made.handle(at, Arrival(1 + n * 2 + number, kind.name, left_s=9.0))
        at += took_s
        for number in range(2):
            made.handle(at, RunEnded(1 + n * 2 + number, Outcome.SUCCESS, took_s))
    return at


def test_what_was_learned_comes_back_slower_by_the_cold_machines_speed() -> None:
    warm = controller()
    runs(warm, 0.3, 30)
    known = recall.learned(warm)
    assert known.times["match"].core_s == pytest.approx(0.3, rel=0.1)
    assert known.times["match"].wall_s >= known.times["match"].core_s
    fresh = controller(cold=True)
    recall.restore(fresh, known, 0.25)
    est = fresh.est
    assert est.core_s[0] * est.work(0, None) == pytest.approx(4 * known.times["match"].core_s)
    assert est.mu == 0.0 and est.best_speed == 0.0 and fresh.b == 0.0  # a warm machine's: stale here
    assert recall.quick(fresh, known, 1.25) is False


def test_recalling_never_replaces_what_this_life_has_measured() -> None:
    warm, other = controller(), controller()
    runs(warm, 0.3, 30)
    runs(other, 0.6, 30)
    before = list(other.est.core_s)
    recall.restore(other, recall.learned(warm), 0.25)
    assert other.est.core_s == before


def test_run_times_that_nothing_confirms_are_gone_after_their_bound() -> None:
    made = controller()
    end = runs(made, 1.8, 5)
    ages = recall.Ages(recall.Recalled({}))
    ages.tick(made, end + 0.4)
    assert made.est.wall_s[0] > 0.0
    assert recall.oldest_s(made, end + 0.4)["recalc"] == pytest.approx(0.4)
    ages.tick(made, end + 6.1)
    assert made.est.wall_s == [0.0, 0.0] and ages.decayed == 2
    assert recall.oldest_s(made, end + 9.0) == {}


def test_run_times_go_to_what_was_recalled_where_something_was() -> None:
    made = controller()
    end = runs(made, 1.8, 5)
    ages = recall.Ages(recall.Recalled({"match": recall.Times(0.3, 0.5, 0.1)}))
    for tick in range(40):
        ages.tick(made, end + tick * 0.25)
    work = made.est.work(0, None)
    assert made.est.core_s[0] * work == pytest.approx(0.3) and made.est.wall_s[0] * work == pytest.approx(0.5)


def test_a_service_rate_of_the_cold_machine_is_not_kept_once_runs_are_quicker() -> None:
    made = controller()
    end = runs(made, 0.3, 30)
    made.est.mu = 0.5
    ages = recall.Ages(recall.Recalled({}))
    ages.tick(made, end)
    assert made.est.mu == 0.5
    ages.tick(made, end + 1.1)
    assert made.est.mu == pytest.approx(made.est.at_full(made.est.core_s))


def test_the_machines_speed_goes_with_its_age() -> None:
    assert recall.speed(controller(), 1.0) == 1.0
    cold = controller(cold=True)
    assert recall.speed(cold, 1.0) == 0.25 and recall.speed(cold, 5.0) == pytest.approx(0.625)
    assert recall.speed(cold, 50.0) == 1.0
