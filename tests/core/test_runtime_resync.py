"""Runs whose last command may have been lost with a broken link: how they continue, end and are counted."""

from __future__ import annotations

import pytest
from support.core_events import confirm_commands, connect, make_request, resynchronise, run_of
from support.exchange import START

from snowthread.admission.lost_runs import RUN_COUNT_UNCERTAIN_S
from snowthread.admission.settings import Outcome
from snowthread.admission.timer_queue import DEADLINE_TIMER, UPDATE_TIMER
from snowthread.core import effects, events
from snowthread.core.reducer import reduce
from snowthread.core.runtime_resync import sync_tag
from snowthread.core.state import NodeState, Request


def start_run(state: NodeState, request: events.RequestReceived) -> Request:
    """Connect the runtime and start the run of a request."""
    connect(state, START)
    assert any(isinstance(effect, effects.StartRun) for effect in reduce(state, request, START))
    return state.requests_by_attempt_id[request.attempt_id]


def start_second_run(state: NodeState, now_ms: float) -> Request:
    """Start the run of a second request, of the keyed class, on the current link."""
    reduce(state, make_request(2, "keyed", now_ms), now_ms)
    return state.requests_by_attempt_id[f"{2:016x}"]


def counted_runs(state: NodeState) -> int:
    """Return how many runs the admission controller counts as running."""
    assert state.controller is not None
    return state.controller.run_load().running


@pytest.mark.parametrize("class_name", ["idempotent", "keyed", "non-idempotent"])
def test_a_run_whose_start_was_read_before_the_break_goes_on(state: NodeState, class_name: str) -> None:
    request = start_run(state, make_request(1, class_name, START))
    confirm_commands(state, START + 1.0)
    assert resynchronise(state, START + 1.0) == []
    assert run_of(request).link_number == state.link_number
    assert not run_of(request).is_indeterminate


@pytest.mark.parametrize("class_name", ["idempotent", "keyed", "non-idempotent"])
def test_an_unconfirmed_start_may_be_lost_however_old_it_is(state: NodeState, class_name: str) -> None:
    """A slow or silent link may still hold commands that were sent long before it breaks."""
    request = start_run(state, make_request(1, class_name, START))
    emitted = resynchronise(state, START + 900.0)
    assert run_of(request).is_indeterminate is (class_name != "idempotent")
    resent = [effect for effect in emitted if isinstance(effect, effects.StartRun)]
    assert len(resent) == (class_name == "idempotent")


def test_an_echo_of_an_earlier_link_confirms_nothing_of_a_later_one(state: NodeState) -> None:
    request = start_run(state, make_request(1, "keyed", START))
    confirm_commands(state, START + 1.0)
    resynchronise(state, START + 2.0)
    late = start_second_run(state, START + 3.0)
    assert resynchronise(state, START + 4.0) == []
    assert run_of(late).is_indeterminate and not run_of(request).is_indeterminate


def test_a_start_that_may_be_lost_is_sent_again_where_the_class_is_idempotent(state: NodeState) -> None:
    request = start_run(state, make_request(1, "idempotent", START))
    assert resynchronise(state, START + 1.0) == [
        effects.StartRun(request.attempt_id, "idempotent", request.body)
    ]


@pytest.mark.parametrize("class_name", ["keyed", "non-idempotent"])
def test_a_start_that_may_be_lost_is_never_sent_again_where_the_class_is_not_idempotent(
    state: NodeState, class_name: str
) -> None:
    request = start_run(state, make_request(1, class_name, START))
    emitted = resynchronise(state, START + 1.0)
    assert not any(isinstance(effect, effects.StartRun) for effect in emitted)
    assert run_of(request).is_indeterminate


def test_an_indeterminate_run_counts_until_its_end_is_reported(state: NodeState) -> None:
    request = start_run(state, make_request(1, "keyed", START))
    resynchronise(state, START + 1.0)
    assert counted_runs(state) == 1
    reduce(state, events.RunCompleted(request.attempt_id, Outcome.SUCCESS, 1.0, b"r"), START + 2.0)
    assert counted_runs(state) == 0 and state.requests == {}


def test_a_run_to_which_no_response_is_owed_is_stopped_and_counts_until_its_end_is_reported(
    state: NodeState,
) -> None:
    request = start_run(state, make_request(1, "non-idempotent", START))
    confirm_commands(state, START)
    reduce(state, events.RequestCancelled((1, 1)), START)
    emitted = resynchronise(state, START + 1.0)
    assert emitted.count(effects.StopRun(request.attempt_id)) == 1
    confirm_commands(state, START + 2.0)
    assert counted_runs(state) == 1
    reduce(state, events.RunCompleted(request.attempt_id, Outcome.CANCELLED, 1.0, b""), START + 3.0)
    assert counted_runs(state) == 0 and state.requests == {}


def test_a_stop_that_has_to_wait_for_a_link_is_sent_on_the_next(state: NodeState) -> None:
    """If the stop were dropped, the run would continue at the runtime without being counted."""
    request = start_run(state, make_request(1, "keyed", START))
    resynchronise(state, START + 1.0)
    reduce(state, events.RuntimeDisconnected(), START + 2.0)
    reduce(state, events.RequestCancelled((1, 1)), START + 3.0)
    assert counted_runs(state) == 1
    emitted = reduce(state, events.RuntimeConnected(False, 0.0), START + 4.0)
    assert effects.StopRun(request.attempt_id) in emitted


def test_a_run_has_ended_if_its_stop_was_read_before_any_notice_of_it(state: NodeState) -> None:
    start_run(state, make_request(1, "keyed", START))
    resynchronise(state, START + 1.0)
    reduce(state, events.RequestCancelled((1, 1)), START + 2.0)
    assert counted_runs(state) == 1
    confirm_commands(state, START + 3.0)
    assert counted_runs(state) == 0 and state.requests == {}
    record = state.idempotency_table.find_by_attempt(f"{1:016x}")
    # The request may have run after all, so its key stays recorded and is never run again.
    assert record is not None and record.completed


def test_a_run_that_the_site_cannot_stop_counts_until_its_end_is_reported(
    state_without_preemption: NodeState,
) -> None:
    state = state_without_preemption
    request = start_run(state, make_request(1, "idempotent", START))
    confirm_commands(state, START)
    reduce(state, events.RequestCancelled((1, 1)), START)
    assert not any(isinstance(e, effects.StopRun) for e in resynchronise(state, START + 1.0))
    confirm_commands(state, START + 2.0)
    assert counted_runs(state) == 1
    reduce(state, events.RunCompleted(request.attempt_id, Outcome.SUCCESS, 1.0, b"r"), START + 3.0)
    assert counted_runs(state) == 0


def test_a_run_without_any_notice_is_presumed_lost_in_the_end(state_without_preemption: NodeState) -> None:
    state = state_without_preemption
    start_run(state, make_request(1, "keyed", START))
    resynchronise(state, START + 1.0)
    for step in range(1, 60):
        reduce(state, events.TimerExpired(DEADLINE_TIMER), START + 100.0 * step)
    assert counted_runs(state) == 0 and state.requests == {}


def test_a_reply_sent_on_the_new_link_does_not_count_as_lost_with_the_old_one(state: NodeState) -> None:
    request = start_run(state, make_request(1, "keyed", START))
    reduce(state, events.CallRequested(request.attempt_id, 1, b"c"), START + 1.0)
    reduce(state, events.RuntimeDisconnected(), START + 2.0)
    reduce(state, events.RuntimeConnected(False, 0.0), START + 3.0)
    reduce(state, events.CallCompleted(request.attempt_id, Outcome.SUCCESS, 1.0, b"r"), START + 4.0)
    reduce(state, events.LoadSampleReceived(sync_tag(2), ()), START + 5.0)
    assert not run_of(request).is_indeterminate


@pytest.mark.parametrize(
    "event",
    [
        pytest.param(events.PeerProcessExited(), id="peer process exited"),
        pytest.param(events.RuntimeDisconnected(), id="link broke"),
    ],
)
def test_excess_runs_are_measured_after_a_peer_exits_or_a_link_breaks(
    state: NodeState, event: events.Event
) -> None:
    """Runs of a peer process that exited, and runs hidden by a broken link, may continue at the runtime."""
    state.gauge_names = ("on_cores",)
    reduce(state, events.RuntimeConnected(False, 0.0), START)
    later_ms = START + 1000.0 * (RUN_COUNT_UNCERTAIN_S + 1.0)
    reduce(state, event, later_ms)
    reduce(state, events.LoadSampleReceived("x", (6.0,)), later_ms)
    reduce(state, events.TimerExpired(UPDATE_TIMER), later_ms)
    assert state.controller is not None and state.controller.run_load().excess_runs == 6.0


def test_runs_of_an_earlier_incarnation_are_measured_after_the_start(state: NodeState) -> None:
    state.gauge_names = ("on_cores",)
    reduce(state, events.RuntimeConnected(False, 60_000.0), START)
    reduce(state, events.LoadSampleReceived("x", (6.0,)), START + 240.0)
    reduce(state, events.TimerExpired(UPDATE_TIMER), START + 250.0)
    assert state.controller is not None and state.controller.run_load().excess_runs == 6.0


def test_exit_of_a_peer_process_before_the_runtime_is_there_starts_no_controller(state: NodeState) -> None:
    """Otherwise the controller would assume a warm runtime before the age of the runtime is known."""
    reduce(state, events.PeerProcessExited(), START)
    assert state.controller is None
