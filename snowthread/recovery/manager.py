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

from snowthread.admission import learned_state as recall
from snowthread.admission.recovery_pacing import BURST_S, FLEET_SHARE, Backoff, ColdBudget, Ramp, Return, Word
from snowthread.admission.controller import TICK
from snowthread.admission.interface import Outcome, RequestClass
from snowthread.core import effects as fx
from snowthread.core import events as ev
from snowthread.core.idempotency import Unknown, key_digest
from snowthread.core.state import Place, State
from snowthread.net.loop import Loop, Steps, Timer, Wait
from snowthread.recovery import storage as disk, key_log as ring
from snowthread.recovery.membership import Members, Standing
from snowthread.recovery.settings import ComebackSettings
from snowthread.recovery.snapshot import Judged, Learned, Snapshot, Verdict, encode, judge

if TYPE_CHECKING:
    from snowthread.config import Config

Reduce = Callable[[State, ev.Message, float], list[fx.Effect]]

CALLS_FACTOR = 4.0  # times its share that the module may have in hand: here some of them wait for their turn
AFTER_PART = 8.0  # of an aim, over the window: how long one who is turned away should keep off
MADE_MAX = 4096  # runs whose calls are counted
WARM_FACTOR = 1.25  # times what was recalled: as quick as that, a machine is warm
BACKOFF_MS = 20.0, 2000.0  # of links and calls that find nobody there


class Keeper:
    """Keeps what helps a node come back, and paces its return."""

    def __init__(self, loop: Loop, settings: ComebackSettings, config: Config, state: State,
                 post: Callable[[ev.Message], None], inner: Reduce) -> None:
        self._loop, self._settings, self._state, self._post, self._inner = loop, settings, state, post, inner
        now = self._born = loop.clock.now()
        draw = self._draw = random.Random(config.seed ^ 0x5EED)
        kinds = config.settings.classes
        window = max((c.window_s for c in kinds), default=0.0) * 1000.0
        found, self._ring, failed = disk.open_ring(settings.folder, now + window)
        self._keys(found, failed, now + window)
        before = disk.incarnation(settings.folder)
        self._members = Members(before + 1 if before else 0, max(1, config.settings.peers))
        if before:
            self._failed(disk.keep_incarnation(settings.folder, before + 1))
        self._snapshot = disk.read(settings.folder)
        self.judged: Judged | None = None
        cores = config.settings.cores
        self._return = Return(
            Ramp(2.0 * cores, float(cores)),
            ColdBudget(FLEET_SHARE * settings.database_per_s, settings.database_call_ms, burst_s=BURST_S),
            Backoff(*BACKOFF_MS), settings.database_per_s * settings.database_call_ms / 1000.0, draw)
        self._return.told(*self._members.fleet())
        self._link_backoff = Backoff(*BACKOFF_MS)
        self._ages = recall.Ages(recall.Recalled({}))
        self._held: dict[str, fx.MakeCall] = {}
        self._made: dict[str, int] = {}
        self._timer: Timer | None = None
        self._pace = ev.Paced()
        self.turned_away = 0
        self._said_cold = False
        self._silent = True  # until it is heard
        self._cold: bool | None = None  # the machine, at its start: told by the runtime
        self._say_again: Callable[[], None] = lambda: None
        self._carry: Callable[[fx.Effect], None] = lambda effect: None

    def start(self, say_again: Callable[[], None], carry: Callable[[fx.Effect], None]) -> None:
        """The peers are there."""
        self._say_again, self._carry = say_again, carry
        self._loop.spawn(self._steps())

    def _keys(self, found: ring.Found, failed: str, blind_until: float) -> None:
        now = self._born
        if failed:
            logger.bind(event="comeback.ring").error("no ring of keys, no keyed request is run: {}", failed)
            blind_until = float("inf")
        elif found.verdict is ring.Verdict.WHOLE:
            blind_until = found.blind_until
        keys = {key: until for key, until in found.keys.items() if until > now}
        if keys or blind_until > now:
            self._state.unknown = Unknown(keys, blind_until)
        blind = f", all for {(blind_until - now) / 1000.0:.1f} s" if blind_until > now else ""
        logger.bind(event="comeback.ring", verdict=found.verdict.value, keys=len(keys)).info(
            "ring of keys: {}{}{}; {} keys unknown{}", found.verdict.value, ": " if found.why else "",
            found.why, len(keys), blind)

    @staticmethod
    def _failed(why: str | None) -> None:
        if why is not None:
            logger.bind(event="comeback.write").warning("state not written: {}", why)

    # The roster.

    def words(self) -> str:
        """What a report says besides."""
        return self._members.words(self._return.cold)

    def heard(self, data: bytes) -> None:
        """An answer of the roster."""
        now, members = self._loop.clock.now(), self._members
        life, standing = members.incarnation, members.standing
        if not members.heard(data, now):
            return
        if members.incarnation != life:
            if members.incarnation > 1:
                logger.bind(event="comeback.life").warning(
                    "the roster knows a later life than {}: goes on as {}", life, members.incarnation)
            self._failed(disk.keep_incarnation(self._settings.folder, members.incarnation))
            self._say_again()
        if members.standing is Standing.REPLACED and standing is not Standing.REPLACED:
            logger.bind(event="comeback.replaced").error("another process has this name now: off the list")
            self._post(ev.DrainAsked(True))
        if self.judged is None:
            self._trust(now)
        self._return.told(*members.fleet())
        self._turns()

    def _trust(self, now: float) -> None:
        """The fleet's generation is known: may the snapshot be trusted?"""
        view = self._members.view
        assert view is not None
        judged = self.judged = judge(self._snapshot, generation=view.generation, now_ms=now,
                                     fresh_for_ms=self._settings.fresh_for_ms)
        self._snapshot = b""
        logger.bind(event="comeback.snapshot", verdict=judged.verdict.value).info(
            "snapshot: {}{}{}", judged.verdict.value, ": " if judged.why else "", judged.why)
        if judged.verdict is not Verdict.FRESH:
            return
        learned = judged.start
        known = recall.Recalled({name: recall.Times(core, learned.wall_s.get(name, 0.0),
                                                    learned.call_s.get(name, 0.0))
                                 for name, core in learned.core_s.items()}, learned.read_per_s)
        self._ages = recall.Ages(known)
        speed = self._state.settings.cold_share if self._return.cold else 1.0
        self._post(ev.Recalled(known, min(1.0, max(0.01, speed))))

    def pause(self) -> float:
        """How long to wait before the next attempt to link to the runtime."""
        return self._link_backoff.failed(self._draw)

    # Each step of the node.

    def reduce(self, state: State, message: ev.Message, now: float) -> list[fx.Effect]:
        """The reducer's step; starts and calls pass only as they may."""
        self._look(state, message, now)
        if type(message) is ev.RequestRead and self._return.cold:
            refusal = self._admit(state, message, now)
            if refusal is not None:
                return [refusal]
        out: list[fx.Effect] = []
        for effect in self._inner(state, message, now):
            if type(effect) is fx.StartRun:
                if not self._written(state, effect, now):
                    self._post(ev.CommandRefused(effect.uid, True))
                    continue
            elif type(effect) is fx.MakeCall:
                if not self._goes(state, effect, now):
                    continue
            elif type(effect) is fx.DropCall:
                self._held.pop(effect.uid, None)
                self._return.dropped(now, effect.uid)
            out.append(effect)
        return out

    def _admit(self, state: State, m: ev.RequestRead, now: float) -> fx.Answer | None:
        """Turn away at once what the ramp has no place for: whose run can't do without its calls."""
        kind = next((c for c in state.settings.classes if c.name == m.class_name), None)
        if kind is None or kind.skip_worth > 0.0:
            return None
        if not kind.may_call:
            # Blind, the worthiest calls may not be made: what warms the machine meanwhile goes first.
            blind = state.unknown is not None and now < state.unknown.blind_until
            running = sum(q.place is Place.RUNNING for q in state.requests.values())
            if not blind or running < state.settings.cores or not self._return.idle(now):
                return None
            return self._turned_away(state, m, kind)
        at = min(m.at, now)
        if m.once and (state.keys.holder(m.once, at) is not None or (
                state.unknown is not None and state.unknown.holds(m.once, at))):
            return None  # a repeat, or one that may be: the reducer knows what to say
        flying = sum(q.kind.name == kind.name and q.place is not Place.ATTACHED
                     for q in state.requests.values())
        return None if self._return.ramp.admits(flying) else self._turned_away(state, m, kind)

    def _turned_away(self, state: State, m: ev.RequestRead, kind: RequestClass) -> fx.Answer:
        settings = state.settings
        self.turned_away += 1
        after = kind.goal_s / (AFTER_PART * self._return.ramp.window) if settings.retry_after else 0.0
        return fx.Answer(m.ticket, fx.Refused(1000.0 * min(after, settings.max_retry_after_s)), state.say)

    def _look(self, state: State, message: ev.Message, now: float) -> None:
        way = self._return
        match message:
            case ev.CallBack():
                way.call_ended(now, message.uid, message.outcome is not Outcome.UNREACHABLE,
                               message.outcome in (Outcome.SUCCESS, Outcome.TIMED_OUT))
                self._turns()
            case ev.RunOver():
                self._made.pop(message.uid, None)
                q = state.by_uid.get(message.uid)
                if q is None or not way.cold or q.kind.skip_worth or not q.kind.may_call:
                    return
                if message.outcome in (Outcome.SUCCESS, Outcome.WITHDRAWN):
                    aim = q.kind.goal_s * 1000.0
                    way.run_ended(now, message.outcome is Outcome.SUCCESS and now - q.read_at <= aim, aim)
            case ev.RuntimeUp():
                self._link_backoff.reset()
                if self._cold is None:
                    self._cold = message.cold
                    way.ramp.full = not message.cold
                    self._say_again()
            case ev.TimerDue(label=label) if label == TICK:
                self._tick(state, now)

    def _tick(self, state: State, now: float) -> None:
        """Once a period: forget what is too old, and tell the module the limits of the way back."""
        controller, way = state.controller, self._return
        if controller is None:
            return
        at = state.time.at(now)
        self._ages.tick(controller, at)
        quick = recall.quick(controller, self._ages.recalled, WARM_FACTOR)
        way.ramp.hold = self._cold is True and not (
            quick if quick is not None else recall.speed(controller, at) >= 1.0)
        pace = ev.Paced(CALLS_FACTOR * state.settings.calls_share if way.paces else 0.0)
        if pace != self._pace:
            self._pace = pace
            self._post(pace)
        if way.cold != self._said_cold:
            self._said_cold = way.cold
            logger.bind(event="comeback.cold" if way.cold else "comeback.warm").info(
                "{} {:.1f} s after the start", "on its way back" if way.cold else "warm",
                (now - self._born) / 1000.0)
            self._say_again()

    def _written(self, state: State, start: fx.StartRun, now: float) -> bool:
        """Is the key of this start, where it has one, where a crash can't take it?"""
        entry = state.keys.of(start.uid)
        if entry is None:
            return True
        if self._ring is not None and self._ring.put(key_digest(entry.once), entry.until, now):
            return True
        logger.bind(event="comeback.ring").warning("a key finds no place in the ring: not run")
        return False

    # Calls.

    def _goes(self, state: State, call: fx.MakeCall, now: float) -> bool:
        q = state.by_uid.get(call.uid)
        skippable = q is not None and q.kind.skip_worth > 0.0
        made = self._made.get(call.uid, 0)
        word = self._return.call(now, call.uid, made, skippable, now + call.budget / 2.0)
        if word is Word.GO:
            self._count(call.uid)
        elif word is Word.WAIT:
            self._held[call.uid] = call
            self._wait()
        else:
            self._post(ev.CallBack(call.uid, Outcome.OVERLOADED, 0.0))
        return word is Word.GO

    def _count(self, uid: str) -> None:
        if len(self._made) >= MADE_MAX:
            self._made = {uid: made for uid, made in self._made.items() if uid in self._state.by_uid}
        self._made[uid] = self._made.get(uid, 0) + 1

    def _turns(self) -> None:
        """Let go what may go now, and turn away what has waited too long."""
        if not self._held:
            return
        go, late = self._return.turns(self._loop.clock.now())
        for uid in go:
            call = self._held.pop(uid, None)
            if call is not None:
                self._count(uid)
                self._carry(call)
        for uid in late:
            if self._held.pop(uid, None) is not None:
                self._post(ev.CallBack(uid, Outcome.OVERLOADED, 0.0))
        self._wait()

    def _wait(self) -> None:
        if self._held and not self._timer:
            now = self._loop.clock.now()
            self._timer = self._loop.call_at(self._return.look_ms(now), self._turns_due)

    def _turns_due(self) -> None:
        self._timer = None
        self._turns()

    # The snapshot.

    def _steps(self) -> Steps:
        while True:
            yield Wait(until=self._loop.clock.now() + self._settings.every_ms)
            self._keep()
            silent = self._members.silent(self._loop.clock.now())
            if silent != self._silent:
                self._silent = silent
                logger.bind(event="comeback.roster").info(
                    "the roster {}", "is silent: what it told last holds" if silent else "answers")

    def _keep(self) -> None:
        """Write down what is worth it: what a cold machine measures is not, nor what no generation dates."""
        controller, view = self._state.controller, self._members.view
        replaced = self._members.standing is Standing.REPLACED
        if controller is None or view is None or self._return.cold or replaced:
            return
        known = recall.learned(controller)
        learned = Learned({name: t.core_s for name, t in known.times.items()},
                          {name: t.wall_s for name, t in known.times.items()},
                          {name: t.call_s for name, t in known.times.items()}, known.lam_heads)
        self._failed(disk.write(self._settings.folder, encode(Snapshot(
            view.generation, self._members.incarnation, self._loop.clock.now(), learned)), sync=False))
