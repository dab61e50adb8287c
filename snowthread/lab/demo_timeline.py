"""Timeline of the demo: a slow database, a rolling deployment and a crash."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from snowthread.lab.demo_display import Display
from snowthread.lab.demo_fleet import DATABASE_CALL_MS, LOOP_STEP_S, NODE_COUNT, DemoFleet

MS_PER_S = 1000.0
SLOW_DATABASE_CALL_MS = 150.0
# Times of the events, as shares of the demo's duration.
SLOW_DATABASE_START_SHARE = 0.25
SLOW_DATABASE_END_SHARE = 0.45
DEPLOY_START_SHARE = 0.6
CRASH_TIME_SHARE = 0.85
# Seconds between the nodes of the rolling deployment, and from a node's stop or crash to its restart.
DEPLOY_INTERVAL_S = 3.0
DEPLOY_RESTART_S = 2.0
CRASH_RESTART_S = 4.0
CRASHED_NODE_INDEX = 1
MIN_TRAFFIC_AFTER_LAST_STEP_S = 6.0  # Seconds of load at least after the last step.


@dataclass(frozen=True, slots=True)
class DemoStep:
    """An action on the fleet at a time of the demo, with a description for the display."""

    at_s: float
    description: str
    action: Callable[[], None]


def plan_steps(fleet: DemoFleet, seconds: float) -> list[DemoStep]:
    """Return the steps of a demo that lasts this many seconds, ordered by time."""
    steps = [
        DemoStep(
            SLOW_DATABASE_START_SHARE * seconds,
            "the database becomes slow",
            partial(fleet.set_database_call_time, SLOW_DATABASE_CALL_MS),
        ),
        DemoStep(
            SLOW_DATABASE_END_SHARE * seconds,
            "the database is as fast as before",
            partial(fleet.set_database_call_time, DATABASE_CALL_MS),
        ),
    ]
    deploy_s = DEPLOY_START_SHARE * seconds
    for index in range(NODE_COUNT):
        steps += _stop_and_restart(
            fleet, index, deploy_s + index * DEPLOY_INTERVAL_S, signal.SIGTERM, DEPLOY_RESTART_S
        )
    deployed_s = deploy_s + NODE_COUNT * DEPLOY_INTERVAL_S + DEPLOY_RESTART_S
    crash_s = max(CRASH_TIME_SHARE * seconds, deployed_s)
    steps += _stop_and_restart(fleet, CRASHED_NODE_INDEX, crash_s, signal.SIGKILL, CRASH_RESTART_S)
    return sorted(steps, key=lambda step: step.at_s)


def _stop_and_restart(
    fleet: DemoFleet, index: int, at_s: float, signal_number: signal.Signals, restart_after_s: float
) -> list[DemoStep]:
    name = fleet.nodes[index].name
    stopped = f"{name} is killed" if signal_number is signal.SIGKILL else f"{name} shuts down gracefully"
    return [
        DemoStep(at_s, stopped, fleet.stop_action(index, signal_number)),
        DemoStep(at_s + restart_after_s, f"{name} starts again", fleet.restart_action(index)),
    ]


def run_demo(fleet: DemoFleet, seconds: float, display: Display) -> None:
    """Run the demo: send requests, execute the steps at their times, and update the display.

    Args:
        fleet: The fleet, whose nodes have been started.
        seconds: Duration of the demo; it is extended if the last step would come too late.
        display: Shows the progress.
    """
    steps = plan_steps(fleet, seconds)
    seconds = max(seconds, steps[-1].at_s + MIN_TRAFFIC_AFTER_LAST_STEP_S)
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
