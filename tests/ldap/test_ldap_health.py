"""Which server is asked and when again: budgets, breakers, order, and a reaction for each code."""

from __future__ import annotations

import random

import pytest

from snowthread.ldap.circuit_breaker import CircuitBreaker, CircuitState
from snowthread.ldap.health import Reaction, ServerSelector, reaction_to
from snowthread.ldap.retry_budget import RetryBudget, RetryPolicy, backoff_ms

P = RetryPolicy(
    first_backoff_ms=100.0,
    max_backoff_ms=10_000.0,
    budget_share=0.2,
    budget_floor_per_s=0.1,
    max_saved_retries=5.0,
    failures_to_open=3,
    open_ms=1000.0,
    max_open_ms=8000.0,
)


@pytest.mark.parametrize(
    ("code", "what"),
    [
        (0, Reaction.DONE),
        (3, Reaction.RETRY),
        (4, Reaction.REDUCE_PAGE_SIZE),
        (10, Reaction.FAIL_OVER),
        (12, Reaction.FALL_BACK),
        (49, Reaction.NEEDS_OPERATOR),
        (51, Reaction.RETRY),
        (52, Reaction.FAIL_OVER),
        (4096, Reaction.FULL_REFRESH),
        (9999, Reaction.FAIL_OVER),
    ],
)
def test_each_result_has_its_reaction(code: int, what: Reaction) -> None:
    assert reaction_to(code) is what


def test_repeats_are_a_share_of_first_tries_however_many_there_are() -> None:
    budget, sent = RetryBudget(P, 0.0), 0
    for _ in range(1000):  # all at one instant: the floor in time adds nothing
        budget.record_success()
        sent += budget.take_retry(0.0) == 0.0
    assert 200 <= sent <= 206


def test_a_quiet_client_may_still_try_now_and_then() -> None:
    budget = RetryBudget(P, 0.0)
    sent = [t for t in range(0, 100_000, 100) if budget.take_retry(float(t)) == 0.0]
    assert 5 + 9 <= len(sent) <= 5 + 10  # what was saved, then one in ten seconds
    budget.take_retry(100_000.0)
    wait = budget.take_retry(100_001.0)
    assert 9_000.0 < wait <= 10_000.0 and budget.take_retry(100_002.0 + wait) == 0.0


def test_jitter_is_full_and_capped() -> None:
    rng = random.Random(3)
    for attempt, cap in ((1, 100.0), (4, 800.0), (30, 10_000.0), (10_000, 10_000.0)):
        seen = [backoff_ms(attempt, P, rng) for _ in range(400)]
        assert min(seen) < cap * 0.05 and cap * 0.95 < max(seen) <= cap


def test_a_breaker_opens_lets_one_probe_through_and_opens_longer() -> None:
    b = CircuitBreaker(P)
    assert [b.record_failure(0.0) for _ in range(3)] == [False, False, True]
    assert b.state(999.0) is CircuitState.OPEN and not b.allows(999.0)
    assert b.state(1000.0) is CircuitState.HALF_OPEN and b.allows(1000.0)
    b.start_attempt(1000.0)
    assert not b.allows(1000.0)  # one probe at a time
    assert b.record_failure(1100.0) and b.open_until_ms == 1100.0 + 2000.0
    for _ in range(6):
        b.start_attempt(b.open_until_ms)
        b.record_failure(b.open_until_ms)
    assert b.open_until_ms < 1e9 and b.state(b.open_until_ms - 1.0) is CircuitState.OPEN
    b.start_attempt(b.open_until_ms)
    b.record_success()
    assert b.state(0.0) is CircuitState.CLOSED and b.allows(0.0)


def test_servers_go_in_order_and_a_failure_moves_on() -> None:
    s = ServerSelector(("a", "b", "c"), P, 0.0)
    assert s.choose(0.0) == 0
    s.record_success(0)
    assert s.choose(1.0) == 0  # the one in use stays
    s.record_failure(0, 1.0)
    assert s.choose(1.0) == 1 and s.fail_overs == 1
    s.record_failure(1, 1.0, Reaction.RETRY)  # busy: the same one after a pause
    assert s.choose(2.0) == 1
    s.record_failure(1, 2.0, Reaction.NEEDS_OPERATOR)  # only people can help: left alone at once
    assert s.breakers[1].state(2.0) is CircuitState.OPEN and s.choose(2.0) == 2


def test_when_all_are_left_alone_it_waits_for_the_first_to_be_tried_again() -> None:
    s, rng = ServerSelector(("a", "b"), P, 0.0), random.Random(1)
    for n in (0, 1):
        s.record_failure(n, 0.0, Reaction.NEEDS_OPERATOR)
    assert s.choose(10.0) is None
    wait = s.backoff_ms(10.0, rng)
    assert 990.0 <= wait <= P.max_backoff_ms and s.choose(10.0 + wait) is not None


def test_a_fleet_on_a_dead_directory_tries_at_a_bounded_rate() -> None:
    rng, s, now, tries = random.Random(5), ServerSelector(("a",), P, 0.0), 0.0, 0
    while now < 600_000.0:
        n = s.choose(now)
        if n is not None:
            tries += 1
            s.record_failure(n, now)
        now += max(1.0, s.backoff_ms(now, rng))
    assert 600 / 8 * 0.5 <= tries <= 600 / 8 + 20  # the breaker's longest rest is 8 s
