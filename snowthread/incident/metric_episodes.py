"""Find intervals in which a metric such as the call duration deviates from its baseline. Free of I/O.

The level of a baseline is the median over all seconds, its spread the scaled median absolute deviation from
that level. Both are valid as long as faults last less than half of the recorded time. An episode begins when
the metric is above its start threshold for ``MIN_START_S`` seconds in a row and ends when it is at or below
its end threshold for ``MIN_END_S``. The thresholds are many spreads above the level, so that random variation
causes no episode in hundreds of days without faults.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from statistics import median

from snowthread.incident.episodes import MAX_EVIDENCE, Episode, EpisodeKind
from snowthread.incident.series import NodeSecond, Series

MIN_START_S = 3  # seconds in a row above the start threshold that begin an episode
MIN_END_S = 4  # seconds in a row at or below the end threshold that end an episode
SECOND_RESOLUTION_MS = 1000.0  # metrics are recorded once a second
MIN_CALLS = 3  # seconds with fewer calls are ignored in the call duration
MIN_REQUESTS = 5  # seconds with fewer requests are ignored in the share of requests not served
# Standard deviation of a normal distribution, as a multiple of its median absolute deviation.
MAD_TO_STANDARD_DEVIATION = 1.4826


@dataclass(frozen=True, slots=True)
class _Baseline:
    """The usual level of a metric, and the spread of its values around that level."""

    level: float
    spread: float


@dataclass(frozen=True, slots=True)
class _Metric:
    """The values of a metric by second, and the thresholds of its episodes."""

    kind: EpisodeKind
    by_second: Mapping[int, float]
    start_threshold: float
    end_threshold: float
    magnitude: Callable[[float], float]  # magnitude of an episode for a value of the metric
    evidence_count: Callable[[NodeSecond], int]  # not zero if the node contributed in that second


@dataclass(frozen=True, slots=True)
class _Interval:
    """The first and last second in which a metric deviated from its baseline, both included."""

    first: int
    last: int
    open_ended: bool = False  # whether the metric still deviates at the end of the records


class _FleetSeconds:
    """The seconds of all nodes, and their totals by second."""

    def __init__(self, series: Series) -> None:
        self.rows: dict[int, dict[str, NodeSecond]] = {}
        for node, by_second in series.nodes.items():
            for second, row in by_second.items():
                self.rows.setdefault(second, {})[node] = row
        self.seconds = sorted(self.rows)
        self.bound_ms = SECOND_RESOLUTION_MS + max(
            (event.bound_ms for event in series.events if math.isfinite(event.bound_ms)), default=0.0
        )
        self.read = self.total(lambda row: row.read)
        self.calls = self.total(lambda row: row.calls)

    def total(self, count: Callable[[NodeSecond], int]) -> dict[int, float]:
        """Return the sum over all nodes for each second."""
        return {
            second: float(sum(count(row) for row in self.rows[second].values())) for second in self.seconds
        }


def find_metric_episodes(series: Series) -> list[Episode]:
    """Return the episodes that metrics show, grouped by kind."""
    first, last = series.span
    if last - first < 2 * MIN_START_S:
        return []
    fleet = _FleetSeconds(series)
    metrics = [_call_duration(fleet), _requests(fleet), _share_not_served(fleet), _unknown_classes(fleet)]
    return [
        _episode(metric, interval, fleet)
        for metric in metrics
        if metric is not None
        for interval in _intervals(metric)
    ]


def _call_duration(fleet: _FleetSeconds) -> _Metric | None:
    durations = {
        second: sum(row.call_ms * row.calls for row in fleet.rows[second].values()) / fleet.calls[second]
        for second in fleet.seconds
        if fleet.calls[second] >= MIN_CALLS
    }
    if not durations:
        return None
    baseline = _baseline(durations.values())
    return _Metric(
        EpisodeKind.SLOW_DATABASE,
        durations,
        start_threshold=max(
            2.0 * baseline.level, baseline.level + 8.0 * baseline.spread, baseline.level + 10.0
        ),
        end_threshold=max(1.4 * baseline.level, baseline.level + 4.0 * baseline.spread),
        magnitude=lambda value: value / max(baseline.level, 1.0),
        evidence_count=lambda row: row.calls,
    )


def _requests(fleet: _FleetSeconds) -> _Metric:
    baseline = _baseline(fleet.read.values())
    spread = max(baseline.spread, math.sqrt(max(baseline.level, 1.0)))
    return _Metric(
        EpisodeKind.TRAFFIC_JUMP,
        fleet.read,
        start_threshold=max(1.3 * baseline.level, baseline.level + 5.0 * spread),
        end_threshold=baseline.level + 2.5 * spread,
        magnitude=lambda value: value / max(baseline.level, 1.0),
        evidence_count=lambda row: row.read,
    )


def _share_not_served(fleet: _FleetSeconds) -> _Metric | None:
    not_served = fleet.total(lambda row: row.rejected + row.failed + row.late)
    shares = {
        second: not_served[second] / read for second, read in fleet.read.items() if read >= MIN_REQUESTS
    }
    if not shares:
        return None
    baseline = _baseline(shares.values())
    noise = 3.0 * math.sqrt(0.05 / max(median(fleet.read.values()), 1.0))
    start_threshold = baseline.level + max(0.05 + noise, 6.0 * baseline.spread)
    return _Metric(
        EpisodeKind.NOT_SERVED,
        shares,
        start_threshold=start_threshold,
        end_threshold=baseline.level + (start_threshold - baseline.level) / 2.0,
        magnitude=lambda value: 100.0 * value,
        evidence_count=lambda row: row.rejected,
    )


def _unknown_classes(fleet: _FleetSeconds) -> _Metric:
    return _Metric(
        EpisodeKind.BAD_CLIENTS,
        fleet.total(lambda row: row.unknown_class),
        start_threshold=max(5.0, 0.05 * _baseline(fleet.read.values()).level),
        end_threshold=2.0,
        magnitude=lambda value: value,
        evidence_count=lambda row: row.unknown_class,
    )


def _baseline(values: Iterable[float]) -> _Baseline:
    numbers = sorted(values)
    level = median(numbers)
    return _Baseline(level, MAD_TO_STANDARD_DEVIATION * median(abs(number - level) for number in numbers))


def _intervals(metric: _Metric) -> list[_Interval]:
    """Return the intervals from above the start threshold until at or below the end threshold."""
    intervals: list[_Interval] = []
    first: int | None = None
    above = 0
    below = 0
    seconds = sorted(metric.by_second)
    for second in seconds:
        value = metric.by_second[second]
        above = above + 1 if value > metric.start_threshold else 0
        below = below + 1 if value <= metric.end_threshold else 0
        if first is None and above >= MIN_START_S:
            first = second - MIN_START_S + 1
            below = 0
        elif first is not None and below >= MIN_END_S:
            intervals.append(_Interval(first, second - MIN_END_S))
            first = None
            above = 0
    if first is not None:
        last = seconds[-1]
        intervals.append(_Interval(first, last, open_ended=metric.by_second[last] > metric.end_threshold))
    return intervals


def _episode(metric: _Metric, interval: _Interval, fleet: _FleetSeconds) -> Episode:
    inside = [second for second in sorted(metric.by_second) if interval.first <= second <= interval.last]
    highest_values = sorted((metric.by_second[second] for second in inside), reverse=True)[
        : max(1, len(inside) // 4)
    ]
    nodes = {
        node for second in inside for node, row in fleet.rows[second].items() if metric.evidence_count(row)
    }
    evidence = [
        row.key
        for second in inside[:2] + inside[-1:]
        for _, row in sorted(fleet.rows[second].items())
        if metric.evidence_count(row)
    ]
    return Episode(
        metric.kind,
        start_ms=interval.first * 1000.0,
        end_ms=None if interval.open_ended else (interval.last + 1) * 1000.0,
        bound_ms=fleet.bound_ms,
        nodes=tuple(sorted(nodes)),
        magnitude=metric.magnitude(median(highest_values)),
        evidence=tuple(evidence[:MAX_EVIDENCE]),
        record_count=len(inside),
    )
