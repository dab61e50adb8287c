"""Reads a lab scenario from an HCL file and draws its timed steps.

The same file and seed always give the same steps, so that a run can be replayed. This is an excerpt of a
scenario; ``deploy/restart.hcl`` is a complete one::

    seed = 1            nodes = 5            duration = "20s"
    load     { share = 0.9  keyed = 0.2  repeats = 0.3 }
    database { slots = 6  call_time = "80ms" }
    machine  { cold_share = 0.23  warm_calls = 0.5  cold_calls = 3  warm_replies = 150 }
    step { at = "6s"  do = "kill"  share = 0.8  again_after = "1s" }
    step { at = "6s"  do = "wipe"  share = 0.8 }

Each step applies its action (``do``) to the ``nodes`` that it names, or to a ``share`` of the nodes drawn
with the seed. Without both, it hits no node; ``generation`` and ``slow`` need neither, as they apply to the
whole fleet. Steps at the same time use the same random order of nodes: the same share selects the same nodes,
and a smaller share selects a subset of them.

The effect of ``kill`` and ``term`` ends after ``again_after``, that of the other actions with an end after
``for``. Without this key, it lasts until the run ends.

| do         | effect                                                    | end of the effect                |
| ---------- | --------------------------------------------------------- | -------------------------------- |
| kill       | SIGKILL; the node's machine is power-cycled at once, so   | the node is restarted            |
|            | that it is up again but cold                              |                                  |
| term       | SIGTERM: the node shuts down gracefully                   | the node is restarted; if it is  |
|            |                                                           | still running, it is killed      |
|            |                                                           | first                            |
| stop       | SIGSTOP                                                   | SIGCONT                          |
| wipe       | the contents of the state folder are deleted              | -                                |
| tear       | each file of the state folder is truncated to half        | -                                |
| spoil      | one byte of each file of the state folder is changed      | -                                |
| generation | the registry announces the next generation of the fleet   | -                                |
| partition  | ``link`` forwards nothing                                 | the link is healed               |
| delay      | ``link`` is delayed by ``ms`` plus up to ``jitter_ms``    | the link is healed               |
| bandwidth  | ``link`` forwards ``bytes_per_s``, like a slow reader     | the link is healed               |
| cut        | the connections of ``link`` are closed                    | -                                |
| slow       | the database takes ``factor`` times as long for all nodes | the database is healed           |

``link`` is ``front`` (balancers to node), ``database`` or ``roster`` (node to registry). On ``roster``, whose
traffic is datagrams, only ``partition`` has an effect.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from pathlib import Path
from typing import NamedTuple

from snowthread.config import ConfigError
from snowthread.hcl import Block, read_file
from snowthread.lab.scenario import (
    Action,
    LinkName,
    LoadSettings,
    MachineSettings,
    Scenario,
    Step,
    node_names,
)

END_OF_ACTION = {
    Action.KILL: Action.RESTART,
    Action.TERM: Action.RESTART,
    Action.STOP: Action.CONTINUE,
    Action.PARTITION: Action.HEAL,
    Action.DELAY: Action.HEAL,
    Action.BANDWIDTH: Action.HEAL,
    Action.SLOW_DATABASE: Action.HEAL,
}
SCENARIO_ACTIONS = tuple(action for action in Action if action not in END_OF_ACTION.values())
LINK_ACTIONS = frozenset({Action.PARTITION, Action.DELAY, Action.BANDWIDTH, Action.CLOSE_CONNECTIONS})
# Actions that apply to the whole fleet instead of single nodes.
FLEET_ACTIONS = frozenset({Action.SLOW_DATABASE, Action.NEXT_GENERATION})
RESTARTED_ACTIONS = frozenset({Action.KILL, Action.TERM})
MAX_NODES = 64
MAX_CORES = 64
MAX_STEPS = 200
MAX_SLOTS = 1000
MIN_DURATION_MS = 1000.0
MAX_DURATION_MS = 600_000.0
MIN_RUN_TIME_MS = 1.0
MAX_RUN_TIME_MS = 10_000.0
MIN_CALL_TIME_MS = 0.1
MAX_CALL_TIME_MS = 10_000.0


class _DatabaseSettings(NamedTuple):
    """Settings of the block ``database``."""

    slots: int  # Number of calls that the database processes at a time.
    call_ms: float


class _ActionParameters(NamedTuple):
    """The parameters of a step's action."""

    value: float = 0.0  # Delay in ms, slowdown factor, or bytes per second, depending on the action.
    jitter_ms: float = 0.0


def read_scenario(path: Path) -> Scenario:
    """Read and check a scenario file.

    Raises:
        ConfigError: The file is missing, or a key is invalid; the error names it.
    """
    if not path.is_file():
        raise ConfigError(f"{path}: the scenario file does not exist")
    file = read_file(path)
    seed = file.integer("seed", 1)
    nodes = file.integer("nodes", 5, 1, MAX_NODES)
    duration_ms = file.duration_ms("duration", "20s", min_ms=MIN_DURATION_MS, max_ms=MAX_DURATION_MS)
    cores = file.integer("cores", 4, 1, MAX_CORES)
    run_ms = file.duration_ms("run_time", "100ms", min_ms=MIN_RUN_TIME_MS, max_ms=MAX_RUN_TIME_MS)
    load = _read_load(file.block_or_empty("load"))
    database = _read_database(file.block_or_empty("database"))
    machine = _read_machine(file.block_or_empty("machine"))
    comeback = file.flag("comeback", False)
    reader = _StepReader(node_names(nodes), seed, duration_ms)
    steps = [step for block in file.blocks("step", MAX_STEPS) for step in reader.read(block)]
    file.reject_unknown_keys()
    # The sort is stable, so that simultaneous steps stay in the order of the file.
    steps.sort(key=lambda step: step.at_ms)
    return Scenario(
        name=path.stem,
        seed=seed,
        nodes=nodes,
        duration_ms=duration_ms,
        load=load,
        slots=database.slots,
        call_ms=database.call_ms,
        machine=machine,
        cores=cores,
        run_ms=run_ms,
        comeback=comeback,
        steps=tuple(steps),
    )


def _read_load(block: Block) -> LoadSettings:
    settings = LoadSettings(
        share=block.number("share", 0.9, 0.0, 3.0),
        keyed=block.number("keyed", 0.2, 0.0, 1.0),
        repeats=block.number("repeats", 0.3, 0.0, 1.0),
        foreign=block.number("foreign", 0.0, 0.0, 1.0),
    )
    block.reject_unknown_keys()
    return settings


def _read_database(block: Block) -> _DatabaseSettings:
    settings = _DatabaseSettings(
        slots=block.integer("slots", 6, 1, MAX_SLOTS),
        call_ms=block.duration_ms("call_time", "80ms", min_ms=MIN_CALL_TIME_MS, max_ms=MAX_CALL_TIME_MS),
    )
    block.reject_unknown_keys()
    return settings


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
    """Reads ``step`` blocks for a fleet with these nodes and a scenario with this seed and duration."""

    node_names: list[str]
    seed: int
    duration_ms: float

    def read(self, block: Block) -> list[Step]:
        """Return the step of a block, and the step that ends its effect if it has a duration."""
        at_ms = block.duration_ms("at", "0ms", min_ms=0.0, max_ms=self.duration_ms)
        action = Action(block.choice("do", SCENARIO_ACTIONS, Action.KILL))
        named = block.text_list("nodes", ())
        share = block.number("share", 0.0, 0.0, 1.0)
        link = block.choice("link", LinkName, LinkName.DATABASE) if action in LINK_ACTIONS else ""
        parameters = _read_action_parameters(block, action)
        length_ms = self._read_length(block, action)
        block.reject_unknown_keys()
        for name in named:
            if name not in self.node_names:
                raise block.error("nodes", f"no node {name!r} among n1 to n{len(self.node_names)}")
        nodes = named or self._draw_nodes(action, at_ms, share)
        steps = [Step(at_ms, action, nodes, link, parameters.jitter_ms, parameters.value)]
        if length_ms:
            steps.append(replace(steps[0], at_ms=at_ms + length_ms, do=END_OF_ACTION[action]))
        return steps

    def _read_length(self, block: Block, action: Action) -> float:
        if action not in END_OF_ACTION:
            return 0.0
        key = "again_after" if action in RESTARTED_ACTIONS else "for"
        return block.duration_ms(key, "0ms", min_ms=0.0, max_ms=self.duration_ms)

    def _draw_nodes(self, action: Action, at_ms: float, share: float) -> tuple[str, ...]:
        if action in FLEET_ACTIONS:
            return ()
        order = list(self.node_names)
        # The order is seeded by the time of the step. Simultaneous steps use the same order, so that a
        # smaller share is a subset of a larger one.
        random.Random(f"{self.seed}/{at_ms}").shuffle(order)
        return tuple(sorted(order[: round(share * len(order))], key=self.node_names.index))


def _read_action_parameters(block: Block, action: Action) -> _ActionParameters:
    """Read the parameters of a step with this action; each key has a default."""
    match action:
        case Action.DELAY:
            return _ActionParameters(block.number("ms", 100.0), block.number("jitter_ms", 0.0))
        case Action.SLOW_DATABASE:
            return _ActionParameters(block.number("factor", 5.0, 1.0))
        case Action.BANDWIDTH:
            return _ActionParameters(block.number("bytes_per_s", 2000.0, 1.0))
        case _:
            return _ActionParameters()
