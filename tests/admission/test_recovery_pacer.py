"""The pacing of a recovering node's calls and runs."""

from __future__ import annotations

import random

import pytest

from snowthread.admission.backoff import Backoff
from snowthread.admission.call_budget import CallBudget
from snowthread.admission.recovery_pacer import MAX_QUEUED_CALLS, CallPermission, RecoveryPacer
from snowthread.admission.slow_start import SlowStart


def recovery_pacer(sharing_nodes: int = 1, slots: float = 2.0, per_s: float = 1000.0) -> RecoveryPacer:
    pacer = RecoveryPacer(
        SlowStart(4.0, 2.0), CallBudget(per_s, 10.0, burst_s=0.5), Backoff(), slots, random.Random(1)
    )
    pacer.update_fleet(sharing_nodes, sharing_nodes)
    return pacer


def test_calls_in_flight_stay_within_the_slots_of_the_node() -> None:
    pacer = recovery_pacer(sharing_nodes=1, slots=2.0)
    permissions = [pacer.request_call(1000.0, f"u{n}", 0, False, 2000.0) for n in range(4)]
    assert permissions == [
        CallPermission.GRANTED,
        CallPermission.QUEUED,
        CallPermission.QUEUED,
        CallPermission.QUEUED,
    ] or permissions[:2] == [CallPermission.GRANTED, CallPermission.GRANTED]
    for now_ms in range(1001, 1100):
        pacer.release_calls(float(now_ms))
        assert len(pacer.calls_in_flight) <= 2
    pacer.call_ended(1100.0, "u0", True, True)
    assert pacer.release_calls(1101.0)[0]


@pytest.mark.parametrize("nodes", [3, 7, 40])
def test_calls_in_flight_of_a_whole_fleet_never_exceed_its_slots_by_much(nodes: int) -> None:
    pacers = [recovery_pacer(sharing_nodes=nodes, slots=60.0) for _ in range(nodes)]
    in_flight = []
    for step in range(50):
        for number, pacer in enumerate(pacers):
            pacer.request_call(step * 10.0, f"{number}-{step}", 0, True, 0.0)
        in_flight.append(sum(len(pacer.calls_in_flight) for pacer in pacers))
        for pacer in pacers:  # the oldest call ends
            if len(pacer.calls_in_flight) > 1:
                pacer.call_ended(step * 10.0, next(iter(pacer.calls_in_flight)), True, True)
    assert max(in_flight) <= 60.0 * 1.5 + nodes


def test_a_call_that_was_given_up_keeps_its_slot_for_the_usual_call_time() -> None:
    pacer = recovery_pacer(slots=1.0)
    assert pacer.request_call(0.0, "a", 0, False, 500.0) is CallPermission.GRANTED
    pacer.call_cancelled(2.0, "a")
    assert pacer.request_call(3.0, "b", 0, False, 500.0) is CallPermission.QUEUED
    assert pacer.release_calls(9.0) == ([], []) and pacer.release_calls(11.0) == (["b"], [])


def test_runs_with_most_calls_go_first_and_calls_that_wait_too_long_expire() -> None:
    pacer = recovery_pacer(slots=1.0)
    pacer.request_call(0.0, "first", 0, False, 500.0)
    for attempt_id, calls_made, expires_at_ms in (
        ("no calls", 0, 400.0),
        ("most calls", 3, 450.0),
        ("expired", 1, 20.0),
    ):
        assert pacer.request_call(1.0, attempt_id, calls_made, False, expires_at_ms) is CallPermission.QUEUED
    pacer.call_ended(30.0, "first", True, True)
    assert pacer.release_calls(30.0) == (["most calls"], ["expired"]) and pacer.denied_calls == 1


def test_skippable_calls_are_never_queued_and_never_overtake_queued_calls() -> None:
    pacer = recovery_pacer(slots=1.0)
    pacer.request_call(0.0, "in flight", 0, False, 500.0)
    assert pacer.request_call(1.0, "skippable 1", 0, True, 500.0) is CallPermission.DENIED
    pacer.request_call(1.0, "queued", 0, False, 500.0)
    pacer.call_ended(2.0, "in flight", True, True)
    assert pacer.request_call(2.0, "skippable 2", 0, True, 500.0) is CallPermission.DENIED
    for n in range(MAX_QUEUED_CALLS + 5):
        pacer.request_call(2.0, f"queued {n}", 0, False, 500.0)
    assert len(pacer.queued_calls) == MAX_QUEUED_CALLS


def test_an_unreachable_database_is_retried_after_growing_delays() -> None:
    pacer, attempts, now = recovery_pacer(slots=4.0), 0, 0.0
    while now < 60_000.0:
        if pacer.request_call(now, f"u{now}", 0, True, now) is CallPermission.GRANTED:
            attempts += 1
            pacer.call_ended(now, f"u{now}", False, False)
        now += 10.0
    assert 12 <= attempts <= 120  # out of 6,000 possible attempts


def test_a_warm_node_paces_nothing_until_others_are_cold() -> None:
    pacer = recovery_pacer(sharing_nodes=5, slots=5.0)
    pacer.slow_start.is_complete = True
    pacer.update_fleet(5, 0)
    assert not pacer.is_pacing and {pacer.request_call(0.0, f"u{n}", 0, True, 1.0) for n in range(50)} == {
        CallPermission.GRANTED
    }
    pacer.update_fleet(5, 3)
    assert pacer.is_pacing and pacer.request_call(0.0, "more", 0, True, 1.0) is CallPermission.DENIED


def test_losses_at_the_same_time_cut_the_window_once() -> None:
    pacer = recovery_pacer()
    pacer.slow_start = SlowStart(16.0, 2.0, window=16.0)
    for _ in range(5):
        pacer.run_ended(100.0, False, 500.0)
    assert pacer.slow_start.window == 8.0
    pacer.run_ended(700.0, False, 500.0)
    assert pacer.slow_start.window == 4.0


def test_calls_given_up_by_a_warm_node_are_not_kept_in_memory() -> None:
    pacer = recovery_pacer()
    pacer.slow_start.is_complete = True
    for n in range(5000):
        pacer.request_call(n * 10.0, f"u{n}", 0, False, n * 10.0 + 500.0)
        pacer.call_cancelled(n * 10.0 + 5.0, f"u{n}")
    assert not pacer.calls_in_flight and len(pacer.given_up_until_ms) <= 2
