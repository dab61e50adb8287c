"""A small seeded model of the host round a controller: callers, cores, a dependency and timers.

It stands in for a server, not for a realistic one: its purpose is to bring every kind of event about.
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

START_S = 100.0  # clock at the start: a controller must not take it for zero
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

PlannedEvent = Callable[[], events.Event | None]  # called when its time has come; None: overtaken by others


@dataclass(frozen=True, slots=True)
class Step:
    """One event and what the controller did about it."""

    time_s: float
    event: events.Event
    actions: Sequence[actions.Action]


@dataclass(slots=True)
class HostedRequest:
    """What the host knows of a request it has handed to the controller."""

    arrival: events.RequestArrived
    request_class: RequestClass
    work_s: float
    attempts: int = 1
    version: int = 0  # raised whenever what was planned for its run no longer holds
    on_core: bool = False
    has_called: bool = False
    at_call: bool = False
    answered: bool = False


@dataclass(slots=True)
class Host:
    """Plays one scenario."""

    scenario: Scenario
    now: float = START_S
    settings: Settings = field(init=False)
    _random: random.Random = field(init=False)
    _planned: list[tuple[float, int, PlannedEvent]] = field(default_factory=list)
    _planned_count: int = 0
    _requests: dict[int, HostedRequest] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.settings = self.scenario.settings
        self._random = random.Random(self.scenario.seed)

    def play(self) -> Iterator[Step]:
        """Feed a new controller until the end of the scenario."""
        controller = Controller(self.settings, self.scenario.seed)
        self._plan(0.0, self._start)
        self._plan(0.1, self._next_arrival)
        self._plan(SETTINGS_CHANGE_S, self._change_settings)
        self._plan(TENANTS_CHANGE_S, self._change_tenants)
        self._plan(SHUTDOWN_S, self._notice_shutdown)
        for at_s in LINK_LOST_S:
            self._plan(at_s, events.RunCountUncertain)
        while self._planned and self._planned[0][0] < START_S + END_S:
            self.now, _, planned = heapq.heappop(self._planned)
            event = planned()
            if event is None:
                continue
            taken = controller.handle(self.now, event)
            for action in taken:
                self._carry_out(action)
            yield Step(time_s=self.now, event=event, actions=taken)

    def _plan(self, after_s: float, planned: PlannedEvent) -> None:
        self._planned_count += 1
        heapq.heappush(self._planned, (self.now + after_s, self._planned_count, planned))

    def _chance(self, probability: float) -> bool:
        return self._random.random() < probability

    def _elapsed_s(self) -> float:
        return self.now - START_S

    # What happens by itself.

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
        """How much longer runs take: a slow machine for a while, and more runs than cores."""
        stretch = max(1.0, self._running() * self._core_demand() / self.settings.cores)
        elapsed = self._elapsed_s()
        if 37.0 <= elapsed < 44.0:
            return 30.0 * stretch
        if 16.0 <= elapsed < 19.0:
            return 12.0 * stretch
        return (5.0 if self._waits_for_io() else 1.0) * stretch

    def _running(self) -> int:
        return sum(hosted.on_core for hosted in self._requests.values())

    def _waits_for_io(self) -> bool:
        return 7.0 <= self._elapsed_s() < 9.0 or 22.0 <= self._elapsed_s() < 25.0

    def _core_demand(self) -> float:
        """Share of its time for which a run wants a core; in some spells runs mostly wait for I/O."""
        return 0.12 if self._waits_for_io() else 1.0

    def _next_arrival(self) -> events.Event:
        self._plan(self._random.expovariate(self._arrival_rate()), self._next_arrival)
        request_class = self._random.choice(self.settings.classes)
        name = "unheard-of" if self._chance(0.01) else request_class.name
        work_s = self._random.lognormvariate(0.0, 0.6) * MEAN_WORK_S
        request = len(self._requests) + 1
        unread = 0.6 if self._arrival_rate() == BURST_RATE_PER_S else 0.2
        arrival = events.RequestArrived(
            request_id=request,
            class_name=name,
            memory_kb=self._random.uniform(5.0, 60.0),
            tenant=self._random.choice(TENANT_NAMES),
            partition_key=f"key-{request}" if request_class.idempotency is Idempotency.KEYED else "",
            time_left_s=self._random.uniform(0.3, request_class.deadline_s) if self._chance(0.5) else None,
            work_hint_s=work_s * self._random.uniform(0.6, 1.6) if self._sends_hint() else None,
            is_retry=self._chance(0.05),
            caller_id=self._random.randrange(8),
            unread_s=self._random.uniform(0.0, 0.8) if self._chance(unread) else 0.0,
        )
        return self._receive(HostedRequest(arrival=arrival, request_class=request_class, work_s=work_s))

    def _sends_hint(self) -> bool:
        return self.scenario.sends_hints and self._chance(0.7)

    def _receive(self, hosted: HostedRequest) -> events.Event:
        request = hosted.arrival.request_id
        self._requests[request] = hosted
        if self._chance(0.04):
            self._plan(self._random.uniform(0.02, 2.0), partial(self._caller_leaves, request))
        if hosted.attempts < 3 and self._chance(0.08):
            self._plan(self._random.uniform(0.2, 1.5), partial(self._try_again, request, request))
        return hosted.arrival

    def _try_again(self, request: int, prior: int | None) -> events.Event:
        first = self._requests[request]
        arrival = events.RequestArrived(
            request_id=len(self._requests) + 1,
            class_name=first.arrival.class_name,
            memory_kb=first.arrival.memory_kb,
            tenant=first.arrival.tenant,
            partition_key=first.arrival.partition_key,
            time_left_s=first.arrival.time_left_s,
            work_hint_s=first.arrival.work_hint_s,
            is_retry=True,
            caller_id=first.arrival.caller_id,
            original_id=prior,
        )
        return self._receive(
            HostedRequest(
                arrival=arrival,
                request_class=first.request_class,
                work_s=first.work_s,
                attempts=first.attempts + 1,
            )
        )

    def _caller_leaves(self, request: int) -> events.Event | None:
        hosted = self._requests[request]
        if hosted.answered:
            return None
        self._settle(request)
        return events.RequestCancelled(request_id=request)

    def _settle(self, request: int) -> None:
        """No answer is owed any more: a run that stands at its call is stopped there."""
        hosted = self._requests[request]
        hosted.answered = True
        if hosted.at_call:
            self._end_after(request, self._random.uniform(0.05, 0.4), Outcome.CANCELLED)

    # What the controller's actions bring about.

    def _carry_out(self, action: actions.Action) -> None:
        if isinstance(action, actions.StartRun):
            self._run(action.request_id)
        elif isinstance(action, actions.SetTimer):
            self._plan(action.delay_s, partial(self._fire_timer, action.label))
        elif isinstance(action, actions.Reject):
            self._answer(
                action.request_id,
                None if not action.do_not_retry else action.request_id,
                action.retry_after_s,
            )
        elif isinstance(action, actions.Fail):
            self._answer(action.request_id, action.request_id, 0.0)
        elif isinstance(action, actions.StartCall):
            self._call(action.request_id, action.timeout_s)
        elif isinstance(action, actions.SkipCall):
            self._continue(action.request_id)
        elif isinstance(action, actions.StopRun):
            self._end_after(action.request_id, 0.01, Outcome.CANCELLED)
        elif isinstance(action, actions.ForgetLostRun):
            self._requests[action.request_id].version += 1  # nothing is ever heard of it
        elif isinstance(action, actions.AwaitOriginal):
            self._end_after(action.request_id, self._random.uniform(0.1, 1.0), Outcome.SUCCESS)

    def _answer(self, request: int, prior: int | None, wait_s: float) -> None:
        self._settle(request)
        hosted = self._requests[request]
        if hosted.attempts < 3 and self._chance(0.4):
            wait_s += self._random.uniform(0.05, 0.6)
            self._plan(wait_s, partial(self._try_again, request, prior))

    def _fire_timer(self, label: int) -> events.Event:
        if self._chance(0.1):
            return events.TimerFired(label=label)
        running = self._running() * self._core_demand()
        cores = self.settings.cores
        use = min(1.0, running / cores * self._random.uniform(0.9, 1.05))
        on_cores = running * self._random.uniform(0.7, 1.1) if self._chance(0.8) else None
        return events.TimerFired(
            label=label,
            core_utilization=use,
            core_demand=on_cores,
            memory_utilization=self._random.uniform(0.2, 0.9),
            connections=float(min(35, 20 + int(self._elapsed_s()))),
        )

    def _run(self, request: int) -> None:
        hosted = self._requests[request]
        hosted.on_core = True
        hosted.version += 1
        run_s = hosted.work_s * self._slowdown()
        calls = hosted.request_class.may_call and not hosted.has_called
        if self._chance(0.02):
            self._end_after(request, 0.005, Outcome.NOT_STARTED)
        elif self._chance(0.03):
            self._end_after(request, run_s / 2.0, Outcome.CANCELLED)
        elif self._chance(0.03):
            self._plan(0.2, partial(self._lose_sight, request, hosted.version, False))
        elif calls and self._chance(0.6):
            self._plan(run_s / 2.0, partial(self._stand_at_call, request, hosted.version))
        else:
            failure = self._random.choice(RUN_FAILURES)
            self._end_after(request, run_s, failure if self._chance(0.06) else Outcome.SUCCESS)

    def _end_after(self, request: int, after_s: float, outcome: Outcome) -> None:
        hosted = self._requests[request]
        hosted.version += 1
        self._plan(after_s, partial(self._end_run, request, hosted.version, outcome, after_s))

    def _end_run(self, request: int, version: int, outcome: Outcome, took_s: float) -> events.Event | None:
        hosted = self._requests[request]
        if hosted.version != version:
            return None
        hosted.on_core = False
        hosted.at_call = False
        hosted.answered = hosted.answered or outcome is not Outcome.CANCELLED
        return events.RunFinished(request_id=request, outcome=outcome, duration_s=took_s)

    def _lose_sight(self, request: int, version: int, at_call: bool) -> events.Event | None:
        hosted = self._requests[request]
        if hosted.version != version:
            return None
        hosted.on_core = False
        if self._chance(0.5):
            self._end_after(request, self._random.uniform(0.2, 2.0), Outcome.SUCCESS)
        else:
            self._end_after(request, self._random.uniform(2.0, 8.0), Outcome.NOT_STARTED)
        return events.RunIndeterminate(request_id=request, at_call=at_call)

    def _stand_at_call(self, request: int, version: int) -> events.Event | None:
        hosted = self._requests[request]
        if hosted.version != version:
            return None
        hosted.on_core = False
        hosted.has_called = True
        hosted.at_call = True
        return events.CallNeeded(request_id=request)

    def _call(self, request: int, give_up_s: float) -> None:
        hosted = self._requests[request]
        hosted.version += 1
        call_s = self._random.lognormvariate(0.0, 0.5) * self._usual_call_s()
        failing = 0.7 if 29.0 <= self._elapsed_s() < 36.0 else 0.2
        outcome = self._random.choice(CALL_FAILURES) if self._chance(failing) else Outcome.SUCCESS
        if self._chance(0.03) or call_s > give_up_s:
            call_s = give_up_s
            outcome = Outcome.TIMED_OUT
        self._plan(call_s, partial(self._end_call, request, hosted.version, outcome, call_s))

    def _usual_call_s(self) -> float:
        elapsed = self._elapsed_s()
        if 16.0 <= elapsed < 20.0 or 50.0 <= elapsed < 53.0:
            return 0.6
        if elapsed < 6.0:
            return self.scenario.first_call_s
        return 0.1

    def _end_call(self, request: int, version: int, outcome: Outcome, took_s: float) -> events.Event | None:
        hosted = self._requests[request]
        if hosted.version != version:
            return None
        if outcome is Outcome.SUCCESS:
            self._continue(request)
        return events.CallFinished(request_id=request, outcome=outcome, duration_s=took_s)

    def _continue(self, request: int) -> None:
        """Let the run go on past its call; now and then the host loses sight of it there."""
        hosted = self._requests[request]
        hosted.on_core = True
        hosted.at_call = False
        if self._chance(0.08):
            hosted.version += 1
            self._plan(0.1, partial(self._lose_sight, request, hosted.version, True))
        else:
            self._end_after(request, hosted.work_s / 2.0 * self._slowdown(), Outcome.SUCCESS)
