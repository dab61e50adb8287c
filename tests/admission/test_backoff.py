"""Delays between the retries of a peer."""

from __future__ import annotations

import random

from snowthread.admission.backoff import Backoff


def test_delays_stay_within_base_and_cap_and_differ_between_peers_that_failed_together() -> None:
    generators = [random.Random(seed) for seed in range(100)]
    backoffs = [Backoff(base_ms=50.0, cap_ms=2000.0) for _ in generators]
    for _ in range(6):
        delays_ms = [
            backoff.next_delay_ms(generator) for backoff, generator in zip(backoffs, generators, strict=True)
        ]
        assert all(50.0 <= delay_ms <= 2000.0 for delay_ms in delays_ms)
    assert (
        len({round(delay_ms) for delay_ms in delays_ms}) > 60
    )  # peers that failed together retry at different times
    backoffs[0].reset()
    assert backoffs[0].delay_ms == 50.0
