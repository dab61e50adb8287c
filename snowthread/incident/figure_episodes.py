"""Find seconds that are unlike the rest in figures such as the duration of calls. Free of I/O.

A figure's usual level is its median over all seconds, its spread the median distance from that: both hold as
long as faults fill less than half of the records. An episode begins where the figure lies above its upper
threshold for some seconds in a row and ends where it has been at or below the lower one for some. Both lie
many spreads away, so that chance does not make one in hundreds of quiet days.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from statistics import median

from snowthread.incident.episodes import EVIDENCE_MAX, Episode, EpisodeKind
from snowthread.incident.series import NodeSecond, Series

BEGIN_S = 3  # seconds in a row above the upper threshold that begin an episode
END_S = 4  # seconds in a row at or below the lower threshold that end it
SECOND_BOUND_MS = 1000.0  # figures are known by the second
MIN_CALLS = 3  # in a second whose duration of calls is taken
MIN_READ = 5  # in a second whose share of requests not served is taken
NORMAL_DEVIATIONS = 1.4826  # standard deviations in a median absolute deviation of a normal distribution


@dataclass(frozen=True, slots=True)
class _Usual:
    """The usual level of a figure and its spread around that."""

    level: float
    spread: float


@dataclass(frozen=True, slots=True)
class _Figure:
    """A figure by the second with its thresholds."""

    kind: EpisodeKind
    by_second: Mapping[int, float]
    begin_above: float
    end_at: float
    magnitude: Callable[[float], float]  # of the figure's value
    shown_by: Callable[[NodeSecond], int]  # not zero: the node took part


@dataclass(frozen=True, slots=True)
class _Stretch:
    """Seconds during which a figure was unlike the rest; both ends are included."""

    first: int
    last: int
    open_ended: bool = False  # the records end before it does


class _FleetSeconds:
    """The seconds of all nodes together."""

    def __init__(self, series: Series) -> None:
        self.rows: dict[int, dict[str, NodeSecond]] = {}
        for node, by_second in series.nodes.items():
            for second, row in by_second.items():
                self.rows.setdefault(second, {})[node] = row
        self.seconds = sorted(self.rows)
        self.bound_ms = SECOND_BOUND_MS + max(
            (event.bound_ms for event in series.events if math.isfinite(event.bound_ms)), default=0.0
        )
        self.read = self.total(lambda row: row.read)
        self.calls = self.total(lambda row: row.calls)

    def total(self, count: Callable[[NodeSecond], int]) -> dict[int, float]:
        """Return the sum over all nodes by the second."""
        return {
            second: float(sum(count(row) for row in self.rows[second].values())) for second in self.seconds
        }


def find_figure_episodes(series: Series) -> list[Episode]:
    """Return the episodes that figures show, by kind."""
    first, last = series.span
    if last - first < 2 * BEGIN_S:
        return []
    fleet = _FleetSeconds(series)
    figures = [_call_duration(fleet), _requests(fleet), _share_not_served(fleet), _unknown_classes(fleet)]
    return [
        _episode(figure, stretch, fleet)
        for figure in figures
        if figure is not None
        for stretch in _stretches(figure)
    ]


def _call_duration(fleet: _FleetSeconds) -> _Figure | None:
    durations = {
        second: sum(row.call_ms * row.calls for row in fleet.rows[second].values()) / fleet.calls[second]
        for second in fleet.seconds
        if fleet.calls[second] >= MIN_CALLS
    }
    if not durations:
        return None
    usual = _usual(durations.values())
    return _Figure(
        EpisodeKind.SLOW_DATABASE,
        durations,
        begin_above=max(2.0 * usual.level, usual.level + 8.0 * usual.spread, usual.level + 10.0),
        end_at=max(1.4 * usual.level, usual.level + 4.0 * usual.spread),
        magnitude=lambda value: value / max(usual.level, 1.0),
        shown_by=lambda row: row.calls,
    )


def _requests(fleet: _FleetSeconds) -> _Figure:
    usual = _usual(fleet.read.values())
    spread = max(usual.spread, math.sqrt(max(usual.level, 1.0)))
    return _Figure(
        EpisodeKind.TRAFFIC_JUMP,
        fleet.read,
        begin_above=max(1.3 * usual.level, usual.level + 5.0 * spread),
        end_at=usual.level + 2.5 * spread,
        magnitude=lambda value: value / max(usual.level, 1.0),
        shown_by=lambda row: row.read,
    )


def _share_not_served(fleet: _FleetSeconds) -> _Figure | None:
    not_served = fleet.total(lambda row: row.rejected + row.failed + row.late)
    shares = {second: not_served[second] / read for second, read in fleet.read.items() if read >= MIN_READ}
    if not shares:
        return None
    usual = _usual(shares.values())
    noise = 3.0 * math.sqrt(0.05 / max(median(fleet.read.values()), 1.0))
    begin_above = usual.level + max(0.05 + noise, 6.0 * usual.spread)
    return _Figure(
        EpisodeKind.NOT_SERVED,
        shares,
        begin_above=begin_above,
        end_at=usual.level + (begin_above - usual.level) / 2.0,
        magnitude=lambda value: 100.0 * value,
        shown_by=lambda row: row.rejected,
    )


def _unknown_classes(fleet: _FleetSeconds) -> _Figure:
    return _Figure(
        EpisodeKind.BAD_CLIENTS,
        fleet.total(lambda row: row.unknown_class),
        begin_above=max(5.0, 0.05 * _usual(fleet.read.values()).level),
        end_at=2.0,
        magnitude=lambda value: value,
        shown_by=lambda row: row.unknown_class,
    )


def _usual(values: Iterable[float]) -> _Usual:
    numbers = sorted(values)
    level = median(numbers)
    return _Usual(level, NORMAL_DEVIATIONS * median(abs(number - level) for number in numbers))


def _stretches(figure: _Figure) -> list[_Stretch]:
    """Return the seconds from where the figure is above its upper threshold until it is below the lower."""
    stretches: list[_Stretch] = []
    first: int | None = None
    above = 0
    below = 0
    seconds = sorted(figure.by_second)
    for second in seconds:
        value = figure.by_second[second]
        above = above + 1 if value > figure.begin_above else 0
        below = below + 1 if value <= figure.end_at else 0
        if first is None and above >= BEGIN_S:
            first = second - BEGIN_S + 1
            below = 0
        elif first is not None and below >= END_S:
            stretches.append(_Stretch(first, second - END_S))
            first = None
            above = 0
    if first is not None:
        last = seconds[-1]
        stretches.append(_Stretch(first, last, open_ended=figure.by_second[last] > figure.end_at))
    return stretches


def _episode(figure: _Figure, stretch: _Stretch, fleet: _FleetSeconds) -> Episode:
    inside = [second for second in sorted(figure.by_second) if stretch.first <= second <= stretch.last]
    worst = sorted((figure.by_second[second] for second in inside), reverse=True)[: max(1, len(inside) // 4)]
    nodes = {node for second in inside for node, row in fleet.rows[second].items() if figure.shown_by(row)}
    evidence = [
        row.key
        for second in inside[:2] + inside[-1:]
        for _, row in sorted(fleet.rows[second].items())
        if figure.shown_by(row)
    ]
    return Episode(
        figure.kind,
        start_ms=stretch.first * 1000.0,
        end_ms=None if stretch.open_ended else (stretch.last + 1) * 1000.0,
        bound_ms=fleet.bound_ms,
        nodes=tuple(sorted(nodes)),
        magnitude=figure.magnitude(median(worst)),
        evidence=tuple(evidence[:EVIDENCE_MAX]),
        record_count=len(inside),
    )
