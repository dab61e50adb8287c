"""Summarizes a run of the lab as one JSON object. Pure.

Service is the value of the answers over the value of the requests, by the second in which the requests were
sent; the reports and the summary call the value "worth". The baseline is the service from the third second of
the run to the first kill, term or stop of a node, or to the end of a run that has none: the sum of the values
of all answers in that time over the sum of the values of all requests.

The keys of the objects that are read and returned here are outer names: ``benchmarks/recovery.py`` reads the
summary, and ``docs/lab.md`` describes it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from snowthread.lab.deployment import MAX_DATABASE_CALLS_PER_SLOT
from snowthread.lab.scenario import Action, Scenario
from snowthread.lab.service_recovery import ServiceRecovery, measure_recovery

SETTLING_SECONDS = 2  # Number of seconds at the start of a run that are not part of the baseline.
MIN_VALUE_ASKED = 1e-9  # Avoids a division by zero, so that the baseline is 0 if there were no requests.
MS_PER_S = 1000.0
NODE_FAULTS = frozenset({Action.KILL, Action.TERM, Action.STOP})


@dataclass(frozen=True, slots=True)
class _RunReports:
    """The scenario of a run, and the reports of its emulators."""

    scenario: Scenario
    traffic: dict[str, Any]  # Report of emulators.balancers.
    services: dict[str, Any]  # Report of emulators.fleet_services.

    @property
    def table(self) -> dict[str, list[float]]:
        """Sums over the requests, by name, for each second of the run."""
        table: dict[str, list[float]] = self.traffic["by_second"]
        return table

    @property
    def seconds(self) -> int:
        return len(self.table["asked"])

    @property
    def fault_s(self) -> float | None:
        """Time of the first kill, term or stop, in seconds from the start of the run; None without one."""
        faults = [step.at_ms / MS_PER_S for step in self.scenario.steps if step.do in NODE_FAULTS]
        return faults[0] if faults else None

    @property
    def seconds_after_fault(self) -> range:
        return range(self.seconds if self.fault_s is None else int(self.fault_s), self.seconds)

    def emulator_counts_by_second(self, name: str) -> list[Any]:
        """Return a count of ``emulators.fleet_services`` for each second of the run.

        That process counts by the seconds of its clock; a second that it does not report counts as 0.
        """
        counts = self.services[name]
        begin = int(self.traffic["begin"] // MS_PER_S)
        return [counts.get(str(begin + second), 0) for second in range(self.seconds)]

    def largest_after_fault(self, name: str) -> float:
        counts = self.emulator_counts_by_second(name)
        return max((counts[second] for second in self.seconds_after_fault), default=0)


def summarize(
    scenario: Scenario, traffic: dict[str, Any], services: dict[str, Any], runner: dict[str, Any]
) -> dict[str, Any]:
    """Return the summary of a run.

    Args:
        scenario: The scenario.
        traffic: Report of ``emulators.balancers``.
        services: Report of ``emulators.fleet_services``.
        runner: Observations of the runner, which are added to the summary.
    """
    reports = _RunReports(scenario, traffic, services)
    return {
        "scenario": scenario.name,
        "seed": scenario.seed,
        "nodes": scenario.nodes,
        "comeback": scenario.comeback,
        **_request_figures(reports),
        **_service_figures(reports),
        **_database_figures(reports),
        **_figures_by_second(reports),
        **runner,
    }


def _request_figures(reports: _RunReports) -> dict[str, Any]:
    traffic = reports.traffic
    keyed_runs = reports.services["keyed"]
    tries = traffic["tries"]
    return {
        "asked": int(sum(reports.table["asked"])),
        "tries": tries,
        "lost": traffic["lost"],
        "gone_with_node": traffic["gone_with_node"],
        "answered_twice": tries.get("answered twice", 0),
        "late": tries.get("late", 0),
        "spoilt": tries.get("spoilt", 0),
        "keyed_runs_doubled": sum(count > 1 for count in keyed_runs.values()),
        "keys_run": len(keyed_runs),
        "homes": traffic["homes"],
        "foreign_keys_run": sum(key.partition("/")[2].startswith("f") for key in keyed_runs),
    }


def _service_figures(reports: _RunReports) -> dict[str, Any]:
    table = reports.table
    after = reports.seconds_after_fault
    baseline_seconds = range(min(SETTLING_SECONDS, after.start), after.start)
    value_asked = sum(table["worth_asked"][second] for second in baseline_seconds)
    baseline = sum(table["worth"][second] for second in baseline_seconds) / max(MIN_VALUE_ASKED, value_asked)
    recovery = ServiceRecovery(0.0, 0)
    if reports.fault_s is not None:
        recovery = measure_recovery(_service_levels(reports), reports.fault_s, baseline)
    # The cost of the recovery, however it went: the value that baseline service would have delivered, minus
    # the value that was delivered.
    lost = sum(baseline * table["worth_asked"][second] - table["worth"][second] for second in after)
    return {
        "served_before": round(baseline, 3),
        "time_to_full_s": recovery.full_service_s,
        "second_dips": recovery.later_dips,
        "worth_lost": round(lost, 1),
        "falls": sum(reports.services["falls"]),
        "known": reports.services["known"],
    }


def _service_levels(reports: _RunReports) -> list[float]:
    """Return the service in each second of the run; 1 in a second without requests."""
    rows = zip(reports.table["worth"], reports.table["worth_asked"], strict=True)
    return [value / asked if asked else 1.0 for value, asked in rows]


def _database_figures(reports: _RunReports) -> dict[str, Any]:
    scenario = reports.scenario
    capacity_per_s = scenario.database_per_s
    calls_max = MAX_DATABASE_CALLS_PER_SLOT * scenario.slots
    return {
        "database_per_s": round(capacity_per_s, 1),
        "database_peak_over_capacity": round(reports.largest_after_fault("calls") / capacity_per_s, 3),
        "database_held_over_limit": round(reports.largest_after_fault("held") / calls_max, 3),
        "database_refused": reports.services["database_refused"],
        "old_lives": reports.services["old_lives"],
    }


def _figures_by_second(reports: _RunReports) -> dict[str, Any]:
    classes: dict[str, list[list[float]]] = reports.traffic["classes"]
    return {
        "classes": {name: _value_share(rows) for name, rows in classes.items()},
        "classes_by_s": {name: [_value_share([row]) for row in rows] for name, rows in classes.items()},
        "service_by_s": [round(value, 3) for value in _service_levels(reports)],
        "warmth_by_s": reports.emulator_counts_by_second("warmth"),
        "asked_by_s": reports.table["asked"],
        "refused_by_s": reports.table["refused"],
        "failed_by_s": reports.table["failed"],
        "database_by_s": reports.emulator_counts_by_second("calls"),
        "database_done_by_s": reports.emulator_counts_by_second("done"),
        "database_held_by_s": reports.emulator_counts_by_second("held"),
    }


def _value_share(rows: list[list[float]]) -> float | None:
    """Return the value served over the value requested; None if nothing was requested."""
    asked = sum(row[0] for row in rows)
    return round(sum(row[1] for row in rows) / asked, 3) if asked else None
