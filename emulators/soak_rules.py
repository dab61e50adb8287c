"""The rules that a soak checks, as pure functions of what was observed."""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from emulators.persistent_clients import ClientRequest
from emulators.request_protocol import KEYED_BODY_PREFIX, REJECTED
from emulators.soak_plan import SoakPlan
from emulators.strict_runtime import LoadPeak
from snowthread.admission.concurrency import CEILING_RATIO

# Allowed time from a deadline to the answer: 60 ms from the settings, 50 ms from the protocol.
ANSWER_SLACK_MS = 110.0
TEST_HOST_SLACK_MS = 100.0  # More time for answers, as node, emulators and clients share the test host.
# Requests sent within this time before the kill need no answer, as the node cannot read and answer them.
UNREADABLE_BEFORE_KILL_MS = 30.0
ERRORS_IN_LOG = ("Traceback", " failed\n", "ERROR", "CRITICAL")
EXPECTED_EXITS = (0, -signal.SIGKILL)


@dataclass(slots=True)
class SoakObservation:
    """The observations from one soak."""

    plan: SoakPlan
    requests: Sequence[ClientRequest] = ()
    # Number of runs started, by request body.
    runs_by_body: Mapping[bytes, int] = field(default_factory=dict)
    runs_by_attempt: Mapping[str, int] = field(default_factory=dict)  # Number of runs started, by attempt id.
    peak: LoadPeak = field(default_factory=LoadPeak)  # Highest load of the machine.
    links: int = 0  # Number of links that the node opened to its runtime.
    peak_mean_calls: float = 0.0  # Highest mean number of concurrent database calls over a window.
    killed_at_ms: float = 0.0
    paused_ms: float = 0.0  # Time in ms for which the node was stopped by SIGSTOP.
    log: str = ""  # Log of the node.
    exit_status: int | None = None  # Exit status of the node; None if it was never started.


@dataclass(slots=True)
class SoakResult:
    """The result of one soak; ``broken`` has one message per violation of a rule, with its figures."""

    seed: int
    requests: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    links: int = 0
    peak_runs_per_core: float = 0.0
    peak_of_survived: float = 0.0
    calls_in_hand: float = 0.0
    # Time in ms from the deadline to the answer that was latest relative to its deadline.
    latest_ms: float = 0.0
    broken: list[str] = field(default_factory=list)


def evaluate(observed: SoakObservation) -> SoakResult:
    """Return the figures of a soak and the violations of its rules."""
    requests = observed.requests
    result = SoakResult(
        seed=observed.plan.seed,
        requests=len(requests),
        outcomes=dict(Counter(r.answers[0] if r.answers else "none" for r in requests)),
        links=observed.links,
        peak_runs_per_core=round(observed.peak.runs_per_core, 2),
        peak_of_survived=round(observed.peak.limit_ratio, 2),
        calls_in_hand=round(observed.peak_mean_calls, 2),
        latest_ms=round(max((r.lateness_ms for r in requests if r.answers), default=0.0), 1),
    )
    for check in (check_answers, check_runs, check_load, check_process):
        result.broken += check(observed)
    return result


def check_answers(observed: SoakObservation) -> list[str]:
    """Return the violations of the rule that each request that was read has exactly one answer, in time."""
    slack_ms = ANSWER_SLACK_MS + TEST_HOST_SLACK_MS + observed.paused_ms
    broken = []
    for request in observed.requests:
        until_kill_ms = observed.killed_at_ms - request.sent_ms
        sent = f"{request.class_name} {request.attempt_id} sent {until_kill_ms:.0f} ms before the kill"
        due_ms = min(request.sent_ms + request.wait_ms + slack_ms, observed.killed_at_ms)
        if len(request.answers) > 1:
            broken.append(f"{sent} was answered twice: {request.answers}")
        elif request.lost_reason:
            broken.append(f"{sent} was lost: {request.lost_reason}")
        elif request.answers and request.lateness_ms > slack_ms:
            broken.append(f"{sent} was answered {request.lateness_ms:.0f} ms after its deadline")
        elif (
            not request.answers and request.answer_expected and _could_be_answered(observed, request, due_ms)
        ):
            broken.append(f"{sent} was not answered")
    return broken


def _could_be_answered(observed: SoakObservation, request: ClientRequest, due_ms: float) -> bool:
    return (
        due_ms <= observed.killed_at_ms
        and request.sent_ms < observed.killed_at_ms - UNREADABLE_BEFORE_KILL_MS
    )


def check_runs(observed: SoakObservation) -> list[str]:
    """Return which idempotency keys ran more than once, and which keyed attempts ran but were rejected."""
    broken = [
        f"request body {body!r}, which names an idempotency key, ran {count} times"
        for body, count in observed.runs_by_body.items()
        if body.startswith(KEYED_BODY_PREFIX) and count > 1
    ]
    broken += [
        f"attempt {request.attempt_id} with an idempotency key was rejected although it ran"
        for request in observed.requests
        if request.class_name in observed.plan.scenario.keyed_classes
        and REJECTED in request.answers
        and request.attempt_id in observed.runs_by_attempt
    ]
    return broken


def check_load(observed: SoakObservation) -> list[str]:
    """Return whether the load of the machine or of the database exceeded its limit."""
    broken = []
    quota = observed.plan.scenario.settings()["domain"]["calls_out"]
    if observed.peak.limit_ratio >= 1.0:
        broken.append(f"the machine was overloaded: {observed.peak}")
    elif observed.peak.limit_ratio > CEILING_RATIO:
        broken.append(f"the machine's load exceeded the safety margin: {observed.peak}")
    if observed.peak_mean_calls > quota:
        broken.append(
            f"the mean of concurrent database calls was {observed.peak_mean_calls:.2f}, limit {quota}"
        )
    return broken


def check_process(observed: SoakObservation) -> list[str]:
    """Return which errors the node logged, and whether its exit status is an error."""
    broken = [f"the node's log contains {text!r}" for text in ERRORS_IN_LOG if text in observed.log]
    if observed.exit_status is not None and observed.exit_status not in EXPECTED_EXITS:
        broken.append(f"the node exited with status {observed.exit_status}")
    return broken
