"""Fit the offsets and drifts of clocks to the ages of requests, by least squares.

The age of a request at a node is the time of the node's clock minus the time of the balancer's clock when it
sent the request. It contains the network delay, so the least age within a short interval is close to the
difference of the two clocks. With offset o and drift d of each node and offset c of each balancer, each least
age is a sample

    age(node, balancer, t) = o(node) + d(node) * t - c(balancer) + delay,    delay >= 0

All samples are fitted together; then the fit is repeated without the samples that had a long delay.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

BUCKET_MS = 10_000.0  # each node and balancer gives one sample per interval of this length
MIN_DRIFT_BUCKETS = 3  # a drift is fitted only for segments that last at least this many buckets
MAX_FIT_ROUNDS = 4  # most repetitions of the fit
OUTLIER_FACTOR = 2.5  # a sample is excluded if its residual reaches this multiple of the median residual
MIN_MEDIAN_RESIDUAL_MS = 0.2  # lower limit of the median residual when samples are excluded
MIN_BOUND_MS = 1.0  # lower limit of the error bound of an offset
BOUND_QUANTILE = 0.95  # quantile of the absolute residuals on which the error bound is based
BOUND_FACTOR = 2.0  # error bound of an offset, as a multiple of that quantile
UNKNOWN_BOUND_MS = float("inf")
MS_PER_HOUR = 3_600_000.0
MS_PER_HOUR_PER_PPM = 3.6  # a clock with a drift of 1 ppm gains this many ms in an hour

Floats = NDArray[np.float64]
Ints = NDArray[np.int64]
Mask = NDArray[np.bool_]


class ClockSegment(NamedTuple):
    """A part of a boot during which the clock of the node was not set; ``part`` counts from zero."""

    node: str
    boot: str
    part: int


@dataclass(frozen=True, slots=True)
class ClockOffset:
    """The offset of a segment's clock from the common clock, at the time ``at`` of the segment's clock in ms.

    ``bound_ms`` is the estimated largest error of the offset, ``samples`` the number of its samples.
    Segments in one ``group`` are linked by balancers; times are comparable only within a group. The JSON
    report has the attributes under these names.
    """

    group: int
    offset_ms: float
    drift_ppm: float
    at: float
    bound_ms: float
    samples: int

    def to_common_time(self, time_ms: float) -> float:
        """Return the common time that corresponds to a time of the segment's clock, both in ms."""
        return time_ms - self.offset_ms - self.drift_ppm * 1e-6 * (time_ms - self.at)


class SampleKey(NamedTuple):
    """Identifies a sample: the requests of a balancer in a segment within one bucket of BUCKET_MS."""

    segment: ClockSegment
    caller: int
    bucket: int


class AgeSample(NamedTuple):
    """The least age of the requests of a balancer in one bucket, and the node time of its record, in ms."""

    age_ms: float
    at_ms: float


@dataclass(frozen=True, slots=True)
class _Samples:
    """All samples of a group as columns with one entry per sample."""

    segment: Ints  # index of the sample's segment
    caller: Ints  # index of the sample's balancer
    hours: Floats  # time since the first sample in hours
    age_ms: Floats
    segment_count: int
    caller_count: int


@dataclass(frozen=True, slots=True)
class _Fit:
    """The result of the least squares fit."""

    coefficients: Floats
    residuals: Floats
    included: Mask  # true for the samples that were not excluded
    drift_columns: dict[int, int]  # matrix column of a segment's drift, by the index of the segment


def fit_group(
    group: int,
    first_seen: Mapping[ClockSegment, float],
    samples: Mapping[SampleKey, AgeSample],
) -> dict[ClockSegment, ClockOffset]:
    """Return the offsets of the segments of one group.

    ``first_seen`` holds the segments of the group with the first time of each in ms; ``samples`` may contain
    samples of other groups, which are ignored.
    """
    own = {key: sample for key, sample in samples.items() if key.segment in first_seen}
    if len(first_seen) == 1 or not own:
        bound_ms = 0.0 if len(first_seen) == 1 else UNKNOWN_BOUND_MS
        return {
            segment: ClockOffset(group, 0.0, 0.0, first, bound_ms, 0) for segment, first in first_seen.items()
        }
    start_ms = min(sample.at_ms for sample in own.values())
    columns = _to_columns(list(first_seen), own, start_ms)
    fit = _fit_without_outliers(columns)
    return {
        segment: _clock_offset(group, index, columns, fit, start_ms)
        for index, segment in enumerate(first_seen)
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
        hours=np.array([(sample.at_ms - start_ms) / MS_PER_HOUR for sample in samples.values()]),
        age_ms=np.array([sample.age_ms for sample in samples.values()]),
        segment_count=len(segments),
        caller_count=len(callers),
    )


def _drift_columns(samples: _Samples) -> dict[int, int]:
    """Return the matrix columns of the drifts, for the segments that are long enough to fit one."""
    long_enough = [
        index
        for index in range(samples.segment_count)
        if np.ptp(samples.hours[samples.segment == index]) * MS_PER_HOUR >= MIN_DRIFT_BUCKETS * BUCKET_MS
    ]
    return {index: samples.segment_count + column for column, index in enumerate(long_enough)}


def _design_matrix(samples: _Samples, drift_columns: Mapping[int, int]) -> Floats:
    """Return the design matrix, with columns of segment offsets, segment drifts and balancer offsets.

    The first balancer has no column, because its clock is the common clock. Balancer clocks are assumed to
    have no drift; a drift that all of them share cannot be detected.
    """
    first_caller = samples.segment_count + len(drift_columns)
    matrix = np.zeros((len(samples.age_ms), first_caller + samples.caller_count))
    for row, index in enumerate(samples.segment):
        matrix[row, index] = 1.0
        if index in drift_columns:
            matrix[row, drift_columns[index]] = samples.hours[row]
        matrix[row, first_caller + samples.caller[row]] = -1.0
    return np.delete(matrix, first_caller, axis=1)


def _fit_without_outliers(samples: _Samples) -> _Fit:
    """Fit repeatedly, each time without the samples that had a long delay, until that set is stable."""
    drift_columns = _drift_columns(samples)
    matrix = _design_matrix(samples, drift_columns)
    included: Mask = np.ones(len(samples.age_ms), dtype=bool)
    for _ in range(MAX_FIT_ROUNDS):
        solution = np.linalg.lstsq(matrix[included], samples.age_ms[included], rcond=None)[0]
        coefficients: Floats = np.asarray(solution, dtype=np.float64)
        residuals = samples.age_ms - matrix @ coefficients
        median_residual = float(np.median(np.abs(residuals[included])))
        not_delayed = residuals < OUTLIER_FACTOR * max(median_residual, MIN_MEDIAN_RESIDUAL_MS)
        if (not_delayed == included).all() or not _covers_all_segments(not_delayed, samples):
            break
        included = not_delayed
    return _Fit(coefficients, residuals, included, drift_columns)


def _covers_all_segments(included: Mask, samples: _Samples) -> bool:
    return all((included & (samples.segment == index)).any() for index in range(samples.segment_count))


def _clock_offset(group: int, index: int, samples: _Samples, fit: _Fit, start_ms: float) -> ClockOffset:
    own: Mask = samples.segment == index
    included = fit.included & own
    if included.any():
        residual_quantile_ms = float(np.quantile(np.abs(fit.residuals[included]), BOUND_QUANTILE))
    else:
        residual_quantile_ms = UNKNOWN_BOUND_MS
    drift_ppm = 0.0
    if index in fit.drift_columns:
        drift_ppm = float(fit.coefficients[fit.drift_columns[index]]) / MS_PER_HOUR_PER_PPM
    return ClockOffset(
        group=group,
        offset_ms=float(fit.coefficients[index]),
        drift_ppm=drift_ppm,
        at=start_ms,
        bound_ms=max(MIN_BOUND_MS, BOUND_FACTOR * residual_quantile_ms),
        samples=int(own.sum()),
    )
