"""What becomes of a run whose last command may be lost with a broken link to the runtime."""

from __future__ import annotations

import pytest
from support.core_events import make_request
from support.exchange import START

from snowthread.core import effects, events
from snowthread.core.reducer import reduce
from snowthread.core.runs import LOST_COMMAND_WINDOW_MS, sync_tag
from snowthread.core.state import Request, State


def resynchronise(state: State, now_ms: float) -> list[effects.Effect]:
    """Break the link, connect again and return the effects, log apart, of the sample that ends it."""
    reduce(state, events.RuntimeDisconnected(), now_ms)
    reduce(state, events.RuntimeConnected(False, 0.0), now_ms)
    emitted = reduce(state, events.LoadSampleReceived(sync_tag(state.link_number), ()), now_ms)
    return [effect for effect in emitted if not isinstance(effect, effects.LogNote)]


def start(state: State, request: events.RequestReceived) -> Request:
    reduce(state, events.RuntimeConnected(False, 0.0), START)
    assert any(isinstance(effect, effects.StartRun) for effect in reduce(state, request, START))
    return state.requests_by_attempt_id[request.attempt_id]


@pytest.mark.parametrize("class_name", ["idempotent", "keyed", "non-idempotent"])
def test_a_run_started_well_before_the_break_goes_on(state: State, class_name: str) -> None:
    request = start(state, make_request(1, class_name, START))
    assert resynchronise(state, START + LOST_COMMAND_WINDOW_MS + 1.0) == []
    assert request.link_number == state.link_number
    assert not request.indeterminate


def test_a_start_that_may_be_lost_is_sent_again_where_the_class_is_idempotent(state: State) -> None:
    request = start(state, make_request(1, "idempotent", START))
    assert resynchronise(state, START + 1.0) == [
        effects.StartRun(request.attempt_id, "idempotent", request.body)
    ]


@pytest.mark.parametrize("class_name", ["keyed", "non-idempotent"])
def test_a_start_that_may_be_lost_is_never_sent_again_where_it_has_side_effects(
    state: State, class_name: str
) -> None:
    request = start(state, make_request(1, class_name, START))
    emitted = resynchronise(state, START + 1.0)
    assert not any(isinstance(effect, effects.StartRun) for effect in emitted)
    assert request.indeterminate


def test_a_run_that_nobody_waits_for_is_stopped_and_counts_as_ended(state: State) -> None:
    request = start(state, make_request(1, "non-idempotent", START))
    reduce(state, events.RequestCancelled((1, 1)), START)
    assert effects.StopRun(request.attempt_id) in resynchronise(state, START + 1.0)
    assert state.requests == {}
