"""A small seeded model of the host of a controller: callers, cores, a dependency and timers.

It does not imitate a realistic server. Its purpose is to bring about every kind of event.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial

from snowthread.admission import actions, events
from snowthread.admission.controller import Controller
from snowthread.admission.settings import Idempotency, Outcome, RequestClass, Settings
from support.admission_scenarios import (
    END_S,
    LINK_LOST_S,
    SETTINGS_CHANGE_S,
    SHUTDOWN_S,
    TENANT_CHANGE,
    TENANTS_CHANGE_S,
    Scenario,
)

START_S = 100.0  # clock at the start: not 0, which a controller must not assume
MEAN_WORK_S = 0.22
BURST_RATE_PER_S = 38.0
USUAL_RATE_PER_S = 14.0
LULL_RATE_PER_S = 4.0
TENANT_NAMES = ("", "gold", "gold", "bronze", "blocked", "reader", "unknown")
RUN_FAILURES = (
    Outcome.FAILURE,
    Outcome.TIMED_OUT,
    Outcome.DISCONNECTED,
    Outcome.OVERLOADED,
    Outcome.UNREACHABLE,
)
CALL_FAILURES = (*RUN_FAILURES, Outcome.NOT_STARTED, Outcome.CANCELLED)

ScheduledEvent = Callable[[], events.Event | None]  # called at its time; None: made obsolete by another event


@dataclass(frozen=True, slots=True)
class Step:
    """One event and the actions that the controller returned for it."""

    time_s: float
    event: events.Event
    actions: Sequence[actions.Action]


@dataclass(slots=True)
class HostedRequest:
    """What the host knows about a request that it has passed to the controller."""

    arrival: events.RequestArrived
    request_class: RequestClass
    work_s: float
    attempts: int = 1
    version: int = 0  # incremented whenever the events that are scheduled for its run become obsolete
    on_core: bool = False
    has_called: bool = False
    at_call: bool = False
    answered: bool = False


@dataclass(slots=True)
class Host:
    """Simulates one scenario."""

    scenario: Scenario
    now: float = START_S
    settings: Settings = field(init=False)
    _random: random.Random = field(init=False)
    _scheduled: list[tuple[float, int, ScheduledEvent]] = field(default_factory=list)
    _scheduled_count: int = 0
    _requests: dict[int, HostedRequest] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.settings = self.scenario.settings
        self._random = random.Random(self.scenario.seed)

    def run(self) -> Iterator[Step]:
        """Send events to a new controller until the end of the scenario."""
        controller = Controller(self.settings, self.scenario.seed)
        self._schedule(0.0, self._start)
        self._schedule(0.1, self._next_arrival)
        self._schedule(SETTINGS_CHANGE_S, self._change_settings)
        self._schedule(TENANTS_CHANGE_S, self._change_tenants)
        self._schedule(SHUTDOWN_S, self._notice_shutdown)
        for at_s in LINK_LOST_S:
            self._schedule(at_s, events.RunCountUncertain)
        while self._scheduled and self._scheduled[0][0] < START_S + END_S:
            self.now, _, scheduled = heapq.heappop(self._scheduled)
            event = scheduled()
            if event is None:
                continue
            returned_actions = controller.handle(self.now, event)
            for action in returned_actions:
                self._carry_out(action)
            yield Step(time_s=self.now, event=event, actions=returned_actions)

    def _schedule(self, after_s: float, scheduled: ScheduledEvent) -> None:
        self._scheduled_count += 1
        heapq.heappush(self._scheduled, (self.now + after_s, self._scheduled_count, scheduled))

    def _draw(self, probability: float) -> bool:
        return self._random.random() < probability

    def _elapsed_s(self) -> float:
        return self.now - START_S

    # Events that no action of the controller causes.

    def _start(self) -> events.Event:
        return events.Started()

    def _change_settings(self) -> events.Event:
        self.settings = self.scenario.changed_settings
        return events.SettingsChanged(self.settings)

    def _change_tenants(self) -> events.Event:
        return TENANT_CHANGE

    def _notice_shutdown(self) -> events.Event:
        return self.scenario.shutdown_notice

    def _arrival_rate(self) -> float:
        elapsed = self._elapsed_s()
        if 6.0 <= elapsed < 10.0 or 20.0 <= elapsed < 27.0 or 50.0 <= elapsed < 53.0:
            return BURST_RATE_PER_S
        if 12.0 <= elapsed < 15.0 or 37.0 <= elapsed < 47.0:
            return LULL_RATE_PER_S
        return USUAL_RATE_PER_S

    def _slowdown(self) -> float:
        """Return the factor on run times, for times with a slow machine and for more runs than cores."""
        load_factor = max(1.0, self._running() * self._core_demand() / self.settings.cores)
        elapsed = self._elapsed_s()
        if 37.0 <= elapsed < 44.0:
            return 30.0 * load_factor
        if 16.0 <= elapsed < 19.0:
            return 12.0 * load_factor
        return (5.0 if self._waits_for_io() else 1.0) * load_factor

    def _running(self) -> int:
        return sum(hosted.on_core for hosted in self._requests.values())

    def _waits_for_io(self) -> bool:
        return 7.0 <= self._elapsed_s() < 9.0 or 22.0 <= self._elapsed_s() < 25.0

    def _core_demand(self) -> float:
        """Return the part of its time for which a run wants a core: little while runs wait for I/O."""
        return 0.12 if self._waits_for_io() else 1.0

    def _next_arrival(self) -> events.Event:
        self._schedule(self._random.expovariate(self._arrival_rate()), self._next_arrival)
        request_class = self._random.choice(self.settings.classes)
        name = "unheard-of" if self._draw(0.01) else request_class.name
        work_s = self._random.lognormvariate(0.0, 0.6) * MEAN_WORK_S
        request_id = len(self._requests) + 1
        unread_probability = 0.6 if self._arrival_rate() == BURST_RATE_PER_S else 0.2
        arrival = events.RequestArrived(
            request_id=request_id,
            class_name=name,
            memory_kb=self._random.uniform(5.0, 60.0),
            tenant=self._random.choice(TENANT_NAMES),
            partition_key=f"key-{request_id}" if request_class.idempotency is Idempotency.KEYED else "",
            time_left_s=self._random.uniform(0.3, request_class.deadline_s) if self._draw(0.5) else None,
            work_hint_s=work_s * self._random.uniform(0.6, 1.6) if self._sends_hint() else None,
            is_retry=self._draw(0.05),
            caller_id=self._random.randrange(8),
            unread_s=self._random.uniform(0.0, 0.8) if self._draw(unread_probability) else 0.0,
        )
        return self._receive(HostedRequest(arrival=arrival, request_class=request_class, work_s=work_s))

    def _sends_hint(self) -> bool:
        return self.scenario.sends_hints and self._draw(0.7)

    def _receive(self, hosted: HostedRequest) -> events.Event:
        request_id = hosted.arrival.request_id
        self._requests[request_id] = hosted
        if self._draw(0.04):
            self._schedule(self._random.uniform(0.02, 2.0), partial(self._cancel_request, request_id))
        if hosted.attempts < 3 and self._draw(0.08):
            self._schedule(
                self._random.uniform(0.2, 1.5), partial(self._retry_request, request_id, request_id)
            )
        return hosted.arrival

    def _retry_request(self, request_id: int, original_id: int | None) -> events.Event:
        original = self._requests[request_id]
        arrival = events.RequestArrived(
            request_id=len(self._requests) + 1,
            class_name=original.arrival.class_name,
            memory_kb=original.arrival.memory_kb,
            tenant=original.arrival.tenant,
            partition_key=original.arrival.partition_key,
            time_left_s=original.arrival.time_left_s,
            work_hint_s=original.arrival.work_hint_s,
            is_retry=True,
            caller_id=original.arrival.caller_id,
            original_id=original_id,
        )
        return self._receive(
            HostedRequest(
                arrival=arrival,
                request_class=original.request_class,
                work_s=original.work_s,
                attempts=original.attempts + 1,
            )
        )

    def _cancel_request(self, request_id: int) -> events.Event | None:
        hosted = self._requests[request_id]
        if hosted.answered:
            return None
        self._settle(request_id)
        return events.RequestCancelled(request_id=request_id)

    def _settle(self, request_id: int) -> None:
        """Record that no answer is owed any more; a run that waits for its call is stopped there."""
        hosted = self._requests[request_id]
        hosted.answered = True
        if hosted.at_call:
            self._end_after(request_id, self._random.uniform(0.05, 0.4), Outcome.CANCELLED)

    # Effects of the controller's actions.

    def _carry_out(self, action: actions.Action) -> None:
        if isinstance(action, actions.StartRun):
            self._start_run(action.request_id)
        elif isinstance(action, actions.SetTimer):
            self._schedule(action.delay_s, partial(self._fire_timer, action.label))
        elif isinstance(action, actions.Reject):
            self._answer(
                action.request_id,
                None if not action.do_not_retry else action.request_id,
                action.retry_after_s,
            )
        elif isinstance(action, actions.Fail):
            self._answer(action.request_id, action.request_id, 0.0)
        elif isinstance(action, actions.StartCall):
            self._start_call(action.request_id, action.timeout_s)
        elif isinstance(action, actions.SkipCall):
            self._resume_run(action.request_id)
        elif isinstance(action, actions.StopRun):
            self._end_after(action.request_id, 0.01, Outcome.CANCELLED)
        elif isinstance(action, actions.ForgetLostRun):
            self._requests[action.request_id].version += 1  # drops the events scheduled for a lost run
        elif isinstance(action, actions.AwaitOriginal):
            self._end_after(action.request_id, self._random.uniform(0.1, 1.0), Outcome.SUCCESS)

    def _answer(self, request_id: int, original_id: int | None, wait_s: float) -> None:
        self._settle(request_id)
        hosted = self._requests[request_id]
        if hosted.attempts < 3 and self._draw(0.4):
            wait_s += self._random.uniform(0.05, 0.6)
            self._schedule(wait_s, partial(self._retry_request, request_id, original_id))

    def _fire_timer(self, label: int) -> events.Event:
        if self._draw(0.1):
            return events.TimerFired(label=label)
        running = self._running() * self._core_demand()
        cores = self.settings.cores
        utilization = min(1.0, running / cores * self._random.uniform(0.9, 1.05))
        core_demand = running * self._random.uniform(0.7, 1.1) if self._draw(0.8) else None
        return events.TimerFired(
            label=label,
            core_utilization=utilization,
            core_demand=core_demand,
            memory_utilization=self._random.uniform(0.2, 0.9),
            connections=float(min(35, 20 + int(self._elapsed_s()))),
        )

    def _start_run(self, request_id: int) -> None:
        hosted = self._requests[request_id]
        hosted.on_core = True
        hosted.version += 1
        run_s = hosted.work_s * self._slowdown()
        needs_call = hosted.request_class.may_call and not hosted.has_called
        if self._draw(0.02):
            self._end_after(request_id, 0.005, Outcome.NOT_STARTED)
        elif self._draw(0.03):
            self._end_after(request_id, run_s / 2.0, Outcome.CANCELLED)
        elif self._draw(0.03):
            self._schedule(0.2, partial(self._lose_track_of_run, request_id, hosted.version, False))
        elif needs_call and self._draw(0.6):
            self._schedule(run_s / 2.0, partial(self._need_call, request_id, hosted.version))
        else:
            failure = self._random.choice(RUN_FAILURES)
            self._end_after(request_id, run_s, failure if self._draw(0.06) else Outcome.SUCCESS)

    def _end_after(self, request_id: int, after_s: float, outcome: Outcome) -> None:
        hosted = self._requests[request_id]
        hosted.version += 1
        self._schedule(after_s, partial(self._end_run, request_id, hosted.version, outcome, after_s))

    def _end_run(
        self, request_id: int, version: int, outcome: Outcome, duration_s: float
    ) -> events.Event | None:
        hosted = self._requests[request_id]
        if hosted.version != version:
            return None
        hosted.on_core = False
        hosted.at_call = False
        hosted.answered = hosted.answered or outcome is not Outcome.CANCELLED
        return events.RunFinished(request_id=request_id, outcome=outcome, duration_s=duration_s)

    def _lose_track_of_run(self, request_id: int, version: int, at_call: bool) -> events.Event | None:
        hosted = self._requests[request_id]
        if hosted.version != version:
            return None
        hosted.on_core = False
        if self._draw(0.5):
            self._end_after(request_id, self._random.uniform(0.2, 2.0), Outcome.SUCCESS)
        else:
            self._end_after(request_id, self._random.uniform(2.0, 8.0), Outcome.NOT_STARTED)
        return events.RunIndeterminate(request_id=request_id, at_call=at_call)

    def _need_call(self, request_id: int, version: int) -> events.Event | None:
        hosted = self._requests[request_id]
        if hosted.version != version:
            return None
        hosted.on_core = False
        hosted.has_called = True
        hosted.at_call = True
        return events.CallNeeded(request_id=request_id)

    def _start_call(self, request_id: int, timeout_s: float) -> None:
        hosted = self._requests[request_id]
        hosted.version += 1
        call_s = self._random.lognormvariate(0.0, 0.5) * self._usual_call_s()
        failure_probability = 0.7 if 29.0 <= self._elapsed_s() < 36.0 else 0.2
        outcome = self._random.choice(CALL_FAILURES) if self._draw(failure_probability) else Outcome.SUCCESS
        if self._draw(0.03) or call_s > timeout_s:
            call_s = timeout_s
            outcome = Outcome.TIMED_OUT
        self._schedule(call_s, partial(self._end_call, request_id, hosted.version, outcome, call_s))

    def _usual_call_s(self) -> float:
        elapsed = self._elapsed_s()
        if 16.0 <= elapsed < 20.0 or 50.0 <= elapsed < 53.0:
            return 0.6
        if elapsed < 6.0:
            return self.scenario.first_call_s
        return 0.1

    def _end_call(
        self, request_id: int, version: int, outcome: Outcome, duration_s: float
    ) -> events.Event | None:
        hosted = self._requests[request_id]
        if hosted.version != version:
            return None
        if outcome is Outcome.SUCCESS:
            self._resume_run(request_id)
        return events.CallFinished(request_id=request_id, outcome=outcome, duration_s=duration_s)

    def _resume_run(self, request_id: int) -> None:
        """Let the run continue after its call; in some cases the host loses sight of it there."""
        hosted = self._requests[request_id]
        hosted.on_core = True
        hosted.at_call = False
        if self._draw(0.08):
            hosted.version += 1
            self._schedule(0.1, partial(self._lose_track_of_run, request_id, hosted.version, True))
        else:
            self._end_after(request_id, hosted.work_s / 2.0 * self._slowdown(), Outcome.SUCCESS)
