"""Count what happens in one second of a node, and make the fields of its record. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from snowthread.admission.controller import Controller
from snowthread.admission.learned_state import confirmation_ages_s
from snowthread.core.state import NodeState, RequestPhase
from snowthread.records.model import RecordFields, RequestCounts

COARSE_FROM_MS = 1000.0  # durations from this length on are rounded down to COARSE_STEP_MS
COARSE_STEP_MS = 10  # resolution in which long durations are counted
DURATION_MAX_MS = 3_600_000  # longer runs and calls are counted with this duration
PERCENTILE_DIGITS = 2  # significant decimal digits of the recorded percentiles

DurationCounts = dict[int, int]  # number of runs or calls by duration in ms
ClassAndTenant = tuple[str, str]  # a plain tuple and no class, as one is built for each request


@dataclass(slots=True)
class SecondCounts:
    """The counts since the last ``second`` record; ``started_at_ms`` is the Unix time of their start."""

    started_at_ms: float
    request_counts: dict[ClassAndTenant, RequestCounts] = field(default_factory=dict)
    run_durations: dict[str, DurationCounts] = field(default_factory=dict)  # counts by class name
    call_durations: dict[str, DurationCounts] = field(default_factory=dict)  # counts by outcome
    # Least age on arrival among the requests of each caller, by caller id.
    least_age_ms_by_caller: dict[int, float] = field(default_factory=dict)


def count_duration(durations: dict[str, DurationCounts], name: str, duration_ms: float) -> None:
    """Count one duration under a class or outcome name.

    Durations are counted in a dictionary and put into a histogram only once a second, because adding to the
    histogram takes ten times as long as counting.
    """
    counts = durations.get(name)
    if counts is None:
        counts = {}
        durations[name] = counts
    if duration_ms < COARSE_FROM_MS:
        value = int(duration_ms)
    else:
        value = int(duration_ms / COARSE_STEP_MS) * COARSE_STEP_MS
    counts[value] = counts.get(value, 0) + 1


def second_fields(second: SecondCounts, state: NodeState, now: float) -> RecordFields:
    """Return the fields of a ``second`` record: the counts, and the present state of the node.

    ``now`` is the node's time in Unix milliseconds.
    """
    fields = _counted_fields(second, now)
    if state.controller is not None:
        fields |= _controller_fields(state.controller, state.admission_clock.timestamp_s(now))
    fields |= _load_fields(state)
    return fields


def _summarize(counts: DurationCounts) -> list[int]:
    """Return the count, and the median, 99th percentile and maximum in ms."""
    histogram = HdrHistogram(1, DURATION_MAX_MS, PERCENTILE_DIGITS)
    for value, count in counts.items():
        histogram.record_value(max(1, min(DURATION_MAX_MS, value)), count)
    return [
        histogram.get_total_count(),
        int(histogram.get_value_at_percentile(50.0)),
        int(histogram.get_value_at_percentile(99.0)),
        int(histogram.get_max_value()),
    ]


def _counted_fields(second: SecondCounts, now: float) -> RecordFields:
    fields: RecordFields = {
        "ms": round(now - second.started_at_ms, 1),
        "totals": [
            [name, tenant, row.nonzero_counts()] for (name, tenant), row in second.request_counts.items()
        ],
    }
    if second.run_durations:
        fields["runs"] = {name: _summarize(counts) for name, counts in second.run_durations.items()}
    if second.call_durations:
        fields["calls"] = {name: _summarize(counts) for name, counts in second.call_durations.items()}
    if second.least_age_ms_by_caller:
        fields["floors"] = second.least_age_ms_by_caller
    return fields


def _controller_fields(controller: Controller, timestamp_s: float) -> RecordFields:
    ages_s = confirmation_ages_s(controller, timestamp_s)
    return {
        "b": round(controller.blocking_probability, 4),
        "limit": round(controller.concurrency.limit, 2),
        "mu": round(controller.estimates.service_rate, 3),
        "lambda": round(controller.estimates.arrival_rate, 3),
        "run_ages_s": {name: round(age, 2) for name, age in ages_s.items()},
    }


def _load_fields(state: NodeState) -> RecordFields:
    phases = [request.phase for request in state.requests.values()]
    fields: RecordFields = {
        "held": phases.count(RequestPhase.QUEUED),
        "running": phases.count(RequestPhase.RUNNING),
        "calls_in_hand": sum(request.call_in_flight for request in state.requests.values()),
        "keys": len(state.idempotency_table),
        "gauges": dict(zip(state.gauge_names, state.load_sample, strict=False)),
    }
    if state.load_report is not None:
        fields["say"] = state.load_report
    return fields
