"""Find episodes made of events: deploys, restarts, crashes and lost connections. Free of I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from snowthread.incident.episodes import MAX_EVIDENCE, Episode, EpisodeKind
from snowthread.incident.series import BootSummary, Series, TimedEvent
from snowthread.records.model import BootId, RecordKey, RecordKind

MAX_DEPLOY_GAP_MS = 90_000.0  # longest time between the shutdowns of two nodes in one rolling deploy
MAX_DEPLOY_EVIDENCE = 4 * MAX_EVIDENCE  # most records that are cited for a deploy
CRASH_SILENCE_MS = 5_000.0  # a node without records for this long, while others record, has crashed
# The next boot of a node may seem to begin up to this long before the end of the previous one.
MAX_BOOT_OVERLAP_MS = 1000.0
CRASH_BOUND_MS = 1000.0  # largest error of the time of a crash
MAX_OUTAGE_GAP_MS = 5_000.0  # longest time between outages of nodes that form one episode
# Log events of the connection to the directory.
DIRECTORY_LINK_LOST_EVENT = "tenants.link_lost"
DIRECTORY_REFRESHED_EVENT = "tenants.refreshed"


@dataclass(frozen=True, slots=True)
class _Outage:
    """The event of a lost connection, and the event that restored it, if any."""

    lost: TimedEvent
    restored: TimedEvent | None = None

    @property
    def end_ms(self) -> float | None:
        """When the connection was restored, or None."""
        return None if self.restored is None else self.restored.at_ms

    @property
    def evidence(self) -> list[RecordKey]:
        """The keys of the records of both events."""
        return [event.record.key for event in (self.lost, self.restored) if event is not None]


def find_event_episodes(series: Series) -> list[Episode]:
    """Return the episodes that events show, grouped by kind."""
    return [*_deploys(series), *_crashes(series), *_directory_outages(series), *_runtime_outages(series)]


# Deploys and restarts.


def _deploys(series: Series) -> list[Episode]:
    """Return an episode for each chain of shutdowns: a rolling deploy, or the restart of a single node."""
    chains: list[list[TimedEvent]] = []
    for event in series.events:
        if event.record.kind != RecordKind.DRAIN:
            continue
        if chains and event.at_ms - chains[-1][-1].at_ms <= MAX_DEPLOY_GAP_MS:
            chains[-1].append(event)
        else:
            chains.append([event])
    return [_deploy(series, chain) for chain in chains]


def _deploy(series: Series, shutdowns: Sequence[TimedEvent]) -> Episode:
    nodes = tuple(sorted({event.record.node for event in shutdowns}))
    evidence = [event.record.key for event in shutdowns]
    ends: list[float] = []
    for event in shutdowns:
        boot = series.boots[event.record.boot_id]
        if boot.end_record is not None:
            evidence.append(boot.end_record)
            ends.append(boot.last_at_ms)
        successor = _next_boot(series, boot.boot_id, event.at_ms)
        if successor is not None and successor.start_record is not None:
            evidence.append(successor.start_record)
            ends.append(successor.first_at_ms)
    return Episode(
        EpisodeKind.ROLLING_DEPLOY if len(nodes) > 1 else EpisodeKind.RESTART,
        start_ms=shutdowns[0].at_ms,
        end_ms=max(ends) if ends else None,
        bound_ms=shutdowns[0].bound_ms,
        nodes=nodes,
        magnitude=float(len(nodes)),
        evidence=tuple(evidence[:MAX_DEPLOY_EVIDENCE]),
        record_count=len(shutdowns),
    )


def _next_boot(series: Series, boot_id: BootId, after_ms: float) -> BootSummary | None:
    """Return the first other boot of the same node that begins after this time."""
    return next((boot for boot in series.other_boots(boot_id) if boot.first_at_ms > after_ms), None)


# Crashes.


def _crashes(series: Series) -> list[Episode]:
    """Return boots without an ``end`` record whose node restarts, or is silent while others record."""
    _, last_second = series.span
    crashes = []
    for boot in series.boots.values():
        if boot.end_record is not None or boot.last_record is None:
            continue
        successor = _boot_after_crash(series, boot)
        if successor is None and last_second * 1000.0 - boot.last_at_ms < CRASH_SILENCE_MS:
            continue  # the records end here, which does not show a crash
        evidence = [boot.last_record]
        if successor is not None and successor.start_record is not None:
            evidence.append(successor.start_record)
        crashes.append(
            Episode(
                EpisodeKind.CRASH,
                start_ms=boot.last_at_ms,
                end_ms=None if successor is None else successor.first_at_ms,
                bound_ms=CRASH_BOUND_MS,
                nodes=(boot.boot_id.node,),
                magnitude=1.0,
                evidence=tuple(evidence),
                record_count=1,
            )
        )
    return crashes


def _boot_after_crash(series: Series, crashed: BootSummary) -> BootSummary | None:
    earliest = crashed.last_at_ms - MAX_BOOT_OVERLAP_MS
    return next((boot for boot in series.other_boots(crashed.boot_id) if boot.first_at_ms >= earliest), None)


# Lost connections.


def _directory_outages(series: Series) -> list[Episode]:
    """Return outages of the directory, from the first lost connection of a node to its next refresh."""
    open_outages: dict[str, TimedEvent] = {}
    outages: list[_Outage] = []
    for event in series.events:
        name = event.record.fields.get("event")
        node = event.record.node
        if name == DIRECTORY_LINK_LOST_EVENT:
            open_outages.setdefault(node, event)
        elif name == DIRECTORY_REFRESHED_EVENT and node in open_outages:
            outages.append(_Outage(open_outages.pop(node), event))
    outages += [_Outage(event) for event in open_outages.values()]
    groups: list[list[_Outage]] = []
    for outage in sorted(outages, key=lambda outage: outage.lost.at_ms):
        if groups and _overlaps(groups[-1], outage):
            groups[-1].append(outage)
        else:
            groups.append([outage])
    return [_directory_outage(group) for group in groups]


def _overlaps(group: Sequence[_Outage], outage: _Outage) -> bool:
    """Return whether an outage begins before or shortly after the end of one in the group."""
    return any(
        other.end_ms is None or outage.lost.at_ms <= other.end_ms + MAX_OUTAGE_GAP_MS for other in group
    )


def _directory_outage(group: Sequence[_Outage]) -> Episode:
    first = group[0].lost
    ends = [outage.end_ms for outage in group]
    evidence = [key for outage in group for key in outage.evidence]
    return Episode(
        EpisodeKind.DIRECTORY_OUTAGE,
        start_ms=first.at_ms,
        end_ms=None if None in ends else max(end for end in ends if end is not None),
        bound_ms=first.bound_ms,
        nodes=tuple(sorted({outage.lost.record.node for outage in group})),
        magnitude=float(len(group)),
        evidence=tuple(evidence[:MAX_EVIDENCE]),
        record_count=len(group),
    )


def _runtime_outages(series: Series) -> list[Episode]:
    """Return outages of the connections to the runtime; those that have ended come first."""
    open_outages: dict[BootId, TimedEvent] = {}
    outages: list[_Outage] = []
    for event in series.events:
        if event.record.kind != RecordKind.LINK:
            continue
        boot_id = event.record.boot_id
        if not event.record.fields.get("up"):
            open_outages.setdefault(boot_id, event)
        elif boot_id in open_outages:
            outages.append(_Outage(open_outages.pop(boot_id), event))
    outages += [_Outage(event) for event in open_outages.values()]
    return [_runtime_outage(outage) for outage in outages]


def _runtime_outage(outage: _Outage) -> Episode:
    return Episode(
        EpisodeKind.RUNTIME_LINK_LOST,
        start_ms=outage.lost.at_ms,
        end_ms=outage.end_ms,
        bound_ms=outage.lost.bound_ms,
        nodes=(outage.lost.record.node,),
        magnitude=1.0,
        evidence=tuple(outage.evidence),
        record_count=1,
    )
