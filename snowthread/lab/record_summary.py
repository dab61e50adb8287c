"""Sum up the nodes' records of a run: decisions on stale state, and what starts of nodes found. Pure."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from typing import Any

from snowthread.records.model import Record

STALE_AFTER_OBJECTIVES = 2.0  # age of a run time, in latency objectives, from which it counts as stale
STALE_TOLERANCE_S = 0.25  # the nodes check the age this often
MS_PER_S = 1000.0
# Log events of the recovery feature in the nodes' records; earlier versions wrote the second prefix.
RECOVERY_EVENT_PREFIXES = ("recovery.", "comeback.")
SNAPSHOT_WRITE_EVENTS = frozenset({"write", "write_failed"})  # these say nothing about a start
START_FINDING_KEYS = {"key_log": "ring", "incarnation": "life", "registry": "roster"}  # event to summary key


def summarize_records(records: Iterable[Record]) -> dict[str, Any]:
    """Return the decisions made on stale state, and what each start of a node found and trusted.

    A request counts as decided on stale state where it was read in a second at whose end the run times of its
    class had not been confirmed for more than ``STALE_AFTER_OBJECTIVES``.
    """
    objectives_s: dict[str, float] = {}
    stale = 0
    decisions = 0
    starts: Counter[str] = Counter()
    for record in records:
        fields = record.fields
        if record.kind == "start":
            objectives_s |= {name: objective_ms / MS_PER_S for name, objective_ms, _ in fields["classes"]}
        elif record.kind == "note":
            if found := _start_finding(fields):
                starts[found] += 1
        elif record.kind == "second":
            ages_s = fields.get("run_ages_s", {})
            for name, _, counts in fields["totals"]:
                read = counts.get("read", 0)
                decisions += read
                limit_s = STALE_AFTER_OBJECTIVES * objectives_s.get(name, math.inf) + STALE_TOLERANCE_S
                if ages_s.get(name, 0.0) > limit_s:
                    stale += read
    return {"stale_decisions": stale, "decisions": decisions, "starts": dict(starts)}


def _start_finding(fields: dict[str, Any]) -> str:
    """Return what a note of the recovery feature says about a start; empty for other notes."""
    event = str(fields.get("event", ""))
    for prefix in RECOVERY_EVENT_PREFIXES:
        if event.startswith(prefix):
            name = event.removeprefix(prefix)
            name = START_FINDING_KEYS.get(name, name)
            if "verdict" in fields:
                return f"{name} {fields['verdict']}"
            return "" if name in SNAPSHOT_WRITE_EVENTS else name
    return ""
