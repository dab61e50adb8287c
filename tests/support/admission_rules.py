"""A host that plays legal events to a controller and checks the rules of admission after each of them.

The rules: each request gets one answer in time; nothing with effects runs twice or is rejected after it ran;
nothing starts after the drain grace and all is answered before the stop; memory, cores and the shared
dependency are never overloaded.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from math import inf

from snowthread.admission import actions, events
from snowthread.admission.controller import Controller
from snowthread.admission.request import RequestState
from snowthread.admission.settings import Dependency, Idempotency, Outcome, Preemption, RequestClass, Settings

ANSWER_SLACK_S = 0.06  # after its deadline, in which an answer still counts
DRAIN_SLACK_S = 1e-6
MIN_TIMER_DELAY_S = 1e-4
CALL_DURATION_S = 0.1
NOTICE_S = 3.5  # between the notice of a shutdown and the stop

QUEUED_STATES = (RequestState.QUEUED, RequestState.PAUSED, RequestState.AWAITING_ORIGINAL)
CALL_STATES = (RequestState.CALL_PENDING, RequestState.CALLING)

RunAction = actions.StartRun | actions.AwaitOriginal | actions.StopRun | actions.StartCall | actions.SkipCall


@dataclass(slots=True)
class HostedRequest:
    """A request as the host knows it."""

    event: events.RequestArrived
    request_class: RequestClass
    arrived_at: float  # at the machine, read or not
    deadline_at: float

    @property
    def is_idempotent(self) -> bool:
        """True where running it twice does no harm."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENT


class RuleCheckingHost:
    """Carries out a controller's actions; an assertion fails at each breach of a rule."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.controller = Controller(settings, seed)
        self.now = 0.0
        self.requests: dict[int, HostedRequest] = {}
        self.state: dict[int, RequestState] = {}  # of requests that are not over
        self.unanswered: set[int] = set()
        self.started: set[int] = set()
        self.key_expires_at: dict[int, float] = {}
        self.finished_calls: list[tuple[float, float]] = []  # from, to, as the dependency sees them
        self.called_at: dict[int, float] = {}  # of calls in flight
        self.notice_at = inf
        self.stop_at = inf
        self._timers: list[tuple[float, int]] = []  # time and label; of a call's timeout: minus its request
        self.send(events.Started())

    def send(self, event: events.Event) -> None:
        """Play an event, carry out what the controller does about it, and check the rules."""
        for action in self.controller.handle(self.now, event):
            self._carry_out(action)
        self.check()

    def arrive(self, event: events.RequestArrived, request_class: RequestClass, deadline_at: float) -> None:
        """Let a request be read."""
        request = event.request_id
        self.requests[request] = HostedRequest(event, request_class, self.now - event.unread_s, deadline_at)
        self.state[request] = RequestState.QUEUED
        self.unanswered.add(request)
        self.send(event)

    def notice_shutdown(self) -> None:
        """Give notice of a shutdown."""
        self.notice_at = self.now
        self.stop_at = self.now + NOTICE_S
        self.send(events.ShutdownNotice(NOTICE_S))

    def cancel(self, request: int) -> None:
        """Let the caller of an unanswered request go."""
        self.unanswered.discard(request)
        if self.state[request] in CALL_STATES:
            self.end_call(request, given_up=True)
        if self.state[request] is not RequestState.RUNNING:
            del self.state[request]
        self.send(events.RequestCancelled(request))

    def end_run(self, request: int, outcome: Outcome) -> None:
        """End a run, or a retry that awaited its original."""
        self.end_call(request, given_up=True)
        if outcome is Outcome.CANCELLED and request in self.unanswered:
            pauses = self.settings.preemption is Preemption.PAUSE
            self.state[request] = RequestState.PAUSED if pauses else RequestState.QUEUED
        else:
            del self.state[request]
            self.unanswered.discard(request)
        self.send(events.RunFinished(request, outcome, CALL_DURATION_S))

    def may_call(self, request: int) -> bool:
        """Return whether a run may come to a downstream call."""
        request_class = self.requests[request].request_class
        return request_class.may_call and self.settings.dependency is not Dependency.NONE

    def need_call(self, request: int) -> None:
        """Let a run come to its call."""
        self.state[request] = RequestState.CALL_PENDING
        self.send(events.CallNeeded(request))

    def finish_call(self, request: int, outcome: Outcome) -> None:
        """End the call of a run."""
        self.end_call(request, given_up=outcome is Outcome.TIMED_OUT)
        succeeded = outcome is Outcome.SUCCESS
        self.state[request] = RequestState.RUNNING if succeeded else RequestState.CALL_PENDING
        self.send(events.CallFinished(request, outcome, CALL_DURATION_S))

    def end_call(self, request: int, given_up: bool) -> None:
        """Note the end of a call in flight, if there is one, at the dependency."""
        if request in self.called_at:
            lasts_s = self.settings.given_up_call_s if given_up else 0.0
            self.finished_calls.append((self.called_at.pop(request), self.now + lasts_s))

    def pick(self, state: RequestState, choice: int) -> int | None:
        """Return a request in this state, if there is one."""
        candidates = sorted(request for request, current in self.state.items() if current is state)
        return candidates[choice % len(candidates)] if candidates else None

    def advance(self, elapsed_s: float) -> None:
        """Let time pass, and timers fire."""
        end = self.now + elapsed_s
        while self._timers and self._timers[0][0] <= end:
            self.now, label = heapq.heappop(self._timers)
            if label < 0:
                self._time_out_call(-label)
            else:
                running = float(self._running())
                utilization = min(1.0, running / self.settings.cores)
                self.send(events.TimerFired(label, utilization, running, None, running))
        self.now = end
        self.check()

    def _time_out_call(self, request: int) -> None:
        if self.state.get(request) is RequestState.CALLING and request in self.called_at:
            self.finish_call(request, Outcome.TIMED_OUT)

    def _running(self) -> int:
        return sum(state is RequestState.RUNNING for state in self.state.values())

    def _carry_out(self, action: actions.Action) -> None:
        if isinstance(action, actions.SetTimer):
            delay_s = max(action.delay_s, MIN_TIMER_DELAY_S)
            heapq.heappush(self._timers, (self.now + delay_s, action.label))
        elif isinstance(action, actions.RememberKey):
            self.key_expires_at[action.request_id] = self.now + action.lifetime_s
        elif isinstance(action, actions.ForgetKey):
            self.key_expires_at.pop(action.request_id, None)
        elif isinstance(action, actions.Reject | actions.Fail) and action.request_id in self.state:
            self._answer(action)
        elif isinstance(action, RunAction) and action.request_id in self.state:
            self._change_run(action)

    def _answer(self, action: actions.Reject | actions.Fail) -> None:
        request = action.request_id
        assert request in self.unanswered, "two answers"
        if isinstance(action, actions.Reject) and request in self.started:
            assert self.requests[request].is_idempotent, "rejected, but it ran"
        self.unanswered.discard(request)
        if self.state[request] in QUEUED_STATES:
            del self.state[request]
        elif self.state[request] in CALL_STATES:
            self.end_run(request, Outcome.CANCELLED)

    def _change_run(self, action: RunAction) -> None:
        request = action.request_id
        state = self.state[request]
        if isinstance(action, actions.StartRun) and state in (RequestState.QUEUED, RequestState.PAUSED):
            self._start(request)
        elif isinstance(action, actions.AwaitOriginal):
            self.state[request] = RequestState.AWAITING_ORIGINAL
        elif isinstance(action, actions.StopRun) and state is RequestState.RUNNING:
            self.end_run(request, Outcome.CANCELLED)
        elif isinstance(action, actions.StartCall) and state is RequestState.CALL_PENDING:
            self.state[request] = RequestState.CALLING
            self.called_at[request] = self.now
            heapq.heappush(self._timers, (self.now + action.timeout_s, -request))
        elif isinstance(action, actions.SkipCall) and state is RequestState.CALL_PENDING:
            self.state[request] = RequestState.RUNNING

    def _start(self, request: int) -> None:
        hosted = self.requests[request]
        resumes = self.state[request] is RequestState.PAUSED
        assert resumes or request not in self.started or hosted.is_idempotent, "runs twice"
        assert hosted.event.original_id is None, "runs twice: a retry runs by itself"
        assert hosted.arrived_at <= self._latest_arrival(), "starts after the drain grace"
        self.started.add(request)
        self.state[request] = RequestState.RUNNING

    def _latest_arrival(self) -> float:
        return self.notice_at + self.settings.drain_grace_s + DRAIN_SLACK_S

    def check(self) -> None:
        """Check the rules that hold at any time."""
        self._check_unanswered()
        assert self._memory_kb() <= self.settings.memory_kb, "overload: memory"
        assert self._running() <= self.settings.cores * self.settings.collapse_multiple, "overload: cores"
        if self.settings.dependency is Dependency.SHARED:
            limit_s = self.settings.call_quota * self.settings.call_quota_window_s
            assert self._call_seconds() <= limit_s + 1e-6, "overload: dependency"

    def _check_unanswered(self) -> None:
        for request in self.unanswered:
            hosted = self.requests[request]
            assert self.now <= hosted.deadline_at + ANSWER_SLACK_S, "no answer in time"
            if self.state[request] is RequestState.QUEUED:  # what may no longer start has its answer
                assert request not in self.started or hosted.is_idempotent, "queued, may not run again"
                assert hosted.arrived_at <= self._latest_arrival(), "queued, came after the drain grace"
        assert not (self.unanswered and self.now >= self.stop_at), "unanswered at the stop"

    def _memory_kb(self) -> float:
        self.key_expires_at = {key: at for key, at in self.key_expires_at.items() if at > self.now}
        waiting = (RequestState.QUEUED, RequestState.AWAITING_ORIGINAL)
        running_factor = self.settings.running_memory_factor
        requests_kb = sum(
            self.requests[request].event.memory_kb * (1.0 if state in waiting else running_factor)
            for request, state in self.state.items()
        )
        return requests_kb + len(self.key_expires_at) * self.settings.key_memory_kb

    def _call_seconds(self) -> float:
        """Return what calls took of the dependency in the window of the quota."""
        start = self.now - self.settings.call_quota_window_s
        finished = sum(
            max(0.0, min(until, self.now) - max(since, start)) for since, until in self.finished_calls
        )
        return finished + sum(self.now - max(since, start) for since in self.called_at.values())
