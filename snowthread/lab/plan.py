"""A scenario of the lab, read from HCL, and the plan of timed steps it makes with its seed. Pure but
for reading the file: the same file and seed give the same plan, which prints as JSON lines and plays again.

A scenario (``deploy/restart.hcl`` is one)::

    seed = 1            nodes = 5            duration = "20s"
    load     { share = 0.9  keyed = 0.2  repeats = 0.3 }   # of capacity; share keyed; keyed tried again
    database { slots = 6  call_time = "80ms" }
    machine  { cold_share = 0.23  warm_calls = 0.5  cold_calls = 3  warm_replies = 150 }
    step { at = "6s"  do = "kill"  share = 0.8  again_after = "1s" }
    step { at = "6s"  do = "wipe"  share = 0.8 }

Steps (``do``), each on ``share`` of the nodes drawn by the seed, or on the ``nodes`` named. Steps at one
time with one share draw the same nodes, so a kill and a wipe meet; with another share, some of them.

| do         | what happens                                            | ``again_after`` / ``for``       |
| ---------- | ------------------------------------------------------- | ------------------------------- |
| kill       | SIGKILL, and its machine's power is off                 | both started again after so long |
| term       | SIGTERM: the node drains and leaves                     | started again after so long     |
| stop       | SIGSTOP                                                 | SIGCONT after so long           |
| wipe       | its state folder deleted                                | -                               |
| tear       | each file of its state folder cut to half               | -                               |
| spoil      | a byte of each file of its state folder changed         | -                               |
| generation | the roster's generation of the fleet goes up            | -                               |
| partition  | ``link`` (front, database, roster) holds and refuses    | healed after so long            |
| delay      | ``link`` delayed by ``ms``, and up to ``jitter_ms``     | healed after so long            |
| bandwidth  | ``link`` passes ``bytes_per_s`` (a slow reader)         | healed after so long            |
| cut        | ``link``'s connections closed                           | -                               |
| slow       | the database takes ``factor`` times as long (all nodes) | healed after so long            |
"""

from __future__ import annotations

import json
import random
from dataclasses import asdict, dataclass, field
from pathlib import Path

from snowthread.config import ConfigError
from snowthread.operator.hcl import Block, read

ACTIONS = (
    "kill",
    "term",
    "stop",
    "wipe",
    "tear",
    "spoil",
    "generation",
    "partition",
    "delay",
    "bandwidth",
    "cut",
    "slow",
)
AGAIN = {
    "kill": "start",
    "term": "start",
    "stop": "cont",
    "partition": "heal",
    "delay": "heal",
    "bandwidth": "heal",
    "slow": "heal",
}
ON_LINKS = ("partition", "delay", "bandwidth", "cut")
FOR_ALL = ("slow", "generation")  # steps that are not a node's
LINKS = ("front", "database", "roster")
NODES_MAX, STEPS_MAX, DURATION_MAX_MS = 64, 200, 600_000.0


@dataclass(frozen=True, slots=True)
class Load:
    share: float = 0.9  # of the fleet's capacity
    keyed: float = 0.2  # share of requests that carry a key
    repeats: float = 0.3  # share of keyed requests tried again, to the same node
    foreign: float = 0.0  # share that comes from another site's clients


@dataclass(frozen=True, slots=True)
class Machine:
    """How a node's machine gets warm: see ``emulators/machine.py``."""

    cold_share: float = 0.23
    warm_calls: float = 0.5
    cold_calls: float = 3.0
    warm_replies: int = 150


@dataclass(frozen=True, slots=True)
class Step:
    at_ms: float
    do: str
    nodes: tuple[str, ...] = ()
    link: str = ""
    jitter_ms: float = 0.0
    value: float = 0.0  # ms of a delay, factor of slowness, bytes a second


@dataclass(frozen=True, slots=True)
class Scenario:
    name: str
    seed: int
    nodes: int
    duration_ms: float
    load: Load
    slots: int  # calls the database works on at a time
    call_ms: float
    machine: Machine = Machine()
    cores: int = 4
    run_ms: float = 100.0  # of work, in the mean over the classes
    comeback: bool = False  # the nodes' feature of that name
    steps: tuple[Step, ...] = field(default_factory=tuple)

    def names(self) -> list[str]:
        return [f"n{number + 1}" for number in range(self.nodes)]

    @property
    def database_per_s(self) -> float:
        """Calls a second that the database gets done, uncrowded."""
        return self.slots * 1000.0 / self.call_ms


def _step(block: Block, names: list[str], seed: int, duration_ms: float) -> list[Step]:
    at = block.time("at", "0ms", least_ms=0.0, most_ms=duration_ms)
    do = block.choice("do", ACTIONS, "kill")
    named = block.texts("nodes", ())
    share = block.number("share", 0.0, 0.0, 1.0)
    link = block.choice("link", LINKS, "database") if do in ON_LINKS else ""
    value = jitter = 0.0
    if do == "delay":
        value, jitter = block.number("ms", 100.0), block.number("jitter_ms", 0.0)
    elif do == "slow":
        value = block.number("factor", 5.0, 1.0)
    elif do == "bandwidth":
        value = block.number("bytes_per_s", 2000.0, 1.0)
    again = (
        block.time(
            "again_after" if do in ("kill", "term") else "for", "0ms", least_ms=0.0, most_ms=duration_ms
        )
        if do in AGAIN
        else 0.0
    )
    block.done()
    for name in named:
        if name not in names:
            raise block.wrong("nodes", f"no node {name!r} among n1 to n{len(names)}")
    chosen: tuple[str, ...] = ()
    if named:
        chosen = tuple(named)
    elif do not in FOR_ALL:
        order = list(names)  # one time: one order, so that a smaller share is a part of a larger one
        random.Random(f"{seed}/{at}").shuffle(order)
        chosen = tuple(sorted(order[: round(share * len(names))], key=names.index))
    steps = [Step(at, do, chosen, link, jitter, value)]
    if again:
        steps.append(Step(at + again, AGAIN[do], chosen, link, jitter, value))
    return steps


def load(path: Path) -> Scenario:
    """The scenario of a file; ConfigError names what is wrong and where."""
    top = read(path)
    seed = top.count("seed", 1)
    nodes = top.count("nodes", 5, 1, NODES_MAX)
    duration = top.time("duration", "20s", least_ms=1000.0, most_ms=DURATION_MAX_MS)
    cores = top.count("cores", 4, 1, 64)
    run_ms = top.time("run_time", "100ms", least_ms=1.0, most_ms=10_000.0)
    part = top.part("load")
    load_ = Load(
        part.number("share", 0.9, 0.0, 3.0),
        part.number("keyed", 0.2, 0.0, 1.0),
        part.number("repeats", 0.3, 0.0, 1.0),
        part.number("foreign", 0.0, 0.0, 1.0),
    )
    part.done()
    database = top.part("database")
    slots = database.count("slots", 6, 1, 1000)
    call_ms = database.time("call_time", "80ms", least_ms=0.1, most_ms=10_000.0)
    database.done()
    part = top.part("machine")
    machine = Machine(
        part.number("cold_share", 0.23, 0.01, 1.0),
        part.number("warm_calls", 0.5, 0.0, 10.0),
        part.number("cold_calls", 3.0, 0.0, 20.0),
        part.count("warm_replies", 150, 1, 100_000),
    )
    part.done()
    comeback = top.flag("comeback", False)
    names = [f"n{number + 1}" for number in range(nodes)]
    steps = [step for block in top.blocks("step", STEPS_MAX) for step in _step(block, names, seed, duration)]
    top.done()
    steps.sort(key=lambda step: step.at_ms)  # stable: steps at one time keep the file's order
    return Scenario(
        path.stem,
        seed,
        nodes,
        duration,
        load_,
        slots,
        call_ms,
        machine,
        cores,
        run_ms,
        comeback,
        tuple(steps),
    )


def lines(scenario: Scenario) -> list[str]:
    """The plan as JSON lines: what ``lab plan`` prints, and what a replay compares."""
    head = asdict(scenario) | {"steps": len(scenario.steps)}
    steps = [json.dumps(asdict(step), sort_keys=True) for step in scenario.steps]
    return [json.dumps(head, sort_keys=True), *steps]


def read_scenario(path: Path) -> Scenario:
    """As :func:`load`, for the command line: a file that is not there is a ConfigError too."""
    if not path.is_file():
        raise ConfigError(f"{path}: no such scenario")
    return load(path)
