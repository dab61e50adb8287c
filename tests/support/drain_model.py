"""All orders of operators' calls and messages between the processes of a node, over the real reducer.

A :class:`World` holds the states of up to three processes, each of which is replaced by the next one, and the
encoded messages on the link between the two that live. :func:`explore` takes every step that is possible in
every world that can be reached: an operator's call, a message delivered, the link made, lost with all that is
on it, or made again, a process started or gone. A call that has been made waits for its answer; what has been
found confirmed is answered with 200 in that step.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field

from snowthread.admission.settings import RequestClass, Settings
from snowthread.core import effects, events
from snowthread.core.drain import is_confirmed, next_call_time_ns
from snowthread.core.reducer import reduce
from snowthread.core.state import AdmissionClock, HandoverRole, NodeState, PeerCallOrder
from snowthread.hot_restart.messages import HandoverSignal, decode, encode, unpacker

NOW_MS = 1_764_576_000_000.0
CALL_INTERVAL_NS = 10  # time between two calls on the monotonic clock
HELLO = encode(HandoverSignal.HELLO)


@dataclass(frozen=True, slots=True)
class Limits:
    """What may happen in one world, so that the number of worlds is finite."""

    processes: int = 2
    calls: int = 3
    lost_links: int = 1


@dataclass(slots=True)
class MadeCall:
    """A call that a process has taken."""

    process: int
    drained: bool
    called_at_ns: int
    answered: bool = False


@dataclass(slots=True)
class Process:
    """One process: its state, and the messages to it that it has not read yet."""

    state: NodeState
    alive: bool = True
    has_joined: bool = False  # whether it has known the node's state before
    inbox: list[bytes] = field(default_factory=list)

    def copied(self) -> Process:
        """Return a copy; the parts of the state that no step changes are shared."""
        return Process(copy.copy(self.state), self.alive, self.has_joined, list(self.inbox))


@dataclass(slots=True)
class World:
    """The processes in the order of their starts, the calls in the order in which they were made."""

    processes: list[Process]
    calls: list[MadeCall] = field(default_factory=list)
    linked: bool = False
    lost_links: int = 0
    messages: int = 0  # messages about the drain that were sent in all
    links: int = 0  # links that were made in all
    forgotten: int = 0  # number of calls that ended with the only process that had joined the node
    trace: tuple[str, ...] = ()

    def copied(self, step: str) -> World:
        """Return a copy for the world after ``step``."""
        return World(
            [process.copied() for process in self.processes],
            [copy.copy(call) for call in self.calls],
            self.linked,
            self.lost_links,
            self.messages,
            self.links,
            self.forgotten,
            (*self.trace, step),
        )

    def living(self) -> list[int]:
        """Return the numbers of the processes that are alive, the older one first."""
        return [number for number, process in enumerate(self.processes) if process.alive]

    def key(self) -> tuple[object, ...]:
        """Return what tells this world from others; the trace does not."""
        return (
            tuple(
                (
                    process.alive,
                    process.has_joined,
                    process.state.handover_role,
                    process.state.drained,
                    process.state.drain_called_at_ns,
                    process.state.drain_reported_at_ns,
                    process.state.peer_call_order,
                    process.state.peer_drain_called_at_ns,
                    tuple(process.inbox),
                )
                for process in self.processes
            ),
            tuple((call.process, call.drained, call.called_at_ns, call.answered) for call in self.calls),
            self.linked,
            self.lost_links,
            self.messages,
            self.forgotten,
        )

    # Steps.

    def handle(self, number: int, event: events.Event) -> None:
        """Let a process handle an event; what it sends reaches the inbox of the other one."""
        process = self.processes[number]
        peers = [other for other in self.living() if other != number]
        for effect in reduce(process.state, event, NOW_MS):
            if not isinstance(effect, effects.SendToPeerProcess) or not self.linked:
                continue
            if not isinstance(effect.message, events.PeerLoadReported):  # it says nothing of the drain
                self.messages += 1
                self.processes[peers[0]].inbox.append(encode(effect.message))
        process.has_joined = process.has_joined or process.state.knows_drain_state

    def link(self) -> None:
        """Let the newer process connect to the older one."""
        older, newer = self.living()
        self.linked = True
        self.links += 1
        self.processes[older].inbox = [HELLO]
        self.processes[newer].inbox = []
        self.handle(newer, events.PeerProcessConnected(is_predecessor=False))

    def deliver(self, number: int) -> None:
        """Let a process read the next message to it."""
        data = self.processes[number].inbox.pop(0)
        incoming = unpacker()
        incoming.feed(data)
        message = decode(incoming.unpack())
        if message is HandoverSignal.HELLO:
            self.handle(number, events.PeerProcessConnected(is_predecessor=True, stamps_calls=True))
        else:
            assert not isinstance(message, HandoverSignal)
            self.handle(number, message)

    def lose_link(self) -> None:
        """Break the link, with all messages on it."""
        self.linked = False
        self.lost_links += 1
        for process in self.processes:
            process.inbox = []

    def call(self, number: int, drained: bool) -> None:
        """Make an operator's call at a process."""
        state = self.processes[number].state
        called_at_ns = next_call_time_ns(state, (len(self.calls) + 1) * CALL_INTERVAL_NS)
        self.calls.append(MadeCall(number, drained, called_at_ns))
        self.handle(number, events.OperatorCalled(drained, called_at_ns))

    def end(self, number: int) -> None:
        """End a process; what the other one has not read by then is lost.

        A drain lasts until the end of the processes that have joined the node: one that only starts then
        begins anew.
        """
        self.processes[number].alive = False
        self.processes[number].inbox = []
        self.linked = False
        for survivor in self.living():
            if not self.processes[survivor].has_joined:
                self.forgotten = len(self.calls)
            joined = self.processes[survivor].state.handover_role is not HandoverRole.JOINING
            self.processes[survivor].inbox = []
            self.handle(survivor, events.PeerProcessExited() if joined else events.NoPeerProcessFound())

    def answer(self) -> None:
        """Answer the calls that are confirmed with 200, as the administration server does."""
        for call in self.calls:
            process = self.processes[call.process]
            if process.alive and is_confirmed(process.state, call.called_at_ns):
                call.answered = True

    # Checks.

    def check(self) -> None:
        """Check that the latest answered call, or one that was made after it, holds at all processes."""
        calls = self.calls[self.forgotten :]
        answered = [position for position, call in enumerate(calls) if call.answered]
        if answered:
            allowed = {call.drained for call in calls[answered[-1] :]}
            for number in self.living():
                process = self.processes[number]
                if process.has_joined:
                    assert process.state.drained in allowed, self.report(number)
        if self.is_quiet():
            self.check_quiet()
        assert self.messages <= 2 * len(self.calls) + 3 * self.links, self.report(None)

    def is_quiet(self) -> bool:
        """Return whether no message is on its way and no link is missing."""
        living = self.living()
        return (self.linked or len(living) == 1) and not any(
            self.processes[number].inbox for number in living
        )

    def check_quiet(self) -> None:
        """Check that both processes hold the last call, unless it was lost, unanswered, with its process."""
        living = self.living()
        for number in living:
            state = self.processes[number].state
            assert state.peer_call_order is not PeerCallOrder.UNSTAMPED, self.report(number)
            assert state.knows_drain_state, self.report(number)
        assert len({self.processes[number].state.drained for number in living}) == 1, self.report(None)
        for last in self.calls[self.forgotten :][-1:]:
            if last.answered or self.processes[last.process].alive:
                assert last.answered, self.report(last.process)
                assert self.processes[living[0]].state.drained == last.drained, self.report(living[0])

    def report(self, number: int | None) -> str:
        """Return the steps that led here, for a failed check of a process or of the node."""
        return f"process {number}: {', '.join(self.trace)}"


def next_worlds(world: World, limits: Limits) -> Iterator[World]:
    """Return the worlds that one step leads to."""
    living = world.living()
    for number in living:
        process = world.processes[number]
        if process.inbox:
            after = world.copied(f"{number} reads")
            after.deliver(number)
            yield after
        if len(world.calls) < limits.calls and process.state.knows_drain_state:
            for drained in (True, False):
                after = world.copied(f"{'drain' if drained else 'resume'} at {number}")
                after.call(number, drained)
                yield after
    if len(living) == 2:
        yield from _worlds_of_two(world, limits)
    elif len(world.processes) < limits.processes:
        after = world.copied(f"{len(world.processes)} starts")
        after.processes.append(Process(new_state(HandoverRole.JOINING)))
        yield after


def _worlds_of_two(world: World, limits: Limits) -> Iterator[World]:
    """Return the worlds after a step of the link, or of the end of a process."""
    if not world.linked:
        after = world.copied("link")
        after.link()
        yield after
    elif world.lost_links < limits.lost_links:
        after = world.copied("link lost")
        after.lose_link()
        yield after
    for number in world.living():
        after = world.copied(f"{number} ends")
        after.end(number)
        yield after


def new_state(role: HandoverRole) -> NodeState:
    """Return the state of a process that has handled no event yet."""
    settings = Settings(classes=(RequestClass("idempotent", 1.0, 3.0),), cores=2, memory_kb=1000.0)
    return NodeState(settings, 1, (), AdmissionClock(NOW_MS), handover_role=role)


def explore(limits: Limits) -> int:
    """Check every world that can be reached from one process; return how many there are.

    A failed check names the steps that led there, as few as possible.
    """
    start = World([Process(new_state(HandoverRole.STANDALONE), has_joined=True)])
    seen = {start.key()}
    level = [start]
    while level:
        following = []
        for world in level:
            for after in next_worlds(world, limits):
                after.answer()
                key = after.key()
                if key not in seen:
                    seen.add(key)
                    after.check()
                    following.append(after)
        level = following
    return len(seen)
