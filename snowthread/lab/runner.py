"""Runs a scenario from start to summary on one event loop, which drives the relays and the timeline.

The lab controls the processes of the fleet but makes no decisions for a node. If the machine has enough
cores, the nodes have cores of their own, and the lab and its emulators share the others. The summary has the
processor time that each process used.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Any

from snowthread.lab.cores import CoreAllocation
from snowthread.lab.fleet import LOOP_STEP_S, Fleet
from snowthread.lab.process_usage import cpu_seconds
from snowthread.lab.record_summary import summarize_records
from snowthread.lab.scenario import Scenario, plan_lines
from snowthread.lab.summary import summarize
from snowthread.lab.timeline import Timeline
from snowthread.net.clock import Clock
from snowthread.net.loop import EventLoop
from snowthread.records.reader import Findings, merge_records

# By this time after the last request, every request has been answered or is late.
LAST_ANSWERS_GRACE_MS = 2500.0
SAMPLE_INTERVAL_MS = 1000.0


class ScenarioRunner:
    """One run of a scenario in its own folder."""

    def __init__(self, scenario: Scenario, folder: Path, lab_cores: int) -> None:
        """Start the emulators and relays; :meth:`run` starts the nodes."""
        self._scenario = scenario
        self._folder = folder
        self._loop = EventLoop(Clock())
        self._cores = CoreAllocation(lab_cores)
        self._fleet = Fleet(scenario, folder, self._loop, self._cores)
        self._timeline = Timeline(self._fleet)
        self._accepting_by_s: list[int] = []
        self._cpu_s: dict[str, float] = {}

    def run(self) -> dict[str, Any]:
        """Run the scenario to its end, stop all processes, and return the summary."""
        try:
            self._fleet.start()
            self._run_timeline()
            traffic = self._fleet.balancers.report()
            services = self._fleet.services.report()
            self._measure_cpu()
        finally:
            self._close()
        records = merge_records(sorted(self._folder.glob("*/records")), Findings())
        return (
            summarize(self._scenario, traffic, services, self._observations())
            | summarize_records(records)
            | {"plan": plan_lines(self._scenario)}
        )

    def _run_timeline(self) -> None:
        begin_ms = self._loop.clock.now()
        self._fleet.balancers.send("go")
        self._timeline.schedule(begin_ms)
        end_ms = begin_ms + self._scenario.duration_ms + LAST_ANSWERS_GRACE_MS
        next_sample_ms = begin_ms
        while (now := self._loop.clock.now()) < end_ms:
            self._loop.run_once(LOOP_STEP_S)
            if now >= next_sample_ms:
                self._accepting_by_s.append(self._fleet.accepting_nodes())
                next_sample_ms += SAMPLE_INTERVAL_MS

    def _measure_cpu(self) -> None:
        for name, pid in ({"lab": os.getpid()} | self._fleet.pids()).items():
            with contextlib.suppress(OSError):  # A process that has ended has no usage to read.
                self._cpu_s[name] = round(cpu_seconds(pid), 2)

    def _close(self) -> None:
        self._fleet.close()
        self._loop.end_all_tasks()
        self._cores.release()

    def _observations(self) -> dict[str, Any]:
        """Return the observations of the runner, as keys of the summary."""
        return {
            "alive_by_s": self._accepting_by_s,
            "events": self._timeline.events(),
            "ready_ms": self._fleet.ready_ms,
            "cpu_s": self._cpu_s,
            "lives": {name: node.starts for name, node in self._fleet.nodes.items()},
            "logs": sorted(str(path) for path in self._folder.glob("*/log.*")),
        }
