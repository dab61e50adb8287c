"""What can be found on a time line: episodes of a kind, each with the records that show it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from snowthread.records.model import RecordKey

EVIDENCE_MAX = 6  # records that are cited for one episode


class EpisodeKind(StrEnum):
    """The kinds of episodes; the values are part of the report's JSON."""

    SLOW_DATABASE = "slow database"
    TRAFFIC_JUMP = "traffic jump"
    ROLLING_DEPLOY = "rolling deploy"
    RESTART = "restart"
    CRASH = "crash"
    DIRECTORY_OUTAGE = "directory outage"
    BAD_CLIENTS = "bad clients"
    RUNTIME_LINK_LOST = "runtime link lost"
    NOT_SERVED = "turned away"


INCIDENT_KINDS = frozenset(EpisodeKind) - {EpisodeKind.NOT_SERVED}  # what can be a story of its own


@dataclass(frozen=True, slots=True)
class Episode:
    """Something that went on for a while. Times are in ms on the common time line.

    ``magnitude`` depends on the kind: how many times the usual duration of a call (slow database) or the
    usual requests (traffic jump), percent of requests (turned away), requests a second (bad clients), else a
    count of nodes or connections.
    """

    kind: EpisodeKind
    start_ms: float
    end_ms: float | None  # None: the records end first
    bound_ms: float  # how far off the start may be
    nodes: tuple[str, ...]
    magnitude: float
    evidence: tuple[RecordKey, ...]
    record_count: int = 0  # how many records show it
