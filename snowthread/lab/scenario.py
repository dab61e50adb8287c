"""Model of a lab scenario: the fleet, its traffic and the timed steps.

Pure. :mod:`snowthread.lab.scenario_file` reads scenarios from files.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from enum import StrEnum

MS_PER_S = 1000.0


class Action(StrEnum):
    """The action of a step; the values are those of ``do`` in a scenario file."""

    KILL = "kill"
    TERM = "term"
    STOP = "stop"
    WIPE = "wipe"
    TRUNCATE = "tear"
    CORRUPT = "spoil"
    NEXT_GENERATION = "generation"
    PARTITION = "partition"
    DELAY = "delay"
    BANDWIDTH = "bandwidth"
    CLOSE_CONNECTIONS = "cut"
    SLOW_DATABASE = "slow"
    # Not allowed in a scenario file: each of these ends the effect of a step with a duration.
    RESTART = "start"
    CONTINUE = "cont"
    HEAL = "heal"


class LinkName(StrEnum):
    """A link between a node and a service; the values are those of ``link`` in a scenario file."""

    INBOUND = "front"
    DATABASE = "database"
    REGISTRY = "roster"


# The field names of the dataclasses below are printed by ``lab plan`` and compared by ``lab replay``.


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """The traffic of a scenario, as shares from 0 to 1; ``share`` is above 1 for an overload."""

    share: float = 0.9  # Request rate, as a share of the fleet's capacity.
    keyed: float = 0.2  # Share of requests with an idempotency key.
    repeats: float = 0.3  # Share of keyed requests that the client sends twice.
    foreign: float = 0.0  # Share of requests that come from another site's clients.


@dataclass(frozen=True, slots=True)
class MachineSettings:
    """How the emulated machine of a node warms up (``emulators/machine.py``)."""

    cold_share: float = 0.23  # Speed of a cold machine, as a share of its speed when warm.
    warm_calls: float = 0.5  # Mean number of database calls of a run on a warm machine.
    cold_calls: float = 3.0  # Mean number of calls that a run on a cold machine makes beyond those.
    warm_replies: int = 150  # Number of database replies after which a cold machine is warm.


@dataclass(frozen=True, slots=True)
class Step:
    """A timed action on some nodes, on one link of each of them, or on the whole fleet."""

    at_ms: float
    do: Action
    nodes: tuple[str, ...] = ()
    link: str = ""
    jitter_ms: float = 0.0
    value: float = 0.0  # Delay in ms, slowdown factor, or bytes per second, depending on the action.


@dataclass(frozen=True, slots=True)
class Scenario:
    """A validated scenario, with its steps ordered by time."""

    name: str
    seed: int
    nodes: int
    duration_ms: float
    load: LoadSettings
    slots: int  # Number of calls that the database processes at a time.
    call_ms: float  # Duration of one database call, in ms.
    machine: MachineSettings = MachineSettings()
    cores: int = 4  # Cores of each node's machine.
    run_ms: float = 100.0  # Core time of one run in ms, averaged over the classes.
    comeback: bool = False  # Whether the recovery feature of the nodes is enabled.
    steps: tuple[Step, ...] = ()

    def node_names(self) -> list[str]:
        """Return the names of the nodes: ``n1``, ``n2`` and so on."""
        return node_names(self.nodes)

    @property
    def database_per_s(self) -> float:
        """The number of calls per second that the database completes when it is not overloaded."""
        return self.slots * MS_PER_S / self.call_ms


def node_names(count: int) -> list[str]:
    """Return the names of this many nodes: ``n1``, ``n2`` and so on."""
    return [f"n{number + 1}" for number in range(count)]


def plan_lines(scenario: Scenario) -> list[str]:
    """Return the scenario and its steps as JSON lines, which is the output of ``lab plan``."""
    head = asdict(scenario) | {"steps": len(scenario.steps)}
    steps = [json.dumps(asdict(step), sort_keys=True) for step in scenario.steps]
    return [json.dumps(head, sort_keys=True), *steps]
