"""Configurations for the nodes and emulators of a scenario, scaled from those of a reference site.

Pure. The reference site has the request classes of ``REFERENCE_CLASSES``. Its times apply to runs that take
302 ms of core time on average. A scenario with runs of 100 ms uses a third of each time, so that 20 s of its
run represent a minute and a window of 15,951 ms becomes 5.3 s.
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
# Mean core time of a run at the reference site, in ms. The classes below have about this mean (301.8 ms) if a
# fifth of the requests has an idempotency key, which is the default of a scenario.
REFERENCE_RUN_MS = 301.6
MACHINE_WARMUP_S = 17.0  # Time from the cold start of a machine until it is warm.
MAX_DATABASE_CALLS_PER_SLOT = 5.0  # The database survives this many calls per slot, in progress or waiting.
MEMORY_KB_PER_CORE = 8000.0
SHUTDOWN_TIMEOUT_MS = 1500
# Delay until a client repeats a keyed request; it stays within the idempotency window of the class.
MIN_RETRY_DELAY_MS = 900.0
MAX_RETRY_DELAY_MS = 14_000.0
# Balancer numbers in requests: for clients of this site, and for clients of another site.
OWN_BALANCER_NUMBER = 0
OTHER_SITE_BALANCER_NUMBER = 100


@dataclass(frozen=True, slots=True)
class ReferenceClass:
    """A request class of the reference site."""

    name: str
    share: float  # Share of this class in the requests without an idempotency key.
    run_ms: float  # Core time of one run of this class, in ms.
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    # Value of an answer after the latency objective, as a share of the class's priority weight.
    late_value: float
    # Value of an answer made without its calls, as a share; 0 if such answers are not made.
    value_without_calls: float
    makes_calls: bool  # Whether runs of this class call the database.
    keyed: bool
    window_ms: float  # Length of the idempotency window, in which a key identifies a retry.


REFERENCE_CLASSES = (
    ReferenceClass(
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
    ReferenceClass(
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
    ReferenceClass(
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
    """Addresses of the emulated services."""

    runtimes: list[Address]  # Addresses of the emulated runtimes, one per node.
    database: Address
    registry: Address


def time_scale(scenario: Scenario) -> float:
    """Return the ratio of the scenario's times to those of the reference site."""
    return scenario.run_ms / REFERENCE_RUN_MS


def core_times_ms(scenario: Scenario) -> dict[str, float]:
    """Return the core time of one run in ms, by class name."""
    return {
        request_class.name: request_class.run_ms * time_scale(scenario) for request_class in REFERENCE_CLASSES
    }


def deadlines_ms(scenario: Scenario) -> dict[str, float]:
    """Return the deadline of a request in ms, by class name."""
    return {
        request_class.name: request_class.deadline_ms * time_scale(scenario)
        for request_class in REFERENCE_CLASSES
    }


def requests_per_s(scenario: Scenario) -> float:
    """Return the request rate to all nodes together."""
    capacity_per_s = scenario.nodes * scenario.cores * MS_PER_S / scenario.run_ms
    return scenario.load.share * capacity_per_s


def services_configuration(scenario: Scenario, addresses: ServiceAddresses) -> dict[str, Any]:
    """Return the configuration of ``emulators.fleet_services``, which that module calls its plan."""
    return {
        "runtimes": [format_address(address) for address in addresses.runtimes],
        "database": format_address(addresses.database),
        "roster": format_address(addresses.registry),
        "cores": scenario.cores,
        "run_ms": core_times_ms(scenario),
        "call_ms": scenario.call_ms,
        "slots": scenario.slots,
        "seed": scenario.seed,
        "warmth": asdict(scenario.machine) | {"over_ms": deadlines_ms(scenario)},
        "calls": [request_class.name for request_class in REFERENCE_CLASSES if request_class.makes_calls],
    }


def balancers_configuration(
    scenario: Scenario, inbound_addresses: Mapping[str, Address], registry: Address, source_network: str
) -> dict[str, Any]:
    """Return the configuration of ``emulators.balancers``, which that module calls its plan.

    Args:
        scenario: The scenario.
        inbound_addresses: The address at which balancers reach each node, by node name.
        registry: Address of the registry.
        source_network: The first three octets of the balancers' own addresses.
    """
    scale = time_scale(scenario)
    return {
        "nodes": {name: format_address(address) for name, address in inbound_addresses.items()},
        "roster": format_address(registry),
        "sources": source_network,
        "seed": scenario.seed,
        "per_s": requests_per_s(scenario),
        "seconds": scenario.duration_ms / MS_PER_S,
        "keyed": scenario.load.keyed,
        "repeats": scenario.load.repeats,
        "foreign": scenario.load.foreign,
        "own_number": OWN_BALANCER_NUMBER,
        "others_number": OTHER_SITE_BALANCER_NUMBER,
        "again_ms": [MIN_RETRY_DELAY_MS * scale, MAX_RETRY_DELAY_MS * scale],
        "classes": [_traffic_fields(request_class, scale) for request_class in REFERENCE_CLASSES],
    }


def _traffic_fields(request_class: ReferenceClass, scale: float) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "share": request_class.share,
        "goal_ms": request_class.latency_objective_ms * scale,
        "deadline_ms": request_class.deadline_ms * scale,
        "worth": request_class.priority_weight,
        "late_value": request_class.late_value,
        "skip_worth": request_class.value_without_calls or 1.0,
        "keyed": request_class.keyed,
    }


def node_configuration(scenario: Scenario, example: dict[str, Any]) -> dict[str, Any]:
    """Return a node's configuration: the example's, with the classes, times and sizes of the scenario.

    Args:
        scenario: The scenario.
        example: The example configuration; its settings are modified.
    """
    settings = example["settings"]
    scale_s = time_scale(scenario) / MS_PER_S
    settings["classes"] = [_class_fields(request_class, scale_s) for request_class in REFERENCE_CLASSES]
    settings["domain"] |= {
        "cores": scenario.cores,
        "calls_out": MAX_DATABASE_CALLS_PER_SLOT * scenario.slots / scenario.nodes,
        "class_calls": [request_class.makes_calls for request_class in REFERENCE_CLASSES],
        "class_skip_worth": [request_class.value_without_calls for request_class in REFERENCE_CLASSES],
        "memory_kb": MEMORY_KB_PER_CORE * scenario.cores,
    }
    settings["peers_total"] = scenario.nodes
    settings["rules"] |= {
        "cold_share": scenario.machine.cold_share,
        "ramp_time_s": MACHINE_WARMUP_S * time_scale(scenario),
    }
    return example | {"stop_ms": SHUTDOWN_TIMEOUT_MS}


def _class_fields(request_class: ReferenceClass, scale_s: float) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "goal_time_s": request_class.latency_objective_ms * scale_s,
        "deadline_s": request_class.deadline_ms * scale_s,
        "importance": request_class.priority_weight,
        "effect": "idempotency_key" if request_class.keyed else "read_like",
        "late_value": request_class.late_value,
        "window_s": request_class.window_ms * scale_s,
    }


def operator_file(scenario: Scenario, folder: Path) -> str:
    """Return the operator's file of a node in HCL: records, and recovery and sites if the scenario has them.

    Args:
        scenario: The scenario.
        folder: The node's folder.
    """
    text = f'records {{\n  folder = "{folder / "records"}"\n}}\n'
    if scenario.comeback:
        text += (
            f'comeback {{\n  folder = "{folder / "state"}"\n  every = "500ms"\n  fresh_for = "60s"\n'
            f"  database_per_s = {scenario.database_per_s:g}\n"
            f'  database_call = "{scenario.call_ms:g}ms"\n}}\n'
        )
    if scenario.load.foreign:
        own = f"{OWN_BALANCER_NUMBER}-{OTHER_SITE_BALANCER_NUMBER - 1}"
        foreign = f"{OTHER_SITE_BALANCER_NUMBER}-{2 * OTHER_SITE_BALANCER_NUMBER}"
        text += (
            'site {\n  name = "here"\n'
            f'  home {{\n    name = "here"\n    balancers = ["{own}"]\n  }}\n'
            f'  home {{\n    name = "there"\n    balancers = ["{foreign}"]\n  }}\n}}\n'
        )
    return text
