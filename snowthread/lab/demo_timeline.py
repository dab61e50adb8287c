"""The timeline of the demo: a slow database, a rolling deploy, and a crash."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from snowthread.lab.demo_display import Display
from snowthread.lab.demo_fleet import DATABASE_MS, LOOP_STEP_S, NODES, DemoFleet

MS_PER_S = 1000.0
SLOW_DATABASE_MS = 150.0
# When things happen, as shares of the demo's length.
SLOW_FROM = 0.25
SLOW_UNTIL = 0.45
DEPLOY_FROM = 0.6
CRASH_AT = 0.85
# Seconds between two steps of the deploy and of the crash.
DEPLOY_INTERVAL_S = 3.0
DEPLOY_RESTART_S = 2.0
CRASH_RESTART_S = 4.0
CRASHED_NODE = 1
CALM_END_S = 6.0  # of traffic at least after the last step


@dataclass(frozen=True, slots=True)
class DemoStep:
    """One thing that happens to the fleet."""

    at_s: float
    description: str
    action: Callable[[], None]


def plan_steps(fleet: DemoFleet, seconds: float) -> list[DemoStep]:
    """Return the steps of a demo of this length, in order of time."""
    steps = [
        DemoStep(
            SLOW_FROM * seconds,
            "the database becomes slow",
            partial(fleet.set_database_time, SLOW_DATABASE_MS),
        ),
        DemoStep(
            SLOW_UNTIL * seconds,
            "the database is as fast as before",
            partial(fleet.set_database_time, DATABASE_MS),
        ),
    ]
    deploy_s = DEPLOY_FROM * seconds
    for number in range(NODES):
        steps += _stop_and_restart(
            fleet, number, deploy_s + number * DEPLOY_INTERVAL_S, signal.SIGTERM, DEPLOY_RESTART_S
        )
    deployed_s = deploy_s + NODES * DEPLOY_INTERVAL_S + DEPLOY_RESTART_S
    crash_s = max(CRASH_AT * seconds, deployed_s)
    steps += _stop_and_restart(fleet, CRASHED_NODE, crash_s, signal.SIGKILL, CRASH_RESTART_S)
    return sorted(steps, key=lambda step: step.at_s)


def _stop_and_restart(
    fleet: DemoFleet, number: int, at_s: float, how: signal.Signals, restart_after_s: float
) -> list[DemoStep]:
    name = fleet.nodes[number].name
    stopped = f"{name} is killed" if how is signal.SIGKILL else f"{name} shuts down gracefully"
    return [
        DemoStep(at_s, stopped, fleet.stopper(number, how)),
        DemoStep(at_s + restart_after_s, f"{name} starts again", fleet.restarter(number)),
    ]


def run_demo(fleet: DemoFleet, seconds: float, display: Display) -> None:
    """Send traffic for so long, carry out the steps at their times, and keep the display up to date."""
    steps = plan_steps(fleet, seconds)
    seconds = max(seconds, steps[-1].at_s + CALM_END_S)
    clock = fleet.loop.clock
    begin_ms = clock.now()
    fleet.start_load(seconds)
    while (now_s := (clock.now() - begin_ms) / MS_PER_S) < seconds:
        fleet.loop.run_once(LOOP_STEP_S)
        while steps and steps[0].at_s <= now_s:
            step = steps.pop(0)
            display.announce(now_s, step.description)
            step.action()
        display.update(now_s)
