"""Tests the gradual return of load to a recovering site."""

from __future__ import annotations

from itertools import pairwise

import pytest

from snowthread.sites.recovery_ramp import SHARE_STEP, RecoveryRamp, SiteHealth

HEALTHY = SiteHealth(1.0, 0.5)
DATABASE_OVERLOADED = SiteHealth(1.0, 1.5)
SERVES_TOO_LITTLE = SiteHealth(0.5, 0.1)


def run(ramp: RecoveryRamp, start_ms: float, duration_s: int, health: SiteHealth | None) -> list[float]:
    """Advance the ramp twice a second and return the shares."""
    return [ramp.tick(start_ms + n * 500.0, health) for n in range(2 * duration_s)]


def test_the_share_of_a_healthy_site_grows_by_steps_after_the_wait() -> None:
    ramp = RecoveryRamp()
    ramp.mark_lost(0.0)
    ramp.mark_recovering(10_000.0)
    shares = run(ramp, 10_000.0, 15, HEALTHY)
    assert shares[:4] == [0.0] * 4 and shares == sorted(shares) and shares[-1] == 1.0
    assert max(b - a for a, b in pairwise(shares)) <= 2 * SHARE_STEP + 1e-9


def test_an_unhealthy_site_gets_less_and_an_unmeasured_one_no_more() -> None:
    ramp = RecoveryRamp()
    ramp.mark_lost(0.0)
    ramp.mark_recovering(0.0)
    run(ramp, 0.0, 7, HEALTHY)
    before = ramp.share
    assert run(ramp, 7000.0, 1, None)[-1] == before
    assert run(ramp, 8000.0, 1, DATABASE_OVERLOADED)[-1] == pytest.approx(before / 2.0)
    assert run(ramp, 9000.0, 20, SERVES_TOO_LITTLE)[-1] == SHARE_STEP


def test_a_site_that_flaps_every_ten_seconds_soon_gets_nothing() -> None:
    ramp = RecoveryRamp()
    highest_shares = []
    for flap in range(8):
        start_ms = flap * 10_000.0
        ramp.mark_lost(start_ms)
        ramp.mark_recovering(start_ms + 3000.0)
        highest_shares.append(max(run(ramp, start_ms + 3000.0, 7, HEALTHY)))
    assert highest_shares[0] > 0.0 and highest_shares[-4:] == [0.0] * 4
    ramp.mark_lost(200_000.0)
    ramp.mark_recovering(201_000.0)
    run(ramp, 201_000.0, 400, HEALTHY)
    assert ramp.share == 1.0
    ramp.mark_lost(900_000.0)  # Lost long after its recovery, so the wait is reset.
    assert ramp.wait_ms == ramp.initial_wait_ms
