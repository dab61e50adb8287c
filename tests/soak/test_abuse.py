"""Abusive clients against a real node: its ordinary clients get their answers in time, within the limits.

``python -m emulators.abuse BEHAVIOUR ...`` plays other behaviours, longer and with more clients.
"""

from __future__ import annotations

import pytest

from emulators.abuse import AbusePlan, AbuseResult, run_abuse

SECONDS = 4.0
SLOW_CLIENTS = 100
FLOODING_CLIENTS = 20
FLOODING_CROWD = 400


def play(behaviour: str, connections: int) -> AbuseResult:
    """Play a behaviour and check that the abusive clients came, and that no rule was broken."""
    result = run_abuse(AbusePlan(behaviour, SECONDS, connections))
    assert result.abusive["connections"] >= connections
    assert result.served > 0
    assert result.broken == []
    return result


@pytest.mark.parametrize("behaviour", ["slow-nested-lists", "slow-large-requests"])
def test_answers_are_in_time_while_a_hundred_clients_write_large_messages_slowly(behaviour: str) -> None:
    """Guards against a cost of each piece that grows with the message that it belongs to."""
    play(behaviour, SLOW_CLIENTS)


@pytest.mark.parametrize("behaviour", ["flood-health-checks", "flood-new-names"])
def test_answers_are_in_time_while_clients_send_small_messages_at_full_speed(behaviour: str) -> None:
    """Guards against floods that delay other clients or fill the memory with new names."""
    play(behaviour, FLOODING_CLIENTS)


def test_answers_are_in_time_while_a_crowd_sends_small_messages_at_full_speed() -> None:
    """Guards against turns that are short for each client and long in all."""
    play("flood-unknown-classes", FLOODING_CROWD)
