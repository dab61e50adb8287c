"""Delays between the retries of a peer."""

from __future__ import annotations

import random

from snowthread.admission.backoff import Backoff


def test_delays_stay_within_base_and_cap_and_differ_between_peers_that_failed_together() -> None:
    draws = [random.Random(seed) for seed in range(100)]
    backoffs = [Backoff(base_ms=50.0, cap_ms=2000.0) for _ in draws]
    for _ in range(6):
        sleeps = [backoff.next_delay_ms(draw) for backoff, draw in zip(backoffs, draws, strict=True)]
        assert all(50.0 <= sleep <= 2000.0 for sleep in sleeps)
    assert len({round(sleep) for sleep in sleeps}) > 60  # peers that failed together retry at different times
    backoffs[0].reset()
    assert backoffs[0].delay_ms == 50.0
