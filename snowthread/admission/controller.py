"""The admission controller: dispatches each event to its rule. Performs no I/O and reads no clock."""

from collections.abc import Callable

from snowthread.admission import events
from snowthread.admission.actions import Action, SetHealth
from snowthread.admission.arrivals import request_arrived
from snowthread.admission.deadline_rule import ANSWER_MARGIN_S, check_deadline
from snowthread.admission.estimators import TIME_TOLERANCE_S
from snowthread.admission.graceful_shutdown import answer_all_before_exit, shutdown_noticed
from snowthread.admission.lost_runs import check_lost_run, run_count_uncertain, run_indeterminate
from snowthread.admission.periodic_update import begin_period, update
from snowthread.admission.reasons import RejectReason
from snowthread.admission.run_load import RunLoad
from snowthread.admission.run_results import call_finished, call_needed, run_finished
from snowthread.admission.settings import Settings, check_settings
from snowthread.admission.settlement import reject_or_fail, request_cancelled
from snowthread.admission.start_rule import start_queued
from snowthread.admission.state import ControllerState
from snowthread.admission.timer_queue import DEADLINE_TIMER, UPDATE_TIMER, TimerQueue


class Controller:
    """Makes the admission decisions of one node.

    The host passes every event to ``handle`` in order and carries out the actions that it returns.
    ``settings`` configures the node, and ``seed`` seeds the generator of random draws, so that the same
    events lead to the same actions.

    Raises:
        ValueError: the settings name no class, or a field of them is out of range.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        check_settings(settings)
        deadlines = TimerQueue(DEADLINE_TIMER, ANSWER_MARGIN_S, TIME_TOLERANCE_S)
        self.state = ControllerState(settings, seed, deadlines)
        self.estimates = self.state.estimates
        self.concurrency = self.state.concurrency
        self._now = 0.0

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.state.settings

    @property
    def blocking_probability(self) -> float:
        """The share, 0 to 1, that is rejected of the arriving requests that would have to wait."""
        return self.state.blocking.probability

    def run_load(self) -> RunLoad:
        """Return the number of runs that the controller counts, with the limits on it."""
        ceiling = self.concurrency.ceiling(self.state.age_s(self._now))
        return RunLoad.of(self.state.open_requests, self.concurrency.limit, ceiling)

    def handle(self, now: float, event: events.Event) -> list[Action]:
        """Process one event at ``now`` seconds and return the actions to carry out, in order."""
        state = self.state
        elapsed_s = max(0.0, now - self._now) if self._now else 0.0
        self._now = now
        state.open_requests.cores.advance(elapsed_s)
        state.calls.advance(elapsed_s)
        actions = _dispatch(state, now, event)
        actions += state.calls.check_pending(now)
        actions += start_queued(state, now)
        actions += state.deadlines.arm(now, state.open_requests.by_id)
        return actions


def _dispatch(state: ControllerState, now: float, event: events.Event) -> list[Action]:
    handler = _HANDLERS.get(type(event))
    if handler is None:
        return []
    if not isinstance(event, events.RequestEvent):
        return handler(state, now, event)
    request = state.open_requests.by_id.get(event.request_id)
    return handler(state, now, request, event) if request is not None else []


def _started(state: ControllerState, now: float, _: events.Started) -> list[Action]:
    state.started_at = now
    actions: list[Action] = [begin_period(state, now)]
    if state.settings.deep_health_checks:
        actions.append(SetHealth(True, shallow=True))
    return actions


def _settings_changed(state: ControllerState, _: float, event: events.SettingsChanged) -> list[Action]:
    """Apply new settings.

    Open requests keep their class. A class that keeps its name and its position in the list also keeps
    what was learned about it; any other class starts without estimates.
    """
    old = state.settings.classes
    new = event.settings.classes
    new_classes = [n for n, c in enumerate(new) if n >= len(old) or old[n].name != c.name]
    state.use_settings(event.settings)
    state.calls.apply_settings(event.settings)
    state.estimates.apply_settings(event.settings, new_classes)
    state.open_requests.apply_settings(event.settings)
    return []


def _tenants_changed(state: ControllerState, now: float, event: events.TenantsChanged) -> list[Action]:
    actions: list[Action] = []
    for request in state.quotas.apply_tenant_changes(event):
        actions += reject_or_fail(state, now, request, RejectReason.TENANT)
    return actions


def _timer_fired(state: ControllerState, now: float, event: events.TimerFired) -> list[Action]:
    actions: list[Action] = []
    if event.label == UPDATE_TIMER:
        actions = update(state, now, event)
    elif not state.deadlines.fire(now):
        return []  # an earlier timer has replaced this one, so its event is ignored
    state.calls.next_check_at = now
    for request_id in state.deadlines.pop_due(now):
        request = state.open_requests.by_id.get(request_id)
        if request is None:
            continue
        if not request.is_settled:
            actions += check_deadline(state, now, request)
        actions += check_lost_run(state, now, request)
    actions += answer_all_before_exit(state, now)
    return actions


_HANDLERS: dict[type, Callable[..., list[Action]]] = {
    events.Started: _started,
    events.RequestArrived: request_arrived,
    events.TimerFired: _timer_fired,
    events.ShutdownNotice: shutdown_noticed,
    events.SettingsChanged: _settings_changed,
    events.TenantsChanged: _tenants_changed,
    events.RequestCancelled: request_cancelled,
    events.RunFinished: run_finished,
    events.RunIndeterminate: run_indeterminate,
    events.RunCountUncertain: run_count_uncertain,
    events.CallNeeded: call_needed,
    events.CallFinished: call_finished,
}
"""The handler of each event type; the handler of a ``RequestEvent`` also takes the request's record."""
