"""Figures of sent requests: broken rules, the share served by second, and quantiles."""

from __future__ import annotations

import pytest

from benchmarks.traffic_figures import (
    LATE_SLACK_MS,
    MIN_REQUESTS_PER_SECOND,
    count_broken_rules,
    quantile,
    served_by_second,
)
from emulators.load_generator import Answer, SentRequest
from emulators.request_protocol import REJECTED, SERVED

TIMEOUT_MS = 3000.0
BEGIN_MS = 50_000.0


def request(sent_ms: float, *answers: Answer) -> SentRequest:
    return SentRequest(sent_ms, "127.0.0.2", list(answers))


def test_requests_without_answer_with_two_answers_and_with_a_late_answer_are_counted() -> None:
    in_time = Answer(BEGIN_MS + TIMEOUT_MS + LATE_SLACK_MS, SERVED)
    late = Answer(BEGIN_MS + TIMEOUT_MS + LATE_SLACK_MS + 1.0, REJECTED)
    requests = [
        request(BEGIN_MS, in_time),
        request(BEGIN_MS, late),
        request(BEGIN_MS, in_time, in_time),
        request(BEGIN_MS),
    ]
    assert count_broken_rules(requests, TIMEOUT_MS) == {"asked": 4, "lost": 1, "doubled": 1, "late": 1}


def test_share_served_is_reported_for_seconds_with_enough_requests() -> None:
    served = Answer(BEGIN_MS, SERVED)
    rejected = Answer(BEGIN_MS, REJECTED)
    first = [request(BEGIN_MS + n, served if n else rejected) for n in range(MIN_REQUESTS_PER_SECOND)]
    second = [request(BEGIN_MS + 1500.0, served) for _ in range(MIN_REQUESTS_PER_SECOND - 1)]
    third = [request(BEGIN_MS + 2500.0, served) for _ in range(MIN_REQUESTS_PER_SECOND)]
    assert served_by_second([*third, *first, *second]) == [0.8, 1.0]


@pytest.mark.parametrize(("q", "value"), [(0.0, 1.0), (0.5, 3.0), (0.99, 4.0), (1.0, 4.0)])
def test_quantile_is_the_value_that_a_share_of_the_values_lies_below(q: float, value: float) -> None:
    assert quantile([4.0, 1.0, 3.0, 2.0], q) == value
