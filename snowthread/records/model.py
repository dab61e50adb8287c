"""The records of a node: their kinds, their fields and what the fields mean.

Every record has the name of its node, the boot it belongs to (a random hexadecimal id, new with each start
of the process), a number that goes up by one within the boot, and the time in Unix milliseconds by the node's
own clock. A missing number belongs to a lost record. ``fields`` holds plain values only, so that an older
reader can show fields that it does not know. Kinds and field names are stored in files: they never change
their meaning.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, ClassVar, NamedTuple

# Version of the fields. A reader accepts older versions, and newer ones as far as it knows their fields.
FORMAT_VERSION = 1


class RecordKind(StrEnum):
    """The kinds of records that this version writes; the values are stored in files."""

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
    """Identifies one start of one node."""

    node: str
    boot: str


class RecordKey(NamedTuple):
    """Identifies a record; all copies of a record have the same key."""

    node: str
    boot: str
    number: int


class RecordDraft(NamedTuple):
    """A record that has no number and no time yet."""

    kind: RecordKind
    fields: RecordFields


@dataclass(frozen=True, slots=True)
class Record:
    """One record; ``at_ms`` is its time in Unix milliseconds by the clock of its node.

    ``kind`` is a plain string and no RecordKind, because a newer version may have written a kind that this
    version does not know.
    """

    node: str
    boot: str
    number: int
    at_ms: float
    kind: str
    fields: RecordFields = field(default_factory=dict)

    @property
    def key(self) -> RecordKey:
        """The key that identifies this record."""
        return RecordKey(self.node, self.boot, self.number)

    @property
    def boot_id(self) -> BootId:
        """The boot that this record belongs to."""
        return BootId(self.node, self.boot)


@dataclass(slots=True)
class RequestCounts:
    """Counts of the requests of one class and tenant in one second; the names of the attributes are stored.

    Rejections are counted by when the request was rejected, failures by the progress of its run.
    """

    read: int = 0
    served: int = 0  # served within the latency objective
    late: int = 0  # served after the latency objective
    attached: int = 0  # served or late with the result of another attempt's run
    refused: int = 0  # rejected on arrival
    refused_held: int = 0  # rejected after being queued
    refused_leaving: int = 0  # rejected during the graceful shutdown
    failed: int = 0  # failed before this node started a run
    failed_running: int = 0  # failed after the run was started
    failed_calling: int = 0  # failed while a call of the run was in flight
    left: int = 0  # cancelled by the caller
    runs: int = 0  # runs that were started for these requests

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


# The meaning of the fields of each kind; a test checks that docs/records.md names them all.
FIELD_DESCRIPTIONS: dict[RecordKind, dict[str, str]] = {
    RecordKind.START: {
        "version": "version of the program",
        "pid": "process id",
        "format": "version of the record fields",
        "classes": "of each class: name, latency objective in ms, deadline in ms",
        "cores": "cores of the runtime",
    },
    RecordKind.END: {
        "how": "left: after a shutdown notice; stopped: without one",
        "seconds": "seconds since the start",
    },
    RecordKind.CONFIG: {"taken": "whether the configuration was accepted", "text": "the log line"},
    RecordKind.DRAIN: {"left_ms": "time until the process is killed, in ms"},
    RecordKind.REGISTRATION: {"taking": "whether the node asks to be registered as accepting work"},
    RecordKind.NOTE: {"text": "a log line that has an event name"},
    RecordKind.LINK: {
        "peer": "the other end of the connection: the runtime, or the peer of a feature",
        "up": "whether the connection is established",
        "text": "why the connection was lost",
    },
    RecordKind.SECOND: {
        "ms": "length of the interval in ms",
        "totals": "request counts of each class and tenant, see RequestCounts",
        "runs": "run durations in ms of each class: count, median, 99th percentile, longest",
        "calls": "durations of database calls in ms of each outcome: count, median, 99th percentile, longest",
        "b": "the blocking probability",
        "limit": "the concurrency limit",
        "mu": "the learned service rate",
        "lambda": "the learned arrival rate",
        "run_ages_s": "of each class: seconds since a run last confirmed the learned times",
        "calls_in_hand": "calls in flight",
        "held": "requests queued",
        "running": "requests running",
        "gauges": "the last load sample from the runtime",
        "say": "the load report sent to balancers",
        "connections": "open connections",
        "keys": "idempotency keys remembered",
        "memory_mb": "resident memory of the process in MiB",
        "floors": "of each balancer: the least age of its requests on arrival, in ms",
    },
    RecordKind.GAP: {
        "lost": "number of records that could not be written",
        "why": "the error of the file system, or that the writer process is behind",
    },
}
