"""Read a scenario of the lab from HCL and derive its plan of timed steps.

Pure apart from reading the file: the same file and seed always give the same plan, so that a run can be
replayed. A scenario (``deploy/restart.hcl`` is a complete one)::

    seed = 1            nodes = 5            duration = "20s"
    load     { share = 0.9  keyed = 0.2  repeats = 0.3 }
    database { slots = 6  call_time = "80ms" }
    machine  { cold_share = 0.23  warm_calls = 0.5  cold_calls = 3  warm_replies = 150 }
    step { at = "6s"  do = "kill"  share = 0.8  again_after = "1s" }
    step { at = "6s"  do = "wipe"  share = 0.8 }

Each step applies its action (``do``) to the ``nodes`` named, or to a ``share`` of the nodes drawn with the
seed. Steps at the same time draw from the same order of nodes: the same share selects the same nodes, a
smaller share a subset of them.

| do         | effect                                                    | ``again_after`` / ``for``        |
| ---------- | --------------------------------------------------------- | -------------------------------- |
| kill       | SIGKILL, and the node's machine loses power               | both restart after this time     |
| term       | SIGTERM: the node drains and exits                        | restarts after this time         |
| stop       | SIGSTOP                                                   | SIGCONT after this time          |
| wipe       | the state folder is deleted                               | -                                |
| tear       | each file of the state folder is truncated to half        | -                                |
| spoil      | one byte of each file of the state folder is changed      | -                                |
| generation | the registry announces the next generation of the fleet   | -                                |
| partition  | ``link`` (front, database, roster) forwards nothing       | heals after this time            |
| delay      | ``link`` is delayed by ``ms`` plus up to ``jitter_ms``    | heals after this time            |
| bandwidth  | ``link`` forwards ``bytes_per_s`` (a slow reader)         | heals after this time            |
| cut        | the connections of ``link`` are closed                    | -                                |
| slow       | the database takes ``factor`` times as long for all nodes | heals after this time            |
"""

from __future__ import annotations

import json
import random
from dataclasses import asdict, dataclass
from enum import StrEnum
from pathlib import Path

from snowthread.config import ConfigError
from snowthread.hcl import Block, read_file


class Action(StrEnum):
    """What a step does; the values are the words of a scenario's ``do``."""

    KILL = "kill"
    TERM = "term"
    STOP = "stop"
    WIPE = "wipe"
    TEAR = "tear"
    SPOIL = "spoil"
    GENERATION = "generation"
    PARTITION = "partition"
    DELAY = "delay"
    BANDWIDTH = "bandwidth"
    CUT = "cut"
    SLOW = "slow"
    # Never written in a scenario: each ends a step that has a length.
    START = "start"
    CONT = "cont"
    HEAL = "heal"


class LinkName(StrEnum):
    """A link between a node and its surroundings; the values are the words of a scenario's ``link``."""

    FRONT = "front"
    DATABASE = "database"
    REGISTRY = "roster"


END_OF_ACTION = {
    Action.KILL: Action.START,
    Action.TERM: Action.START,
    Action.STOP: Action.CONT,
    Action.PARTITION: Action.HEAL,
    Action.DELAY: Action.HEAL,
    Action.BANDWIDTH: Action.HEAL,
    Action.SLOW: Action.HEAL,
}
SCENARIO_ACTIONS = tuple(action for action in Action if action not in END_OF_ACTION.values())
LINK_ACTIONS = frozenset({Action.PARTITION, Action.DELAY, Action.BANDWIDTH, Action.CUT})
FLEET_ACTIONS = frozenset({Action.SLOW, Action.GENERATION})  # these apply to no single node
RESTARTED_ACTIONS = frozenset({Action.KILL, Action.TERM})
NODES_MAX = 64
STEPS_MAX = 200
DURATION_MIN_MS = 1000.0
DURATION_MAX_MS = 600_000.0


# The field names of the following classes are printed by ``lab plan`` and compared by ``lab replay``.


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """The traffic of a scenario, as shares between 0 and 1 (``share`` may be an overload)."""

    share: float = 0.9  # of the fleet's capacity
    keyed: float = 0.2  # of all requests: those with an idempotency key
    repeats: float = 0.3  # of keyed requests: those that the client sends twice
    foreign: float = 0.0  # of all requests: those from another site's clients


@dataclass(frozen=True, slots=True)
class MachineSettings:
    """How a node's machine warms up; see ``emulators/machine.py``."""

    cold_share: float = 0.23
    warm_calls: float = 0.5
    cold_calls: float = 3.0
    warm_replies: int = 150


@dataclass(frozen=True, slots=True)
class Step:
    """One timed action on some nodes, one of their links, or the whole fleet."""

    at_ms: float
    do: Action
    nodes: tuple[str, ...] = ()
    link: str = ""
    jitter_ms: float = 0.0
    value: float = 0.0  # milliseconds of a delay, factor of a slowdown, or bytes a second


@dataclass(frozen=True, slots=True)
class Scenario:
    """A checked scenario with its steps in order of time."""

    name: str
    seed: int
    nodes: int
    duration_ms: float
    load: LoadSettings
    slots: int  # calls that the database works on at a time
    call_ms: float  # of one database call
    machine: MachineSettings = MachineSettings()
    cores: int = 4  # of each machine
    run_ms: float = 100.0  # of core time a run takes, in the mean over the classes
    comeback: bool = False  # whether the nodes' recovery feature is on
    steps: tuple[Step, ...] = ()

    def node_names(self) -> list[str]:
        """Return the names of the nodes, ``n1`` and on."""
        return _node_names(self.nodes)

    @property
    def database_per_s(self) -> float:
        """Calls a second that the database completes when it is not overloaded."""
        return self.slots * 1000.0 / self.call_ms


def read_scenario(path: Path) -> Scenario:
    """Read and check a scenario file; raise ConfigError naming the faulty key."""
    if not path.is_file():
        raise ConfigError(f"{path}: no such scenario")
    file = read_file(path)
    seed = file.integer("seed", 1)
    nodes = file.integer("nodes", 5, 1, NODES_MAX)
    duration_ms = file.duration_ms("duration", "20s", least_ms=DURATION_MIN_MS, most_ms=DURATION_MAX_MS)
    cores = file.integer("cores", 4, 1, 64)
    run_ms = file.duration_ms("run_time", "100ms", least_ms=1.0, most_ms=10_000.0)
    load = _read_load(file.block_or_empty("load"))
    slots, call_ms = _read_database(file.block_or_empty("database"))
    machine = _read_machine(file.block_or_empty("machine"))
    comeback = file.flag("comeback", False)
    reader = _StepReader(_node_names(nodes), seed, duration_ms)
    steps = [step for block in file.blocks("step", STEPS_MAX) for step in reader.read(block)]
    file.reject_unknown_keys()
    steps.sort(key=lambda step: step.at_ms)  # stable: simultaneous steps keep the order of the file
    return Scenario(
        name=path.stem,
        seed=seed,
        nodes=nodes,
        duration_ms=duration_ms,
        load=load,
        slots=slots,
        call_ms=call_ms,
        machine=machine,
        cores=cores,
        run_ms=run_ms,
        comeback=comeback,
        steps=tuple(steps),
    )


def plan_lines(scenario: Scenario) -> list[str]:
    """Return the scenario and its steps as JSON lines: the output of ``lab plan``."""
    head = asdict(scenario) | {"steps": len(scenario.steps)}
    steps = [json.dumps(asdict(step), sort_keys=True) for step in scenario.steps]
    return [json.dumps(head, sort_keys=True), *steps]


def _node_names(count: int) -> list[str]:
    return [f"n{number + 1}" for number in range(count)]


def _read_load(block: Block) -> LoadSettings:
    settings = LoadSettings(
        share=block.number("share", 0.9, 0.0, 3.0),
        keyed=block.number("keyed", 0.2, 0.0, 1.0),
        repeats=block.number("repeats", 0.3, 0.0, 1.0),
        foreign=block.number("foreign", 0.0, 0.0, 1.0),
    )
    block.reject_unknown_keys()
    return settings


def _read_database(block: Block) -> tuple[int, float]:
    slots = block.integer("slots", 6, 1, 1000)
    call_ms = block.duration_ms("call_time", "80ms", least_ms=0.1, most_ms=10_000.0)
    block.reject_unknown_keys()
    return slots, call_ms


def _read_machine(block: Block) -> MachineSettings:
    settings = MachineSettings(
        cold_share=block.number("cold_share", 0.23, 0.01, 1.0),
        warm_calls=block.number("warm_calls", 0.5, 0.0, 10.0),
        cold_calls=block.number("cold_calls", 3.0, 0.0, 20.0),
        warm_replies=block.integer("warm_replies", 150, 1, 100_000),
    )
    block.reject_unknown_keys()
    return settings


@dataclass(frozen=True, slots=True)
class _StepReader:
    """Reads ``step`` blocks against the fleet and the duration of their scenario."""

    node_names: list[str]
    seed: int
    duration_ms: float

    def read(self, block: Block) -> list[Step]:
        """Return the step of a block, followed by the step that ends it where it has a length."""
        at_ms = block.duration_ms("at", "0ms", least_ms=0.0, most_ms=self.duration_ms)
        action = Action(block.choice("do", SCENARIO_ACTIONS, Action.KILL))
        named = block.text_list("nodes", ())
        share = block.number("share", 0.0, 0.0, 1.0)
        link = block.choice("link", LinkName, LinkName.DATABASE) if action in LINK_ACTIONS else ""
        value, jitter_ms = _read_magnitude(block, action)
        length_ms = self._read_length(block, action)
        block.reject_unknown_keys()
        for name in named:
            if name not in self.node_names:
                raise block.error("nodes", f"no node {name!r} among n1 to n{len(self.node_names)}")
        nodes = named or self._draw_nodes(action, at_ms, share)
        steps = [Step(at_ms, action, nodes, link, jitter_ms, value)]
        if length_ms:
            steps.append(Step(at_ms + length_ms, END_OF_ACTION[action], nodes, link, jitter_ms, value))
        return steps

    def _read_length(self, block: Block, action: Action) -> float:
        if action not in END_OF_ACTION:
            return 0.0
        key = "again_after" if action in RESTARTED_ACTIONS else "for"
        return block.duration_ms(key, "0ms", least_ms=0.0, most_ms=self.duration_ms)

    def _draw_nodes(self, action: Action, at_ms: float, share: float) -> tuple[str, ...]:
        if action in FLEET_ACTIONS:
            return ()
        order = list(self.node_names)
        # Seeded by the time: simultaneous steps draw one order, so a smaller share is a subset of a larger.
        random.Random(f"{self.seed}/{at_ms}").shuffle(order)
        return tuple(sorted(order[: round(share * len(order))], key=self.node_names.index))


def _read_magnitude(block: Block, action: Action) -> tuple[float, float]:
    """Return the ``value`` and the ``jitter_ms`` of a step with this action."""
    match action:
        case Action.DELAY:
            return block.number("ms", 100.0), block.number("jitter_ms", 0.0)
        case Action.SLOW:
            return block.number("factor", 5.0, 1.0), 0.0
        case Action.BANDWIDTH:
            return block.number("bytes_per_s", 2000.0, 1.0), 0.0
        case _:
            return 0.0, 0.0
