"""Describe episodes in sentences, each with the records that support it. Free of I/O.

Order: an episode is reported as earlier than another only if their starts are further apart than the sum of
their error bounds. Cause: requests that were not served are attributed to another episode only if that
episode began earlier or at the same time, within the error bounds, and was still going on or had ended
shortly before. If several episodes qualify, all are named, and the sentence says that the records do not
show which is the cause.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from snowthread.incident.clocks import Clocks
from snowthread.incident.episodes import Episode, EpisodeKind
from snowthread.incident.event_episodes import find_event_episodes
from snowthread.incident.metric_episodes import find_metric_episodes
from snowthread.incident.series import Series
from snowthread.records.model import RecordKey

MAX_EFFECT_DELAY_MS = 5_000.0  # an effect may begin up to this long after the end of its cause
MAX_EVIDENCE_PER_CAUSE = 2  # most records that are cited for each possible cause
MAX_NAMED_NODES = 6  # most nodes that a sentence names
HIGH_CONFIDENCE_SECONDS = 8  # recorded seconds of an episode from which confidence is high
MEDIUM_CONFIDENCE_SECONDS = 4  # recorded seconds of an episode from which confidence is medium
# Kinds of episodes that can be the cause of requests that are not served.
CAUSE_KINDS = frozenset(
    {
        EpisodeKind.SLOW_DATABASE,
        EpisodeKind.TRAFFIC_JUMP,
        EpisodeKind.ROLLING_DEPLOY,
        EpisodeKind.RESTART,
        EpisodeKind.CRASH,
    }
)
# Kinds of episodes that are shown by events and not by metrics.
EVENT_KINDS = frozenset(
    {
        EpisodeKind.ROLLING_DEPLOY,
        EpisodeKind.RESTART,
        EpisodeKind.CRASH,
        EpisodeKind.RUNTIME_LINK_LOST,
        EpisodeKind.DIRECTORY_OUTAGE,
    }
)


class Confidence(StrEnum):
    """The confidence in a sentence; the values are part of the JSON report."""

    HIGH = "high"
    MEDIUM = "medium"
    LOW = "low"


@dataclass(frozen=True, slots=True)
class Sentence:
    """The description of one episode, and the keys of the records that support it."""

    text: str
    evidence: tuple[RecordKey, ...]
    confidence: Confidence
    episode: Episode

    @property
    def kind(self) -> EpisodeKind:
        """The kind of the episode."""
        return self.episode.kind

    @property
    def start_ms(self) -> float:
        """The start of the episode in ms on the common time line."""
        return self.episode.start_ms


@dataclass(frozen=True, slots=True)
class Timeline:
    """The sentences in the order of time, and sentences on what the records do not show.

    ``quiet`` is true if no episode was found.
    """

    sentences: tuple[Sentence, ...]
    unknown: tuple[str, ...]
    quiet: bool


def began_before(episode: Episode, other: Episode) -> bool | None:
    """Return whether an episode began before another; None if the clocks are not accurate enough to tell."""
    if abs(episode.start_ms - other.start_ms) <= episode.bound_ms + other.bound_ms:
        return None
    return episode.start_ms < other.start_ms


def possible_causes(effect: Episode, episodes: Sequence[Episode]) -> list[Episode]:
    """Return the episodes that may have caused ``effect``."""
    return [
        episode
        for episode in episodes
        if episode.kind in CAUSE_KINDS
        and began_before(episode, effect) is not False
        and (
            episode.end_ms is None
            or episode.end_ms + MAX_EFFECT_DELAY_MS + episode.bound_ms >= effect.start_ms
        )
    ]


def find_episodes(series: Series) -> list[Episode]:
    """Return all episodes, ordered by their start."""
    episodes = [*find_event_episodes(series), *find_metric_episodes(series)]
    return sorted(episodes, key=lambda episode: (episode.start_ms, episode.kind))


def build_timeline(series: Series, clocks: Clocks) -> Timeline:
    """Return the timeline of a series; ``clocks`` are the clocks that it was built with."""
    episodes = find_episodes(series)
    return Timeline(
        sentences=tuple(_sentence(episode, episodes) for episode in episodes),
        unknown=tuple(_unknown_sentences(series, clocks)),
        quiet=not episodes,
    )


def _sentence(episode: Episode, episodes: Sequence[Episode]) -> Sentence:
    causes = possible_causes(episode, episodes) if episode.kind == EpisodeKind.NOT_SERVED else []
    evidence = list(episode.evidence)
    for cause in causes:
        evidence += cause.evidence[:MAX_EVIDENCE_PER_CAUSE]
    return Sentence(_episode_text(episode, causes), tuple(evidence), _confidence(episode), episode)


def _confidence(episode: Episode) -> Confidence:
    if episode.kind in EVENT_KINDS:
        return Confidence.HIGH if len(episode.evidence) > 1 else Confidence.MEDIUM
    if episode.record_count >= HIGH_CONFIDENCE_SECONDS:
        return Confidence.HIGH
    return Confidence.MEDIUM if episode.record_count >= MEDIUM_CONFIDENCE_SECONDS else Confidence.LOW


def _episode_text(episode: Episode, causes: Sequence[Episode]) -> str:  # noqa: PLR0911  # one sentence for each kind
    duration = _duration_text(episode)
    magnitude = episode.magnitude
    nodes = _node_names(episode.nodes)
    match episode.kind:
        case EpisodeKind.SLOW_DATABASE:
            return f"Database calls took {magnitude:.1f} times their usual duration{duration}."
        case EpisodeKind.TRAFFIC_JUMP:
            return f"{magnitude:.1f} times the usual number of requests arrived{duration}."
        case EpisodeKind.ROLLING_DEPLOY:
            count = len(episode.nodes)
            return f"{count} nodes were asked to shut down, one after the other ({nodes}){duration}."
        case EpisodeKind.RESTART:
            return f"{nodes} was asked to shut down{duration}."
        case EpisodeKind.CRASH:
            return f"{nodes} stopped without recording a shutdown; {_restart_text(episode)}."
        case EpisodeKind.DIRECTORY_OUTAGE:
            return f"{nodes} lost the connection to the tenant directory{duration}."
        case EpisodeKind.BAD_CLIENTS:
            return f"{magnitude:.0f} requests per second named a class that is not configured{duration}."
        case EpisodeKind.RUNTIME_LINK_LOST:
            return f"{nodes} lost the connection to the runtime{duration}."
        case EpisodeKind.NOT_SERVED:
            text = (
                f"{magnitude:.0f} % of the received requests were rejected, failed or served late{duration}."
            )
            return f"{text} {_cause_text(episode, causes)}"


def _cause_text(effect: Episode, causes: Sequence[Episode]) -> str:
    """Return the sentence on the possible causes of requests that were not served."""
    if not causes:
        return "The records show no cause."
    kinds = dict.fromkeys(cause.kind for cause in causes)
    names = " and the ".join(kinds)
    if len(kinds) > 1:
        return f"It coincided with the {names}; the records do not show which of them caused it."
    all_before = all(began_before(cause, effect) for cause in causes)
    return f"It {'followed' if all_before else 'coincided with'} the {names}."


def _node_names(nodes: Sequence[str]) -> str:
    named = ", ".join(nodes[:MAX_NAMED_NODES])
    return named if len(nodes) <= MAX_NAMED_NODES else f"{named} and {len(nodes) - MAX_NAMED_NODES} more"


def _duration_text(episode: Episode) -> str:
    if episode.end_ms is None:
        return "; its end is not in the records"
    return f", for {(episode.end_ms - episode.start_ms) / 1000.0:.0f} s"


def _restart_text(crash: Episode) -> str:
    if crash.end_ms is None:
        return "the records show no restart"
    return f"it restarted after {(crash.end_ms - crash.start_ms) / 1000.0:.0f} s"


def _unknown_sentences(series: Series, clocks: Clocks) -> list[str]:
    """Return sentences on missing records and on what the records do not show."""
    lines = []
    groups = {offset.group for offset in clocks.offsets.values()}
    if len(groups) > 1:
        lines.append(
            f"The clocks of {len(groups)} groups of nodes are not linked by requests in the records; events "
            "of different groups are ordered only as accurately as the clocks of the nodes are set."
        )
    if series.lost_records:
        lines.append(f"{series.lost_records} records are known to be missing.")
    if series.omitted_events:
        lines.append(
            f"{series.omitted_events} events were not analysed, because too many events were recorded."
        )
    for boot_id, boot in sorted(series.boots.items(), key=lambda item: item[0]):
        if boot.end_record is None:
            lines.append(f"The records of {boot_id.node} (boot {boot_id.boot}) do not show how it ended.")
    return lines
