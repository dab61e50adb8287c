"""The records of a node: their kinds, their fields and what the fields mean.

Every record has its node's name, the boot it belongs to (a random word, new with each start), a number that
goes up by one within the boot, and the node's own time in Unix milliseconds. A number that is missing belongs
to a record that was lost. ``fields`` has only plain values, so that an older reader can show fields that it
does not know. Kinds and names of fields are stored: they never change their meaning.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, ClassVar, NamedTuple

FORMAT_VERSION = 1  # version of the fields; a reader takes older ones, and newer ones as far as it knows them


class RecordKind(StrEnum):
    """The kinds of records that this version writes; the values are stored."""

    START = "start"
    END = "end"
    CONFIG = "config"
    DRAIN = "drain"
    REGISTRATION = "list"
    NOTE = "note"
    LINK = "link"
    SECOND = "second"
    GAP = "gap"


KINDS = tuple(RecordKind)

RecordFields = dict[str, Any]


class BootId(NamedTuple):
    """One start of one node."""

    node: str
    boot: str


class RecordKey(NamedTuple):
    """What identifies a record; two copies of one record share it."""

    node: str
    boot: str
    number: int


class RecordDraft(NamedTuple):
    """A record before it has a number and a time."""

    kind: RecordKind
    fields: RecordFields


@dataclass(frozen=True, slots=True)
class Record:
    """One record; ``at`` is in Unix milliseconds by its node's clock.

    ``kind`` is a plain string, as a newer version may have written a kind that is not known here.
    """

    node: str
    boot: str
    number: int
    at_ms: float
    kind: str
    fields: RecordFields = field(default_factory=dict)

    @property
    def key(self) -> RecordKey:
        """What identifies this record."""
        return RecordKey(self.node, self.boot, self.number)

    @property
    def boot_id(self) -> BootId:
        """The start of the node that this record belongs to."""
        return BootId(self.node, self.boot)


@dataclass(slots=True)
class RequestCounts:
    """Counts of one class and tenant in one second, under the names that are stored.

    Rejections are counted by when they came, failures by how far the run had got.
    """

    read: int = 0
    served: int = 0  # within the latency objective
    late: int = 0  # served after the latency objective
    attached: int = 0  # of those served: with the result of another attempt's run
    refused: int = 0  # rejected on arrival
    refused_held: int = 0  # rejected after being queued
    refused_leaving: int = 0  # rejected during the graceful shutdown
    failed: int = 0  # before a run was started here
    failed_running: int = 0  # after the run was started
    failed_calling: int = 0  # while a call of the run was in flight
    left: int = 0  # cancelled by the caller
    runs: int = 0  # runs started

    NAMES: ClassVar[tuple[str, ...]] = (
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

    def nonzero_counts(self) -> RecordFields:
        """Return the counts that are not zero, by name."""
        return {name: value for name in self.NAMES if (value := getattr(self, name))}


# What the fields of each kind mean; a test checks that docs/records.md names them all.
FIELD_DESCRIPTIONS: dict[RecordKind, dict[str, str]] = {
    RecordKind.START: {
        "version": "the program's version",
        "pid": "process id",
        "format": "version of the fields",
        "classes": "name, latency objective and deadline in ms, of each class",
        "cores": "cores of the runtime",
    },
    RecordKind.END: {
        "how": "left: after a shutdown notice; stopped: without one",
        "seconds": "time since the start",
    },
    RecordKind.CONFIG: {"taken": "whether the configuration was accepted", "text": "the line of the log"},
    RecordKind.DRAIN: {"left_ms": "time until the process is killed"},
    RecordKind.REGISTRATION: {"taking": "whether the node asks to be registered as accepting work"},
    RecordKind.NOTE: {"text": "a line of the log that has an event"},
    RecordKind.LINK: {
        "peer": "the runtime, or a feature's peer",
        "up": "whether the connection is established",
        "text": "why it was lost",
    },
    RecordKind.SECOND: {
        "ms": "length of the interval",
        "totals": "counts of each class and tenant, see RequestCounts",
        "runs": "durations of runs in ms, of each class: count, median, 99th percentile, longest",
        "calls": "the same of calls to the database, by outcome",
        "b": "the blocking probability",
        "limit": "the concurrency limit",
        "mu": "the learned service rate",
        "lambda": "the learned arrival rate",
        "run_ages_s": "by class, seconds since a run last confirmed the learned times",
        "calls_in_hand": "calls in flight",
        "held": "requests queued",
        "running": "requests running",
        "gauges": "the runtime's own load sample",
        "say": "the load report sent to balancers",
        "connections": "open connections",
        "keys": "idempotency keys remembered",
        "memory_mb": "memory of the process",
        "floors": "of each balancer: the least age of its requests in ms",
    },
    RecordKind.GAP: {
        "lost": "records that could not be written",
        "why": "the error of the disk, or that the writer is behind",
    },
}
