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

from snowthread.admission import interface as api
from snowthread.admission import learned_state as recall
from snowthread.admission.controller import TICK, Controller
from snowthread.admission.interface import Effect as Repeat
from snowthread.admission.interface import Outcome
from snowthread.core import effects as fx
from snowthread.core import events as ev
from snowthread.core.idempotency import Key
from snowthread.core.reconfiguration import merged, shared
from snowthread.core.state import Place, Request, Side, State

GAUGES_LEAD_MS = 20.0  # gauges are asked for so long before the timer they are for
GAUGES_RECENT_MS = 200.0  # timers nearer to each other than this share gauges
GAUGES_OLD_MS = 1000.0  # older ones are passed on as not measured
LOST_MS = 150.0  # commands given so long before a link broke may be lost with it; the rest came through
LEAST_MS = 1.0  # time left of a request that was read past its due time: none would mean 'not told'
SYNC_TAG = "sync-"
ASK_MS = 400.0  # the longest wait for the older process's word on a key; no more than half of the time left
ASKING_MOST = 256  # keys that may be asked for at once

_METER = {"core_use": "core_use", "on_cores": "on_cores", "heap_share": "memory_share",
          "links": "connections"}


def reduce(state: State, message: ev.Message, now: float) -> list[fx.Effect]:
    """Take one message at this time and return what is to be done, in order."""
    turn = _Turn(state, now)
    turn.take(message)
    return turn.out


def digest(m: ev.RequestRead) -> bytes:
    """What a keyed request asks for, in few bytes."""
    return blake2b(m.body, digest_size=16, key=m.class_name.encode()[:64]).digest()


class _Turn:
    """One message's way through the state."""

    def __init__(self, state: State, now: float) -> None:
        self.s, self.now = state, now
        self.out: list[fx.Effect] = []
        self._events: deque[api.Event] = deque()
        self._busy = False
        self._judged: bool | None = None  # the word on the key of the request that is read just now

    def take(self, message: ev.Message) -> None:
        _ON[type(message)](self, message)

    # The decision module.

    def tell(self, *events: api.Event) -> None:
        """Hand events to the module, in order, and carry out what it wants after each."""
        self._events.extend(events)
        if self._busy:
            return
        self._busy = True
        controller = self.controller()
        while self._events:
            for action in controller.handle(self.s.time.at(self.now), self._events.popleft()):
                _DO[type(action)](self, action)
        self._busy = False

    def controller(self, age: float = 0.0) -> Controller:
        """The controller; the first who asks starts it, as of so long ago."""
        s = self.s
        if s.controller is None:
            s.controller = Controller(s.settings, s.seed)
            for action in s.controller.handle(s.time.at(self.now - age), api.Started()):
                _DO[type(action)](self, action)
            if s.beside is not None:
                m = s.beside
                s.controller.handle(s.time.at(self.now), api.SettingsChanged(
                    shared(s.settings, m.runs, m.memory_kb, m.calls)))
            self.recall()
            if s.shares is not None:  # nothing is held yet, so nothing comes of it
                s.controller.handle(s.time.at(self.now), s.shares)
                s.shares = None
        return s.controller

    # Requests.

    def request_read(self, m: ev.RequestRead) -> None:
        s = self.s
        self.controller()
        s.number += 1
        at = min(m.at, self.now)
        kind = next((c for c in s.settings.classes if c.name == m.class_name), None)
        if kind is not None and s.gone and s.gone.get(kind.name, self.now) < self.now:
            kind = None
        keyed = kind is not None and kind.effect is Repeat.KEYED
        once = m.once if keyed else None
        if kind is None or m.uid in s.by_uid or (keyed and not once):
            # Unknown to the settings, or the same try while its run still goes on: nothing can be promised.
            self.out.append(fx.Answer(m.ticket, fx.Failed(), s.say))
            return
        content = digest(m) if once else b""
        if once and s.keys.contradicts(once, content):
            self.out.append(fx.Answer(m.ticket, fx.Failed(), s.say))
            return
        if once and s.unknown is not None and s.keys.holder(once, at) is None and s.unknown.holds(once, at):
            self.out.append(fx.Answer(m.ticket, fx.Failed(), s.say))
            return
        prior = s.keys.holder(once, at) if once else None
        if once and prior is None and s.side is Side.ASKER and not self._judged:
            self.ask(m, once, at, content, kind)
            return
        q = Request(s.number, m.uid, m.class_name, m.body, m.ticket, once, prior, self.now, kind, m.kb,
                    content)
        s.requests[q.number] = s.by_uid[q.uid] = s.by_ticket[m.ticket] = q
        left = None if m.wait is None else s.time.span(max(LEAST_MS, at + m.wait - self.now))
        self.tell(api.Arrival(
            request=q.number, class_name=q.class_name, held_kb=m.kb, key=m.key, left_s=left,
            rank=m.rank, caller=m.caller, tenant=m.tenant, backlog_s=s.time.span(self.now - at), prior=prior))
        if self._judged and s.side is Side.ASKER and s.keys.of(m.uid) is None:
            self.out.append(fx.TellBeside(ev.KeyFreed(m.uid)))  # turned away: the key is wanted no more

    def caller_left(self, m: ev.CallerLeft) -> None:
        q = self.s.by_ticket.pop(m.ticket, None)
        if q is None:
            self.asks_no_more(m.ticket)
            return
        q.ticket = None
        self.drop_call(q)
        self.tell(api.CallerGone(q.number))
        self.rest(q)

    def health_asked(self, m: ev.HealthAsked) -> None:
        self.out.append(fx.Answer(m.ticket, fx.Healthy(self.s.taking), self.s.say))

    def answer(self, q: Request, answer: fx.Served | fx.Refused | fx.Failed) -> None:
        """The final answer, unless there was one or nobody waits: a late result is no second answer."""
        if q.ticket is not None:
            self.out.append(fx.Answer(q.ticket, answer, self.s.say))
            self.s.by_ticket.pop(q.ticket, None)
            q.ticket = None

    def rest(self, q: Request) -> None:
        """Answered or left: what does not run is over; a run goes on to its end."""
        if q.place is not Place.RUNNING:
            self.over(q, None)
        elif q.link and q.link < self.s.link:
            self.settle(q)

    def over(self, q: Request, result: bytes | None) -> None:
        """The request leaves the node; its repeats get what became of it."""
        s = self.s
        if s.requests.pop(q.number, None) is None:
            return
        if s.by_uid.get(q.uid) is q:
            del s.by_uid[q.uid]
        self.drop_call(q)
        if q.prior is not None:
            first = s.requests.get(q.prior) or s.keys.get(q.prior)
            if first is not None and q.number in first.followers:
                first.followers.remove(q.number)
        self.resolve(q, result)

    def resolve(self, q: Request | Key, result: bytes | None) -> None:
        followers, q.followers = q.followers, []
        for number in followers:
            follower = self.s.requests.get(number)
            if follower is not None:
                self.attached_over(follower, result)

    def attached_over(self, q: Request, result: bytes | None) -> None:
        self.answer(q, fx.Failed() if result is None else fx.Served(result))
        q.place = Place.HELD
        self.over(q, None)
        self.tell(api.RunEnded(q.number, Outcome.FAILURE if result is None else Outcome.SUCCESS,
                               self.s.time.span(self.now - q.read_at)))

    # Runs.

    def command(self, command: fx.Command) -> None:
        """To the runtime, or into the line while there is no link."""
        if self.s.linked:
            q = self.s.by_uid.get(command.uid)
            if q is not None and not isinstance(command, fx.StopRun):
                q.told, q.told_at = command, self.now
                if isinstance(command, fx.StartRun):
                    q.link = self.s.link
            self.out.append(command)
        else:
            self.s.waiting.append(command)

    def run_over(self, m: ev.RunOver) -> None:
        s = self.s
        q = s.by_uid.get(m.uid)
        done = m.result if m.outcome is Outcome.SUCCESS else None
        if m.outcome is not Outcome.VOID:
            s.keys.finish(m.uid, done)
            entry = s.keys.of(m.uid) if s.side is not Side.ALONE else None
            if entry is not None and not entry.away:
                self.out.append(fx.TellBeside(ev.KeyOver(m.uid, done)))
        if q is None or q.place is not Place.RUNNING:
            return
        self.drop_call(q)
        q.wants, q.stopping, q.link = None, False, 0
        if m.outcome is Outcome.WITHDRAWN and q.ticket is not None:
            # Stopped with an answer still owed. A keyed try is stopped for good, so its repeats fail.
            q.place = Place.HELD
            if q.once:
                self.resolve(q, None)
        else:
            self.answer(q, fx.Failed() if done is None else fx.Served(done))
            self.over(q, done)
        self.tell(api.RunEnded(q.number, m.outcome, s.time.span(m.took)))

    def command_refused(self, m: ev.CommandRefused) -> None:
        q = self.s.by_uid.get(m.uid)
        if q is not None and q.place is Place.RUNNING and (m.starting or q.stopping):
            # A start that was not carried out proves that nothing ran, so its key is free again.
            outcome = Outcome.VOID if m.starting else Outcome.FAILURE
            self.run_over(ev.RunOver(m.uid, outcome, 0.0, b""))

    def runtime_up(self, m: ev.RuntimeUp) -> None:
        s = self.s
        if s.controller is None:
            if m.cold and not s.settings.cold:
                s.settings = replace(s.settings, cold=True)
            self.controller(m.age)
        s.link += 1
        s.linked = True
        waiting, s.waiting = s.waiting, []
        for command in waiting:
            if command.uid in s.by_uid:
                self.command(command)
        self.out.append(fx.AskGauges(f"{SYNC_TAG}{s.link}"))

    def runtime_lost(self, m: ev.RuntimeLost) -> None:
        self.s.linked = False
        self.s.lost_at = self.now if m.heard is None else m.heard
        unsent: list[fx.Command] = [c for c in m.unsent if isinstance(c, fx.Command)]
        for command in unsent:
            if isinstance(command, fx.StartRun) and command.uid in self.s.by_uid:
                self.s.by_uid[command.uid].link = 0
        self.s.waiting = unsent + self.s.waiting

    def synced(self) -> None:
        """All notices missed are read, so what was told in good time before the break came through. Of what
        was told last nothing is known. A start that is safe to repeat, or leave to go on without a call, is
        given again: nothing happens where it had come through. A start with effects never is, for if its run
        ended just now it would run twice, nor a reply, which the run might take for that to its next call:
        these are the decisions' to give up."""
        for q in list(self.s.requests.values()):
            if q.place is not Place.RUNNING or not 0 < q.link < self.s.link:
                continue
            if q.ticket is None or q.stopping:
                self.settle(q)
            elif q.doubted:
                pass  # by an earlier break: only a notice can change that
            elif q.wants is not None or q.told is None or q.told_at < self.s.lost_at - LOST_MS:
                q.link = self.s.link
            elif isinstance(q.told, fx.OmitCall) or (
                    isinstance(q.told, fx.StartRun) and q.kind.effect is Repeat.SAFE):
                q.link = self.s.link
                self.command(q.told)
            else:
                at_call = isinstance(q.told, fx.GiveReply)
                q.doubted = True
                if at_call:
                    q.wants = q.asked
                self.tell(api.RunDoubted(q.number, at_call))

    def settle(self, q: Request) -> None:
        """Stop a run whose fate the break left open and take it for over: nobody waits for it, and no notice
        may ever come. Without this it would count as running for good."""
        self.command(fx.StopRun(q.uid))
        self.run_over(ev.RunOver(q.uid, Outcome.WITHDRAWN, 0.0, b""))

    # Calls.

    def call_wanted(self, m: ev.CallWanted) -> None:
        q = self.s.by_uid.get(m.uid)
        if q is not None and q.place is Place.RUNNING:
            if q.doubted:
                q.doubted, q.link = False, self.s.link
            q.wants, q.call = m.pos, m.body
            self.tell(api.AtCall(q.number))

    def call_back(self, m: ev.CallBack) -> None:
        q = self.s.by_uid.get(m.uid)
        if q is None or not q.calling:
            return
        q.calling = False
        if m.outcome is Outcome.SUCCESS:
            q.asked, q.wants = q.wants or 0, None
            self.command(fx.GiveReply(q.uid, m.reply))
        self.tell(api.CallEnded(q.number, m.outcome, self.s.time.span(m.took)))

    def drop_call(self, q: Request) -> None:
        if q.calling:
            q.calling = False
            self.out.append(fx.DropCall(q.uid))

    # Gauges and timers.

    def gauges_read(self, m: ev.GaugesRead) -> None:
        s = self.s
        if not (s.gauges_old and m.tag.isdecimal() and len(m.tag) < 19 and int(m.tag) <= s.gauges_old):
            s.gauges, s.gauges_at = m.values, self.now
        if s.linked and m.tag == f"{SYNC_TAG}{s.link}":
            self.synced()

    def gauges_due(self, _: ev.GaugesDue) -> None:
        if self.s.linked:
            self.s.asked += 1
            self.out.append(fx.AskGauges(str(self.s.asked)))

    def timer_due(self, m: ev.TimerDue) -> None:
        s = self.s
        found: dict[str, float] = {}
        if self.now - s.gauges_at <= GAUGES_OLD_MS:
            found = {_METER[name]: value for name, value in zip(s.meters, s.gauges, strict=False)
                     if name in _METER}
        self.tell(api.TimerFired(m.label, **found))
        if s.side is not Side.ALONE and m.label == TICK:
            self.tell_load()

    def leave_asked(self, m: ev.LeaveAsked) -> None:
        if not self.s.leaving:
            self.s.leaving = True
            self.out.append(fx.Announce(self.s.taking))
            self.tell(api.LeaveNotice(self.s.time.span(m.left), self.s.time.span(m.since)))

    def drain_asked(self, m: ev.DrainAsked) -> None:
        """Only the word on health changes: balancers learn late, and what still comes is owed its answer."""
        if m.drain != self.s.drained and self.s.side is not Side.ALONE:
            self.out.append(fx.TellBeside(m))
        self.s.drained = m.drain
        self.out.append(fx.Announce(self.s.taking))

    def settings_read(self, m: ev.SettingsRead) -> None:
        """Other settings, from now on: what is open keeps its class as it was."""
        s = self.s
        old, s.settings = s.settings, merged(s.settings, m.settings, s.gone, self.now)
        if m.meters != s.meters:  # what was read, or asked for, stands in the order of before
            s.meters, s.gauges_at, s.gauges_old = m.meters, -math.inf, s.asked
        self.longer_windows(old.classes)
        self.tell_limits()
        theirs = {t.name: t for t in m.settings.tenants}
        if old.tenants != m.settings.tenants or old.over_share_worth != m.settings.over_share_worth:
            self.shares_changed(ev.SharesChanged(
                m.settings.tenants, frozenset(t.name for t in old.tenants if t.name not in theirs),
                m.settings.over_share_worth))

    def longer_windows(self, old: tuple[api.RequestClass, ...]) -> None:
        """A key is kept for its class's window as it is now, where that is the longer one: repeats come
        within what callers were told last."""
        before = {c.name: c.window_s for c in old}
        for kind in self.s.settings.classes:
            more = self.s.time.ms(kind.window_s - before.get(kind.name, kind.window_s))
            if more > 0.0:
                self.s.keys.lengthen(kind.name, more)

    # The process beside this one, while one replaces the other: what it holds is known here, and no key is
    # taken without the older one's word, so a request that comes to both runs in one of them at most.

    def ask(self, m: ev.RequestRead, once: str, at: float, content: bytes, kind: api.RequestClass) -> None:
        """Hold a request before anybody knows of it until the older process has judged its key."""
        s = self.s
        if self._judged is False:  # another's, and yet unknown here: nothing can be promised
            self.out.append(fx.Answer(m.ticket, fx.Failed(), s.say))
        elif once not in s.asking and len(s.asking) >= ASKING_MOST:
            self.out.append(fx.Answer(m.ticket, fx.Refused(), s.say))
        else:
            if once not in s.asking:
                s.asking[once] = m.uid, []
                self.out.append(fx.TellBeside(ev.KeyAsked(once, m.uid, at, content)))
            s.asking[once][1].append(m)
            due = at + (s.time.ms(kind.deadline_s) if m.wait is None else m.wait)
            wait = min(ASK_MS, max(0.0, due - self.now) / 2.0)
            self.out.append(fx.WakeAt(self.now + wait, ev.KeyLate(m.ticket)))

    def asks_no_more(self, ticket: ev.Ticket) -> bool:
        """Take a request back that waits for the word on its key; False where none does."""
        for _, waiting in self.s.asking.values():
            for m in waiting:
                if m.ticket == ticket:
                    waiting.remove(m)
                    return True
        return False

    def key_late(self, m: ev.KeyLate) -> None:
        if self.asks_no_more(m.ticket):
            self.out.append(fx.Answer(m.ticket, fx.Refused(), self.s.say))

    def key_asked(self, m: ev.KeyAsked) -> None:
        """Judge: a key is the newer process's from now on, unless it is somebody's. How long it holds it, it
        says once it takes the request; should it never, no run of it may be far off."""
        s = self.s
        granted = s.keys.holder(m.once, m.at) is None and not s.keys.contradicts(m.once, m.content)
        if granted:
            s.number += 1
            window = max((c.window_s for c in s.settings.classes), default=0.0)
            until = self.now + s.time.ms(window)
            s.keys.keep(m.once, s.number, m.uid, until, self.now, m.content, away=True)
        self.out.append(fx.TellBeside(ev.KeyJudged(m.once, m.uid, granted)))

    def key_judged(self, m: ev.KeyJudged) -> None:
        uid, waiting = self.s.asking.pop(m.once, ("", []))
        mine = m.granted and bool(waiting) and waiting[0].uid == uid
        if m.granted and not mine:  # who asked has left meanwhile; others ask anew
            self.out.append(fx.TellBeside(ev.KeyFreed(m.uid)))
        for n, request in enumerate(waiting):
            self._judged = (n == 0 or None) if mine else None if m.granted else False
            self.request_read(request)
        self._judged = None

    def key_told(self, m: ev.KeyTold) -> None:
        s = self.s
        entry = s.keys.of(m.uid)
        if entry is not None and not entry.away:
            return
        s.number += 1
        number = s.number if entry is None else entry.number
        s.keys.keep(m.once, number, m.uid, m.until, self.now, m.content, away=True)
        if m.over:
            self.key_over(ev.KeyOver(m.uid, m.result))

    def key_over(self, m: ev.KeyOver) -> None:
        entry = self.s.keys.of(m.uid)
        if entry is not None and entry.away:
            self.s.keys.finish(m.uid, m.result)
            self.resolve(entry, m.result)

    def key_freed(self, m: ev.KeyFreed) -> None:
        entry = self.s.keys.of(m.uid)
        if entry is not None and entry.away:
            self.s.keys.forget(entry.number)
            self.resolve(entry, None)

    def beside_up(self, m: ev.BesideUp) -> None:
        """Judge: tell all that is known, with the word that it was all."""
        s = self.s
        s.side = Side.JUDGE if m.judge else Side.ASKER
        if m.judge:
            self.out += [fx.TellBeside(entry) for entry in s.keys.all()]
            self.out.append(fx.TellBeside(ev.DrainAsked(s.drained)))
            self.tell_load()
            self.out.append(fx.AllTold())
            return
        # A second time where the link broke: what was said over it may be lost, either way.
        self.out += [fx.TellBeside(entry) for entry in s.keys.all() if not entry.away]
        asking, s.asking = s.asking, {}
        for _uid, waiting in asking.values():
            for request in waiting:
                self.request_read(request)

    def tell_load(self) -> None:
        """What this process has of what both share."""
        s = self.s
        runs = [q for q in s.requests.values() if q.place is Place.RUNNING]
        held = sum(q.kb for q in s.requests.values() if q.place is not Place.RUNNING)
        self.out.append(fx.TellBeside(ev.LoadTold(
            len(runs), float(held + s.settings.run_factor * sum(q.kb for q in runs)),
            sum(q.calling for q in runs))))

    def load_told(self, m: ev.LoadTold) -> None:
        self.s.beside = m
        self.tell_limits()
        self.out.append(fx.Room(m.descriptors))

    def tell_limits(self) -> None:
        """The settings to the module, less what the other process has of them, and paced on the way back."""
        s, m = self.s, self.s.beside
        if s.controller is not None:
            settings = s.settings if m is None else shared(s.settings, m.runs, m.memory_kb, m.calls)
            if s.pace is not None:
                settings = replace(settings, calls_share=s.pace.calls)
            self.tell(api.SettingsChanged(settings))

    def pace(self, m: ev.Paced) -> None:
        """Another limit on the way back; the settings' own where it is over."""
        self.s.pace = m if m.calls else None
        self.tell_limits()

    def recall(self, m: ev.Recalled | None = None) -> None:
        """Begin with what an earlier life learned; it waits for the controller where there is none yet."""
        s = self.s
        s.recalled = m or s.recalled
        if s.controller is not None and s.recalled is not None:
            recall.restore(s.controller, s.recalled.learned, s.recalled.speed)
            s.recalled = None

    def beside_takes(self, _: ev.BesideTakes) -> None:
        """The newer process speaks for the node: what this one would say of its load says nothing now."""
        self.s.succeeded, self.s.say = True, None
        self.out += [fx.Announce(self.s.taking), fx.Door(False)]

    def beside_gone(self, _: ev.BesideGone) -> None:
        """Alone again. What went on there will not be heard of: repeats of it fail, nothing runs again."""
        s = self.s
        s.side, s.succeeded, s.beside = Side.ALONE, False, None
        self.tell_limits()
        for entry in s.keys.all():
            if entry.away and not entry.over:
                entry.over = True
                self.resolve(entry, None)
        asking, s.asking = s.asking, {}
        for _uid, waiting in asking.values():
            for request in waiting:
                self.request_read(request)
        self.out += [fx.Announce(s.taking), fx.Door(True), fx.Room(0)]

    def shares_changed(self, m: ev.SharesChanged) -> None:
        """Other tenants. Before there is a controller they wait: it starts with the runtime, cold or not."""
        old = self.s.shares
        if self.s.controller is not None:
            self.tell(api.TenantsChanged(m.changed, m.removed, m.over_share_worth))
            return
        kept = {t.name: t for t in (old.changed if old else ()) if t.name not in m.removed}
        kept.update((t.name, t) for t in m.changed)
        worth = m.over_share_worth if old is None or m.over_share_worth is not None else old.over_share_worth
        self.s.shares = api.TenantsChanged(tuple(kept.values()), frozenset(), worth)

    # The module's actions.

    def do_run(self, a: api.Run) -> None:
        q = self.s.requests.get(a.request)
        if q is not None and q.place is Place.HELD:
            q.place = Place.RUNNING
            self.command(fx.StartRun(q.uid, q.class_name, q.body))

    def do_final(self, a: api.Refuse | api.Fail) -> None:
        q = self.s.requests.get(a.request)
        if q is None:
            return
        if isinstance(a, api.Refuse):
            self.answer(q, fx.Refused(self.s.time.ms(a.hold_off_s), a.last))
        else:
            self.answer(q, fx.Failed())
        self.drop_call(q)
        self.rest(q)

    def do_preempt(self, a: api.Preempt) -> None:
        q = self.s.requests.get(a.request)
        if q is None or q.place is not Place.RUNNING or q.stopping:
            return
        q.stopping = True
        if not q.link:  # its start still waits for a link: it never ran
            self.s.waiting = [c for c in self.s.waiting if c.uid != q.uid]
            self.run_over(ev.RunOver(q.uid, Outcome.WITHDRAWN, 0.0, b""))
        else:
            self.command(fx.StopRun(q.uid))

    def do_attach(self, a: api.Attach) -> None:
        q = self.s.requests.get(a.request)
        if q is None or q.prior is None:
            return
        first = self.s.requests.get(q.prior)
        entry = self.s.keys.get(q.prior)
        if entry is not None and entry.over:
            self.attached_over(q, entry.result)
        elif entry is not None and entry.away:
            q.place = Place.ATTACHED
            entry.followers.append(q.number)
        elif first is None:
            self.attached_over(q, None)
        else:
            q.place = Place.ATTACHED
            first.followers.append(q.number)

    def do_keep(self, a: api.KeepKey) -> None:
        q = self.s.requests.get(a.request)
        if q is not None and q.once:
            until = self.now + self.s.time.ms(a.lifetime_s)
            entry = self.s.keys.keep(q.once, q.number, q.uid, until, self.now, q.content,
                                     class_name=q.class_name)
            if self.s.side is not Side.ALONE:
                self.out.append(fx.TellBeside(entry))

    def do_forget(self, a: api.ForgetKey) -> None:
        entry = self.s.keys.get(a.request)
        self.s.keys.forget(a.request)
        if entry is not None and self.s.side is not Side.ALONE:
            self.out.append(fx.TellBeside(ev.KeyFreed(entry.uid)))

    def do_call(self, a: api.Call) -> None:
        q = self.s.requests.get(a.request)
        if q is not None and q.wants is not None and not q.calling:
            q.calling = True
            self.out.append(fx.MakeCall(q.uid, q.call, self.s.time.ms(a.give_up_s or q.kind.deadline_s),
                                        q.kind.effect is Repeat.SAFE))

    def do_skip(self, a: api.SkipCall) -> None:
        q = self.s.requests.get(a.request)
        if q is not None and q.wants is not None:
            self.command(fx.OmitCall(q.uid, q.wants))
            q.wants = None

    def do_timer(self, a: api.SetTimer) -> None:
        s = self.s
        at = self.now + s.time.ms(a.after_s)
        if at - s.gauges_for >= GAUGES_RECENT_MS:
            s.gauges_for = at
            self.out.append(fx.WakeAt(max(self.now, at - GAUGES_LEAD_MS), ev.GaugesDue()))
        self.out.append(fx.WakeAt(at, ev.TimerDue(a.label)))

    def do_health(self, a: api.SetHealth) -> None:
        if not self.s.leaving:  # from then on the module speaks of this process, not of the node
            self.s.healthy = a.good
        self.out.append(fx.Announce(self.s.taking))

    def do_publish(self, a: api.Publish) -> None:
        if not self.s.succeeded:
            self.s.say = a.value

    def do_idle(self, a: api.CloseIdle) -> None:
        self.out.append(fx.CloseIdleAfter(self.s.time.ms(a.after_s or self.s.settings.idle_s)))

    def do_note(self, a: api.Report) -> None:
        self.out.append(fx.Note(a.text))


_ON: dict[type, Callable[[_Turn, Any], None]] = {
    ev.RequestRead: _Turn.request_read, ev.CallerLeft: _Turn.caller_left, ev.HealthAsked: _Turn.health_asked,
    ev.RuntimeUp: _Turn.runtime_up, ev.RuntimeLost: _Turn.runtime_lost, ev.RunOver: _Turn.run_over,
    ev.CommandRefused: _Turn.command_refused, ev.CallWanted: _Turn.call_wanted,
    ev.GaugesRead: _Turn.gauges_read, ev.CallBack: _Turn.call_back, ev.TimerDue: _Turn.timer_due,
    ev.GaugesDue: _Turn.gauges_due, ev.LeaveAsked: _Turn.leave_asked,
    ev.BesideUp: _Turn.beside_up, ev.LoadTold: _Turn.load_told, ev.BesideTakes: _Turn.beside_takes,
    ev.BesideGone: _Turn.beside_gone,
    ev.KeyTold: _Turn.key_told, ev.KeyOver: _Turn.key_over, ev.KeyFreed: _Turn.key_freed,
    ev.KeyAsked: _Turn.key_asked, ev.KeyJudged: _Turn.key_judged, ev.KeyLate: _Turn.key_late,
    ev.Paced: _Turn.pace, ev.Recalled: _Turn.recall,
    ev.SettingsRead: _Turn.settings_read, ev.DrainAsked: _Turn.drain_asked,
    ev.SharesChanged: _Turn.shares_changed}

_DO: dict[type, Callable[[_Turn, Any], None]] = {
    api.Run: _Turn.do_run, api.Refuse: _Turn.do_final, api.Fail: _Turn.do_final,
    api.Preempt: _Turn.do_preempt, api.Attach: _Turn.do_attach, api.KeepKey: _Turn.do_keep,
    api.ForgetKey: _Turn.do_forget, api.Call: _Turn.do_call, api.SkipCall: _Turn.do_skip,
    api.SetTimer: _Turn.do_timer, api.SetHealth: _Turn.do_health, api.Publish: _Turn.do_publish,
    api.CloseIdle: _Turn.do_idle, api.Report: _Turn.do_note}
