"""What a play came to: one JSON object from what the stand-ins and the runner saw. Pure.

Service is worth in aim over the worth asked for, by the second in which requests were born. Before is its
mean from the third second on to the first fault. Full again is the first second from which three smoothed
seconds (the mean of three) on end have 95 % of that; a second dip is a smoothed second after it under 90 %.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from snowthread.lab.plan import Scenario
from snowthread.records.model import Record

FULL, DIPPED, LASTS = 0.95, 0.9, 3
STALE, PERIOD_S = 2.0, 0.25  # aims: the bound of the coming back; and how often it looks
SETTLED_S = 2  # the fleet's first seconds tell nothing of before


def smooth(values: list[float]) -> list[float]:
    """Each second's mean with its neighbours."""
    return [
        sum(values[max(0, n - 1) : n + 2]) / len(values[max(0, n - 1) : n + 2]) for n in range(len(values))
    ]


def back(service: list[float], fault_s: float, before: float) -> tuple[float | None, int]:
    """Seconds from the fault to full service (None: not within the play), and seconds of a second dip."""
    even, first = smooth(service), int(fault_s)
    for second in range(first, len(even) - LASTS + 1):
        if all(value >= FULL * before for value in even[second : second + LASTS]) and second > first:
            dips = sum(value < DIPPED * before for value in even[second + LASTS :])
            return max(0.0, second - fault_s), dips
    return None, 0


def share(rows: list[list[float]]) -> float | None:
    """Worth served over worth asked for; None where nothing was."""
    asked = sum(row[0] for row in rows)
    return round(sum(row[1] for row in rows) / asked, 3) if asked else None


def told(records: Iterable[Record]) -> dict[str, Any]:
    """What the nodes' own records say: decisions made on stale state (requests read in a second at whose end
    their class's run times had not been confirmed for over ``STALE`` aims), and what each start trusted."""
    aims: dict[str, float] = {}
    stale, decisions = 0, 0
    starts: Counter[str] = Counter()
    for record in records:
        fields = record.fields
        if record.kind == "start":
            aims |= {name: goal / 1000.0 for name, goal, _ in fields["classes"]}
        elif record.kind == "note" and str(fields.get("event", "")).startswith("comeback."):
            if "verdict" in fields:
                starts[f"{fields['event'].removeprefix('comeback.')} {fields['verdict']}"] += 1
            elif fields["event"] != "comeback.write":
                starts[fields["event"].removeprefix("comeback.")] += 1
        elif record.kind == "second":
            ages = fields.get("run_ages_s", {})
            for name, _, counts in fields["totals"]:
                decisions += counts.get("read", 0)
                if ages.get(name, 0.0) > STALE * aims.get(name, float("inf")) + PERIOD_S:
                    stale += counts.get("read", 0)
    return {"stale_decisions": stale, "decisions": decisions, "starts": dict(starts)}


def summary(
    scenario: Scenario, traffic: dict[str, Any], fleet: dict[str, Any], facts: dict[str, Any]
) -> dict[str, Any]:
    """The play as one JSON object."""
    table = traffic["by_second"]
    seconds = len(table["asked"])
    service = [
        worth / asked if asked else 1.0
        for worth, asked in zip(table["worth"], table["worth_asked"], strict=True)
    ]
    faults = [step.at_ms / 1000.0 for step in scenario.steps if step.do in ("kill", "term", "stop")]
    first = int(faults[0]) if faults else seconds
    calm = range(min(SETTLED_S, first), first)
    before = sum(table["worth"][s] for s in calm) / max(1e-9, sum(table["worth_asked"][s] for s in calm))
    full_s, dips = back(service, faults[0], before) if faults else (0.0, 0)
    base = int(traffic["begin"] // 1000)

    def by_second(counts: dict[str, Any]) -> list[Any]:
        return [counts.get(str(base + second), 0) for second in range(seconds)]

    calls, held = by_second(fleet["calls"]), by_second(fleet["held"])
    after = slice(first, seconds)
    survives = 5.0 * scenario.slots
    tries = traffic["tries"]
    # What was asked for from the fault on and not got: the return's price, whatever its course.
    lost = sum(before * table["worth_asked"][s] - table["worth"][s] for s in range(first, seconds))
    return {
        "scenario": scenario.name,
        "seed": scenario.seed,
        "nodes": scenario.nodes,
        "comeback": scenario.comeback,
        "asked": int(sum(table["asked"])),
        "tries": tries,
        "lost": traffic["lost"],
        "gone_with_node": traffic["gone_with_node"],
        "answered_twice": tries.get("answered twice", 0),
        "late": tries.get("late", 0),
        "spoilt": tries.get("spoilt", 0),
        "keyed_runs_doubled": sum(count > 1 for count in fleet["keyed"].values()),
        "keys_run": len(fleet["keyed"]),
        "homes": traffic["homes"],
        "foreign_keys_run": sum(key.partition("/")[2].startswith("f") for key in fleet["keyed"]),
        "served_before": round(before, 3),
        "time_to_full_s": full_s,
        "second_dips": dips,
        "worth_lost": round(lost, 1),
        "falls": sum(fleet["falls"]),
        "known": fleet["known"],
        "database_per_s": round(scenario.database_per_s, 1),
        "database_peak_over_capacity": round(max(calls[after], default=0) / scenario.database_per_s, 3),
        "database_held_over_limit": round(max(held[after], default=0) / survives, 3),
        "database_refused": fleet["database_refused"],
        "old_lives": fleet["old_lives"],
        "classes": {name: share(rows) for name, rows in traffic["classes"].items()},
        "classes_by_s": {name: [share([row]) for row in rows] for name, rows in traffic["classes"].items()},
        "service_by_s": [round(value, 3) for value in service],
        "warmth_by_s": by_second(fleet["warmth"]),
        "asked_by_s": table["asked"],
        "refused_by_s": table["refused"],
        "failed_by_s": table["failed"],
        "database_by_s": calls,
        "database_done_by_s": by_second(fleet["done"]),
        "database_held_by_s": held,
        **facts,
    }
