"""Tests fleet membership: the registry's answers, incarnations, and a second process of the same name."""

from __future__ import annotations

import pytest

from snowthread.recovery.membership import FleetMembership, FleetSize, MembershipStatus


def test_all_nodes_count_as_cold_before_the_first_answer() -> None:
    membership = FleetMembership(1, configured_nodes=12)
    assert membership.fleet_size() == FleetSize(12, 12) and membership.is_registry_silent(0.0)
    assert membership.handle_answer(b"FLEET 3 10 4 1", 100.0)
    assert membership.fleet_size() == FleetSize(10, 4) and membership.status is MembershipStatus.MEMBER
    assert not membership.is_registry_silent(3000.0) and membership.is_registry_silent(3200.0)


def test_lost_incarnation_continues_above_the_one_the_registry_knows() -> None:
    membership = FleetMembership(1, configured_nodes=3)
    membership.handle_answer(b"FLEET 1 3 1 41", 0.0)
    assert membership.incarnation == 42 and membership.status is MembershipStatus.MEMBER
    assert membership.report_suffix(True) == "42 cold"


def test_second_start_without_a_stored_incarnation_gets_a_new_number() -> None:
    first = FleetMembership(0, configured_nodes=3)
    second = FleetMembership(0, configured_nodes=3)
    first.handle_answer(b"FLEET 1 3 1 0", 0.0)
    assert first.incarnation == 1
    second.handle_answer(b"FLEET 1 3 1 1", 9.0)
    assert second.incarnation == 2 and second.status is MembershipStatus.MEMBER


def test_member_is_replaced_for_good_once_a_later_incarnation_is_reported() -> None:
    membership = FleetMembership(5, configured_nodes=3)
    membership.handle_answer(b"FLEET 1 3 1 5", 0.0)
    membership.handle_answer(b"FLEET 1 3 1 6", 10.0)
    assert membership.status is MembershipStatus.REPLACED and membership.incarnation == 5
    membership.handle_answer(b"FLEET 1 3 1 5", 20.0)
    assert membership.status is MembershipStatus.REPLACED


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"FLEET",
        b"FLEET 1 2 3",
        b"FLEET 1 2 3 1",
        b"FLEET x 2 1 1",
        b"NAMES 1 2 1 1",
        b"FLEET 1 -2 -3 1",
        b"FLEET 1 2 1 99999999999",
        b"FLEET 1 2 1 1 1",
        b"\xff\xfe 1 2 1 1",
    ],
)
def test_invalid_answer_changes_nothing_and_is_counted(answer: bytes) -> None:
    membership = FleetMembership(1, configured_nodes=4)
    assert not membership.handle_answer(answer, 0.0)
    assert (
        membership.invalid_answers == 1
        and membership.view is None
        and membership.fleet_size() == FleetSize(4, 4)
    )


def test_answer_of_an_older_generation_is_ignored() -> None:
    membership = FleetMembership(1, configured_nodes=4)
    membership.handle_answer(b"FLEET 7 4 0 1", 0.0)
    assert not membership.handle_answer(b"FLEET 6 4 4 1", 10.0) and membership.fleet_size() == FleetSize(4, 0)
