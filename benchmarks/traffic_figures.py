"""Figures of the requests that a benchmark sent: broken rules, share served by second, and quantiles."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from emulators.load_generator import SentRequest
from emulators.request_protocol import SERVED

LATE_SLACK_MS = 110.0  # Time after its request's timeout from which an answer counts as late.
MIN_REQUESTS_PER_SECOND = 5  # Minimum number of requests in a second for its share served to be reported.
MS_PER_S = 1000.0


def count_broken_rules(sent_requests: Sequence[SentRequest], timeout_ms: float) -> dict[str, int]:
    """Return the numbers of requests sent, lost, answered more than once, and answered late."""
    return {
        "asked": len(sent_requests),
        "lost": sum(not request.answers for request in sent_requests),
        "doubled": sum(len(request.answers) > 1 for request in sent_requests),
        "late": sum(_is_late(request, timeout_ms) for request in sent_requests),
    }


def _is_late(request: SentRequest, timeout_ms: float) -> bool:
    return bool(request.answers) and request.answers[0].at_ms > request.sent_ms + timeout_ms + LATE_SLACK_MS


def served_by_second(sent_requests: Sequence[SentRequest]) -> list[float]:
    """Return the share of served requests for each second in which enough requests were sent, in order."""
    begin_ms = min(request.sent_ms for request in sent_requests)
    sent: Counter[int] = Counter()
    served: Counter[int] = Counter()
    for request in sent_requests:
        second = int((request.sent_ms - begin_ms) / MS_PER_S)
        sent[second] += 1
        served[second] += was_served(request)
    return [
        served[second] / sent[second] for second in sorted(sent) if sent[second] >= MIN_REQUESTS_PER_SECOND
    ]


def was_served(request: SentRequest) -> bool:
    """Return whether a request has an answer with a result."""
    return any(answer.outcome == SERVED for answer in request.answers)


def quantile(values: Sequence[float], q: float) -> float:
    """Return the ``q``-quantile of the values, with ``q`` from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]
