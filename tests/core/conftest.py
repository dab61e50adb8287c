"""Fixtures for the tests of the core: a complete node, and a bare state."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from support.exchange import START, ExchangePlayer
from support.response_log import ResponseLog, collect_responses
from support.run_transitions import CheckedRunState

from snowthread.admission.settings import Idempotency, Preemption, RequestClass, Settings
from snowthread.core.run import Run
from snowthread.core.state import AdmissionClock, NodeState


@pytest.fixture(autouse=True)
def checked_run_states(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make every illegal transition between the states of a run an error."""
    monkeypatch.setattr(Run, "state", CheckedRunState(Run.__dict__["state"]))


@pytest.fixture(autouse=True)
def response_log(monkeypatch: pytest.MonkeyPatch) -> Iterator[ResponseLog]:
    """Check that each response without a result names its attempt, and each rejection its reason."""
    log = collect_responses(monkeypatch)
    yield log
    log.check()


@pytest.fixture
def player() -> Iterator[ExchangePlayer]:
    """Yield a node with the example configuration and reachable peers."""
    player = ExchangePlayer()
    yield player
    player.node.loop.end_all_tasks()


@pytest.fixture
def state() -> NodeState:
    """Return the state of a node with one class of each kind of idempotency, before its first event."""
    return make_state(Preemption.DROP)


@pytest.fixture
def state_without_preemption() -> NodeState:
    """Return the state of such a node at a site that can't stop runs."""
    return make_state(Preemption.NONE)


def make_state(preemption: Preemption) -> NodeState:
    """Return the state of a node with one class of each kind of idempotency and this kind of preemption."""
    classes = (
        RequestClass("idempotent", 1.0, 3.0),
        RequestClass("keyed", 1.0, 3.0, idempotency=Idempotency.KEYED, idempotency_window_s=9.0),
        RequestClass("non-idempotent", 1.0, 3.0, idempotency=Idempotency.NON_IDEMPOTENT),
    )
    settings = Settings(
        classes=classes, cores=2, memory_kb=1000.0, running_memory_factor=4.0, preemption=preemption
    )
    return NodeState(settings, seed=1, gauge_names=(), admission_clock=AdmissionClock(START))
