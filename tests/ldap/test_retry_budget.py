"""Backoff with full jitter, and the retry budget."""

from __future__ import annotations

import random

import pytest

from snowthread.ldap.retry_budget import RetryBudget, RetryPolicy, backoff_ms

POLICY = RetryPolicy(
    first_backoff_ms=100.0,
    max_backoff_ms=10_000.0,
    budget_share=0.2,
    budget_floor_per_s=0.1,
    max_saved_retries=5.0,
)


def test_retries_are_a_share_of_the_successes_however_many_there_are() -> None:
    budget = RetryBudget(POLICY, 0.0)
    retries = 0
    for _ in range(1000):  # all at the same time, so the minimum rate over time adds no retries
        budget.record_success()
        retries += budget.take_retry(0.0) == 0.0
    assert 200 <= retries <= 206


def test_without_successes_a_retry_is_allowed_now_and_then() -> None:
    budget = RetryBudget(POLICY, 0.0)
    retries = [now for now in range(0, 100_000, 100) if budget.take_retry(float(now)) == 0.0]
    assert 5 + 9 <= len(retries) <= 5 + 10  # the 5 of a full budget, then one per ten seconds
    budget.take_retry(100_000.0)
    wait_ms = budget.take_retry(100_001.0)
    assert 9_000.0 < wait_ms <= 10_000.0
    assert budget.take_retry(100_002.0 + wait_ms) == 0.0


@pytest.mark.parametrize(("retry", "cap_ms"), [(1, 100.0), (4, 800.0), (30, 10_000.0), (10_000, 10_000.0)])
def test_jitter_is_full_and_capped(retry: int, cap_ms: float) -> None:
    generator = random.Random(3)
    waits = [backoff_ms(retry, POLICY, generator) for _ in range(400)]
    assert min(waits) < cap_ms * 0.05 and cap_ms * 0.95 < max(waits) <= cap_ms
