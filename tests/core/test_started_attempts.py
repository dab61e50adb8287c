"""Tests of the ids of started attempts: how long and how many are remembered."""

from __future__ import annotations

from snowthread.core.started_attempts import StartedAttempts

NOW_MS = 1764576000000.0


def test_id_is_remembered_until_it_expires() -> None:
    attempts = StartedAttempts()
    attempts.add("a", NOW_MS + 100.0, NOW_MS)
    assert attempts.contains("a", NOW_MS + 99.0) and not attempts.contains("b", NOW_MS)
    assert not attempts.contains("a", NOW_MS + 100.0)


def test_expired_ids_are_dropped_when_others_are_added() -> None:
    attempts = StartedAttempts()
    for number in range(1000):
        now_ms = NOW_MS + number
        attempts.add(str(number), now_ms + 10.0, now_ms)
    assert len(attempts) == 10


def test_number_of_ids_is_bounded_and_the_oldest_are_dropped() -> None:
    attempts = StartedAttempts(max_attempts=3)
    for attempt_id in ("a", "b", "c", "a", "d"):
        attempts.add(attempt_id, NOW_MS + 100.0, NOW_MS)
    assert [attempts.contains(attempt_id, NOW_MS) for attempt_id in "abcd"] == [True, False, True, True]
