"""Executes the steps of a scenario on its fleet at their times."""

from __future__ import annotations

import signal
from functools import partial
from typing import Any

from snowthread.lab import state_damage
from snowthread.lab.fleet import Fleet, state_folder
from snowthread.lab.processes import NodeProcess
from snowthread.lab.scenario import Action, LinkName, Step

SIGNAL_OF_ACTION = {
    Action.KILL: signal.SIGKILL,
    Action.TERM: signal.SIGTERM,
    Action.STOP: signal.SIGSTOP,
    Action.CONTINUE: signal.SIGCONT,
}
DAMAGE_OF_ACTION = {
    Action.WIPE: state_damage.delete_contents,
    Action.TRUNCATE: state_damage.truncate_files,
    Action.CORRUPT: state_damage.corrupt_files,
}
# Actions on a link after which requests open on it may stay unanswered.
INTERRUPTING_ACTIONS = frozenset({Action.PARTITION, Action.CLOSE_CONNECTIONS})


class Timeline:
    """Applies the steps of a scenario to its fleet, and records the applied ones."""

    def __init__(self, fleet: Fleet) -> None:
        """Prepare for a fleet; :meth:`schedule` schedules its steps."""
        self._fleet = fleet
        self._generation = 1
        self.applied: list[Step] = []

    def schedule(self, begin_ms: float) -> None:
        """Schedule all steps on the fleet's event loop, counted from ``begin_ms`` on its clock."""
        for step in self._fleet.scenario.steps:
            self._fleet.loop.call_at(begin_ms + step.at_ms, partial(self.apply, step))

    def apply(self, step: Step) -> None:
        """Apply a step now."""
        self.applied.append(step)
        if not step.link:
            self._apply_to_fleet(step)
        for name in step.nodes:
            self._apply_to_node(self._fleet.nodes[name], step)

    def _apply_to_fleet(self, step: Step) -> None:
        services = self._fleet.services
        match step.do:
            case Action.SLOW_DATABASE:
                services.send(f"slow {step.value}")
            case Action.HEAL:
                services.send("slow 1.0")
            case Action.NEXT_GENERATION:
                self._generation += 1
                services.send(f"generation {self._generation}")

    def _apply_to_node(self, node: NodeProcess, step: Step) -> None:
        if step.do in SIGNAL_OF_ACTION:
            self._fleet.signal_node(node, SIGNAL_OF_ACTION[step.do])
        elif step.do is Action.RESTART:
            self._fleet.restart_node(node)
        elif step.do in DAMAGE_OF_ACTION:
            DAMAGE_OF_ACTION[step.do](state_folder(node.folder))
        elif step.link:
            self._apply_to_link(node, step)

    def _apply_to_link(self, node: NodeProcess, step: Step) -> None:
        link = LinkName(step.link)
        faults = self._fleet.links[node.name].get(link).faults
        if link is LinkName.INBOUND and step.do in INTERRUPTING_ACTIONS:
            self._fleet.report_node_down(node)
        match step.do:
            case Action.PARTITION:
                faults.partitioned = True
            case Action.DELAY:
                faults.delay_ms = step.value
                faults.jitter_ms = step.jitter_ms
            case Action.BANDWIDTH:
                faults.bytes_per_s = step.value
            case Action.CLOSE_CONNECTIONS:
                faults.cut_count += 1
            case Action.HEAL:
                faults.clear()

    def events(self) -> list[dict[str, Any]]:
        """Return the steps applied so far, as objects of the summary."""
        return [
            {"at_ms": step.at_ms, "do": step.do, "nodes": list(step.nodes), "link": step.link}
            for step in self.applied
        ]
