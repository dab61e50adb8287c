"""The brief's site, scaled to a scenario's run time: classes, a node's settings, the stand-ins' tables. Pure.

Times of the brief are for a mean run of 302 ms; a scenario with runs of 100 ms has a third of each, so a play
of 20 s stands for a minute, and a window of 15,951 ms for 5.3 s.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from snowthread.lab.plan import Scenario

MEAN_RUN_MS = 301.6  # of the brief's classes by their shares
RAMP_S = 17.0  # until a machine is warm, as the settings say
SURVIVES = 5.0  # times its slots that the database may hold


@dataclass(frozen=True, slots=True)
class Kind:
    name: str
    share: float  # of the requests without a key
    run_ms: float
    goal_ms: float
    deadline_ms: float
    worth: float
    late: float
    skip: float
    calls: bool
    keyed: bool
    window_ms: float


CLASSES = (
    Kind("match", 0.64, 375.0, 3200.0, 11000.0, 1.0, 0.2, 0.6, True, False, 5000.0),
    Kind("recalc", 0.36, 270.0, 2100.0, 5300.0, 2.0, 0.0, 0.0, False, False, 5000.0),
    Kind("dispense", 0.0, 160.0, 1600.0, 5300.0, 5.0, 0.2, 0.0, True, True, 15951.0),
)


def scale(scenario: Scenario) -> float:
    """Of the brief's times."""
    return scenario.run_ms / MEAN_RUN_MS


def run_ms(scenario: Scenario) -> dict[str, float]:
    """Work of a run by class."""
    return {kind.name: kind.run_ms * scale(scenario) for kind in CLASSES}


def over_ms(scenario: Scenario) -> dict[str, float]:
    """After how long a class's requests are over."""
    return {kind.name: kind.deadline_ms * scale(scenario) for kind in CLASSES}


def balancer_classes(scenario: Scenario) -> dict[str, Any]:
    """What the balancers are told of the classes, and when keyed repeats come: within their window."""
    by = scale(scenario)
    return {
        "again_ms": [900.0 * by, 14_000.0 * by],
        "classes": [
            {
                "name": k.name,
                "share": k.share,
                "goal_ms": k.goal_ms * by,
                "deadline_ms": k.deadline_ms * by,
                "worth": k.worth,
                "late_value": k.late,
                "skip_worth": k.skip or 1.0,
                "keyed": k.keyed,
            }
            for k in CLASSES
        ],
    }


def node_fields(scenario: Scenario, fields: dict[str, Any]) -> dict[str, Any]:
    """A node's configuration, made of the example's: the brief's site in this scenario's size."""
    by, settings = scale(scenario) / 1000.0, fields["settings"]
    settings["classes"] = [
        {
            "name": k.name,
            "goal_time_s": k.goal_ms * by,
            "deadline_s": k.deadline_ms * by,
            "importance": k.worth,
            "effect": "idempotency_key" if k.keyed else "read_like",
            "late_value": k.late,
            "window_s": k.window_ms * by,
        }
        for k in CLASSES
    ]
    settings["domain"] |= {
        "cores": scenario.cores,
        "calls_out": SURVIVES * scenario.slots / scenario.nodes,
        "class_calls": [k.calls for k in CLASSES],
        "class_skip_worth": [k.skip for k in CLASSES],
        "memory_kb": 8000.0 * scenario.cores,
    }
    settings["peers_total"] = scenario.nodes
    settings["rules"] |= {"cold_share": scenario.machine.cold_share, "ramp_time_s": RAMP_S * scale(scenario)}
    return fields | {"stop_ms": 1500}


OWN, OTHERS = 0, 100  # balancers' numbers: of this site's clients and of another's


def features_file(scenario: Scenario, folder: Path) -> str:
    """The node's features: records always, coming back where the scenario has it on."""
    out = f'records {{\n  folder = "{folder / "records"}"\n}}\n'
    if scenario.comeback:
        out += (
            f'comeback {{\n  folder = "{folder / "state"}"\n  every = "500ms"\n  fresh_for = "60s"\n'
            f"  database_per_s = {scenario.database_per_s:g}\n"
            f'  database_call = "{scenario.call_ms:g}ms"\n}}\n'
        )
    if scenario.load.foreign:
        out += (
            'site {\n  name = "here"\n'
            f'  home {{\n    name = "here"\n    balancers = ["{OWN}-{OTHERS - 1}"]\n  }}\n'
            f'  home {{\n    name = "there"\n    balancers = ["{OTHERS}-{2 * OTHERS}"]\n  }}\n}}\n'
        )
    return out
