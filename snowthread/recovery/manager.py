"""A node's way back, wired: state on disk, the roster's answers, and the pace of calls and runs.

It wraps ``reduce``: it sees each event before the reducer and each effect after it. It decides nothing
itself: :mod:`snapshot` and :mod:`key_log` say what may be trusted, :mod:`membership` who is in the fleet,
:mod:`snowthread.admission.recovery_pacing` how fast, and :mod:`snowthread.admission.learned_state` what is
restored. A keyed start leaves the node only once its key is in the key log; a call that has to wait is held
here until it may go.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from snowthread.admission import learned_state
from snowthread.admission.controller import UPDATE_TIMER
from snowthread.admission.recovery_pacing import (
    BURST_S,
    FLEET_SHARE,
    Backoff,
    CallBudget,
    CallPermission,
    RecoveryPacer,
    SlowStart,
)
from snowthread.admission.settings import Outcome, RequestClass
from snowthread.core import effects, events
from snowthread.core.idempotency import IndeterminateKeys, key_digest
from snowthread.core.state import RequestPhase, State
from snowthread.net.loop import EventLoop, TaskSteps, Timer, Wait
from snowthread.recovery import key_log, storage
from snowthread.recovery.membership import Membership, MemberStatus
from snowthread.recovery.settings import RecoverySettings
from snowthread.recovery.snapshot import LearnedTimes, Snapshot, SnapshotAssessment, Verdict, assess, encode

if TYPE_CHECKING:
    from snowthread.config import Config

Reduce = Callable[[State, events.Event, float], list[effects.Effect]]

CALLS_FACTOR = 4.0  # times its share that the module may have in hand: here some of them wait for their turn
AFTER_PART = 8.0  # of an aim, over the window: how long one who is turned away should keep off
MADE_MAX = 4096  # runs whose calls are counted
WARM_FACTOR = 1.25  # times what was recalled: as quick as that, a machine is warm
BACKOFF_MS = 20.0, 2000.0  # of links and calls that find nobody there


class RecoveryManager:
    """Keeps what helps a node come back, and paces its return."""

    def __init__(
        self,
        loop: EventLoop,
        settings: RecoverySettings,
        config: Config,
        state: State,
        post: Callable[[events.Event], None],
        inner: Reduce,
    ) -> None:
        self._loop, self._settings, self._state, self._post, self._inner = loop, settings, state, post, inner
        now = self._born = loop.clock.now()
        draw = self._draw = random.Random(config.seed ^ 0x5EED)
        kinds = config.settings.classes
        window = max((c.idempotency_window_s for c in kinds), default=0.0) * 1000.0
        found, self._ring, failed = storage.open_key_log(settings.folder, now + window)
        self._keys(found, failed, now + window)
        before = storage.read_incarnation(settings.folder)
        self._members = Membership(before + 1 if before else 0, max(1, config.settings.node_count))
        if before:
            self._failed(storage.write_incarnation(settings.folder, before + 1))
        self._snapshot = storage.read(settings.folder)
        self.snapshot_verdict: SnapshotAssessment | None = None
        cores = config.settings.cores
        self._return = RecoveryPacer(
            SlowStart(2.0 * cores, float(cores)),
            CallBudget(FLEET_SHARE * settings.database_per_s, settings.database_call_ms, burst_s=BURST_S),
            Backoff(*BACKOFF_MS),
            settings.database_per_s * settings.database_call_ms / 1000.0,
            draw,
        )
        self._return.update_fleet(*self._members.fleet_size())
        self._link_backoff = Backoff(*BACKOFF_MS)
        self._ages = learned_state.LearnedStateAging(learned_state.LearnedState({}))
        self._held: dict[str, effects.StartCall] = {}
        self._made: dict[str, int] = {}
        self._timer: Timer | None = None
        self._pace = events.CallPacingChanged()
        self.rejected_requests = 0
        self._said_cold = False
        self._silent = True  # until it is heard
        self._cold: bool | None = None  # the machine, at its start: told by the runtime
        self._say_again: Callable[[], None] = lambda: None
        self._carry: Callable[[effects.Effect], None] = lambda effect: None

    def start(self, say_again: Callable[[], None], carry: Callable[[effects.Effect], None]) -> None:
        """The peers are there."""
        self._say_again, self._carry = say_again, carry
        self._loop.spawn(self._steps())

    def _keys(self, found: key_log.KeyLogContents, failed: str, blind_until: float) -> None:
        now = self._born
        if failed:
            logger.bind(event="comeback.ring").error("no ring of keys, no keyed request is run: {}", failed)
            blind_until = float("inf")
        elif found.verdict is key_log.Verdict.WHOLE:
            blind_until = found.any_until_ms
        keys = {key: until for key, until in found.keys.items() if until > now}
        if keys or blind_until > now:
            self._state.indeterminate_keys = IndeterminateKeys(keys, blind_until)
        blind = f", all for {(blind_until - now) / 1000.0:.1f} s" if blind_until > now else ""
        logger.bind(event="comeback.ring", verdict=found.verdict.value, keys=len(keys)).info(
            "ring of keys: {}{}{}; {} keys unknown{}",
            found.verdict.value,
            ": " if found.reason else "",
            found.reason,
            len(keys),
            blind,
        )

    @staticmethod
    def _failed(why: str | None) -> None:
        if why is not None:
            logger.bind(event="comeback.write").warning("state not written: {}", why)

    # The roster.

    def report_suffix(self) -> str:
        """What a report says besides."""
        return self._members.report_suffix(self._return.cold)

    def handle_registry_answer(self, data: bytes) -> None:
        """An answer of the roster."""
        now, members = self._loop.clock.now(), self._members
        life, standing = members.incarnation, members.status
        if not members.handle_answer(data, now):
            return
        if members.incarnation != life:
            if members.incarnation > 1:
                logger.bind(event="comeback.life").warning(
                    "the roster knows a later life than {}: goes on as {}", life, members.incarnation
                )
            self._failed(storage.write_incarnation(self._settings.folder, members.incarnation))
            self._say_again()
        if members.status is MemberStatus.REPLACED and standing is not MemberStatus.REPLACED:
            logger.bind(event="comeback.replaced").error("another process has this name now: off the list")
            self._post(events.DrainRequested(True))
        if self.snapshot_verdict is None:
            self._trust(now)
        self._return.update_fleet(*members.fleet_size())
        self._turns()

    def _trust(self, now: float) -> None:
        """The fleet's generation is known: may the snapshot be trusted?"""
        view = self._members.view
        assert view is not None
        judged = self.snapshot_verdict = assess(
            self._snapshot,
            generation=view.generation,
            now_ms=now,
            fresh_for_ms=self._settings.snapshot_max_age_ms,
        )
        self._snapshot = b""
        logger.bind(event="comeback.snapshot", verdict=judged.verdict.value).info(
            "snapshot: {}{}{}", judged.verdict.value, ": " if judged.reason else "", judged.reason
        )
        if judged.verdict is not Verdict.FRESH:
            return
        learned = judged.initial_state
        known = learned_state.LearnedState(
            {
                name: learned_state.ClassTimes(
                    core, learned.run_time_s.get(name, 0.0), learned.call_time_s.get(name, 0.0)
                )
                for name, core in learned.core_time_s.items()
            },
            learned.read_per_s,
        )
        self._ages = learned_state.LearnedStateAging(known)
        speed = self._state.settings.cold_speed if self._return.cold else 1.0
        self._post(events.LearnedStateRestored(known, min(1.0, max(0.01, speed))))

    def reconnect_delay_ms(self) -> float:
        """How long to wait before the next attempt to link to the runtime."""
        return self._link_backoff.next_delay_ms(self._draw)

    # Each step of the node.

    def reduce(self, state: State, message: events.Event, now: float) -> list[effects.Effect]:
        """The reducer's step; starts and calls pass only as they may."""
        self._look(state, message, now)
        if type(message) is events.RequestReceived and self._return.cold:
            refusal = self._admit(state, message, now)
            if refusal is not None:
                return [refusal]
        out: list[effects.Effect] = []
        for effect in self._inner(state, message, now):
            if type(effect) is effects.StartRun:
                if not self._written(state, effect, now):
                    self._post(events.CommandRejected(effect.attempt_id, True))
                    continue
            elif type(effect) is effects.StartCall:
                if not self._goes(state, effect, now):
                    continue
            elif type(effect) is effects.CancelCall:
                self._held.pop(effect.attempt_id, None)
                self._return.call_cancelled(now, effect.attempt_id)
            out.append(effect)
        return out

    def _admit(self, state: State, m: events.RequestReceived, now: float) -> effects.SendResponse | None:
        """Turn away at once what the ramp has no place for: whose run can't do without its calls."""
        kind = next((c for c in state.settings.classes if c.name == m.class_name), None)
        if kind is None or kind.skipped_call_weight > 0.0:
            return None
        if not kind.may_call:
            # Blind, the worthiest calls may not be made: what warms the machine meanwhile goes first.
            blind = state.indeterminate_keys is not None and now < state.indeterminate_keys.any_until_ms
            running = sum(q.phase is RequestPhase.RUNNING for q in state.requests.values())
            if not blind or running < state.settings.cores or not self._return.has_idle_budget(now):
                return None
            return self._turned_away(state, m, kind)
        at = min(m.sent_at_ms, now)
        if m.idempotency_key and (
            state.idempotency_table.owner_at(m.idempotency_key, at) is not None
            or (
                state.indeterminate_keys is not None
                and state.indeterminate_keys.may_have_run(m.idempotency_key, at)
            )
        ):
            return None  # a repeat, or one that may be: the reducer knows what to say
        flying = sum(
            q.request_class.name == kind.name and q.phase is not RequestPhase.AWAITING_ORIGINAL
            for q in state.requests.values()
        )
        return None if self._return.slow_start.admits(flying) else self._turned_away(state, m, kind)

    def _turned_away(
        self, state: State, m: events.RequestReceived, kind: RequestClass
    ) -> effects.SendResponse:
        settings = state.settings
        self.rejected_requests += 1
        after = (
            kind.latency_objective_s / (AFTER_PART * self._return.slow_start.window)
            if settings.supports_retry_after
            else 0.0
        )
        return effects.SendResponse(
            m.response_address,
            effects.Rejected(1000.0 * min(after, settings.max_retry_after_s)),
            state.load_report,
        )

    def _look(self, state: State, message: events.Event, now: float) -> None:
        way = self._return
        match message:
            case events.CallCompleted():
                way.call_ended(
                    now,
                    message.attempt_id,
                    message.outcome is not Outcome.UNREACHABLE,
                    message.outcome in (Outcome.SUCCESS, Outcome.TIMED_OUT),
                )
                self._turns()
            case events.RunCompleted():
                self._made.pop(message.attempt_id, None)
                q = state.by_attempt_id.get(message.attempt_id)
                if (
                    q is None
                    or not way.cold
                    or q.request_class.skipped_call_weight
                    or not q.request_class.may_call
                ):
                    return
                if message.outcome in (Outcome.SUCCESS, Outcome.CANCELLED):
                    aim = q.request_class.latency_objective_s * 1000.0
                    way.run_ended(
                        now, message.outcome is Outcome.SUCCESS and now - q.received_at_ms <= aim, aim
                    )
            case events.RuntimeConnected():
                self._link_backoff.reset()
                if self._cold is None:
                    self._cold = message.starts_cold
                    way.slow_start.complete = not message.starts_cold
                    self._say_again()
            case events.TimerExpired(label=label) if label == UPDATE_TIMER:
                self._tick(state, now)

    def _tick(self, state: State, now: float) -> None:
        """Once a period: forget what is too old, and tell the module the limits of the way back."""
        controller, way = state.controller, self._return
        if controller is None:
            return
        at = state.admission_clock.timestamp_s(now)
        self._ages.tick(controller, at)
        quick = learned_state.runs_within_factor(controller, self._ages.recalled, WARM_FACTOR)
        way.slow_start.held_open = self._cold is True and not (
            quick if quick is not None else learned_state.warmup_speed(controller, at) >= 1.0
        )
        pace = events.CallPacingChanged(CALLS_FACTOR * state.settings.call_quota if way.is_pacing else 0.0)
        if pace != self._pace:
            self._pace = pace
            self._post(pace)
        if way.cold != self._said_cold:
            self._said_cold = way.cold
            logger.bind(event="comeback.cold" if way.cold else "comeback.warm").info(
                "{} {:.1f} s after the start",
                "on its way back" if way.cold else "warm",
                (now - self._born) / 1000.0,
            )
            self._say_again()

    def _written(self, state: State, start: effects.StartRun, now: float) -> bool:
        """Is the key of this start, where it has one, where a crash can't take it?"""
        entry = state.idempotency_table.find_by_attempt(start.attempt_id)
        if entry is None:
            return True
        if self._ring is not None and self._ring.append(
            key_digest(entry.idempotency_key), entry.expires_at_ms, now
        ):
            return True
        logger.bind(event="comeback.ring").warning("a key finds no place in the ring: not run")
        return False

    # Calls.

    def _goes(self, state: State, call: effects.StartCall, now: float) -> bool:
        q = state.by_attempt_id.get(call.attempt_id)
        skippable = q is not None and q.request_class.skipped_call_weight > 0.0
        made = self._made.get(call.attempt_id, 0)
        word = self._return.request_call(now, call.attempt_id, made, skippable, now + call.timeout_ms / 2.0)
        if word is CallPermission.GRANTED:
            self._count(call.attempt_id)
        elif word is CallPermission.QUEUED:
            self._held[call.attempt_id] = call
            self._wait()
        else:
            self._post(events.CallCompleted(call.attempt_id, Outcome.OVERLOADED, 0.0))
        return word is CallPermission.GRANTED

    def _count(self, uid: str) -> None:
        if len(self._made) >= MADE_MAX:
            self._made = {uid: made for uid, made in self._made.items() if uid in self._state.by_attempt_id}
        self._made[uid] = self._made.get(uid, 0) + 1

    def _turns(self) -> None:
        """Let go what may go now, and turn away what has waited too long."""
        if not self._held:
            return
        go, late = self._return.release_calls(self._loop.clock.now())
        for uid in go:
            call = self._held.pop(uid, None)
            if call is not None:
                self._count(uid)
                self._carry(call)
        for uid in late:
            if self._held.pop(uid, None) is not None:
                self._post(events.CallCompleted(uid, Outcome.OVERLOADED, 0.0))
        self._wait()

    def _wait(self) -> None:
        if self._held and not self._timer:
            now = self._loop.clock.now()
            self._timer = self._loop.call_at(self._return.next_release_at_ms(now), self._turns_due)

    def _turns_due(self) -> None:
        self._timer = None
        self._turns()

    # The snapshot.

    def _steps(self) -> TaskSteps:
        while True:
            yield Wait(until=self._loop.clock.now() + self._settings.snapshot_interval_ms)
            self._keep()
            silent = self._members.is_silent(self._loop.clock.now())
            if silent != self._silent:
                self._silent = silent
                logger.bind(event="comeback.roster").info(
                    "the roster {}", "is silent: what it told last holds" if silent else "answers"
                )

    def _keep(self) -> None:
        """Write down what is worth it: what a cold machine measures is not, nor what no generation dates."""
        controller, view = self._state.controller, self._members.view
        replaced = self._members.status is MemberStatus.REPLACED
        if controller is None or view is None or self._return.cold or replaced:
            return
        known = learned_state.export_learned_state(controller)
        learned = LearnedTimes(
            {name: t.core_time_s for name, t in known.times.items()},
            {name: t.run_time_s for name, t in known.times.items()},
            {name: t.call_time_s for name, t in known.times.items()},
            known.request_rate,
        )
        self._failed(
            storage.write(
                self._settings.folder,
                encode(Snapshot(view.generation, self._members.incarnation, self._loop.clock.now(), learned)),
                sync=False,
            )
        )
