"""The one place where a node's state changes: a message in, the effects it asks for out.

Every message becomes events of the decision module, every action of the module becomes effects. What is
turned away, run or stopped is decided there, never here.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b
from typing import Any

from snowthread.admission import actions as admission_actions
from snowthread.admission import events as admission_events
from snowthread.admission import learned_state
from snowthread.admission.controller import UPDATE_TIMER, Controller
from snowthread.admission.settings import Idempotency as Repeat
from snowthread.admission.settings import Outcome, RequestClass
from snowthread.core import effects, events
from snowthread.core.idempotency import IdempotencyRecord
from snowthread.core.reconfiguration import merge_settings, remaining_limits
from snowthread.core.state import HandoverRole, Request, RequestPhase, State

GAUGES_LEAD_MS = 20.0  # gauges are asked for so long before the timer they are for
GAUGES_RECENT_MS = 200.0  # timers nearer to each other than this share gauges
GAUGES_OLD_MS = 1000.0  # older ones are passed on as not measured
LOST_MS = 150.0  # commands given so long before a link broke may be lost with it; the rest came through
LEAST_MS = 1.0  # time left of a request that was read past its due time: none would mean 'not told'
SYNC_TAG = "sync-"
ASK_MS = 400.0  # the longest wait for the older process's word on a key; no more than half of the time left
ASKING_MOST = 256  # keys that may be asked for at once

_METER = {
    "core_use": "core_utilization",
    "on_cores": "core_demand",
    "heap_share": "memory_utilization",
    "links": "connections",
}


def reduce(state: State, message: events.Event, now: float) -> list[effects.Effect]:
    """Take one message at this time and return what is to be done, in order."""
    turn = _Transition(state, now)
    turn.take(message)
    return turn.out


def digest(m: events.RequestReceived) -> bytes:
    """What a keyed request asks for, in few bytes."""
    return blake2b(m.body, digest_size=16, key=m.class_name.encode()[:64]).digest()


class _Transition:
    """One message's way through the state."""

    def __init__(self, state: State, now: float) -> None:
        self.s, self.now = state, now
        self.out: list[effects.Effect] = []
        self._events: deque[admission_events.Event] = deque()
        self._busy = False
        self._judged: bool | None = None  # the word on the key of the request that is read just now

    def take(self, message: events.Event) -> None:
        _ON[type(message)](self, message)

    # The decision module.

    def tell(self, *module_events: admission_events.Event) -> None:
        """Hand events to the module, in order, and carry out what it wants after each."""
        self._events.extend(module_events)
        if self._busy:
            return
        self._busy = True
        controller = self.controller()
        while self._events:
            for action in controller.handle(
                self.s.admission_clock.timestamp_s(self.now), self._events.popleft()
            ):
                _DO[type(action)](self, action)
        self._busy = False

    def controller(self, age: float = 0.0) -> Controller:
        """The controller; the first who asks starts it, as of so long ago."""
        s = self.s
        if s.controller is None:
            s.controller = Controller(s.settings, s.seed)
            for action in s.controller.handle(
                s.admission_clock.timestamp_s(self.now - age), admission_events.Started()
            ):
                _DO[type(action)](self, action)
            if s.peer_load is not None:
                m = s.peer_load
                s.controller.handle(
                    s.admission_clock.timestamp_s(self.now),
                    admission_events.SettingsChanged(
                        remaining_limits(s.settings, m.runs, m.memory_kb, m.calls)
                    ),
                )
            self.recall()
            if s.pending_quotas is not None:  # nothing is held yet, so nothing comes of it
                s.controller.handle(s.admission_clock.timestamp_s(self.now), s.pending_quotas)
                s.pending_quotas = None
        return s.controller

    # Requests.

    def request_read(self, m: events.RequestReceived) -> None:
        s = self.s
        self.controller()
        s.last_request_number += 1
        at = min(m.sent_at_ms, self.now)
        kind = next((c for c in s.settings.classes if c.name == m.class_name), None)
        if kind is not None and s.retired_classes and s.retired_classes.get(kind.name, self.now) < self.now:
            kind = None
        keyed = kind is not None and kind.idempotency is Repeat.KEYED
        once = m.idempotency_key if keyed else None
        if kind is None or m.attempt_id in s.by_attempt_id or (keyed and not once):
            # Unknown to the settings, or the same try while its run still goes on: nothing can be promised.
            self.out.append(effects.SendResponse(m.response_address, effects.Failed(), s.load_report))
            return
        content = digest(m) if once else b""
        if once and s.idempotency_table.conflicts_with(once, content):
            self.out.append(effects.SendResponse(m.response_address, effects.Failed(), s.load_report))
            return
        if (
            once
            and s.indeterminate_keys is not None
            and s.idempotency_table.owner_at(once, at) is None
            and s.indeterminate_keys.may_have_run(once, at)
        ):
            self.out.append(effects.SendResponse(m.response_address, effects.Failed(), s.load_report))
            return
        prior = s.idempotency_table.owner_at(once, at) if once else None
        if once and prior is None and s.handover_role is HandoverRole.SUCCESSOR and not self._judged:
            self.ask(m, once, at, content, kind)
            return
        q = Request(
            s.last_request_number,
            m.attempt_id,
            m.class_name,
            m.body,
            m.response_address,
            once,
            prior,
            self.now,
            kind,
            m.memory_kb,
            content,
        )
        s.requests[q.number] = s.by_attempt_id[q.attempt_id] = s.by_response_address[m.response_address] = q
        left = (
            None
            if m.timeout_ms is None
            else s.admission_clock.duration_s(max(LEAST_MS, at + m.timeout_ms - self.now))
        )
        self.tell(
            admission_events.RequestArrived(
                request_id=q.number,
                class_name=q.class_name,
                memory_kb=m.memory_kb,
                partition_key=m.partition_key,
                time_left_s=left,
                rank=m.rank,
                caller_id=m.caller_id,
                tenant=m.tenant,
                unread_s=s.admission_clock.duration_s(self.now - at),
                original_id=prior,
            )
        )
        if (
            self._judged
            and s.handover_role is HandoverRole.SUCCESSOR
            and s.idempotency_table.find_by_attempt(m.attempt_id) is None
        ):
            self.out.append(
                effects.SendToPeerProcess(events.KeyReleased(m.attempt_id))
            )  # turned away: the key is wanted no more

    def caller_left(self, m: events.RequestCancelled) -> None:
        q = self.s.by_response_address.pop(m.response_address, None)
        if q is None:
            self.asks_no_more(m.response_address)
            return
        q.response_address = None
        self.drop_call(q)
        self.tell(admission_events.RequestAbandoned(q.number))
        self.rest(q)

    def health_asked(self, m: events.HealthCheckReceived) -> None:
        self.out.append(
            effects.SendResponse(
                m.response_address, effects.HealthStatus(self.s.accepts_work), self.s.load_report
            )
        )

    def answer(self, q: Request, answer: effects.Served | effects.Rejected | effects.Failed) -> None:
        """The final answer, unless there was one or nobody waits: a late result is no second answer."""
        if q.response_address is not None:
            self.out.append(effects.SendResponse(q.response_address, answer, self.s.load_report))
            self.s.by_response_address.pop(q.response_address, None)
            q.response_address = None

    def rest(self, q: Request) -> None:
        """Answered or left: what does not run is over; a run goes on to its end."""
        if q.phase is not RequestPhase.RUNNING:
            self.over(q, None)
        elif q.link_number and q.link_number < self.s.link_number:
            self.settle(q)

    def over(self, q: Request, result: bytes | None) -> None:
        """The request leaves the node; its repeats get what became of it."""
        s = self.s
        if s.requests.pop(q.number, None) is None:
            return
        if s.by_attempt_id.get(q.attempt_id) is q:
            del s.by_attempt_id[q.attempt_id]
        self.drop_call(q)
        if q.original_number is not None:
            first = s.requests.get(q.original_number) or s.idempotency_table.find_by_number(q.original_number)
            if first is not None and q.number in first.followers:
                first.followers.remove(q.number)
        self.resolve(q, result)

    def resolve(self, q: Request | IdempotencyRecord, result: bytes | None) -> None:
        followers, q.followers = q.followers, []
        for number in followers:
            follower = self.s.requests.get(number)
            if follower is not None:
                self.attached_over(follower, result)

    def attached_over(self, q: Request, result: bytes | None) -> None:
        self.answer(q, effects.Failed() if result is None else effects.Served(result))
        q.phase = RequestPhase.QUEUED
        self.over(q, None)
        self.tell(
            admission_events.RunFinished(
                q.number,
                Outcome.FAILURE if result is None else Outcome.SUCCESS,
                self.s.admission_clock.duration_s(self.now - q.received_at_ms),
            )
        )

    # Runs.

    def command(self, command: effects.Command) -> None:
        """To the runtime, or into the line while there is no link."""
        if self.s.runtime_connected:
            q = self.s.by_attempt_id.get(command.attempt_id)
            if q is not None and not isinstance(command, effects.StopRun):
                q.last_command, q.last_command_at_ms = command, self.now
                if isinstance(command, effects.StartRun):
                    q.link_number = self.s.link_number
            self.out.append(command)
        else:
            self.s.unsent_commands.append(command)

    def run_over(self, m: events.RunCompleted) -> None:
        s = self.s
        q = s.by_attempt_id.get(m.attempt_id)
        done = m.result if m.outcome is Outcome.SUCCESS else None
        if m.outcome is not Outcome.NOT_STARTED:
            s.idempotency_table.complete(m.attempt_id, done)
            entry = (
                s.idempotency_table.find_by_attempt(m.attempt_id)
                if s.handover_role is not HandoverRole.STANDALONE
                else None
            )
            if entry is not None and not entry.remote:
                self.out.append(effects.SendToPeerProcess(events.KeyRunCompleted(m.attempt_id, done)))
        if q is None or q.phase is not RequestPhase.RUNNING:
            return
        self.drop_call(q)
        q.pending_call_notice, q.stopping, q.link_number = None, False, 0
        if m.outcome is Outcome.CANCELLED and q.response_address is not None:
            # Stopped with an answer still owed. A keyed try is stopped for good, so its repeats fail.
            q.phase = RequestPhase.QUEUED
            if q.idempotency_key:
                self.resolve(q, None)
        else:
            self.answer(q, effects.Failed() if done is None else effects.Served(done))
            self.over(q, done)
        self.tell(
            admission_events.RunFinished(q.number, m.outcome, s.admission_clock.duration_s(m.duration_ms))
        )

    def command_refused(self, m: events.CommandRejected) -> None:
        q = self.s.by_attempt_id.get(m.attempt_id)
        if q is not None and q.phase is RequestPhase.RUNNING and (m.is_start or q.stopping):
            # A start that was not carried out proves that nothing ran, so its key is free again.
            outcome = Outcome.NOT_STARTED if m.is_start else Outcome.FAILURE
            self.run_over(events.RunCompleted(m.attempt_id, outcome, 0.0, b""))

    def runtime_up(self, m: events.RuntimeConnected) -> None:
        s = self.s
        if s.controller is None:
            if m.starts_cold and not s.settings.starts_cold:
                s.settings = replace(s.settings, starts_cold=True)
            self.controller(m.age_ms)
        s.link_number += 1
        s.runtime_connected = True
        waiting, s.unsent_commands = s.unsent_commands, []
        for command in waiting:
            if command.attempt_id in s.by_attempt_id:
                self.command(command)
        self.out.append(effects.RequestLoadSample(f"{SYNC_TAG}{s.link_number}"))

    def runtime_lost(self, m: events.RuntimeDisconnected) -> None:
        self.s.runtime_connected = False
        self.s.disconnected_at_ms = self.now if m.last_heard_at_ms is None else m.last_heard_at_ms
        unsent: list[effects.Command] = [c for c in m.unsent_commands if isinstance(c, effects.Command)]
        for command in unsent:
            if isinstance(command, effects.StartRun) and command.attempt_id in self.s.by_attempt_id:
                self.s.by_attempt_id[command.attempt_id].link_number = 0
        self.s.unsent_commands = unsent + self.s.unsent_commands

    def synced(self) -> None:
        """All notices missed are read, so what was told in good time before the break came through. Of what
        was told last nothing is known. A start that is safe to repeat, or leave to go on without a call, is
        given again: nothing happens where it had come through. A start with effects never is, for if its run
        ended just now it would run twice, nor a reply, which the run might take for that to its next call:
        these are the decisions' to give up."""
        for q in list(self.s.requests.values()):
            if q.phase is not RequestPhase.RUNNING or not 0 < q.link_number < self.s.link_number:
                continue
            if q.response_address is None or q.stopping:
                self.settle(q)
            elif q.indeterminate:
                pass  # by an earlier break: only a notice can change that
            elif (
                q.pending_call_notice is not None
                or q.last_command is None
                or q.last_command_at_ms < self.s.disconnected_at_ms - LOST_MS
            ):
                q.link_number = self.s.link_number
            elif isinstance(q.last_command, effects.SkipCall) or (
                isinstance(q.last_command, effects.StartRun)
                and q.request_class.idempotency is Repeat.IDEMPOTENT
            ):
                q.link_number = self.s.link_number
                self.command(q.last_command)
            else:
                at_call = isinstance(q.last_command, effects.DeliverReply)
                q.indeterminate = True
                if at_call:
                    q.pending_call_notice = q.answered_call_notice
                self.tell(admission_events.RunIndeterminate(q.number, at_call))

    def settle(self, q: Request) -> None:
        """Stop a run whose fate the break left open and take it for over: nobody waits for it, and no notice
        may ever come. Without this it would count as running for good."""
        self.command(effects.StopRun(q.attempt_id))
        self.run_over(events.RunCompleted(q.attempt_id, Outcome.CANCELLED, 0.0, b""))

    # Calls.

    def call_wanted(self, m: events.CallRequested) -> None:
        q = self.s.by_attempt_id.get(m.attempt_id)
        if q is not None and q.phase is RequestPhase.RUNNING:
            if q.indeterminate:
                q.indeterminate, q.link_number = False, self.s.link_number
            q.pending_call_notice, q.call_body = m.notice_number, m.body
            self.tell(admission_events.CallNeeded(q.number))

    def call_back(self, m: events.CallCompleted) -> None:
        q = self.s.by_attempt_id.get(m.attempt_id)
        if q is None or not q.call_in_flight:
            return
        q.call_in_flight = False
        if m.outcome is Outcome.SUCCESS:
            q.answered_call_notice, q.pending_call_notice = q.pending_call_notice or 0, None
            self.command(effects.DeliverReply(q.attempt_id, m.reply))
        self.tell(
            admission_events.CallFinished(
                q.number, m.outcome, self.s.admission_clock.duration_s(m.duration_ms)
            )
        )

    def drop_call(self, q: Request) -> None:
        if q.call_in_flight:
            q.call_in_flight = False
            self.out.append(effects.CancelCall(q.attempt_id))

    # Gauges and timers.

    def gauges_read(self, m: events.LoadSampleReceived) -> None:
        s = self.s
        if not (
            s.stale_sample_number
            and m.tag.isdecimal()
            and len(m.tag) < 19
            and int(m.tag) <= s.stale_sample_number
        ):
            s.load_sample, s.load_sample_at_ms = m.values, self.now
        if s.runtime_connected and m.tag == f"{SYNC_TAG}{s.link_number}":
            self.synced()

    def gauges_due(self, _: events.LoadSampleDue) -> None:
        if self.s.runtime_connected:
            self.s.last_sample_number += 1
            self.out.append(effects.RequestLoadSample(str(self.s.last_sample_number)))

    def timer_due(self, m: events.TimerExpired) -> None:
        s = self.s
        found: dict[str, float] = {}
        if self.now - s.load_sample_at_ms <= GAUGES_OLD_MS:
            found = {
                _METER[name]: value
                for name, value in zip(s.gauge_names, s.load_sample, strict=False)
                if name in _METER
            }
        self.tell(admission_events.TimerFired(m.label, **found))
        if s.handover_role is not HandoverRole.STANDALONE and m.label == UPDATE_TIMER:
            self.tell_load()

    def leave_asked(self, m: events.ShutdownRequested) -> None:
        if not self.s.shutting_down:
            self.s.shutting_down = True
            self.out.append(effects.SetRegistration(self.s.accepts_work))
            self.tell(
                admission_events.ShutdownNotice(
                    self.s.admission_clock.duration_s(m.time_left_ms),
                    self.s.admission_clock.duration_s(m.received_ago_ms),
                )
            )

    def drain_asked(self, m: events.DrainRequested) -> None:
        """Only the word on health changes: balancers learn late, and what still comes is owed its answer."""
        if m.drain != self.s.drained and self.s.handover_role is not HandoverRole.STANDALONE:
            self.out.append(effects.SendToPeerProcess(m))
        self.s.drained = m.drain
        self.out.append(effects.SetRegistration(self.s.accepts_work))

    def settings_read(self, m: events.SettingsReloaded) -> None:
        """Other settings, from now on: what is open keeps its class as it was."""
        s = self.s
        old, s.settings = s.settings, merge_settings(s.settings, m.settings, s.retired_classes, self.now)
        if m.gauge_names != s.gauge_names:  # what was read, or asked for, stands in the order of before
            s.gauge_names, s.load_sample_at_ms, s.stale_sample_number = (
                m.gauge_names,
                -math.inf,
                s.last_sample_number,
            )
        self.longer_windows(old.classes)
        self.tell_limits()
        theirs = {t.name: t for t in m.settings.tenants}
        if old.tenants != m.settings.tenants or old.over_quota_weight != m.settings.over_quota_weight:
            self.shares_changed(
                events.TenantQuotasChanged(
                    m.settings.tenants,
                    frozenset(t.name for t in old.tenants if t.name not in theirs),
                    m.settings.over_quota_weight,
                )
            )

    def longer_windows(self, old: tuple[RequestClass, ...]) -> None:
        """A key is kept for its class's window as it is now, where that is the longer one: repeats come
        within what callers were told last."""
        before = {c.name: c.idempotency_window_s for c in old}
        for kind in self.s.settings.classes:
            more = self.s.admission_clock.duration_ms(
                kind.idempotency_window_s - before.get(kind.name, kind.idempotency_window_s)
            )
            if more > 0.0:
                self.s.idempotency_table.extend_window(kind.name, more)

    # The process beside this one, while one replaces the other: what it holds is known here, and no key is
    # taken without the older one's word, so a request that comes to both runs in one of them at most.

    def ask(
        self, m: events.RequestReceived, once: str, at: float, content: bytes, kind: RequestClass
    ) -> None:
        """Hold a request before anybody knows of it until the older process has judged its key."""
        s = self.s
        if self._judged is False:  # another's, and yet unknown here: nothing can be promised
            self.out.append(effects.SendResponse(m.response_address, effects.Failed(), s.load_report))
        elif once not in s.pending_claims and len(s.pending_claims) >= ASKING_MOST:
            self.out.append(effects.SendResponse(m.response_address, effects.Rejected(), s.load_report))
        else:
            if once not in s.pending_claims:
                s.pending_claims[once] = m.attempt_id, []
                self.out.append(
                    effects.SendToPeerProcess(events.KeyClaimRequested(once, m.attempt_id, at, content))
                )
            s.pending_claims[once][1].append(m)
            due = at + (
                s.admission_clock.duration_ms(kind.deadline_s) if m.timeout_ms is None else m.timeout_ms
            )
            wait = min(ASK_MS, max(0.0, due - self.now) / 2.0)
            self.out.append(
                effects.ScheduleTimer(self.now + wait, events.KeyClaimTimedOut(m.response_address))
            )

    def asks_no_more(self, ticket: events.ResponseAddress) -> bool:
        """Take a request back that waits for the word on its key; False where none does."""
        for _, waiting in self.s.pending_claims.values():
            for m in waiting:
                if m.response_address == ticket:
                    waiting.remove(m)
                    return True
        return False

    def key_late(self, m: events.KeyClaimTimedOut) -> None:
        if self.asks_no_more(m.response_address):
            self.out.append(effects.SendResponse(m.response_address, effects.Rejected(), self.s.load_report))

    def key_asked(self, m: events.KeyClaimRequested) -> None:
        """Judge: a key is the newer process's from now on, unless it is somebody's. How long it holds it, it
        says once it takes the request; should it never, no run of it may be far off."""
        s = self.s
        granted = s.idempotency_table.owner_at(
            m.idempotency_key, m.sent_at_ms
        ) is None and not s.idempotency_table.conflicts_with(m.idempotency_key, m.body_digest)
        if granted:
            s.last_request_number += 1
            window = max((c.idempotency_window_s for c in s.settings.classes), default=0.0)
            until = self.now + s.admission_clock.duration_ms(window)
            s.idempotency_table.put(
                m.idempotency_key,
                s.last_request_number,
                m.attempt_id,
                until,
                self.now,
                m.body_digest,
                away=True,
            )
        self.out.append(
            effects.SendToPeerProcess(events.KeyClaimDecided(m.idempotency_key, m.attempt_id, granted))
        )

    def key_judged(self, m: events.KeyClaimDecided) -> None:
        uid, waiting = self.s.pending_claims.pop(m.idempotency_key, ("", []))
        mine = m.granted and bool(waiting) and waiting[0].attempt_id == uid
        if m.granted and not mine:  # who asked has left meanwhile; others ask anew
            self.out.append(effects.SendToPeerProcess(events.KeyReleased(m.attempt_id)))
        for n, request in enumerate(waiting):
            self._judged = (n == 0 or None) if mine else None if m.granted else False
            self.request_read(request)
        self._judged = None

    def key_told(self, m: events.KeyReplicated) -> None:
        s = self.s
        entry = s.idempotency_table.find_by_attempt(m.attempt_id)
        if entry is not None and not entry.remote:
            return
        s.last_request_number += 1
        number = s.last_request_number if entry is None else entry.request_number
        s.idempotency_table.put(
            m.idempotency_key, number, m.attempt_id, m.expires_at_ms, self.now, m.body_digest, away=True
        )
        if m.completed:
            self.key_over(events.KeyRunCompleted(m.attempt_id, m.result))

    def key_over(self, m: events.KeyRunCompleted) -> None:
        entry = self.s.idempotency_table.find_by_attempt(m.attempt_id)
        if entry is not None and entry.remote:
            self.s.idempotency_table.complete(m.attempt_id, m.result)
            self.resolve(entry, m.result)

    def key_freed(self, m: events.KeyReleased) -> None:
        entry = self.s.idempotency_table.find_by_attempt(m.attempt_id)
        if entry is not None and entry.remote:
            self.s.idempotency_table.remove(entry.request_number)
            self.resolve(entry, None)

    def beside_up(self, m: events.PeerProcessConnected) -> None:
        """Judge: tell all that is known, with the word that it was all."""
        s = self.s
        s.handover_role = HandoverRole.PREDECESSOR if m.is_predecessor else HandoverRole.SUCCESSOR
        if m.is_predecessor:
            self.out += [effects.SendToPeerProcess(entry) for entry in s.idempotency_table.records()]
            self.out.append(effects.SendToPeerProcess(events.DrainRequested(s.drained)))
            self.tell_load()
            self.out.append(effects.SendHandoverComplete())
            return
        # A second time where the link broke: what was said over it may be lost, either way.
        self.out += [
            effects.SendToPeerProcess(entry) for entry in s.idempotency_table.records() if not entry.remote
        ]
        asking, s.pending_claims = s.pending_claims, {}
        for _uid, waiting in asking.values():
            for request in waiting:
                self.request_read(request)

    def tell_load(self) -> None:
        """What this process has of what both share."""
        s = self.s
        runs = [q for q in s.requests.values() if q.phase is RequestPhase.RUNNING]
        held = sum(q.memory_kb for q in s.requests.values() if q.phase is not RequestPhase.RUNNING)
        self.out.append(
            effects.SendToPeerProcess(
                events.PeerLoadReported(
                    len(runs),
                    float(held + s.settings.running_memory_factor * sum(q.memory_kb for q in runs)),
                    sum(q.call_in_flight for q in runs),
                )
            )
        )

    def load_told(self, m: events.PeerLoadReported) -> None:
        self.s.peer_load = m
        self.tell_limits()
        self.out.append(effects.ReserveDescriptors(m.descriptors))

    def tell_limits(self) -> None:
        """The settings to the module, less what the other process has of them, and paced on the way back."""
        s, m = self.s, self.s.peer_load
        if s.controller is not None:
            settings = s.settings if m is None else remaining_limits(s.settings, m.runs, m.memory_kb, m.calls)
            if s.call_pacing is not None:
                settings = replace(settings, call_quota=s.call_pacing.concurrent_calls)
            self.tell(admission_events.SettingsChanged(settings))

    def pace(self, m: events.CallPacingChanged) -> None:
        """Another limit on the way back; the settings' own where it is over."""
        self.s.call_pacing = m if m.concurrent_calls else None
        self.tell_limits()

    def recall(self, m: events.LearnedStateRestored | None = None) -> None:
        """Begin with what an earlier life learned; it waits for the controller where there is none yet."""
        s = self.s
        s.learned_state = m or s.learned_state
        if s.controller is not None and s.learned_state is not None:
            learned_state.restore_learned_state(
                s.controller, s.learned_state.learned_state, s.learned_state.relative_speed
            )
            s.learned_state = None

    def beside_takes(self, _: events.SuccessorReady) -> None:
        """The newer process speaks for the node: what this one would say of its load says nothing now."""
        self.s.superseded, self.s.load_report = True, None
        self.out += [effects.SetRegistration(self.s.accepts_work), effects.SetAccepting(False)]

    def beside_gone(self, _: events.PeerProcessExited) -> None:
        """Alone again. What went on there will not be heard of: repeats of it fail, nothing runs again."""
        s = self.s
        s.handover_role, s.superseded, s.peer_load = HandoverRole.STANDALONE, False, None
        self.tell_limits()
        for entry in s.idempotency_table.records():
            if entry.remote and not entry.completed:
                entry.completed = True
                self.resolve(entry, None)
        asking, s.pending_claims = s.pending_claims, {}
        for _uid, waiting in asking.values():
            for request in waiting:
                self.request_read(request)
        self.out += [
            effects.SetRegistration(s.accepts_work),
            effects.SetAccepting(True),
            effects.ReserveDescriptors(0),
        ]

    def shares_changed(self, m: events.TenantQuotasChanged) -> None:
        """Other tenants. Before there is a controller they wait: it starts with the runtime, cold or not."""
        old = self.s.pending_quotas
        if self.s.controller is not None:
            self.tell(admission_events.TenantsChanged(m.changed, m.removed, m.over_quota_weight))
            return
        kept = {t.name: t for t in (old.changed if old else ()) if t.name not in m.removed}
        kept.update((t.name, t) for t in m.changed)
        worth = (
            m.over_quota_weight if old is None or m.over_quota_weight is not None else old.over_quota_weight
        )
        self.s.pending_quotas = admission_events.TenantsChanged(tuple(kept.values()), frozenset(), worth)

    # The module's actions.

    def do_run(self, a: admission_actions.StartRun) -> None:
        q = self.s.requests.get(a.request_id)
        if q is not None and q.phase is RequestPhase.QUEUED:
            q.phase = RequestPhase.RUNNING
            self.command(effects.StartRun(q.attempt_id, q.class_name, q.body))

    def do_final(self, a: admission_actions.Reject | admission_actions.Fail) -> None:
        q = self.s.requests.get(a.request_id)
        if q is None:
            return
        if isinstance(a, admission_actions.Reject):
            self.answer(
                q, effects.Rejected(self.s.admission_clock.duration_ms(a.retry_after_s), a.do_not_retry)
            )
        else:
            self.answer(q, effects.Failed())
        self.drop_call(q)
        self.rest(q)

    def do_preempt(self, a: admission_actions.StopRun) -> None:
        q = self.s.requests.get(a.request_id)
        if q is None or q.phase is not RequestPhase.RUNNING or q.stopping:
            return
        q.stopping = True
        if not q.link_number:  # its start still waits for a link: it never ran
            self.s.unsent_commands = [c for c in self.s.unsent_commands if c.attempt_id != q.attempt_id]
            self.run_over(events.RunCompleted(q.attempt_id, Outcome.CANCELLED, 0.0, b""))
        else:
            self.command(effects.StopRun(q.attempt_id))

    def do_attach(self, a: admission_actions.AwaitOriginal) -> None:
        q = self.s.requests.get(a.request_id)
        if q is None or q.original_number is None:
            return
        first = self.s.requests.get(q.original_number)
        entry = self.s.idempotency_table.find_by_number(q.original_number)
        if entry is not None and entry.completed:
            self.attached_over(q, entry.result)
        elif entry is not None and entry.remote:
            q.phase = RequestPhase.AWAITING_ORIGINAL
            entry.followers.append(q.number)
        elif first is None:
            self.attached_over(q, None)
        else:
            q.phase = RequestPhase.AWAITING_ORIGINAL
            first.followers.append(q.number)

    def do_keep(self, a: admission_actions.RememberKey) -> None:
        q = self.s.requests.get(a.request_id)
        if q is not None and q.idempotency_key:
            until = self.now + self.s.admission_clock.duration_ms(a.lifetime_s)
            entry = self.s.idempotency_table.put(
                q.idempotency_key,
                q.number,
                q.attempt_id,
                until,
                self.now,
                q.body_digest,
                class_name=q.class_name,
            )
            if self.s.handover_role is not HandoverRole.STANDALONE:
                self.out.append(effects.SendToPeerProcess(entry))

    def do_forget(self, a: admission_actions.ForgetKey) -> None:
        entry = self.s.idempotency_table.find_by_number(a.request_id)
        self.s.idempotency_table.remove(a.request_id)
        if entry is not None and self.s.handover_role is not HandoverRole.STANDALONE:
            self.out.append(effects.SendToPeerProcess(events.KeyReleased(entry.attempt_id)))

    def do_call(self, a: admission_actions.StartCall) -> None:
        q = self.s.requests.get(a.request_id)
        if q is not None and q.pending_call_notice is not None and not q.call_in_flight:
            q.call_in_flight = True
            self.out.append(
                effects.StartCall(
                    q.attempt_id,
                    q.call_body,
                    self.s.admission_clock.duration_ms(a.timeout_s or q.request_class.deadline_s),
                    q.request_class.idempotency is Repeat.IDEMPOTENT,
                )
            )

    def do_skip(self, a: admission_actions.SkipCall) -> None:
        q = self.s.requests.get(a.request_id)
        if q is not None and q.pending_call_notice is not None:
            self.command(effects.SkipCall(q.attempt_id, q.pending_call_notice))
            q.pending_call_notice = None

    def do_timer(self, a: admission_actions.SetTimer) -> None:
        s = self.s
        at = self.now + s.admission_clock.duration_ms(a.delay_s)
        if at - s.load_sample_due_for_ms >= GAUGES_RECENT_MS:
            s.load_sample_due_for_ms = at
            self.out.append(effects.ScheduleTimer(max(self.now, at - GAUGES_LEAD_MS), events.LoadSampleDue()))
        self.out.append(effects.ScheduleTimer(at, events.TimerExpired(a.label)))

    def do_health(self, a: admission_actions.SetHealth) -> None:
        if not self.s.shutting_down:  # from then on the module speaks of this process, not of the node
            self.s.healthy = a.healthy
        self.out.append(effects.SetRegistration(self.s.accepts_work))

    def do_publish(self, a: admission_actions.PublishLoad) -> None:
        if not self.s.superseded:
            self.s.load_report = a.value

    def do_idle(self, a: admission_actions.SetIdleTimeout) -> None:
        self.out.append(
            effects.SetIdleTimeout(
                self.s.admission_clock.duration_ms(a.timeout_s or self.s.settings.idle_timeout_s)
            )
        )

    def do_note(self, a: admission_actions.LogNote) -> None:
        self.out.append(effects.LogNote(a.text))


_ON: dict[type, Callable[[_Transition, Any], None]] = {
    events.RequestReceived: _Transition.request_read,
    events.RequestCancelled: _Transition.caller_left,
    events.HealthCheckReceived: _Transition.health_asked,
    events.RuntimeConnected: _Transition.runtime_up,
    events.RuntimeDisconnected: _Transition.runtime_lost,
    events.RunCompleted: _Transition.run_over,
    events.CommandRejected: _Transition.command_refused,
    events.CallRequested: _Transition.call_wanted,
    events.LoadSampleReceived: _Transition.gauges_read,
    events.CallCompleted: _Transition.call_back,
    events.TimerExpired: _Transition.timer_due,
    events.LoadSampleDue: _Transition.gauges_due,
    events.ShutdownRequested: _Transition.leave_asked,
    events.PeerProcessConnected: _Transition.beside_up,
    events.PeerLoadReported: _Transition.load_told,
    events.SuccessorReady: _Transition.beside_takes,
    events.PeerProcessExited: _Transition.beside_gone,
    events.KeyReplicated: _Transition.key_told,
    events.KeyRunCompleted: _Transition.key_over,
    events.KeyReleased: _Transition.key_freed,
    events.KeyClaimRequested: _Transition.key_asked,
    events.KeyClaimDecided: _Transition.key_judged,
    events.KeyClaimTimedOut: _Transition.key_late,
    events.CallPacingChanged: _Transition.pace,
    events.LearnedStateRestored: _Transition.recall,
    events.SettingsReloaded: _Transition.settings_read,
    events.DrainRequested: _Transition.drain_asked,
    events.TenantQuotasChanged: _Transition.shares_changed,
}

_DO: dict[type, Callable[[_Transition, Any], None]] = {
    admission_actions.StartRun: _Transition.do_run,
    admission_actions.Reject: _Transition.do_final,
    admission_actions.Fail: _Transition.do_final,
    admission_actions.StopRun: _Transition.do_preempt,
    admission_actions.AwaitOriginal: _Transition.do_attach,
    admission_actions.RememberKey: _Transition.do_keep,
    admission_actions.ForgetKey: _Transition.do_forget,
    admission_actions.StartCall: _Transition.do_call,
    admission_actions.SkipCall: _Transition.do_skip,
    admission_actions.SetTimer: _Transition.do_timer,
    admission_actions.SetHealth: _Transition.do_health,
    admission_actions.PublishLoad: _Transition.do_publish,
    admission_actions.SetIdleTimeout: _Transition.do_idle,
    admission_actions.LogNote: _Transition.do_note,
}
