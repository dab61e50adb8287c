"""A tenant is removed, suspended or changed while its requests are queued, running or complete.

Each request is answered at most once, no attempt runs twice, and a retry of an attempt that ran still gets
its result.
"""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest

from snowthread import config
from snowthread.admission.settings import Outcome, Tenant
from snowthread.core import effects, events
from snowthread.core.reducer import reduce
from snowthread.core.state import AdmissionClock, NodeState

START = 1_800_000_000_000.0
FIELDS = json.loads((Path(__file__).parents[2] / "examples" / "node.json").read_bytes())
SETTINGS = config.parse(FIELDS).settings
REMOVED = events.TenantsChanged(removed=frozenset({"a"}))
SUSPENDED = events.TenantsChanged((Tenant("a", 5.0, suspended=True),))
RENAMED = events.TenantsChanged(())  # a rename keeps the id, so no quota changes
SMALLER_QUOTA = events.TenantsChanged((Tenant("a", 0.001),), over_quota_weight=0.05)
NO_DISPENSE = events.TenantsChanged((Tenant("a", 5.0, allowed_classes=("match",)),))


class Node:
    """The reducer, with a record of the responses, runs and calls that it produced."""

    def __init__(self, **changes: object) -> None:
        self.now = START
        settings = replace(SETTINGS, cores=1, collapse_multiple=1.0, **changes)  # type: ignore[arg-type]
        self.state = NodeState(settings, 7, (), AdmissionClock(START))
        self.answers: dict[int, list[object]] = {}
        self.started: list[str] = []
        self.calls: list[str] = []
        quotas = (Tenant("a", 5.0), Tenant("b", 5.0))
        # Quotas that are posted before the runtime connects find no controller yet.
        self.post(events.TenantsChanged(quotas))
        self.post(events.RuntimeConnected(False, 0.0))

    def post(self, message: events.Event) -> None:
        for effect in reduce(self.state, message, self.now):
            if isinstance(effect, effects.SendResponse):
                self.answers.setdefault(effect.response_address[1], []).append(effect.response)
            elif isinstance(effect, effects.StartRun):
                self.started.append(effect.attempt_id)
            elif isinstance(effect, effects.StartCall):
                self.calls.append(effect.attempt_id)

    def request(
        self, number: int, idempotency_key: str = "", tenant: str = "a", class_name: str = "dispense"
    ) -> str:
        attempt_id = f"{number:016x}"
        self.post(
            events.RequestReceived(
                (1, number),
                attempt_id,
                class_name,
                b"body",
                self.now,
                5000.0,  # timeout_ms
                3,  # caller_id
                20.0,  # memory_kb
                0.5,  # rank
                idempotency_key or f"k{number}",
                tenant=tenant,
            )
        )
        return attempt_id

    def complete(self, attempt_id: str, result: bytes = b"done") -> None:
        self.now += 50.0
        self.post(events.RunCompleted(attempt_id, Outcome.SUCCESS, 50.0, result))

    def answer_to(self, number: int) -> str:
        """Return the type name of the answer to a request, or an empty string; two answers are a failure."""
        answers = self.answers.get(number, [])
        assert len(answers) <= 1, answers
        return type(answers[0]).__name__ if answers else ""


@pytest.mark.parametrize("change", [REMOVED, SUSPENDED, RENAMED, SMALLER_QUOTA, NO_DISPENSE])
def test_a_tenant_change_in_every_phase_of_a_request_answers_each_request_at_most_once(
    change: events.TenantsChanged,
) -> None:
    node = Node()
    done = node.request(1, "k1")
    node.complete(done, b"first")
    assert node.answer_to(1) == "Served"
    running = node.request(2, "k2")
    queued = node.request(3, "k3")
    node.request(4, "k2")  # a follower
    other_queued = node.request(5, "k5", tenant="b")
    assert node.started == [done, running] and not node.answer_to(3) and not node.answer_to(4)
    before = len(node.started)
    node.post(change)
    rejects_queued = change is not RENAMED and change is not SMALLER_QUOTA
    assert node.answer_to(3) == ("Rejected" if rejects_queued else "")  # rejected while queued, before it ran
    # Request 2 is running, 4 follows it, and 5 belongs to another tenant: none of them is affected.
    assert not node.answer_to(2) and not node.answer_to(4) and not node.answer_to(5)
    assert len(node.started) == before
    # The retry of a completed attempt gets its result, whatever happened to its tenant.
    retry = node.request(6, "k1")
    assert node.answer_to(6) == "Served" and node.answers[6] == [effects.Served(b"first")]
    node.request(7, "k7")
    if change is SUSPENDED or change is NO_DISPENSE:
        # New work of a suspended tenant, or of a class that the tenant may not send, is rejected.
        assert node.answer_to(7) == "Rejected"
    node.complete(running, b"second")
    assert node.answers[2] == [effects.Served(b"second")] == node.answers[4]
    assert retry not in node.started
    # Each completed run can start the next queued attempt; six rounds are more than the three attempts need.
    for _ in range(6):
        for attempt_id in [
            queued_id for queued_id in (queued, other_queued, f"{7:016x}") if queued_id in node.started
        ]:
            node.complete(attempt_id)
    assert node.answer_to(5) == "Served" and node.answer_to(3) in ("Served", "Rejected")
    assert len(set(node.started)) == len(node.started)


def test_a_run_that_waits_for_a_call_completes() -> None:
    node = Node()
    attempt_id = node.request(1)
    node.post(events.CallRequested(attempt_id, 4, b"what"))
    assert node.calls == [attempt_id]
    node.post(REMOVED)
    node.post(events.CallCompleted(attempt_id, Outcome.SUCCESS, 5.0, b"known"))
    node.complete(attempt_id)
    assert node.answer_to(1) == "Served" and node.started == [attempt_id]


def test_a_rejected_queued_attempt_ends_its_waiting_retries_once() -> None:
    node = Node()
    node.request(1)
    queued = node.request(2, "k2")
    retry = node.request(3, "k2")
    node.post(SUSPENDED)
    assert node.answer_to(2) == "Rejected" and node.answer_to(3) == "Failed"
    node.request(4, "k2")  # nothing ran with this key, so it is rejected like new work
    assert node.answer_to(4) == "Rejected" and queued not in node.started and retry not in node.started


def test_a_client_whose_network_moves_gets_the_result_of_its_first_attempt() -> None:
    node = Node()
    attempt_id = node.request(1, "k1", tenant="a")
    node.complete(attempt_id)
    node.request(2, "k1", tenant="b")  # the same request, now identified as another tenant's
    assert node.answer_to(2) == "Served" and node.started == [attempt_id]


def test_a_cancelled_run_of_a_suspended_tenant_is_not_answered() -> None:
    node = Node()
    attempt_id = node.request(1, class_name="match")
    node.post(SUSPENDED)
    node.post(events.RequestCancelled((1, 1)))
    node.post(events.RunCompleted(attempt_id, Outcome.CANCELLED, 10.0, b""))
    assert node.answer_to(1) == "" and not node.state.requests


def test_quotas_set_before_the_runtime_connects_apply_then_and_a_cold_start_stays_cold() -> None:
    state = NodeState(replace(SETTINGS, starts_cold=False), 1, (), AdmissionClock(START))
    for message in (
        events.TenantsChanged((Tenant("a", 5.0), Tenant("b", 1.0)), over_quota_weight=0.3),
        events.TenantsChanged((Tenant("a", 6.0),), frozenset({"b"})),
    ):
        assert reduce(state, message, START) == [] and state.controller is None
    reduce(state, events.RuntimeConnected(True, 0.0), START)
    assert state.controller is not None and state.controller.settings.starts_cold
    quotas = state.controller.state.quotas.table
    assert quotas.tenants == {"a": Tenant("a", 6.0)} and quotas.over_quota_weight == 0.3


def test_a_tenant_over_its_quota_waits_behind_one_within() -> None:
    node = Node()
    node.post(events.TenantsChanged((Tenant("a", 0.5), Tenant("b", 50.0)), over_quota_weight=0.05))
    blocker = node.request(1, tenant="a")
    for n in range(12, 30):  # only recent runs count against the quota, not the requests sent
        node.complete(blocker)
        blocker = node.request(n, tenant="a")
    over = node.request(40, tenant="a")
    within = node.request(41, tenant="b")
    node.complete(blocker)
    assert within in node.started and over not in node.started
