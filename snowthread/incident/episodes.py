"""The kinds of episodes that are found in records, and an episode with the records that show it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from snowthread.records.model import RecordKey

MAX_EVIDENCE = 6  # most records that are cited for one episode


class EpisodeKind(StrEnum):
    """The kinds of episodes; the values are part of the JSON report."""

    SLOW_DATABASE = "slow database"
    TRAFFIC_JUMP = "traffic jump"
    ROLLING_DEPLOY = "rolling deploy"
    RESTART = "restart"
    CRASH = "crash"
    DIRECTORY_OUTAGE = "directory outage"
    BAD_CLIENTS = "bad clients"
    RUNTIME_LINK_LOST = "runtime link lost"
    NOT_SERVED = "turned away"


# All kinds except the rejected, failed and late requests, which are an effect of other episodes.
INCIDENT_KINDS = frozenset(EpisodeKind) - {EpisodeKind.NOT_SERVED}


@dataclass(frozen=True, slots=True)
class Episode:
    """A disturbance that lasted some time. Times are in Unix milliseconds on the common time line.

    ``magnitude`` depends on the kind: the ratio of call durations to their usual level (slow database), the
    ratio of requests to their usual level (traffic jump), a percentage of requests (turned away), requests
    per second (bad clients), and for the other kinds a number of nodes or connections.
    """

    kind: EpisodeKind
    start_ms: float
    end_ms: float | None  # None if the episode goes on at the end of the records
    bound_ms: float  # largest error of the start, infinite if it is not known
    nodes: tuple[str, ...]
    magnitude: float
    evidence: tuple[RecordKey, ...]
    record_count: int = 0  # number of seconds or events that show the episode
