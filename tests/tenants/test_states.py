"""A tenant is removed, suspended, renamed or given another quota while its requests stand anywhere: each ends
exactly once, nothing runs twice, and a repeat of what ran still gets its result.
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
from snowthread.core.state import AdmissionClock, State

START = 1_800_000_000_000.0
FIELDS = json.loads((Path(__file__).parents[2] / "examples" / "node.json").read_bytes())
SETTINGS = config.parse(FIELDS).settings
REMOVED = events.TenantQuotasChanged(removed=frozenset({"a"}))
SUSPENDED = events.TenantQuotasChanged((Tenant("a", 5.0, suspended=True),))
RENAMED = events.TenantQuotasChanged(())  # the id stays, so the decisions hear nothing
LESS = events.TenantQuotasChanged((Tenant("a", 0.001),), over_quota_weight=0.05)
NO_DISPENSE = events.TenantQuotasChanged((Tenant("a", 5.0, allowed_classes=("match",)),))


class Node:
    """The reducer with two cores, and all that it answered and started."""

    def __init__(self, **more: object) -> None:
        self.now = START
        settings = replace(SETTINGS, cores=1, collapse_multiple=1.0, **more)  # type: ignore[arg-type]
        self.state = State(settings, 7, (), AdmissionClock(START))
        self.answers: dict[int, list[object]] = {}
        self.started: list[str] = []
        self.calls: list[str] = []
        self.post(
            events.TenantQuotasChanged((Tenant("a", 5.0), Tenant("b", 5.0)))
        )  # before there is a controller
        self.post(events.RuntimeConnected(False, 0.0))

    def post(self, message: events.Event) -> None:
        for effect in reduce(self.state, message, self.now):
            if isinstance(effect, effects.SendResponse):
                self.answers.setdefault(effect.response_address[1], []).append(effect.response)
            elif isinstance(effect, effects.StartRun):
                self.started.append(effect.attempt_id)
            elif isinstance(effect, effects.StartCall):
                self.calls.append(effect.attempt_id)

    def ask(self, n: int, once: str = "", tenant: str = "a", kind: str = "dispense") -> str:
        uid = f"{n:016x}"
        self.post(
            events.RequestReceived(
                (1, n), uid, kind, b"body", self.now, 5000.0, 3, 20.0, 0.5, once or f"k{n}", tenant=tenant
            )
        )
        return uid

    def end(self, uid: str, result: bytes = b"done") -> None:
        self.now += 50.0
        self.post(events.RunCompleted(uid, Outcome.SUCCESS, 50.0, result))

    def said(self, n: int) -> str:
        """The one answer to a request; anything else but one is a broken rule."""
        got = self.answers.get(n, [])
        assert len(got) <= 1, got
        return type(got[0]).__name__ if got else ""


@pytest.mark.parametrize("change", [REMOVED, SUSPENDED, RENAMED, LESS, NO_DISPENSE])
def test_every_place_a_request_can_stand_in(change: events.TenantQuotasChanged) -> None:
    node = Node()
    done = node.ask(1, "k1")
    node.end(done, b"first")
    assert node.said(1) == "Served"
    running, held, _attached = node.ask(2, "k2"), node.ask(3, "k3"), node.ask(4, "k2")
    other_held = node.ask(5, "k5", tenant="b")
    assert node.started == [done, running] and not node.said(3) and not node.said(4)
    before = len(node.started)
    node.post(change)
    gone = change is not RENAMED and change is not LESS
    assert node.said(3) == ("Rejected" if gone else "")  # held: at once, it never ran
    assert not node.said(2) and not node.said(4) and not node.said(5)  # in work, or waiting for what is
    assert len(node.started) == before
    repeat = node.ask(6, "k1")  # of what ran: its result, whatever became of its tenant
    assert node.said(6) == "Served" and node.answers[6] == [effects.Served(b"first")]
    node.ask(7, "k7")
    if change is SUSPENDED or change is NO_DISPENSE:
        assert node.said(7) == "Rejected"  # new work of a barred tenant, or class
    node.end(running, b"second")
    assert node.answers[2] == [effects.Served(b"second")] == node.answers[4]
    assert repeat not in node.started
    for _ in range(6):
        for uid in [u for u in (held, other_held, f"{7:016x}") if u in node.started]:
            node.end(uid)
    assert node.said(5) == "Served" and node.said(3) in ("Served", "Rejected")
    assert len(set(node.started)) == len(node.started)


def test_a_run_at_a_call_goes_on_to_its_end() -> None:
    node = Node()
    uid = node.ask(1)
    node.post(events.CallRequested(uid, 4, b"what"))
    assert node.calls == [uid]
    node.post(REMOVED)
    node.post(events.CallCompleted(uid, Outcome.SUCCESS, 5.0, b"known"))
    node.end(uid)
    assert node.said(1) == "Served" and node.started == [uid]


def test_a_held_first_try_that_is_refused_takes_its_waiting_repeats_along_once() -> None:
    node = Node()
    node.ask(1)
    held, repeat = node.ask(2, "k2"), node.ask(3, "k2")
    node.post(SUSPENDED)
    assert node.said(2) == "Rejected" and node.said(3) == "Failed"
    node.ask(4, "k2")  # nothing ran under this key: it is barred like new work
    assert node.said(4) == "Rejected" and held not in node.started and repeat not in node.started


def test_a_caller_whose_network_moves_gets_the_result_of_its_first_try() -> None:
    node = Node()
    uid = node.ask(1, "k1", tenant="a")
    node.end(uid)
    node.ask(2, "k1", tenant="b")  # the same request, read as another tenant's now
    assert node.said(2) == "Served" and node.started == [uid]


def test_a_safe_class_that_was_stopped_is_answered_once_too() -> None:
    node = Node()
    uid = node.ask(1, kind="match")
    node.post(SUSPENDED)
    node.post(events.RequestCancelled((1, 1)))
    node.post(events.RunCompleted(uid, Outcome.CANCELLED, 10.0, b""))
    assert node.said(1) == "" and not node.state.requests


def test_shares_told_before_the_runtime_is_there_wait_for_it_and_a_cold_start_stays_cold() -> None:
    state = State(replace(SETTINGS, starts_cold=False), 1, (), AdmissionClock(START))
    for message in (
        events.TenantQuotasChanged((Tenant("a", 5.0), Tenant("b", 1.0)), over_quota_weight=0.3),
        events.TenantQuotasChanged((Tenant("a", 6.0),), frozenset({"b"})),
    ):
        assert reduce(state, message, START) == [] and state.controller is None
    reduce(state, events.RuntimeConnected(True, 0.0), START)
    assert state.controller is not None and state.controller.settings.starts_cold
    assert (
        state.controller._quotas.table.tenants == {"a": Tenant("a", 6.0)}
        and state.controller._quotas.table.over_quota_weight == 0.3
    )


def test_over_its_share_a_tenant_waits_behind_one_within() -> None:
    node = Node()
    node.post(events.TenantQuotasChanged((Tenant("a", 0.5), Tenant("b", 50.0)), over_quota_weight=0.05))
    blocker = node.ask(1, tenant="a")
    for n in range(12, 30):  # what of it ran lately counts, not what it sends
        node.end(blocker)
        blocker = node.ask(n, tenant="a")
    over, within = node.ask(40, tenant="a"), node.ask(41, tenant="b")
    node.end(blocker)
    assert within in node.started and over not in node.started
