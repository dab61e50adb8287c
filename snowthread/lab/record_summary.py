"""Summarizes the nodes' records of a run: decisions on stale state, and what nodes found at start. Pure."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from typing import Any

from snowthread.records.model import Record

# A run time is stale if it was not confirmed for this many latency objectives of its class.
STALE_AFTER_OBJECTIVES = 2.0
STALE_TOLERANCE_S = 0.25  # Tolerance for the age of a run time: the interval at which nodes check it.
MS_PER_S = 1000.0
# Prefixes of the recovery feature's log events in records; earlier versions wrote "comeback.".
RECOVERY_EVENT_PREFIXES = ("recovery.", "comeback.")
# Events that report the failed write of a snapshot or an incarnation, which is not a finding of a start;
# "write" is the name that earlier versions wrote.
STATE_WRITE_EVENTS = frozenset({"write", "write_failed"})
# Keys of the summary by the names of log events, without their prefix.
START_FINDING_KEYS = {"key_log": "ring", "incarnation": "life", "registry": "roster"}


def summarize_records(records: Iterable[Record]) -> dict[str, Any]:
    """Count the decisions on stale state, and the findings of the nodes' starts, in the records of a run.

    A request counts as decided on stale state if it was read in a second at whose end the run times of its
    class had not been confirmed for more than ``STALE_AFTER_OBJECTIVES`` latency objectives.

    Returns:
        The keys ``stale_decisions``, ``decisions`` and ``starts`` of the summary.
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
    """Return the finding that a note of the recovery feature reports about a start.

    Returns:
        The key of the finding, followed by its verdict if it has one, as in "ring whole" or "life". Empty for
        a note of another feature, and for the failed write of a snapshot or an incarnation.
    """
    event = str(fields.get("event", ""))
    for prefix in RECOVERY_EVENT_PREFIXES:
        if event.startswith(prefix):
            name = event.removeprefix(prefix)
            name = START_FINDING_KEYS.get(name, name)
            if "verdict" in fields:
                return f"{name} {fields['verdict']}"
            return "" if name in STATE_WRITE_EVENTS else name
    return ""
