"""The kinds of records.

Every record has its node's name, the boot it belongs to (a random word, new with each start), a number that
goes up by one within the boot, and the node's own time in Unix milliseconds. What a number leaves out was
lost. ``fields`` hold only plain values, so that an older reader can show what it does not know.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

FORMAT = 1  # of the fields; a reader takes older ones, and newer ones as far as it knows them
KINDS = ("start", "end", "config", "drain", "list", "note", "link", "second", "gap")

Fields = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Record:
    """One record; ``at`` is in milliseconds by its node's clock."""

    node: str
    boot: str
    number: int
    at: float
    kind: str
    fields: Fields = field(default_factory=dict)

    @property
    def key(self) -> tuple[str, str, int]:
        """What two copies of one record share."""
        return self.node, self.boot, self.number


@dataclass(slots=True)
class Totals:
    """One second's counts of a class and tenant. Refusals by when, failures by how far the run had come."""

    read: int = 0
    served: int = 0  # in aim
    late: int = 0  # served after the aim
    attached: int = 0  # of the served: from another try's run
    refused: int = 0  # as read
    refused_held: int = 0  # after it was held
    refused_leaving: int = 0  # while the node was leaving
    failed: int = 0  # never started here
    failed_running: int = 0  # its run was begun
    failed_calling: int = 0  # and stood at a call
    left: int = 0  # nobody waited any more
    runs: int = 0

    NAMES = (
        "read",
        "served",
        "late",
        "attached",
        "refused",
        "refused_held",
        "refused_leaving",
        "failed",
        "failed_running",
        "failed_calling",
        "left",
        "runs",
    )

    def plain(self) -> Fields:
        """What is not zero."""
        return {name: value for name in self.NAMES if (value := getattr(self, name))}


# What each kind's fields mean; a test keeps docs/records.md and this alike.
MEANING: dict[str, dict[str, str]] = {
    "start": {
        "version": "the program's",
        "pid": "process id",
        "format": "of the fields",
        "classes": "name, aim and deadline in ms, of each class",
        "cores": "of the runtime",
    },
    "end": {"how": "left: after a notice; stopped: without one", "seconds": "since the start"},
    "config": {"taken": "whether it was taken up", "text": "the log's line"},
    "drain": {"left_ms": "until the process is killed"},
    "list": {"taking": "whether the node asks to be listed as taking work"},
    "note": {"text": "a line of the decisions"},
    "link": {"peer": "runtime, or a feature's peer", "up": "whether the link stands", "text": "why it broke"},
    "second": {
        "ms": "how long it was",
        "totals": "counts of each class and tenant: see below",
        "runs": "lengths of runs in ms, of each class: count, median, 99th, longest",
        "calls": "the same of calls to the index, by how they ended",
        "b": "the blocking probability",
        "limit": "the run limit",
        "mu": "the service rate learned",
        "lambda": "the arrival rate learned",
        "run_ages_s": "by class, seconds since a run last confirmed the times learned",
        "calls_in_hand": "calls being made",
        "held": "requests held",
        "running": "requests running",
        "gauges": "the runtime's own figures",
        "say": "the free value told to balancers",
        "connections": "open ones",
        "keys": "kept",
        "memory_mb": "of the process",
        "floors": "of each balancer: the least age in ms of its requests",
    },
    "gap": {"lost": "records that could not be written", "why": "no space, or the writer is behind"},
}
