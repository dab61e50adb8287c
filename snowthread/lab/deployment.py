"""Configuration of the nodes and emulators of a scenario: the reference site, scaled to its run time.

Pure. The times of the reference site hold for runs of 302 ms in the mean. A scenario with runs of 100 ms uses
a third of each time, so that 20 s of a run represent a minute, and a window of 15,951 ms becomes 5.3 s.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from snowthread.address import Address
from snowthread.lab.processes import format_address
from snowthread.lab.scenario import Scenario

MS_PER_S = 1000.0
REFERENCE_RUN_MS = 301.6  # of core time, in the mean over the classes by their shares
WARM_UP_S = 17.0  # from a cold start of a machine until it is warm
DATABASE_CALLS_PER_SLOT_MAX = 5.0  # calls in progress or waiting that the database survives, over its slots
MEMORY_KB_PER_CORE = 8000.0
SHUTDOWN_TIMEOUT_MS = 1500
# Of a keyed retry: within its window.
RETRY_DELAY_MIN_MS = 900.0
RETRY_DELAY_MAX_MS = 14_000.0
# Numbers of the balancers in requests: of this site's clients, and of another site's.
OWN_BALANCER = 0
FOREIGN_BALANCER = 100


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests of the reference site."""

    name: str
    share: float  # of the requests without an idempotency key
    run_ms: float  # of core time
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    late_value: float  # what an answer after the objective counts, as a share of its weight
    value_without_calls: float  # what an answer made without its calls counts; 0: no such answers
    makes_calls: bool  # runs call the database
    keyed: bool
    window_ms: float  # in which a key identifies a retry


REQUEST_CLASSES = (
    RequestClass(
        name="match",
        share=0.64,
        run_ms=375.0,
        latency_objective_ms=3200.0,
        deadline_ms=11000.0,
        priority_weight=1.0,
        late_value=0.2,
        value_without_calls=0.6,
        makes_calls=True,
        keyed=False,
        window_ms=5000.0,
    ),
    RequestClass(
        name="recalc",
        share=0.36,
        run_ms=270.0,
        latency_objective_ms=2100.0,
        deadline_ms=5300.0,
        priority_weight=2.0,
        late_value=0.0,
        value_without_calls=0.0,
        makes_calls=False,
        keyed=False,
        window_ms=5000.0,
    ),
    RequestClass(
        name="dispense",
        share=0.0,
        run_ms=160.0,
        latency_objective_ms=1600.0,
        deadline_ms=5300.0,
        priority_weight=5.0,
        late_value=0.2,
        value_without_calls=0.0,
        makes_calls=True,
        keyed=True,
        window_ms=15951.0,
    ),
)


@dataclass(frozen=True, slots=True)
class ServiceAddresses:
    """Where the emulated services listen."""

    runtimes: list[Address]  # one a node
    database: Address
    registry: Address


def time_scale(scenario: Scenario) -> float:
    """Return the scenario's times over those of the reference site."""
    return scenario.run_ms / REFERENCE_RUN_MS


def run_times_ms(scenario: Scenario) -> dict[str, float]:
    """Return the core time of a run by class."""
    return {kind.name: kind.run_ms * time_scale(scenario) for kind in REQUEST_CLASSES}


def deadlines_ms(scenario: Scenario) -> dict[str, float]:
    """Return the deadline of a request by class."""
    return {kind.name: kind.deadline_ms * time_scale(scenario) for kind in REQUEST_CLASSES}


def requests_per_s(scenario: Scenario) -> float:
    """Return the rate of requests to all nodes together."""
    capacity_per_s = scenario.nodes * scenario.cores * MS_PER_S / scenario.run_ms
    return scenario.load.share * capacity_per_s


def services_plan(scenario: Scenario, addresses: ServiceAddresses) -> dict[str, Any]:
    """Return the plan that ``emulators.fleet_services`` reads."""
    return {
        "runtimes": [format_address(address) for address in addresses.runtimes],
        "database": format_address(addresses.database),
        "roster": format_address(addresses.registry),
        "cores": scenario.cores,
        "run_ms": run_times_ms(scenario),
        "call_ms": scenario.call_ms,
        "slots": scenario.slots,
        "seed": scenario.seed,
        "warmth": asdict(scenario.machine) | {"over_ms": deadlines_ms(scenario)},
        "calls": [kind.name for kind in REQUEST_CLASSES if kind.makes_calls],
    }


def balancers_plan(
    scenario: Scenario, fronts: Mapping[str, Address], registry: Address, source_network: str
) -> dict[str, Any]:
    """Return the plan that ``emulators.balancers`` reads.

    ``fronts`` are the addresses of the nodes for balancers, by name; ``source_network`` is the first part of
    the balancers' own addresses.
    """
    scale = time_scale(scenario)
    return {
        "nodes": {name: format_address(address) for name, address in fronts.items()},
        "roster": format_address(registry),
        "sources": source_network,
        "seed": scenario.seed,
        "per_s": requests_per_s(scenario),
        "seconds": scenario.duration_ms / MS_PER_S,
        "keyed": scenario.load.keyed,
        "repeats": scenario.load.repeats,
        "foreign": scenario.load.foreign,
        "own_number": OWN_BALANCER,
        "others_number": FOREIGN_BALANCER,
        "again_ms": [RETRY_DELAY_MIN_MS * scale, RETRY_DELAY_MAX_MS * scale],
        "classes": [_traffic_fields(kind, scale) for kind in REQUEST_CLASSES],
    }


def _traffic_fields(kind: RequestClass, scale: float) -> dict[str, Any]:
    return {
        "name": kind.name,
        "share": kind.share,
        "goal_ms": kind.latency_objective_ms * scale,
        "deadline_ms": kind.deadline_ms * scale,
        "worth": kind.priority_weight,
        "late_value": kind.late_value,
        "skip_worth": kind.value_without_calls or 1.0,
        "keyed": kind.keyed,
    }


def node_fields(scenario: Scenario, example: dict[str, Any]) -> dict[str, Any]:
    """Return a node's configuration: the example's, with the classes and sizes of the scenario."""
    settings = example["settings"]
    scale_s = time_scale(scenario) / MS_PER_S
    settings["classes"] = [_class_fields(kind, scale_s) for kind in REQUEST_CLASSES]
    settings["domain"] |= {
        "cores": scenario.cores,
        "calls_out": DATABASE_CALLS_PER_SLOT_MAX * scenario.slots / scenario.nodes,
        "class_calls": [kind.makes_calls for kind in REQUEST_CLASSES],
        "class_skip_worth": [kind.value_without_calls for kind in REQUEST_CLASSES],
        "memory_kb": MEMORY_KB_PER_CORE * scenario.cores,
    }
    settings["peers_total"] = scenario.nodes
    settings["rules"] |= {
        "cold_share": scenario.machine.cold_share,
        "ramp_time_s": WARM_UP_S * time_scale(scenario),
    }
    return example | {"stop_ms": SHUTDOWN_TIMEOUT_MS}


def _class_fields(kind: RequestClass, scale_s: float) -> dict[str, Any]:
    return {
        "name": kind.name,
        "goal_time_s": kind.latency_objective_ms * scale_s,
        "deadline_s": kind.deadline_ms * scale_s,
        "importance": kind.priority_weight,
        "effect": "idempotency_key" if kind.keyed else "read_like",
        "late_value": kind.late_value,
        "window_s": kind.window_ms * scale_s,
    }


def features_file(scenario: Scenario, folder: Path) -> str:
    """Return the operator's file of a node: records, and recovery and sites where the scenario uses them."""
    text = f'records {{\n  folder = "{folder / "records"}"\n}}\n'
    if scenario.comeback:
        text += (
            f'comeback {{\n  folder = "{folder / "state"}"\n  every = "500ms"\n  fresh_for = "60s"\n'
            f"  database_per_s = {scenario.database_per_s:g}\n"
            f'  database_call = "{scenario.call_ms:g}ms"\n}}\n'
        )
    if scenario.load.foreign:
        own = f"{OWN_BALANCER}-{FOREIGN_BALANCER - 1}"
        foreign = f"{FOREIGN_BALANCER}-{2 * FOREIGN_BALANCER}"
        text += (
            'site {\n  name = "here"\n'
            f'  home {{\n    name = "here"\n    balancers = ["{own}"]\n  }}\n'
            f'  home {{\n    name = "there"\n    balancers = ["{foreign}"]\n  }}\n}}\n'
        )
    return text
