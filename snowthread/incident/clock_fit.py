"""Fit the offsets and drifts of clocks to the ages of requests, by least squares.

A request's age at a node is the node's clock minus the balancer's, plus the delay of the network. The least
age within a stretch of time is nearly the difference of the clocks alone. With offset o and drift d of each
node and offset c of each balancer, each least age is a sample

    age(node, balancer, t) = o(node) + d(node) * t - c(balancer) + delay,    delay >= 0

and all samples together are fitted, repeatedly without the samples whose delay was long.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

BUCKET_MS = 10_000.0  # one sample for each node, balancer and stretch of this length
DRIFT_MIN_BUCKETS = 3  # a drift is fitted for segments that were seen for so many buckets
ROUNDS = 4  # of the fit, at most
OUTLIER_FACTOR = 2.5  # a sample is left out beyond so many times the median residual
RESIDUAL_MIN_MS = 0.2  # the least value that the median residual is taken to have
BOUND_MIN_MS = 1.0
BOUND_QUANTILE = 0.95  # of the residuals, from which the bound is made
BOUND_FACTOR = 2.0
UNKNOWN_BOUND_MS = float("inf")
HOUR_MS = 3_600_000.0
MS_AN_HOUR_PER_PPM = 3.6

Floats = NDArray[np.float64]
Ints = NDArray[np.int64]
Mask = NDArray[np.bool_]


class ClockSegment(NamedTuple):
    """A part of a boot during which its clock was not set; ``part`` counts from zero."""

    node: str
    boot: str
    part: int


@dataclass(frozen=True, slots=True)
class ClockOffset:
    """How far a segment's clock is from the common one, at the time ``at`` by its own clock.

    ``bound_ms`` says how far off that may be. Segments in one ``group`` are linked; times are comparable only
    within a group.
    """

    group: int
    offset_ms: float
    drift_ppm: float
    at: float
    bound_ms: float
    samples: int

    def to_common_time(self, at: float) -> float:
        """Return the common time for a time of the segment's clock, both in ms."""
        return at - self.offset_ms - self.drift_ppm * 1e-6 * (at - self.at)


class SampleKey(NamedTuple):
    """What one sample is taken of: a balancer's requests at a segment in one bucket of BUCKET_MS."""

    segment: ClockSegment
    caller: int
    bucket: int


class AgeSample(NamedTuple):
    """The least age of a balancer's requests in one bucket, and the node's time at which it was seen."""

    age_ms: float
    at: float


@dataclass(frozen=True, slots=True)
class _Samples:
    """All samples of a group as columns: one entry for each sample."""

    segment: Ints  # index of the segment
    caller: Ints  # index of the balancer
    hours: Floats  # since the first sample
    age_ms: Floats
    segment_count: int
    caller_count: int


@dataclass(frozen=True, slots=True)
class _Fit:
    """The result of the least squares."""

    coefficients: Floats
    residuals: Floats
    included: Mask  # samples that were not left out
    drift_columns: dict[int, int]  # by index of the segment


def fit_group(
    group: int,
    first_seen: Mapping[ClockSegment, float],
    samples: Mapping[SampleKey, AgeSample],
) -> dict[ClockSegment, ClockOffset]:
    """Return the offsets of the segments of one group.

    ``first_seen`` has the segments with the first time of each; ``samples`` may be those of other groups too.
    """
    own = {key: sample for key, sample in samples.items() if key.segment in first_seen}
    if len(first_seen) == 1 or not own:
        bound_ms = 0.0 if len(first_seen) == 1 else UNKNOWN_BOUND_MS
        return {
            segment: ClockOffset(group, 0.0, 0.0, first, bound_ms, 0) for segment, first in first_seen.items()
        }
    start_ms = min(sample.at for sample in own.values())
    columns = _to_columns(list(first_seen), own, start_ms)
    fit = _fit(columns)
    return {
        segment: _offset(group, index, columns, fit, start_ms) for index, segment in enumerate(first_seen)
    }


def _to_columns(
    segments: Sequence[ClockSegment], samples: Mapping[SampleKey, AgeSample], start_ms: float
) -> _Samples:
    segment_index = {segment: index for index, segment in enumerate(segments)}
    callers = sorted({key.caller for key in samples})
    caller_index = {caller: index for index, caller in enumerate(callers)}
    return _Samples(
        segment=np.array([segment_index[key.segment] for key in samples]),
        caller=np.array([caller_index[key.caller] for key in samples]),
        hours=np.array([(sample.at - start_ms) / HOUR_MS for sample in samples.values()]),
        age_ms=np.array([sample.age_ms for sample in samples.values()]),
        segment_count=len(segments),
        caller_count=len(callers),
    )


def _drift_columns(samples: _Samples) -> dict[int, int]:
    """Return the columns of the drifts: of those segments that were seen long enough."""
    seen_long = [
        index
        for index in range(samples.segment_count)
        if np.ptp(samples.hours[samples.segment == index]) * HOUR_MS >= DRIFT_MIN_BUCKETS * BUCKET_MS
    ]
    return {index: samples.segment_count + column for column, index in enumerate(seen_long)}


def _design_matrix(samples: _Samples, drift_columns: Mapping[int, int]) -> Floats:
    """Return the matrix: columns of the segments' offsets, their drifts, and the balancers but the first.

    The first balancer's clock is the common one. Balancers' clocks are taken to run true; a drift that all of
    them share would not show.
    """
    first_caller = samples.segment_count + len(drift_columns)
    matrix = np.zeros((len(samples.age_ms), first_caller + samples.caller_count))
    for row, index in enumerate(samples.segment):
        matrix[row, index] = 1.0
        if index in drift_columns:
            matrix[row, drift_columns[index]] = samples.hours[row]
        matrix[row, first_caller + samples.caller[row]] = -1.0
    return np.delete(matrix, first_caller, axis=1)


def _fit(samples: _Samples) -> _Fit:
    """Fit repeatedly, each time without the samples whose delay was long, until these stay the same."""
    drift_columns = _drift_columns(samples)
    matrix = _design_matrix(samples, drift_columns)
    included: Mask = np.ones(len(samples.age_ms), dtype=bool)
    for _ in range(ROUNDS):
        solution = np.linalg.lstsq(matrix[included], samples.age_ms[included], rcond=None)[0]
        coefficients: Floats = np.asarray(solution, dtype=np.float64)
        residuals = samples.age_ms - matrix @ coefficients
        median_residual = float(np.median(np.abs(residuals[included])))
        near = residuals < OUTLIER_FACTOR * max(median_residual, RESIDUAL_MIN_MS)
        if (near == included).all() or not _covers_all_segments(near, samples):
            break
        included = near
    return _Fit(coefficients, residuals, included, drift_columns)


def _covers_all_segments(included: Mask, samples: _Samples) -> bool:
    return all((included & (samples.segment == index)).any() for index in range(samples.segment_count))


def _offset(group: int, index: int, samples: _Samples, fit: _Fit, start_ms: float) -> ClockOffset:
    own: Mask = samples.segment == index
    included = fit.included & own
    if included.any():
        spread_ms = float(np.quantile(np.abs(fit.residuals[included]), BOUND_QUANTILE))
    else:
        spread_ms = UNKNOWN_BOUND_MS
    drift_ppm = 0.0
    if index in fit.drift_columns:
        drift_ppm = float(fit.coefficients[fit.drift_columns[index]]) / MS_AN_HOUR_PER_PPM
    return ClockOffset(
        group=group,
        offset_ms=float(fit.coefficients[index]),
        drift_ppm=drift_ppm,
        at=start_ms,
        bound_ms=max(BOUND_MIN_MS, BOUND_FACTOR * spread_ms),
        samples=int(own.sum()),
    )
