"""The admission controller: what to run, queue or reject, and when. Free of I/O and of clocks."""

import math
import random
from collections.abc import Callable

from snowthread.admission import actions, events
from snowthread.admission.blocking import BlockingDraw, blocking_probability, target_utilization
from snowthread.admission.concurrency import FULL_UTILIZATION, UPDATE_PERIOD_S, ConcurrencyLimit
from snowthread.admission.downstream_calls import DownstreamCalls
from snowthread.admission.estimators import TIME_TOLERANCE_S, Estimates
from snowthread.admission.health import OutlierDetector
from snowthread.admission.idle_connections import IdleTimeout
from snowthread.admission.load_report import LoadReport
from snowthread.admission.open_requests import OpenRequests
from snowthread.admission.quotas import TenantQuotas
from snowthread.admission.reasons import RejectReason
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.run_load import RunLoad
from snowthread.admission.settings import Idempotency, Outcome, Preemption, Settings, check_settings
from snowthread.admission.timer_queue import TimerQueue
from snowthread.admission.wait_queue import WaitQueue

UPDATE_TIMER = 1  # label
DEADLINE_TIMER = 2  # label
DEADLINE_MARGIN_S = 0.03  # before the deadline at which an answer is forced
STOP_MARGIN_S = 0.3  # before the stop by which all is answered
KEY_MARGIN_S = 0.1  # for which a key is remembered beyond its window
MAX_MEMORY_SHARE = 0.92  # of the memory that is used at most
RETRY_FRESHNESS = 0.25  # chance that a retry, whose age is told nowhere, is still within its objective
LOST_RUN_FACTOR = 4.0  # times its usual duration after which a run that nothing is heard of counts as lost
COUNT_DOUBT_S = 10.0  # after the host lost its link: more runs than are counted are then believed
QUEUE_CHECK_INTERVAL_S = 0.02  # at least, between two looks at what waits without hope
FULL_PERIOD_SHARE = 0.9  # of the time between updates, with a run for each core, that counts as all of it
MIN_UTILIZATION = 0.4  # below which cores tell no more of the room on them
LAST_ATTEMPT_SHARE = 0.25  # of a run: with less time left no other server, however fast, could serve it


class Controller:
    """Decides for one node. ``handle`` takes each event in order and returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        check_settings(settings)
        self.blocking_probability = 0.0  # held between updates
        self.started_at = self._now = self._updated_at = 0.0
        self._notice_at = self._stop_at = math.inf  # of the shutdown
        self._count_doubted_until = -math.inf
        self.estimates = Estimates(settings)
        self.concurrency = ConcurrencyLimit(settings)
        self._open = OpenRequests(settings)
        self._wait_queue = WaitQueue(self._open.queued, self.estimates)
        self._calls = DownstreamCalls(settings, self.estimates, self._open.cores)
        self._quotas = TenantQuotas(settings)
        self._load_report = LoadReport(settings, self.estimates)
        self._idle_timeout = IdleTimeout(settings, self.estimates)
        self._outlier_detector = OutlierDetector(self.estimates)
        self._generator = random.Random(seed)
        self._blocking_draw = BlockingDraw(self._generator)
        self._deadlines = TimerQueue(DEADLINE_TIMER, DEADLINE_MARGIN_S, TIME_TOLERANCE_S)
        self._actions: list[actions.Action] = []
        self._use_settings(settings)
        self._handlers: dict[type, Callable[..., None]] = {
            events.Started: self._started,
            events.RequestArrived: self._request_arrived,
            events.TimerFired: self._timer_fired,
            events.ShutdownNotice: self._shutdown_noticed,
            events.SettingsChanged: self._settings_changed,
            events.TenantsChanged: self._tenants_changed,
            events.RequestAbandoned: lambda now, request, event: self._settle(request),
            events.RunFinished: self._run_finished,
            events.RunIndeterminate: self._run_indeterminate,
            events.RunCountDoubted: self._run_count_doubted,
            events.CallNeeded: self._calls.add,
            events.CallFinished: self._call_finished,
        }

    def run_load(self) -> RunLoad:
        """Return the controller's count of runs and the limits that it is held against."""
        return RunLoad(
            running=self._open.cores.running,
            indeterminate=self._open.cores.indeterminate,
            uncounted=self._open.cores.uncounted,
            at_calls=len(self._calls.table),
            limit=self.concurrency.limit,
            ceiling=self.concurrency.ceiling(self._now - self.started_at),
        )

    def handle(self, now: float, event: events.Event) -> list[actions.Action]:
        """Take one event and return what to do about it, in order."""
        self._actions = []
        elapsed_s, self._now = max(0.0, now - self._now) if self._now else 0.0, now
        self._open.cores.advance(elapsed_s)
        self._calls.advance(elapsed_s)
        if isinstance(event, events.RequestEvent):
            request = self._open.by_id.get(event.request_id)
            if request is not None:
                self._handlers[type(event)](now, request, event)
        elif type(event) in self._handlers:
            self._handlers[type(event)](now, event)
        self._calls.dispatch(now, self._actions)
        self._start_queued(now)
        self._actions += self._deadlines.arm(now, self._open.by_id)
        return self._actions

    def _started(self, now: float, event: events.Started) -> None:
        self.started_at = self._updated_at = now
        self._actions.append(actions.SetTimer(UPDATE_PERIOD_S, UPDATE_TIMER))
        if self.settings.deep_health_checks:
            self._actions.append(actions.SetHealth(True, shallow=True))

    def _use_settings(self, settings: Settings) -> None:
        self.settings = self.concurrency.settings = self._quotas.settings = settings
        self._load_report.settings = self._idle_timeout.settings = settings
        self._class_index = {c.name: index for index, c in enumerate(settings.classes)}

    def _settings_changed(self, now: float, event: events.SettingsChanged) -> None:
        # What is open keeps its class as it was; what was learned stays with a class in its place.
        old, classes = self.settings.classes, event.settings.classes
        fresh = [n for n, c in enumerate(classes) if n >= len(old) or old[n].name != c.name]
        self._use_settings(event.settings)
        self._calls.apply_settings(event.settings)
        self.estimates.apply_settings(event.settings, fresh)
        self._open.apply_settings(event.settings)

    def _tenants_changed(self, now: float, event: events.TenantsChanged) -> None:
        """Reject what is queued for a tenant that is gone or suspended; what has started goes on."""
        self._quotas.table.change(event)
        for request in list(self._open.queued.values()):
            is_barred = request.tenant in event.removed or not self._quotas.table.allows(request)
            if is_barred and not request.has_started:
                self._reject(now, request, RejectReason.TENANT)

    def _request_arrived(self, now: float, event: events.RequestArrived) -> None:
        class_index, settings = self._class_index.get(event.class_name), self.settings
        if class_index is None:
            self._actions.append(actions.Reject(event.request_id, reason=RejectReason.UNKNOWN_CLASS))
            return
        request = self._record(now, event, class_index)
        # A first attempt is known to be fresh; the objective of a retry may have passed. Guards against cores
        # full of work that is late, in storms above all. Harm: callers that retry at once come after others.
        freshness = RETRY_FRESHNESS if event.is_retry else 1.0
        weight = request.request_class.priority_weight * self._quotas.weight(now, event.tenant) * freshness
        request.weight = weight if settings.weighs_by_work else weight / request.work
        request.priority = self._wait_queue.priority(now, request)
        self._open.add(request)
        is_keyed = request.request_class.idempotency is Idempotency.KEYED
        if event.original_id is not None and (is_keyed or settings.shared_result_ttl_s > 0.0):
            self._await_original(now, request, event.original_id)
            return
        self.estimates.request_read(request.work, event.is_retry, event.unread_s)
        reason = self._reject_reason(now, request, settings.key_memory_kb if is_keyed else 0.0)
        if reason is not None:
            self._reject(now, request, reason)
            return
        if is_keyed:  # from reading on and for the whole window, so that no retry can pass unknown
            window_s = request.request_class.idempotency_window_s
            lifetime_s = max(0.01, window_s - (now - request.arrived_at) + KEY_MARGIN_S)
            self._actions.append(self._open.memory.remember_key(now, request, lifetime_s))
        self._deadlines.watch(request, min(request.deadline_at, self._wait_queue.hopeless_at(request)))

    def _record(self, now: float, event: events.RequestArrived, class_index: int) -> RequestRecord:
        kind, arrived_at = self.settings.classes[class_index], now - event.unread_s
        time_left_s = event.time_left_s if self.settings.propagates_deadline else None
        deadline_at = now + time_left_s if time_left_s else max(now, arrived_at + kind.deadline_s)
        work = self.estimates.work_of(class_index, event.work_hint_s)
        stretch_s = kind.objective_stretch * (self.estimates.run_time_s[class_index] * work)
        objective_at = min(deadline_at, arrived_at + kind.latency_objective_s + stretch_s)
        return RequestRecord.of_arrival(event, class_index, kind, work, arrived_at, deadline_at, objective_at)

    def _reject_reason(self, now: float, request: RequestRecord, key_kb: float) -> RejectReason | None:
        """Return why a newcomer is rejected, or None where it is queued."""
        if not self._may_start(request):
            return RejectReason.SHUTDOWN
        if not self._quotas.table.allows(request):
            return RejectReason.TENANT
        if self._open.memory.exceeds(MAX_MEMORY_SHARE, key_kb):
            return RejectReason.MEMORY
        cores, probability = self._open.cores, self.blocking_probability
        has_to_wait = cores.occupied >= int(self.concurrency.limit) or len(self._open.queued) > 1
        if has_to_wait and self._blocking_draw.is_blocked(request, probability, self.settings.cores):
            return RejectReason.BLOCKED
        if has_to_wait and self._wait_queue.wait_is_too_long(now, request):
            return RejectReason.WAIT_TOO_LONG
        # What lay unread until its time was nearly up would only keep the cores from reading the next.
        is_hopeless = self._wait_queue.is_hopeless(now, request, is_idle=not cores.running)
        return RejectReason.HOPELESS if is_hopeless else None

    def _await_original(self, now: float, request: RequestRecord, original_id: int) -> None:
        """Let a retry take the result of the attempt that it repeats: it never runs by itself."""
        original = self._open.by_id.get(original_id)
        request.has_started = original.has_started if original else True  # a rejection would deny that it ran
        is_given_up = original is not None and original.is_answered and original.is_indeterminate
        if is_given_up or self._must_answer(now) or self._open.memory.exceeds(MAX_MEMORY_SHARE):
            self._reject(now, request, RejectReason.ORIGINAL_UNAVAILABLE)
            return
        self._open.await_original(request)
        self._actions.append(actions.AwaitOriginal(request.id))
        self._deadlines.watch(request, request.deadline_at)

    def _must_answer(self, now: float) -> bool:
        return now >= self._stop_at - STOP_MARGIN_S

    def _may_start(self, request: RequestRecord) -> bool:
        # Nothing starts that came after the grace or is read just before the stop; no effect happens twice.
        is_late = request.arrived_at > self._notice_at + self.settings.drain_grace_s
        if request.is_answered or is_late or self._must_answer(self._now):
            return False
        return not request.has_started or request.state is not RequestState.QUEUED or request.is_idempotent

    def _start_queued(self, now: float) -> None:
        """Start the best of what is queued while the limit, the ceiling and the memory allow."""
        queued, cores, calls = self._open.queued, self._open.cores, self._calls.table
        while queued and cores.occupied < int(self.concurrency.limit):
            # All that may be on the cores at once: runs of which nothing is known, and those at calls.
            may_run = cores.running + cores.uncounted + len(calls)
            if not self.concurrency.survives_another(may_run, now - self.started_at):
                return
            startable = [request for request in queued.values() if self._may_start(request)]
            if not startable:
                return
            self._wait_queue.reorder(now)
            request = max(startable, key=lambda r: (r.priority, -r.id))
            if self._open.memory.exceeds(MAX_MEMORY_SHARE, self._open.memory.start_extra_kb(request)):
                return
            if not request.has_started:
                self._quotas.run_started(now, request.tenant)
            self._open.start(now, request)
            self._actions.append(actions.StartRun(request.id))
            self._deadlines.watch(request, min(request.deadline_at, request.objective_at))

    def _reject(self, now: float, request: RequestRecord, reason: RejectReason) -> None:
        """Reject; what has started, with effects, is failed instead."""
        if request.has_started and not request.is_idempotent:
            self._fail(request)
            return
        report, blocking = self._load_report, self.blocking_probability
        is_last = now >= request.objective_at - LAST_ATTEMPT_SHARE * self.estimates.expected_run_s(request)
        is_last = is_last or self._generator.random() < report.retry_futility(blocking, now - self.started_at)
        self._actions.append(actions.Reject(request.id, report.retry_after_s(blocking), is_last, reason))
        self._settle(request)

    def _fail(self, request: RequestRecord) -> None:
        self._actions.append(actions.Fail(request.id))
        self._settle(request)

    def _settle(self, request: RequestRecord) -> None:
        """End or stop a request to which no answer is owed any more."""
        request.is_answered = True
        if request.state in (RequestState.QUEUED, RequestState.PAUSED, RequestState.AWAITING_ORIGINAL):
            self._remove(request, forget_key=not request.has_started)
        elif request.state is RequestState.RUNNING and self.settings.preemption is not Preemption.NONE:
            self._actions.append(actions.StopRun(request.id))

    def _remove(self, request: RequestRecord, forget_key: bool = False) -> None:
        if forget_key:
            self._actions += self._open.memory.forget_key(request)
        self._calls.remove(self._now, request)
        self._open.remove(request)

    def _run_finished(self, now: float, request: RequestRecord, event: events.RunFinished) -> None:
        was_running, never_ran = request.state is RequestState.RUNNING, event.outcome is Outcome.NOT_STARTED
        if never_ran or request.state is RequestState.AWAITING_ORIGINAL:
            self._remove(request, forget_key=never_ran)  # a key that no run holds is memory wasted
        elif event.outcome is Outcome.CANCELLED and not request.is_answered:
            self._open.requeue(request, keeps_progress=self.settings.preemption is not Preemption.DROP)
            if not self._may_start(request):  # stopped for good: its answer is due at once
                self._reject(now, request, RejectReason.PREEMPTED)
        else:
            self._remove(request)
            if event.outcome is Outcome.SUCCESS and was_running:
                self.estimates.run_succeeded(now, request)
                base_s = self.estimates.base_core_time_s[request.class_index]
                self.concurrency.cut_if_slow(now, request, base_s)
            else:
                self.estimates.run_wasted(request)

    def _run_indeterminate(self, now: float, request: RequestRecord, event: events.RunIndeterminate) -> None:
        """Go on counting a run that may never have started, until it is heard of or has had its time.

        Most such runs do run: without them in the count, each broken link would let others start in their
        place, until the cores had more than the machine survives.
        """
        if request.state is not RequestState.RUNNING or request.is_indeterminate:
            return
        if event.at_call and request.can_skip_call and not request.is_answered:
            self._actions.append(actions.SkipCall(request.id))
            return
        self._presume_lost_later(now, request)

    def _presume_lost_later(self, now: float, request: RequestRecord) -> None:
        run_s = max(UPDATE_PERIOD_S, self.estimates.expected_run_s(request))
        self._open.cores.doubt(request, now + LOST_RUN_FACTOR * run_s)
        self._deadlines.watch(request, request.presumed_lost_at + DEADLINE_MARGIN_S)

    def _check_lost_run(self, now: float, request: RequestRecord) -> None:
        """Fail an indeterminate run that has had its time; once it is answered, stop counting it."""
        if request.state is not RequestState.RUNNING or request.presumed_lost_at > now + TIME_TOLERANCE_S:
            return
        if request.is_answered:
            self._actions.append(actions.AbandonRun(request.id))
            self.estimates.run_wasted(request)
            self._remove(request)
        else:
            self._fail(request)
            self._presume_lost_later(now, request)

    def _run_count_doubted(self, now: float, event: events.RunCountDoubted) -> None:
        self._count_doubted_until = now + COUNT_DOUBT_S

    def _call_finished(self, now: float, request: RequestRecord, event: events.CallFinished) -> None:
        if request.state is not RequestState.CALLING:
            return
        if not self._calls.finish(now, request, event.outcome, self._actions):
            self._fail(request)
        elif request.id in self._calls.table.pending and not request.is_answered:
            self._deadlines.watch(request, request.retry_at)

    def _timer_fired(self, now: float, event: events.TimerFired) -> None:
        if event.label == UPDATE_TIMER:
            self._open.memory.expire_keys(now)
            self._update(now, event)
        elif not self._deadlines.fire(now):
            return  # set before an earlier one was: arming it again would make a second chain of timers
        self._calls.next_dispatch_at = now
        for request_id in self._deadlines.pop_due(now):
            request = self._open.by_id.get(request_id)
            if request is not None and not request.is_answered:
                self._check_deadline(now, request)
            if request is not None:
                self._check_lost_run(now, request)
        if self._must_answer(now):
            for request in [r for r in self._open.by_id.values() if not r.is_answered]:
                self._reject(now, request, RejectReason.SHUTDOWN)

    def _check_deadline(self, now: float, request: RequestRecord) -> None:
        """Answer what is due, reject what is hopeless, stop what is late."""
        soon, state, check_at = now + DEADLINE_MARGIN_S + TIME_TOLERANCE_S, request.state, request.deadline_at
        is_due = request.deadline_at <= soon
        if state is RequestState.QUEUED:
            hopeless_at = self._wait_queue.hopeless_at(request)
            is_due = is_due or hopeless_at <= soon
            check_at = min(check_at, max(hopeless_at, soon + QUEUE_CHECK_INTERVAL_S))
        elif state is RequestState.RUNNING and self._open.queued:  # others wait for its core
            is_due = is_due or (request.objective_at <= soon and not request.request_class.late_weight_factor)
        if is_due:
            self._reject(now, request, RejectReason.DUE)
        elif state is RequestState.CALL_PENDING and request.retry_at > now + TIME_TOLERANCE_S:
            self._deadlines.watch(request, request.retry_at + DEADLINE_MARGIN_S)
        else:
            self._deadlines.watch(request, check_at)

    def _update(self, now: float, event: events.TimerFired) -> None:
        """Learn from the last period; set the blocking probability, what is published, and the limits."""
        cores, elapsed_s, self._updated_at = self._open.cores, now - self._updated_at, now
        if elapsed_s > 0.0:
            used = cores.full_s / elapsed_s if event.core_utilization is None else event.core_utilization
            self._learn(elapsed_s, used)
            self._actions += self._idle_timeout.update(event.connections or 0.0, used)
            if self._stop_at == math.inf:
                self._actions += self._outlier_detector.update(now)
            self._calls.update_limit()
            cores.reconcile(event.core_demand if now < self._count_doubted_until else None)
            was_full, queued = cores.full_s >= FULL_PERIOD_SHARE * elapsed_s, bool(self._open.queued)
            self.concurrency.update(used, was_full, event.core_demand, queued, now - self.started_at)
        cores.full_s = 0.0
        self._actions.append(actions.SetTimer(UPDATE_PERIOD_S, UPDATE_TIMER))

    def _learn(self, elapsed_s: float, utilization: float) -> None:
        estimates, is_full = self.estimates, utilization >= FULL_UTILIZATION
        # Work counts as it is done: counted at its end it came a run's length late, and too much was blocked.
        estimates.work_done = self._open.add_progress(estimates.work_done, estimates.core_time_s)
        estimates.update(elapsed_s, is_full)
        beta = estimates.abandonment_ratio()
        # Cores that are not full prove that there is room, whatever was learned of the service rate.
        room = 0.0 if is_full else target_utilization(math.inf, 1.0, beta) / max(utilization, MIN_UTILIZATION)
        probability = blocking_probability(estimates.arrival_rate, estimates.service_rate, beta)
        self.blocking_probability = probability if room < 1.0 else 0.0
        if self._stop_at == math.inf:
            self._actions += self._load_report.update(elapsed_s, beta, room, self.concurrency.limit)

    def _shutdown_noticed(self, now: float, event: events.ShutdownNotice) -> None:
        self._notice_at = min(self._notice_at, now - event.received_ago_s)
        self._stop_at = now + event.time_left_s
        text = "leaving: answering what is held, taking nothing new after the grace"
        self._actions += [actions.LogNote(text), actions.SetHealth(False), *self._load_report.shutdown()]
        self._deadlines.add(max(now, self._stop_at - STOP_MARGIN_S))
