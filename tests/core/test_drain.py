"""Operators' calls at the processes of a node, in every order with the messages between them."""

from __future__ import annotations

import pytest
from support.drain_model import Limits, Process, World, explore, new_state

from snowthread.core import drain, events
from snowthread.core.state import HandoverRole, NodeState
from snowthread.core.transition import Transition


def test_answered_call_holds_at_all_processes_in_every_order_of_calls_and_messages() -> None:
    # Guards against review/9: the older word of the predecessor undid a call answered with 200.
    assert explore(Limits(processes=2, calls=3, lost_links=1)) > 1000
    assert explore(Limits(processes=3, calls=2, lost_links=1)) > 1000


def take_always(transition: Transition, called_at_ns: int, drained: bool) -> bool:
    """Take every call, as the code before did."""
    transition.state.drain_called_at_ns = called_at_ns
    transition.state.drained = drained
    return True


def confirm_always(*_: object) -> bool:
    """Confirm every call at once, as the code before did."""
    return True


def test_search_finds_calls_that_an_older_message_undoes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(drain, "_take_if_later", take_always)
    with pytest.raises(AssertionError, match="process"):
        explore(Limits())


def test_search_finds_calls_that_are_answered_before_all_processes_hold_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("support.drain_model.is_confirmed", confirm_always)
    with pytest.raises(AssertionError, match="process"):
        explore(Limits())


def test_search_finds_calls_that_are_taken_before_the_state_of_the_node_is_known(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(NodeState, "knows_drain_state", True)
    with pytest.raises(AssertionError, match="process"):
        explore(Limits())


def test_search_finds_a_process_that_sends_back_what_it_was_told(monkeypatch: pytest.MonkeyPatch) -> None:
    take = drain._take_if_later

    def take_and_report(transition: Transition, called_at_ns: int, drained: bool) -> bool:
        taken = take(transition, called_at_ns, drained)
        if taken:
            drain.report_drain_state(transition)
        return taken

    monkeypatch.setattr(drain, "_take_if_later", take_and_report)
    with pytest.raises(AssertionError, match="process"):
        explore(Limits())


def linked_world() -> World:
    """Return a predecessor and a successor that have read all messages."""
    world = World([Process(new_state(HandoverRole.STANDALONE)), Process(new_state(HandoverRole.JOINING))])
    world.link()
    read_all(world)
    return world


def read_all(world: World) -> None:
    """Let both processes read all messages."""
    while not world.is_quiet():
        world.deliver(0 if world.processes[0].inbox else 1)


@pytest.mark.parametrize("drained", [True, False])
def test_of_two_calls_in_one_nanosecond_the_drain_holds_at_both_processes(drained: bool) -> None:
    world = linked_world()
    for number, value in enumerate((drained, not drained)):
        world.handle(number, events.OperatorCalled(value, called_at_ns=7))
    world.deliver(0)
    world.deliver(1)
    assert [process.state.drained for process in world.processes] == [True, True]


@pytest.mark.parametrize("number", [0, 1])
def test_process_whose_name_was_taken_drains_no_other_process_and_undoes_no_call(number: int) -> None:
    # Guards against a drain that the program sets itself, spreads to the successor and stays there.
    world = linked_world()
    world.call(1, False)
    read_all(world)
    world.handle(number, events.NameTaken())
    assert world.is_quiet()
    assert [process.state.drained for process in world.processes] == [False, False]
    # The successor that registers under the same name takes nothing from the predecessor.
    assert [process.state.accepts_work for process in world.processes] == [True, number == 0]


def test_resume_ends_the_withdrawal_of_a_process_whose_name_was_taken() -> None:
    world = World([Process(new_state(HandoverRole.STANDALONE))])
    world.handle(0, events.NameTaken())
    assert not world.processes[0].state.accepts_work
    world.call(0, False)
    assert world.processes[0].state.accepts_work
