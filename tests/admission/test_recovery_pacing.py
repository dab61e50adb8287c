"""A cold node's ramp, its backoff, its share of cold calls, and values that grow old."""

from __future__ import annotations

import random

import pytest

from snowthread.admission.recovery_pacing import (
    WAITING_MOST,
    Backoff,
    CallBudget,
    CallPermission,
    RecoveryPacer,
    SlowStart,
)


def test_the_ramp_starts_at_one_and_doubles_a_round_on_success() -> None:
    ramp = SlowStart(max_window=16.0)
    widths = []
    for _ in range(4):
        width = int(ramp.window)
        widths.append(width)
        for _ in range(width):
            ramp.success(0.0)
    assert widths == [1, 2, 4, 8] and ramp.admits(15) and not ramp.admits(16)


def test_a_loss_halves_the_window_and_growth_goes_on_slowly_after() -> None:
    ramp = SlowStart(max_window=64.0)
    for _ in range(15):
        ramp.success(0.0)
    assert ramp.window == 16.0
    ramp.loss(0.0)
    assert ramp.window == 8.0 and ramp.loss_count == 1
    for _ in range(8):
        ramp.success(0.0)
    assert 8.9 < ramp.window < 9.1  # one a round over the threshold
    for _ in range(10):
        ramp.loss(0.0)
    assert ramp.window == 1.0 and ramp.admits(0)


def test_the_ramp_is_full_only_after_it_held_the_ceiling() -> None:
    ramp = SlowStart(max_window=2.0, settle_ms=1000.0)
    ramp.success(0.0)
    ramp.success(500.0)
    assert not ramp.complete
    ramp.success(1500.0)
    assert ramp.complete and ramp.admits(1000)
    ramp.loss(1600.0)
    assert not ramp.complete and not ramp.admits(1)


def test_a_ramp_that_could_not_grow_is_refused() -> None:
    with pytest.raises(ValueError):
        SlowStart(max_window=0.5)
    with pytest.raises(ValueError):
        SlowStart(max_window=4.0, backoff_factor=1.0)


def test_backoff_stays_within_base_and_cap_and_spreads_those_who_failed_together() -> None:
    draws = [random.Random(seed) for seed in range(100)]
    backoffs = [Backoff(base_ms=50.0, cap_ms=2000.0) for _ in draws]
    for _ in range(6):
        sleeps = [backoff.next_delay_ms(draw) for backoff, draw in zip(backoffs, draws, strict=True)]
        assert all(50.0 <= sleep <= 2000.0 for sleep in sleeps)
    assert len({round(sleep) for sleep in sleeps}) > 60  # not all at one moment
    backoffs[0].reset()
    assert backoffs[0].delay_ms == 50.0


def test_cold_calls_of_the_whole_fleet_stay_within_its_budget() -> None:
    nodes = 160
    budgets = [CallBudget(fleet_per_s=400.0, prior_ms=5.0) for _ in range(nodes)]
    for budget in budgets:
        budget.set_sharing_nodes(nodes)
    calls = 0
    for step in range(1000):  # ten seconds, each node asking every 10 ms
        calls += sum(budget.try_acquire(step * 10.0) for budget in budgets)
    assert calls <= 400.0 * 10 + nodes  # the first token of each bucket is the only excess
    assert calls >= 400.0 * 9


def test_a_slow_database_halves_the_share_and_it_grows_back() -> None:
    budget = CallBudget(fleet_per_s=100.0, prior_ms=5.0)
    budget.try_acquire(0.0)
    budget.record_latency(0.0, took_ms=40.0)
    assert budget.rate() == 50.0
    budget.record_latency(10.0, took_ms=40.0)
    assert budget.rate() == pytest.approx(50.1)  # made before the cut: it tells nothing new
    budget.try_acquire(4000.0)
    assert budget.rate() == pytest.approx(90.0)
    budget.record_latency(4000.0, took_ms=4.0)
    assert budget.rate() == pytest.approx(99.0)


def way(sharing: int = 1, slots: float = 2.0, per_s: float = 1000.0) -> RecoveryPacer:
    made = RecoveryPacer(
        SlowStart(4.0, 2.0), CallBudget(per_s, 10.0, burst_s=0.5), Backoff(), slots, random.Random(1)
    )
    made.update_fleet(sharing, sharing)
    return made


def test_calls_in_hand_stay_within_the_nodes_part_of_the_slots() -> None:
    one = way(sharing=1, slots=2.0)
    words = [one.request_call(1000.0, f"u{n}", 0, False, 2000.0) for n in range(4)]
    assert words == [
        CallPermission.GRANTED,
        CallPermission.QUEUED,
        CallPermission.QUEUED,
        CallPermission.QUEUED,
    ] or words[:2] == [CallPermission.GRANTED, CallPermission.GRANTED]
    for at in range(1001, 1100):
        one.release_calls(float(at))
        assert len(one.calls_in_flight) <= 2
    one.call_ended(1100.0, "u0", True, True)
    assert one.release_calls(1101.0)[0]


def test_fleets_of_any_size_together_keep_to_the_slots_in_the_mean() -> None:
    for nodes in (3, 7, 40):
        fleet = [way(sharing=nodes, slots=60.0) for _ in range(nodes)]
        held = []
        for step in range(50):
            for number, node in enumerate(fleet):
                node.request_call(step * 10.0, f"{number}-{step}", 0, True, 0.0)
            held.append(sum(len(node.calls_in_flight) for node in fleet))
            for node in fleet:  # the oldest comes back
                if len(node.calls_in_flight) > 1:
                    node.call_ended(step * 10.0, next(iter(node.calls_in_flight)), True, True)
        assert max(held) <= 60.0 * 1.5 + nodes


def test_a_call_given_up_still_takes_its_place_for_as_long_as_calls_take() -> None:
    one = way(slots=1.0)
    assert one.request_call(0.0, "a", 0, False, 500.0) is CallPermission.GRANTED
    one.call_cancelled(2.0, "a")
    assert one.request_call(3.0, "b", 0, False, 500.0) is CallPermission.QUEUED
    assert one.release_calls(9.0) == ([], []) and one.release_calls(11.0) == (["b"], [])


def test_runs_that_had_most_calls_go_first_and_who_waits_too_long_is_told() -> None:
    one = way(slots=1.0)
    one.request_call(0.0, "first", 0, False, 500.0)
    for uid, made, until in (("new", 0, 400.0), ("far", 3, 450.0), ("late", 1, 20.0)):
        assert one.request_call(1.0, uid, made, False, until) is CallPermission.QUEUED
    one.call_ended(30.0, "first", True, True)
    assert one.release_calls(30.0) == (["far"], ["late"]) and one.denied_calls == 1


def test_what_can_be_skipped_never_waits_and_never_passes_who_does() -> None:
    one = way(slots=1.0)
    one.request_call(0.0, "a", 0, False, 500.0)
    assert one.request_call(1.0, "s", 0, True, 500.0) is CallPermission.DENIED
    one.request_call(1.0, "b", 0, False, 500.0)
    one.call_ended(2.0, "a", True, True)
    assert one.request_call(2.0, "t", 0, True, 500.0) is CallPermission.DENIED  # b waits
    for n in range(WAITING_MOST + 5):
        one.request_call(2.0, f"w{n}", 0, False, 500.0)
    assert len(one.queued_calls) == WAITING_MOST


def test_a_database_that_takes_no_connection_is_left_alone_for_a_growing_while() -> None:
    one, tries, now = way(slots=4.0), 0, 0.0
    while now < 60_000.0:
        if one.request_call(now, f"u{now}", 0, True, now) is CallPermission.GRANTED:
            tries += 1
            one.call_ended(now, f"u{now}", False, False)
        now += 10.0
    assert 12 <= tries <= 120  # of 6,000 moments


def test_a_warm_node_holds_nothing_back_until_others_are_cold() -> None:
    one = way(sharing=5, slots=5.0)
    one.slow_start.complete = True
    one.update_fleet(5, 0)
    assert not one.is_pacing and {one.request_call(0.0, f"u{n}", 0, True, 1.0) for n in range(50)} == {
        CallPermission.GRANTED
    }
    one.update_fleet(5, 3)
    assert one.is_pacing and one.request_call(0.0, "more", 0, True, 1.0) is CallPermission.DENIED


def test_losses_of_one_moment_cut_the_window_once() -> None:
    one = way()
    one.slow_start = SlowStart(16.0, 2.0, window=16.0)
    for _ in range(5):
        one.run_ended(100.0, False, 500.0)
    assert one.slow_start.window == 8.0
    one.run_ended(700.0, False, 500.0)
    assert one.slow_start.window == 4.0


def test_a_machine_known_to_be_cold_is_not_full_whatever_the_window() -> None:
    ramp = SlowStart(4.0, 2.0, settle_ms=100.0, held_open=True)
    for at in range(0, 2000, 50):
        ramp.success(float(at))
    assert ramp.window == 4.0 and not ramp.complete
    ramp.held_open = False
    ramp.success(2000.0)
    assert ramp.complete


def test_calls_given_up_by_a_warm_node_leave_nothing_behind() -> None:
    one = way()
    one.slow_start.complete = True
    for n in range(5000):
        one.request_call(n * 10.0, f"u{n}", 0, False, n * 10.0 + 500.0)
        one.call_cancelled(n * 10.0 + 5.0, f"u{n}")
    assert not one.calls_in_flight and len(one.abandoned_until_ms) <= 2
