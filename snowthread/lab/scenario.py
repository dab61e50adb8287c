"""Scenarios of the lab: the fleet, its traffic and the timed steps.

Pure. :mod:`snowthread.lab.scenario_file` reads them.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from enum import StrEnum

MS_PER_S = 1000.0


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
    """One timed action on some nodes, one of their links, or the fleet."""

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
        return node_names(self.nodes)

    @property
    def database_per_s(self) -> float:
        """Calls a second that the database completes when it is not overloaded."""
        return self.slots * MS_PER_S / self.call_ms


def node_names(count: int) -> list[str]:
    """Return the names of so many nodes, ``n1`` and on."""
    return [f"n{number + 1}" for number in range(count)]


def plan_lines(scenario: Scenario) -> list[str]:
    """Return the scenario and its steps as JSON lines: the output of ``lab plan``."""
    head = asdict(scenario) | {"steps": len(scenario.steps)}
    steps = [json.dumps(asdict(step), sort_keys=True) for step in scenario.steps]
    return [json.dumps(head, sort_keys=True), *steps]
