"""Circuit breakers, the choice of the server, backoff, and the reaction to each result code."""

from __future__ import annotations

import random

import pytest

from snowthread.ldap.circuit_breaker import CircuitBreaker, CircuitState
from snowthread.ldap.health import Reaction, ServerSelector, reaction_to
from snowthread.ldap.retry_budget import RetryPolicy

POLICY = RetryPolicy(
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
    ("code", "reaction"),
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
def test_each_result_code_has_a_reaction(code: int, reaction: Reaction) -> None:
    assert reaction_to(code) is reaction


def test_a_circuit_opens_lets_one_probe_through_and_opens_for_longer() -> None:
    breaker = CircuitBreaker(POLICY)
    assert [breaker.record_failure(0.0) for _ in range(3)] == [False, False, True]
    assert breaker.state(999.0) is CircuitState.OPEN and not breaker.allows(999.0)
    assert breaker.state(1000.0) is CircuitState.HALF_OPEN and breaker.allows(1000.0)
    breaker.start_attempt(1000.0)
    assert not breaker.allows(1000.0)  # one attempt at a time while half-open
    assert breaker.record_failure(1100.0) and breaker.open_until_ms == 1100.0 + 2000.0


def test_the_time_that_a_circuit_is_open_is_capped_and_a_success_closes_it() -> None:
    breaker = CircuitBreaker(POLICY)
    for _ in range(3):
        breaker.record_failure(0.0)
    for _ in range(6):
        now = breaker.open_until_ms
        breaker.start_attempt(now)
        breaker.record_failure(now)
        assert breaker.open_until_ms - now <= POLICY.max_open_ms
    assert breaker.state(breaker.open_until_ms - 1.0) is CircuitState.OPEN
    breaker.start_attempt(breaker.open_until_ms)
    breaker.record_success()
    assert breaker.state(0.0) is CircuitState.CLOSED and breaker.allows(0.0)


def test_servers_are_used_in_order_and_a_failure_moves_on() -> None:
    servers = ServerSelector(("a", "b", "c"), POLICY, 0.0)
    assert servers.choose(0.0) == 0
    servers.record_success(0)
    assert servers.choose(1.0) == 0  # the server in use is preferred
    servers.record_failure(0, 1.0)
    assert servers.choose(1.0) == 1 and servers.fail_overs == 1
    servers.record_failure(1, 1.0, Reaction.RETRY)  # a busy server is tried again after a backoff
    assert servers.choose(2.0) == 1
    servers.record_failure(1, 2.0, Reaction.NEEDS_OPERATOR)  # opens the circuit at once
    assert servers.breakers[1].state(2.0) is CircuitState.OPEN and servers.choose(2.0) == 2


def test_with_all_circuits_open_the_wait_ends_when_the_first_is_half_open() -> None:
    servers = ServerSelector(("a", "b"), POLICY, 0.0)
    generator = random.Random(1)
    for index in (0, 1):
        servers.record_failure(index, 0.0, Reaction.NEEDS_OPERATOR)
    assert servers.choose(10.0) is None
    wait_ms = servers.backoff_ms(10.0, generator)
    assert 990.0 <= wait_ms <= POLICY.max_backoff_ms
    assert servers.choose(10.0 + wait_ms) is not None


def test_the_rate_of_attempts_on_a_dead_server_is_bounded() -> None:
    generator = random.Random(5)
    servers = ServerSelector(("a",), POLICY, 0.0)
    now = 0.0
    attempts = 0
    while now < 600_000.0:
        index = servers.choose(now)
        if index is not None:
            attempts += 1
            servers.record_failure(index, now)
        now += max(1.0, servers.backoff_ms(now, generator))
    # The circuit is open for at most 8 s, so there is about one attempt per 8 s in 600 s.
    assert 600 / 8 * 0.5 <= attempts <= 600 / 8 + 20
