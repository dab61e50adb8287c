"""Tests fleet membership: the registry's answers, incarnations, and a second process of the same name."""

from __future__ import annotations

import pytest

from snowthread.recovery.membership import FleetMembership, FleetSize, MembershipStatus


def test_all_nodes_count_as_cold_before_the_first_answer() -> None:
    members = FleetMembership(1, configured_nodes=12)
    assert members.fleet_size() == FleetSize(12, 12) and members.is_registry_silent(0.0)
    assert members.handle_answer(b"FLEET 3 10 4 1", 100.0)
    assert members.fleet_size() == FleetSize(10, 4) and members.status is MembershipStatus.MEMBER
    assert not members.is_registry_silent(3000.0) and members.is_registry_silent(3200.0)


def test_lost_incarnation_continues_above_the_one_the_registry_knows() -> None:
    members = FleetMembership(1, configured_nodes=3)
    members.handle_answer(b"FLEET 1 3 1 41", 0.0)
    assert members.incarnation == 42 and members.status is MembershipStatus.MEMBER
    assert members.report_suffix(True) == "42 cold"


def test_lost_incarnation_is_never_taken_for_the_one_of_the_same_number() -> None:
    first = FleetMembership(0, configured_nodes=3)
    second = FleetMembership(0, configured_nodes=3)
    first.handle_answer(b"FLEET 1 3 1 0", 0.0)
    assert first.incarnation == 1
    second.handle_answer(b"FLEET 1 3 1 1", 9.0)
    assert second.incarnation == 2 and second.status is MembershipStatus.MEMBER


def test_member_is_replaced_for_good_once_a_later_incarnation_is_reported() -> None:
    members = FleetMembership(5, configured_nodes=3)
    members.handle_answer(b"FLEET 1 3 1 5", 0.0)
    members.handle_answer(b"FLEET 1 3 1 6", 10.0)
    assert members.status is MembershipStatus.REPLACED and members.incarnation == 5
    members.handle_answer(b"FLEET 1 3 1 5", 20.0)
    assert members.status is MembershipStatus.REPLACED


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
    members = FleetMembership(1, configured_nodes=4)
    assert not members.handle_answer(answer, 0.0)
    assert members.invalid_answers == 1 and members.view is None and members.fleet_size() == FleetSize(4, 4)


def test_answer_of_an_older_generation_is_ignored() -> None:
    members = FleetMembership(1, configured_nodes=4)
    members.handle_answer(b"FLEET 7 4 0 1", 0.0)
    assert not members.handle_answer(b"FLEET 6 4 4 1", 10.0) and members.fleet_size() == FleetSize(4, 0)
