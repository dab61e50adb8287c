"""Which values of a load sample are passed to the admission controller, and for how long they are valid."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest
from support.core_events import make_request
from support.exchange import START

from snowthread.admission import events as admission_events
from snowthread.admission.controller import Controller
from snowthread.admission.timer_queue import UPDATE_TIMER
from snowthread.core import effects, events
from snowthread.core.load_samples import (
    LOAD_SAMPLE_LEAD_MS,
    LOAD_SAMPLE_MAX_AGE_MS,
    UTILIZATION_WINDOW_MS,
)
from snowthread.core.reducer import reduce
from snowthread.core.runtime_resync import sync_tag
from snowthread.core.state import NodeState

GAUGES = ("core_use", "on_cores", "heap_share", "links")


class TimerRecorder:
    """Records the timer events that are passed to controllers."""

    def __init__(self) -> None:
        self.timers: list[admission_events.TimerFired] = []


@pytest.fixture
def timer_recorder(monkeypatch: pytest.MonkeyPatch) -> Iterator[TimerRecorder]:
    recorder = TimerRecorder()
    handle = Controller.handle

    def record(self: Controller, now: float, event: admission_events.Event) -> Any:
        if isinstance(event, admission_events.TimerFired):
            recorder.timers.append(event)
        return handle(self, now, event)

    monkeypatch.setattr(Controller, "handle", record)
    yield recorder


@pytest.fixture
def connected(state: NodeState) -> NodeState:
    state.gauge_names = GAUGES
    reduce(state, events.RuntimeConnected(False, 0.0), START)
    return state


def update(state: NodeState, at_ms: float) -> None:
    reduce(state, events.TimerExpired(UPDATE_TIMER), START + at_ms)


def sample(state: NodeState, at_ms: float, tag: str = "1") -> None:
    reduce(state, events.LoadSampleReceived(tag, (0.5, 3.0, 0.1, 2.0)), START + at_ms)


def test_all_figures_of_a_sample_on_an_unbroken_link_are_passed_on(
    connected: NodeState, timer_recorder: TimerRecorder
) -> None:
    sample(connected, 240.0)
    update(connected, 250.0)
    assert timer_recorder.timers == [admission_events.TimerFired(UPDATE_TIMER, 0.5, 3.0, 0.1, 2.0)]


def test_sample_is_used_for_one_update_only(connected: NodeState, timer_recorder: TimerRecorder) -> None:
    """Otherwise one sample with idle cores would raise the concurrency limit in each following update."""
    sample(connected, 240.0)
    update(connected, 250.0)
    update(connected, 500.0)
    assert timer_recorder.timers[1] == admission_events.TimerFired(UPDATE_TIMER, None, None, 0.1, 2.0)


def test_old_sample_is_not_passed_on(connected: NodeState, timer_recorder: TimerRecorder) -> None:
    sample(connected, 0.0)
    update(connected, LOAD_SAMPLE_MAX_AGE_MS + 1.0)
    assert timer_recorder.timers == [admission_events.TimerFired(UPDATE_TIMER)]


def test_each_update_has_a_sample_of_its_own_however_long_other_timers_are_set(state: NodeState) -> None:
    """A sample requested for a timer that is seconds away can't be used for the updates before it."""
    emitted = reduce(state, events.RuntimeConnected(False, 0.0), START)
    # The deadline of this request sets a timer three seconds ahead.
    emitted += reduce(state, make_request(1, "idempotent", START), START)
    emitted += reduce(state, events.TimerExpired(UPDATE_TIMER), START + 250.0)
    updates = []
    samples = []
    for effect in emitted:
        if isinstance(effect, effects.ScheduleTimer) and effect.event == events.TimerExpired(UPDATE_TIMER):
            updates.append(effect.at_ms)
        elif isinstance(effect, effects.ScheduleTimer) and effect.event == events.LoadSampleDue():
            samples.append(effect.at_ms)
    assert len(updates) == 2
    assert samples == [at_ms - LOAD_SAMPLE_LEAD_MS for at_ms in updates]


def test_utilization_of_a_time_without_a_link_is_not_passed_on(
    connected: NodeState, timer_recorder: TimerRecorder
) -> None:
    """Cores that were idle only because no start command could reach them must not raise the limit."""
    reduce(connected, events.RuntimeDisconnected(), START + 100.0)
    reduce(connected, events.RuntimeConnected(False, 0.0), START + 400.0)
    sample(connected, 401.0, sync_tag(2))
    update(connected, 500.0)
    assert timer_recorder.timers == [admission_events.TimerFired(UPDATE_TIMER, None, 3.0, 0.1, 2.0)]
    sample(connected, 400.0 + UTILIZATION_WINDOW_MS)
    update(connected, 1000.0)
    assert timer_recorder.timers[1] == admission_events.TimerFired(UPDATE_TIMER, 0.5, 3.0, 0.1, 2.0)
