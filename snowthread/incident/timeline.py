"""Turn episodes into sentences, each with its records. Free of I/O; what no record shows is not said.

Order: an episode is said to be before another only where their starts lie further apart than the bounds of
both together. Cause: requests that were not served are attributed to another episode only where that began
before or with them and went on, or had ended just before; where several qualify, all are named and the
report says that the records do not show which.
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

AFTER_EFFECT_MS = 5_000.0  # so long after its end a cause may still have an effect
CAUSE_EVIDENCE_MAX = 2  # records cited for each possible cause
NAMES_MAX = 6  # nodes named in one sentence
HIGH_CONFIDENCE_S = 8  # seconds that show an episode
MEDIUM_CONFIDENCE_S = 4
CAUSES = frozenset(
    {
        EpisodeKind.SLOW_DATABASE,
        EpisodeKind.TRAFFIC_JUMP,
        EpisodeKind.ROLLING_DEPLOY,
        EpisodeKind.RESTART,
        EpisodeKind.CRASH,
    }
)  # of requests that are not served
SHOWN_BY_EVENTS = frozenset(
    {
        EpisodeKind.ROLLING_DEPLOY,
        EpisodeKind.RESTART,
        EpisodeKind.CRASH,
        EpisodeKind.RUNTIME_LINK_LOST,
        EpisodeKind.DIRECTORY_OUTAGE,
    }
)


class Confidence(StrEnum):
    """How sure a sentence is; the values are part of the report's JSON."""

    HIGH = "high"
    MEDIUM = "medium"
    LOW = "low"


@dataclass(frozen=True, slots=True)
class Sentence:
    """What is said of one episode, and the records that support it."""

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
        """When the episode began, in ms on the common time line."""
        return self.episode.start_ms


@dataclass(frozen=True, slots=True)
class Timeline:
    """All sentences in order, and what is not known; ``quiet``: nothing went wrong."""

    sentences: tuple[Sentence, ...]
    unknown: tuple[str, ...]
    quiet: bool


def began_before(episode: Episode, other: Episode) -> bool | None:
    """Return whether an episode began before another; None if the clocks do not show it."""
    if abs(episode.start_ms - other.start_ms) <= episode.bound_ms + other.bound_ms:
        return None
    return episode.start_ms < other.start_ms


def possible_causes(effect: Episode, episodes: Sequence[Episode]) -> list[Episode]:
    """Return the episodes that may have caused this one."""
    return [
        episode
        for episode in episodes
        if episode.kind in CAUSES
        and began_before(episode, effect) is not False
        and (episode.end_ms is None or episode.end_ms + AFTER_EFFECT_MS + episode.bound_ms >= effect.start_ms)
    ]


def find_episodes(series: Series) -> list[Episode]:
    """Return all episodes by their start."""
    episodes = [*find_event_episodes(series), *find_metric_episodes(series)]
    return sorted(episodes, key=lambda episode: (episode.start_ms, episode.kind))


def build_timeline(series: Series, clocks: Clocks) -> Timeline:
    """Return the timeline of these records."""
    episodes = find_episodes(series)
    return Timeline(
        sentences=tuple(_sentence(episode, episodes) for episode in episodes),
        unknown=tuple(_unknown(series, clocks)),
        quiet=not episodes,
    )


def _sentence(episode: Episode, episodes: Sequence[Episode]) -> Sentence:
    causes = possible_causes(episode, episodes) if episode.kind == EpisodeKind.NOT_SERVED else []
    evidence = list(episode.evidence)
    for cause in causes:
        evidence += cause.evidence[:CAUSE_EVIDENCE_MAX]
    return Sentence(_text(episode, causes), tuple(evidence), _confidence(episode), episode)


def _confidence(episode: Episode) -> Confidence:
    if episode.kind in SHOWN_BY_EVENTS:
        return Confidence.HIGH if len(episode.evidence) > 1 else Confidence.MEDIUM
    if episode.record_count >= HIGH_CONFIDENCE_S:
        return Confidence.HIGH
    return Confidence.MEDIUM if episode.record_count >= MEDIUM_CONFIDENCE_S else Confidence.LOW


def _text(episode: Episode, causes: Sequence[Episode]) -> str:  # noqa: PLR0911  # a sentence a kind
    lasted = _lasted(episode)
    magnitude = episode.magnitude
    nodes = _names(episode.nodes)
    match episode.kind:
        case EpisodeKind.SLOW_DATABASE:
            return f"Calls to the index took {magnitude:.1f} times their usual length{lasted}."
        case EpisodeKind.TRAFFIC_JUMP:
            return f"{magnitude:.1f} times the usual requests came{lasted}."
        case EpisodeKind.ROLLING_DEPLOY:
            count = len(episode.nodes)
            return f"{count} nodes were told to leave, one after the other ({nodes}){lasted}."
        case EpisodeKind.RESTART:
            return f"{nodes} was told to leave{lasted}."
        case EpisodeKind.CRASH:
            return f"{nodes} ended without a word; {_came_back(episode)}."
        case EpisodeKind.DIRECTORY_OUTAGE:
            return f"{nodes} lost the directory of tenants{lasted}."
        case EpisodeKind.BAD_CLIENTS:
            return f"{magnitude:.0f} requests a second were of classes that nobody knows{lasted}."
        case EpisodeKind.RUNTIME_LINK_LOST:
            return f"{nodes} lost its link to the runtime{lasted}."
        case EpisodeKind.NOT_SERVED:
            text = f"{magnitude:.0f} % of what was read was turned away, failed or late{lasted}."
            return f"{text} {_attribution(episode, causes)}"


def _attribution(effect: Episode, causes: Sequence[Episode]) -> str:
    """Return the sentence on the causes of requests that were not served."""
    if not causes:
        return "The records show no cause."
    kinds = dict.fromkeys(cause.kind for cause in causes)
    names = " and the ".join(kinds)
    if len(kinds) > 1:
        return f"It came with the {names}; the records do not tell which of them brought it about."
    all_before = all(began_before(cause, effect) for cause in causes)
    return f"It {'followed' if all_before else 'came with'} the {names}."


def _names(nodes: Sequence[str]) -> str:
    named = ", ".join(nodes[:NAMES_MAX])
    return named if len(nodes) <= NAMES_MAX else f"{named} and {len(nodes) - NAMES_MAX} more"


def _lasted(episode: Episode) -> str:
    if episode.end_ms is None:
        return "; its end is not in the records"
    return f", for {(episode.end_ms - episode.start_ms) / 1000.0:.0f} s"


def _came_back(crash: Episode) -> str:
    if crash.end_ms is None:
        return "it has not come back in the records"
    return f"it came back after {(crash.end_ms - crash.start_ms) / 1000.0:.0f} s"


def _unknown(series: Series, clocks: Clocks) -> list[str]:
    """Return sentences on what the records do not show."""
    lines = []
    groups = {offset.group for offset in clocks.offsets.values()}
    if len(groups) > 1:
        lines.append(
            f"The clocks of {len(groups)} groups of nodes are linked by nothing in the records; what "
            "happened in one is not ordered against another more finely than their own clocks say."
        )
    if series.lost_records:
        lines.append(f"{series.lost_records} records are known to be missing.")
    if series.omitted_events:
        lines.append(f"{series.omitted_events} events were left out here: too many to keep.")
    for boot_id, boot in sorted(series.boots.items(), key=lambda item: item[0]):
        if boot.end_record is None:
            lines.append(f"How {boot_id.node} (boot {boot_id.boot}) ended is not in its records.")
    return lines
