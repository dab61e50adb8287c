"""The rules that a soak checks, on what was observed. Pure."""

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

ANSWER_SLACK_MS = 110.0  # the settings' 60 ms and the protocol's 50 ms
TEST_HOST_SLACK_MS = 100.0  # of the machine that plays: node, emulators and clients share it
UNREADABLE_BEFORE_KILL_MS = 30.0  # before the kill: what is sent then no node can read and answer
ERRORS_IN_LOG = ("Traceback", " failed\n", "ERROR", "CRITICAL")
EXPECTED_EXITS = (0, -signal.SIGKILL)


@dataclass(slots=True)
class SoakObservation:
    """What was observed of one soak."""

    plan: SoakPlan
    requests: Sequence[ClientRequest] = ()
    runs_by_body: Mapping[bytes, int] = field(default_factory=dict)  # runs that the runtime began, by body
    runs_by_attempt: Mapping[str, int] = field(default_factory=dict)  # the same, by attempt id
    peak: LoadPeak = field(default_factory=LoadPeak)  # of the machine's load
    links: int = 0  # that the node opened to its runtime
    calls_in_hand: float = 0.0  # the most that the database had, in the mean over its window
    killed_at_ms: float = 0.0
    paused_ms: float = 0.0  # for which the node was stopped
    log: str = ""  # of the node
    exit_status: int | None = None  # of the node; None: it was never started


@dataclass(slots=True)
class SoakResult:
    """What came of one soak; ``broken`` names each rule that was broken, with its figures."""

    seed: int
    requests: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    links: int = 0
    peak_runs_per_core: float = 0.0
    peak_of_survived: float = 0.0
    calls_in_hand: float = 0.0
    latest_ms: float = 0.0  # the latest answer after its due time
    broken: list[str] = field(default_factory=list)


def evaluate(observed: SoakObservation) -> SoakResult:
    """Return the figures of a soak, and how its rules were broken."""
    requests = observed.requests
    result = SoakResult(
        seed=observed.plan.seed,
        requests=len(requests),
        outcomes=dict(Counter(r.answers[0] if r.answers else "none" for r in requests)),
        links=observed.links,
        peak_runs_per_core=round(observed.peak.runs_per_core, 2),
        peak_of_survived=round(observed.peak.limit_ratio, 2),
        calls_in_hand=round(observed.calls_in_hand, 2),
        latest_ms=round(max((r.lateness_ms for r in requests if r.answers), default=0.0), 1),
    )
    for check in (check_answers, check_runs, check_load, check_process):
        result.broken += check(observed)
    return result


def check_answers(observed: SoakObservation) -> list[str]:
    """Return how the rule was broken that each request read has one answer, in time."""
    slack_ms = ANSWER_SLACK_MS + TEST_HOST_SLACK_MS + observed.paused_ms
    broken = []
    for request in observed.requests:
        until_kill_ms = observed.killed_at_ms - request.sent_ms
        sent = f"{request.class_name} {request.attempt_id} sent {until_kill_ms:.0f} ms before the kill"
        due_ms = min(request.sent_ms + request.wait_ms + slack_ms, observed.killed_at_ms)
        if len(request.answers) > 1:
            broken.append(f"{sent} was answered twice: {request.answers}")
        elif request.lost_reason:
            broken.append(f"{sent} lost: {request.lost_reason}")
        elif request.answers and request.lateness_ms > slack_ms:
            broken.append(f"{sent} answered {request.lateness_ms:.0f} ms after its due time")
        elif (
            not request.answers and request.answer_expected and _could_be_answered(observed, request, due_ms)
        ):
            broken.append(f"{sent} has no answer")
    return broken


def _could_be_answered(observed: SoakObservation, request: ClientRequest, due_ms: float) -> bool:
    return (
        due_ms <= observed.killed_at_ms
        and request.sent_ms < observed.killed_at_ms - UNREADABLE_BEFORE_KILL_MS
    )


def check_runs(observed: SoakObservation) -> list[str]:
    """Return which keys ran twice, and which attempts were rejected though they ran."""
    broken = [
        f"key {body!r} ran {count} times"
        for body, count in observed.runs_by_body.items()
        if body.startswith(KEYED_BODY_PREFIX) and count > 1
    ]
    broken += [
        f"keyed attempt {request.attempt_id} was rejected and ran"
        for request in observed.requests
        if request.class_name in observed.plan.scenario.keyed_classes
        and REJECTED in request.answers
        and request.attempt_id in observed.runs_by_attempt
    ]
    return broken


def check_load(observed: SoakObservation) -> list[str]:
    """Return whether the machine or the database had more than they survive."""
    broken = []
    quota = observed.plan.scenario.settings()["domain"]["calls_out"]
    if observed.peak.limit_ratio >= 1.0:
        broken.append(f"the machine fell: {observed.peak}")
    elif observed.peak.limit_ratio > CEILING_RATIO:
        broken.append(f"the machine had more than the margin allows: {observed.peak}")
    if observed.calls_in_hand > quota:
        broken.append(f"{observed.calls_in_hand:.2f} calls in hand, {quota} allowed")
    return broken


def check_process(observed: SoakObservation) -> list[str]:
    """Return which errors the node logged, and whether it exited with one."""
    broken = [f"the log has {text!r}" for text in ERRORS_IN_LOG if text in observed.log]
    if observed.exit_status is not None and observed.exit_status not in EXPECTED_EXITS:
        broken.append(f"the node exited with {observed.exit_status}")
    return broken
