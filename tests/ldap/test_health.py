"""Which server is asked and when again: budgets, breakers, order, and a reaction for each code."""

from __future__ import annotations

import random

import pytest

from snowthread.ldap.health import (
    Breaker,
    Budget,
    Circuit,
    Reaction,
    RetryPolicy,
    Servers,
    backoff_ms,
    reaction,
)

P = RetryPolicy(
    pause_ms=100.0,
    pause_most_ms=10_000.0,
    budget_share=0.2,
    budget_floor_per_s=0.1,
    budget_saved=5.0,
    failures=3,
    open_ms=1000.0,
    open_most_ms=8000.0,
)


@pytest.mark.parametrize(
    ("code", "what"),
    [
        (0, Reaction.DONE),
        (3, Reaction.AGAIN),
        (4, Reaction.SMALLER),
        (10, Reaction.ELSEWHERE),
        (12, Reaction.WITHOUT),
        (49, Reaction.OPERATOR),
        (51, Reaction.AGAIN),
        (52, Reaction.ELSEWHERE),
        (4096, Reaction.RESTART),
        (9999, Reaction.ELSEWHERE),
    ],
)
def test_each_result_has_its_reaction(code: int, what: Reaction) -> None:
    assert reaction(code) is what


def test_repeats_are_a_share_of_first_tries_however_many_there_are() -> None:
    budget, sent = Budget(P, 0.0), 0
    for _ in range(1000):  # all at one instant: the floor in time adds nothing
        budget.first()
        sent += budget.again(0.0) == 0.0
    assert 200 <= sent <= 206


def test_a_quiet_client_may_still_try_now_and_then() -> None:
    budget = Budget(P, 0.0)
    sent = [t for t in range(0, 100_000, 100) if budget.again(float(t)) == 0.0]
    assert 5 + 9 <= len(sent) <= 5 + 10  # what was saved, then one in ten seconds
    budget.again(100_000.0)
    wait = budget.again(100_001.0)
    assert 9_000.0 < wait <= 10_000.0 and budget.again(100_002.0 + wait) == 0.0


def test_jitter_is_full_and_capped() -> None:
    rng = random.Random(3)
    for attempt, cap in ((1, 100.0), (4, 800.0), (30, 10_000.0), (10_000, 10_000.0)):
        seen = [backoff_ms(attempt, P, rng) for _ in range(400)]
        assert min(seen) < cap * 0.05 and cap * 0.95 < max(seen) <= cap


def test_a_breaker_opens_lets_one_probe_through_and_opens_longer() -> None:
    b = Breaker(P)
    assert [b.failed(0.0) for _ in range(3)] == [False, False, True]
    assert b.state(999.0) is Circuit.OPEN and not b.lets(999.0)
    assert b.state(1000.0) is Circuit.HALF_OPEN and b.lets(1000.0)
    b.begin(1000.0)
    assert not b.lets(1000.0)  # one probe at a time
    assert b.failed(1100.0) and b.until == 1100.0 + 2000.0
    for _ in range(6):
        b.begin(b.until)
        b.failed(b.until)
    assert b.until < 1e9 and b.state(b.until - 1.0) is Circuit.OPEN
    b.begin(b.until)
    b.succeeded()
    assert b.state(0.0) is Circuit.CLOSED and b.lets(0.0)


def test_servers_go_in_order_and_a_failure_moves_on() -> None:
    s = Servers(("a", "b", "c"), P, 0.0)
    assert s.choose(0.0) == 0
    s.succeeded(0)
    assert s.choose(1.0) == 0  # the one in use stays
    s.failed(0, 1.0)
    assert s.choose(1.0) == 1 and s.fail_overs == 1
    s.failed(1, 1.0, Reaction.AGAIN)  # busy: the same one after a pause
    assert s.choose(2.0) == 1
    s.failed(1, 2.0, Reaction.OPERATOR)  # only people can help: left alone at once
    assert s.breakers[1].state(2.0) is Circuit.OPEN and s.choose(2.0) == 2


def test_when_all_are_left_alone_it_waits_for_the_first_to_be_tried_again() -> None:
    s, rng = Servers(("a", "b"), P, 0.0), random.Random(1)
    for n in (0, 1):
        s.failed(n, 0.0, Reaction.OPERATOR)
    assert s.choose(10.0) is None
    wait = s.wait(10.0, rng)
    assert 990.0 <= wait <= P.pause_most_ms and s.choose(10.0 + wait) is not None


def test_a_fleet_on_a_dead_directory_tries_at_a_bounded_rate() -> None:
    rng, s, now, tries = random.Random(5), Servers(("a",), P, 0.0), 0.0, 0
    while now < 600_000.0:
        n = s.choose(now)
        if n is not None:
            tries += 1
            s.failed(n, now)
        now += max(1.0, s.wait(now, rng))
    assert 600 / 8 * 0.5 <= tries <= 600 / 8 + 20  # the breaker's longest rest is 8 s
