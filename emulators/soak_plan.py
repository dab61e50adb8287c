"""The plan of a soak of one node, generated from a seed; the same seed always gives the same plan."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from enum import Enum

from emulators.node_under_faults import NodeScenario
from emulators.strict_runtime import MachineModel

CLASS_NAMES = ("match", "recalc", "dispense")
KILL_AFTER_DEADLINE_MS = 700  # Minimum time from the longest deadline of an open request to the kill.
FAULTS_BEGIN_MS = 1500.0
MS_PER_S = 1000.0
CANCEL_DELAYS_MS = (0.0, 300.0, 1500.0, math.inf)
FLAPPING_SHARE = 0.5  # Share of the plans in which the link to the runtime breaks repeatedly until the kill.


class FaultKind(Enum):
    """A kind of fault, or of disturbance by a signal or by clients."""

    RUNTIME_RESET = "runtime link reset"
    RUNTIME_DOWN = "runtime link down"
    RUNTIME_DELAY = "runtime link slow"
    RUNTIME_SILENT = "runtime link silent"
    DATABASE_RESET = "database connections reset"
    DATABASE_DOWN = "database down"
    DATABASE_SLOW = "database slow"
    CLIENT_RESET = "client reset"
    IDLE_CONNECTIONS = "idle connections"
    RELOAD = "SIGHUP"
    PAUSE = "SIGSTOP"


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault of a plan.

    Attributes:
        at_ms: Start in ms since the beginning of the traffic.
        kind: The kind of fault.
        duration_ms: Duration in ms; 0 if the fault has none.
        value: The delay or answer time in ms, or the number of idle connections, as the kind requires.
    """

    at_ms: float
    kind: FaultKind
    duration_ms: float = 0.0
    value: float = 0.0


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The plan of one soak."""

    seed: int
    scenario: NodeScenario
    traffic_ms: float  # Time in ms until the first SIGTERM; clients continue after it until the kill.
    connections: int
    cancelled_share: float  # Share of the requests that their client gives up before their deadline.
    cancel_delay_ms: float  # Time in ms after which the node is told of that; infinite if it is never told.
    repeated_share: float  # Share of the requests with an idempotency key that their client sends again.
    terminations: int  # Number of times SIGTERM is sent.
    faults: tuple[PlannedFault, ...]


def draw_plan(seed: int, traffic_ms: float = 7000.0) -> SoakPlan:
    """Return the plan of a seed, with ``traffic_ms`` milliseconds of traffic before the first SIGTERM."""
    generator = random.Random(seed)
    scenario = _draw_scenario(generator)
    return SoakPlan(
        seed=seed,
        scenario=scenario,
        traffic_ms=traffic_ms,
        connections=generator.choice((2, 5, 12)),
        cancelled_share=generator.choice((0.0, 0.05, 0.2)),
        repeated_share=generator.choice((0.0, 0.2, 0.5)),
        terminations=generator.choice((1, 2, 4)),
        faults=tuple(sorted(_draw_faults(generator, traffic_ms), key=lambda fault: fault.at_ms)),
        # Drawn separately, so that the rest of the plan of a seed stays the same.
        cancel_delay_ms=random.Random(f"cancel {seed}").choice(CANCEL_DELAYS_MS),
    )


def _draw_scenario(generator: random.Random) -> NodeScenario:
    deadline_s = generator.choice((0.8, 1.5, 3.0))
    keyed = generator.choice((("dispense",), ("dispense", "recalc"), CLASS_NAMES))
    preemption = generator.choice(("drop", "drop", "pause", "none"))
    is_cold = generator.random() < 0.4
    shares = [generator.uniform(0.1, 1.0) for _ in CLASS_NAMES]
    call_share = generator.choice((0.0, 0.4, 1.0))
    model = MachineModel(
        cores=generator.choice((1, 2, 4, 6)),
        mean_run_ms=generator.choice((80.0, 200.0, 500.0)),
        call_share={"match": call_share, "dispense": call_share},
        supports_stop=preemption != "none",
        cold_speed_ratio=0.23 if is_cold else 1.0,
        warmup_ms=17_000.0 if is_cold else 0.0,
    )
    return NodeScenario(
        model=model,
        load_ratio=generator.choice((0.6, 1.2, 2.0, 3.5)),
        class_shares=dict(zip(CLASS_NAMES, shares, strict=True)),
        keyed_classes=frozenset(keyed),
        preemption=preemption,
        database_ms=generator.choice((5.0, 60.0)),
        wait_ms=deadline_s * MS_PER_S,
        deadline_s=deadline_s,
        stop_ms=int(deadline_s * MS_PER_S) + KILL_AFTER_DEADLINE_MS,
    )


def _draw_faults(generator: random.Random, traffic_ms: float) -> list[PlannedFault]:
    """Return two to four random series of faults, each of one kind with a mean interval of its own."""
    faults: list[PlannedFault] = []
    for kind in generator.sample(list(FaultKind), generator.randint(2, 4)):
        at_ms = generator.uniform(FAULTS_BEGIN_MS, traffic_ms * 0.6)
        until_ms = at_ms + generator.choice((500.0, 2500.0, traffic_ms))
        period_ms = _draw_period_ms(kind, generator)
        while at_ms < until_ms:
            faults.append(_draw_fault(kind, at_ms, generator))
            at_ms += period_ms * generator.uniform(0.6, 1.4)
    return faults + _draw_flapping(random.Random(generator.getrandbits(32)), traffic_ms)


def _draw_flapping(generator: random.Random, traffic_ms: float) -> list[PlannedFault]:
    """Return, in half of the cases, a series of link breaks to the runtime that lasts until the kill."""
    if generator.random() >= FLAPPING_SHARE:
        return []
    period_ms = generator.choice((120.0, 200.0, 600.0))
    down_share = generator.choice((0.0, 0.1, 0.4))  # Share of the period for which the link stays down.
    faults = []
    at_ms = FAULTS_BEGIN_MS
    while at_ms < traffic_ms * 2.0:
        kind = FaultKind.RUNTIME_DOWN if down_share else FaultKind.RUNTIME_RESET
        faults.append(PlannedFault(at_ms, kind, down_share * period_ms))
        at_ms += period_ms * generator.uniform(0.8, 1.2)
    return faults


def _draw_period_ms(kind: FaultKind, generator: random.Random) -> float:
    if kind in (FaultKind.RUNTIME_RESET, FaultKind.DATABASE_RESET, FaultKind.CLIENT_RESET):
        return generator.choice((120.0, 350.0, 600.0))
    return generator.choice((700.0, 1500.0))


def _draw_fault(kind: FaultKind, at_ms: float, generator: random.Random) -> PlannedFault:
    duration_ms = generator.uniform(50.0, 500.0)
    match kind:
        case FaultKind.RUNTIME_DELAY:
            return PlannedFault(at_ms, kind, duration_ms, generator.uniform(20.0, 200.0))
        case FaultKind.DATABASE_SLOW:
            return PlannedFault(at_ms, kind, duration_ms * 2.0, generator.uniform(200.0, 1500.0))
        case FaultKind.IDLE_CONNECTIONS:
            return PlannedFault(at_ms, kind, duration_ms, generator.choice((50, 300)))
        case FaultKind.PAUSE:
            return PlannedFault(at_ms, kind, generator.uniform(20.0, 150.0))
        case _:
            return PlannedFault(at_ms, kind, duration_ms)
