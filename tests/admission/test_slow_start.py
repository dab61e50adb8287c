"""The window of a slow start: how it grows, how it is cut, and when the slow start is complete."""

from __future__ import annotations

import pytest

from snowthread.admission.slow_start import SlowStart


def test_window_starts_at_one_and_doubles_a_round_on_success() -> None:
    slow_start = SlowStart(max_window=16.0)
    windows = []
    for _ in range(4):
        window = int(slow_start.window)
        windows.append(window)
        for _ in range(window):
            slow_start.success(0.0)
    assert windows == [1, 2, 4, 8] and slow_start.admits(15) and not slow_start.admits(16)


def test_a_loss_halves_the_window_and_growth_goes_on_slowly_after() -> None:
    slow_start = SlowStart(max_window=64.0)
    for _ in range(15):
        slow_start.success(0.0)
    assert slow_start.window == 16.0
    slow_start.loss()
    assert slow_start.window == 8.0 and slow_start.loss_count == 1
    for _ in range(8):
        slow_start.success(0.0)
    assert 8.9 < slow_start.window < 9.1  # one per round above the threshold
    for _ in range(10):
        slow_start.loss()
    assert slow_start.window == 1.0 and slow_start.admits(0)


def test_complete_only_after_the_settling_time_at_the_full_window() -> None:
    slow_start = SlowStart(max_window=2.0, settle_ms=1000.0)
    slow_start.success(0.0)
    slow_start.success(500.0)
    assert not slow_start.is_complete
    slow_start.success(1500.0)
    assert slow_start.is_complete and slow_start.admits(1000)
    slow_start.loss()
    assert not slow_start.is_complete and not slow_start.admits(1)


def test_a_window_that_could_not_grow_is_an_error() -> None:
    with pytest.raises(ValueError):
        SlowStart(max_window=0.5)
    with pytest.raises(ValueError):
        SlowStart(max_window=4.0, backoff_factor=1.0)


def test_not_complete_while_the_machine_is_known_to_be_cold() -> None:
    slow_start = SlowStart(4.0, 2.0, settle_ms=100.0, is_known_cold=True)
    for at in range(0, 2000, 50):
        slow_start.success(float(at))
    assert slow_start.window == 4.0 and not slow_start.is_complete
    slow_start.is_known_cold = False
    slow_start.success(2000.0)
    assert slow_start.is_complete
