"""Faults for emulated days of records, and the reconstruction of a day, for tests."""

from __future__ import annotations

from dataclasses import dataclass

from emulators.recorded_incidents import Fault, FaultKind, RecordedDay
from snowthread.incident.clocks import Clocks
from snowthread.incident.episodes import INCIDENT_KINDS, Episode
from snowthread.incident.series import build_series
from snowthread.incident.timeline import Timeline, build_timeline

CONSECUTIVE_FAULTS = (
    Fault(FaultKind.SLOW_DATABASE, 60.0, 20.0, 6.0),
    Fault(FaultKind.ROLLING_DEPLOY, 110.0, 20.0, 5.0, (0, 1, 2, 3)),
    Fault(FaultKind.CRASH, 150.0, 12.0, 1.0, (2,)),
)
ONE_CRASH = (Fault(FaultKind.CRASH, 60.0, 10.0, 1.0, (0,)),)


@dataclass(frozen=True, slots=True)
class Reconstruction:
    """The timeline of a day, and the clocks that it is based on."""

    timeline: Timeline
    clocks: Clocks

    @property
    def incidents(self) -> list[Episode]:
        """The episodes of the timeline that are incidents."""
        episodes = [sentence.episode for sentence in self.timeline.sentences]
        return [episode for episode in episodes if episode.kind in INCIDENT_KINDS]


def reconstruct(day: RecordedDay) -> Reconstruction:
    """Reconstruct the timeline of a day from its records."""
    clocks = Clocks()
    records = [record for node_records in day.records.values() for record in node_records]
    for record in records:
        clocks.add(record)
    clocks.fit()
    return Reconstruction(build_timeline(build_series(records, clocks), clocks), clocks)
