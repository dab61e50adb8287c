"""A host that sends legal events to a controller and checks the rules of admission after each of them.

The rules: each request gets exactly one answer, in time; no request with effects runs twice or is rejected
after it ran; no request that arrived after the shutdown grace period starts, and all requests are answered
before the end of the process; memory, cores and the shared dependency are never overloaded.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf

from snowthread.admission import actions, events
from snowthread.admission.controller import Controller
from snowthread.admission.request import RequestState
from snowthread.admission.settings import Dependency, Idempotency, Outcome, Preemption, RequestClass, Settings

ANSWER_SLACK_S = 0.06  # seconds after its deadline within which an answer still counts as in time
SHUTDOWN_GRACE_SLACK_S = 1e-6  # tolerance in seconds for the end of the shutdown grace period
MIN_TIMER_DELAY_S = 1e-4  # shortest delay of a timer in seconds, so that time advances
CALL_DURATION_S = 0.1  # seconds that events give as the duration of a call or run
NOTICE_S = 3.5  # seconds between the shutdown notice and the end of the process

QUEUED_STATES = (RequestState.QUEUED, RequestState.PAUSED, RequestState.AWAITING_ORIGINAL)
CALL_STATES = (RequestState.CALL_PENDING, RequestState.CALLING)

RunAction = actions.StartRun | actions.AwaitOriginal | actions.StopRun | actions.StartCall | actions.SkipCall


@dataclass(slots=True)
class HostedRequest:
    """A request as the host knows it."""

    event: events.RequestArrived
    request_class: RequestClass
    arrived_at: float  # when it reached the machine, before it was read
    deadline_at: float

    @property
    def is_idempotent(self) -> bool:
        """True where running it twice does no harm."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENT


class RuleCheckingHost:
    """Carries out a controller's actions, with an assertion for each rule of admission."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.controller = Controller(settings, seed)
        self.now = 0.0
        self.requests: dict[int, HostedRequest] = {}
        self.state: dict[int, RequestState] = {}  # states of the requests that are not over
        self.unanswered: set[int] = set()
        self.started: set[int] = set()
        self.given_up: set[int] = (
            set()
        )  # requests whose callers have gone, of which the controller was not told
        self.key_expires_at: dict[int, float] = {}
        # Start and end of each call, as seen by the dependency.
        self.finished_calls: list[tuple[float, float]] = []
        self.called_at: dict[int, float] = {}  # start of each call in flight
        self.notice_at = inf
        self.exit_at = inf
        # Time and label of each timer; for the timeout of a call: its negative request id.
        self._timers: list[tuple[float, int]] = []
        self.send(events.Started())

    def send(self, event: events.Event) -> None:
        """Send an event, carry out the controller's actions, and check the rules."""
        for action in self.controller.handle(self.now, event):
            self._carry_out(action)
        self.check()

    def arrive(self, event: events.RequestArrived, request_class: RequestClass, deadline_at: float) -> None:
        """Let a request be read."""
        request_id = event.request_id
        self.requests[request_id] = HostedRequest(
            event, request_class, self.now - event.unread_s, deadline_at
        )
        self.state[request_id] = RequestState.QUEUED
        self.unanswered.add(request_id)
        self.send(event)

    def notice_shutdown(self) -> None:
        """Send a shutdown notice."""
        self.notice_at = self.now
        self.exit_at = self.now + NOTICE_S
        self.send(events.ShutdownNotice(NOTICE_S))

    def cancel(self, request_id: int) -> None:
        """Cancel an unanswered request on behalf of its caller."""
        self.unanswered.discard(request_id)
        is_calling = self.state[request_id] in CALL_STATES
        if self.state[request_id] in QUEUED_STATES:
            del self.state[request_id]
        self.send(events.RequestCancelled(request_id))
        if is_calling:
            self.end_run(request_id, Outcome.CANCELLED)

    def end_run_at_call(self, request_id: int) -> None:
        """End a run at its call because its caller has gone; the controller is not told of the caller."""
        self.given_up.add(request_id)
        self.end_run(request_id, Outcome.CANCELLED)

    def end_run(self, request_id: int, outcome: Outcome) -> None:
        """End a run, or a retry that awaited its original."""
        self.end_call(request_id, given_up=True)
        if outcome is Outcome.CANCELLED and request_id in self.unanswered:
            can_pause = self.settings.preemption is Preemption.PAUSE
            self.state[request_id] = RequestState.PAUSED if can_pause else RequestState.QUEUED
        else:
            del self.state[request_id]
            self.unanswered.discard(request_id)
        self.send(events.RunFinished(request_id, outcome, CALL_DURATION_S))

    def may_call(self, request_id: int) -> bool:
        """Return whether a run may need a downstream call."""
        request_class = self.requests[request_id].request_class
        if request_id in self.given_up:
            return False
        return request_class.may_call and self.settings.dependency is not Dependency.NONE

    def need_call(self, request_id: int) -> None:
        """Let a run need its call."""
        self.state[request_id] = RequestState.CALL_PENDING
        self.send(events.CallNeeded(request_id))

    def finish_call(self, request_id: int, outcome: Outcome) -> None:
        """End the call of a run with this outcome."""
        self.end_call(request_id, given_up=outcome is Outcome.TIMED_OUT)
        succeeded = outcome is Outcome.SUCCESS
        self.state[request_id] = RequestState.RUNNING if succeeded else RequestState.CALL_PENDING
        self.send(events.CallFinished(request_id, outcome, CALL_DURATION_S))

    def end_call(self, request_id: int, given_up: bool) -> None:
        """Record the end of a call at the dependency, if it is in flight."""
        if request_id in self.called_at:
            extra_s = self.settings.given_up_call_s if given_up else 0.0
            self.finished_calls.append((self.called_at.pop(request_id), self.now + extra_s))

    def pick_request(self, state: RequestState, choice: int) -> int | None:
        """Return a request in this state, or None if there is none."""
        candidates = sorted(request_id for request_id, current in self.state.items() if current is state)
        return candidates[choice % len(candidates)] if candidates else None

    def advance(self, elapsed_s: float) -> None:
        """Let time pass, and let timers fire when they are due."""
        end_s = self.now + elapsed_s
        while self._timers and self._timers[0][0] <= end_s:
            self.now, label = heapq.heappop(self._timers)
            if label < 0:
                self._time_out_call(-label)
            else:
                running = float(self._running())
                utilization = min(1.0, running / self.settings.cores)
                self.send(events.TimerFired(label, utilization, running, None, running))
        self.now = end_s
        self.check()

    def _time_out_call(self, request_id: int) -> None:
        if self.state.get(request_id) is RequestState.CALLING and request_id in self.called_at:
            self.finish_call(request_id, Outcome.TIMED_OUT)

    def _running(self) -> int:
        return sum(state is RequestState.RUNNING for state in self.state.values())

    def _carry_out(self, action: actions.Action) -> None:
        if isinstance(action, actions.SetTimer):
            delay_s = max(action.delay_s, MIN_TIMER_DELAY_S)
            heapq.heappush(self._timers, (self.now + delay_s, action.label))
        elif isinstance(action, actions.RememberKey):
            self.key_expires_at[action.request_id] = self.now + action.lifetime_s
        elif isinstance(action, actions.ForgetKey):
            assert action.request_id not in self.started, "the key of a request that ran is forgotten"
            self.key_expires_at.pop(action.request_id, None)
        elif isinstance(action, actions.Reject | actions.Fail) and action.request_id in self.state:
            self._answer(action)
        elif isinstance(action, RunAction) and action.request_id in self.state:
            self._change_run(action)

    def _answer(self, action: actions.Reject | actions.Fail) -> None:
        request_id = action.request_id
        assert request_id in self.unanswered, "a request was answered twice"
        if isinstance(action, actions.Reject) and request_id in self.started:
            assert self.requests[request_id].is_idempotent, "a request with effects was rejected after it ran"
        self.unanswered.discard(request_id)
        if self.state[request_id] in QUEUED_STATES:
            del self.state[request_id]
        elif self.state[request_id] in CALL_STATES:
            self.end_run(request_id, Outcome.CANCELLED)

    def _change_run(self, action: RunAction) -> None:
        request_id = action.request_id
        state = self.state[request_id]
        if isinstance(action, actions.StartRun) and state in (RequestState.QUEUED, RequestState.PAUSED):
            self._start(request_id)
        elif isinstance(action, actions.AwaitOriginal):
            self.state[request_id] = RequestState.AWAITING_ORIGINAL
        elif isinstance(action, actions.StopRun) and state is RequestState.RUNNING:
            self.end_run(request_id, Outcome.CANCELLED)
        elif isinstance(action, actions.StartCall) and state is RequestState.CALL_PENDING:
            self.state[request_id] = RequestState.CALLING
            self.called_at[request_id] = self.now
            heapq.heappush(self._timers, (self.now + action.timeout_s, -request_id))
        elif isinstance(action, actions.SkipCall) and state is RequestState.CALL_PENDING:
            self.state[request_id] = RequestState.RUNNING

    def _start(self, request_id: int) -> None:
        hosted = self.requests[request_id]
        assert request_id not in self.started or hosted.is_idempotent, "unsafe second run"
        assert hosted.event.original_id is None, "a retry runs beside its original"
        assert hosted.arrived_at <= self._latest_arrival(), "a request from after the grace period starts"
        self.started.add(request_id)
        self.state[request_id] = RequestState.RUNNING

    def _latest_arrival(self) -> float:
        return self.notice_at + self.settings.drain_grace_s + SHUTDOWN_GRACE_SLACK_S

    def check(self) -> None:
        """Check the rules that hold at any time."""
        self._check_unanswered()
        self._check_call_table()
        assert self._memory_kb() <= self.settings.memory_kb, "memory overloaded"
        assert self._running() <= self.settings.cores * self.settings.collapse_multiple, "cores overloaded"
        if self.settings.dependency is Dependency.SHARED:
            limit_s = self.settings.call_quota * self.settings.call_quota_window_s
            assert self._call_seconds() <= limit_s + 1e-6, "dependency overloaded"

    def _check_unanswered(self) -> None:
        for request_id in self.unanswered:
            hosted = self.requests[request_id]
            assert self.now <= hosted.deadline_at + ANSWER_SLACK_S, "a request was not answered in time"
            if (
                self.state[request_id] is RequestState.QUEUED
            ):  # a request that may not start must not stay queued
                assert request_id not in self.started or hosted.is_idempotent, (
                    "queued for an unsafe second run"
                )
                assert hosted.arrived_at <= self._latest_arrival(), "queued after the grace period"
        assert not (self.unanswered and self.now >= self.exit_at), "unanswered at the end of the process"

    def _check_call_table(self) -> None:
        table = self.controller.state.open_requests.call_table
        calling = {request_id for request_id, state in self.state.items() if state in CALL_STATES}
        assert table.pending.keys() | table.in_flight.keys() == calling, (
            "the call table differs from the runs at calls"
        )

    def _memory_kb(self) -> float:
        self.key_expires_at = {key: at for key, at in self.key_expires_at.items() if at > self.now}
        waiting = (RequestState.QUEUED, RequestState.AWAITING_ORIGINAL)
        running_factor = self.settings.running_memory_factor
        requests_kb = sum(
            self.requests[request_id].event.memory_kb * (1.0 if state in waiting else running_factor)
            for request_id, state in self.state.items()
        )
        return requests_kb + len(self.key_expires_at) * self.settings.key_memory_kb

    def _call_seconds(self) -> float:
        """Return the call-seconds of the dependency within the window of the quota."""
        start = self.now - self.settings.call_quota_window_s
        finished = sum(
            max(0.0, min(until, self.now) - max(since, start)) for since, until in self.finished_calls
        )
        return finished + sum(self.now - max(since, start) for since in self.called_at.values())
