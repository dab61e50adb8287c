"""A node: the peers, the reducer between them, and its way from start to exit."""

from __future__ import annotations

import math
import os
import resource
import signal
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from loguru import logger

from snowthread.config import Config
from snowthread.core import effects as fx
from snowthread.core import events as ev
from snowthread.core.idempotency import KeyTable
from snowthread.core.reducer import reduce
from snowthread.core.state import ModuleTime, State
from snowthread.frontends.balancers.server import Balancers
from snowthread.frontends.admin.server import Admin
from snowthread.net.clock import Clock
from snowthread.net.limits import results_max, unsent_max
from snowthread.net.loop import IN, Loop, Steps, Wait
from snowthread.hot_restart.channel import Beside
from snowthread.clients.database import Index
from snowthread.clients.registry import Roster
from snowthread.clients.runtime import Runtime
from snowthread.reload import reload

if TYPE_CHECKING:
    from snowthread.operator.features import Features
    from snowthread.records.recorder import Recorder
    from snowthread.tenants.identification import Gate
    from snowthread.recovery.manager import Keeper

SPARE = 32  # descriptors kept for the runtime, the roster, the loop and files
FIXED = 16  # those that a process has whatever comes
INDEX_PART = 8  # a part of the descriptors, one in so many, is the index's
DOOR_MS = 500.0  # before the kill: no more connections; what came is answered by then or shortly after
EXIT_MS = 120.0  # before the kill: out, whatever is left
LOOK_MS = 10.0  # between two looks whether all is written
QUIET_MS = 100.0  # so long nothing may be open before it goes: what crosses a farewell takes up to 50 ms
PASSED_ON_MS, PASSED_ON_DEADLINE_MS = 700.0, 3000.0  # with a successor: so long beyond the longest deadline
HELD_BACK = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}  # signals, from the start on
IDLE_FACTOR = 2.0  # times the callers' own idle time after which a connection they forgot is closed


class Node:
    """One formula node."""

    def __init__(self, config: Config, clock: Clock, features: Features | None = None) -> None:
        self.config, self.clock, self.features = config, clock, features
        self.loop = Loop(clock)
        self.state = State(config.settings, config.seed, config.meters, ModuleTime(clock.now()),
                           keys=KeyTable(results_max(config.memory_mb)))
        limit = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        calls = max(4, limit // INDEX_PART)
        self._messages: deque[ev.Message] = deque()
        # By type: a chain of cases for each of thousands of effects a second costs more than most effects.
        self._carry_out: dict[type, Callable[[Any], None]] = {}
        self._posting = self._gone = False
        self._told_at = math.inf  # when the first signal to leave came
        # What takes a message to its effects; with records on, something that looks at each step besides.
        self._reduce = reduce
        self.recorder: Recorder | None = None
        if features is not None and features.records is not None:
            from snowthread.records.recorder import Recorder

            self.recorder = Recorder(self.loop, features.records, config, self.state)
            self._reduce = self.recorder.reduce
        # A node that comes back: what it recalls, whom it waits for, and how it paces what it lets in.
        self.keeper: Keeper | None = None
        if features is not None and features.comeback is not None:
            from snowthread.recovery.manager import Keeper

            self.keeper = Keeper(self.loop, features.comeback, config, self.state, self.post, self._reduce)
            self._reduce = self.keeper.reduce
        # Requests of other sites' clients are judged before all else.
        if features is not None and features.site is not None:
            from snowthread.sites.client_filter import Edge

            self._reduce = Edge(self.loop, features.site, self._reduce).reduce
        # Who asks, where tenants are told apart: between the front and the reducer, and nowhere else.
        self.gate: Gate | None = None
        front_post = self.post
        if features is not None and features.tenants is not None:
            from snowthread.tenants.identification import Gate

            self.state.settings = replace(config.settings, tenants=())
            self.gate = Gate(self.loop, features.tenants, config.seed, self.post)
            front_post = self.gate.read
        self._places = max(8, limit - calls - SPARE)
        self.balancers = Balancers(self.loop, config.listen, self._places,
                                   unsent_max(config.memory_mb), front_post, config.door)
        # Another process of this node may serve already, or come to replace this one.
        self.beside: Beside | None = None
        if config.door is not None and config.folder is not None:
            self.balancers.shut()
            self.beside = Beside(self.loop, config.folder, self.post, self._open_door)
            self._carry_out |= {fx.TellBeside: self._tell_beside, fx.AllTold: self.beside.all_told,
                                fx.Door: self._door, fx.Room: self._room}
        if config.settings.idle_s:
            self.balancers.close_idle_after(IDLE_FACTOR * ModuleTime.ms(config.settings.idle_s))
        keeper = self.keeper
        self.runtime = Runtime(self.loop, config.runtime, self.post, keeper.pause if keeper else None)
        self.index = Index(self.loop, config.index, calls, self.post)
        self.roster = Roster(self.loop, config.roster, config.name)
        if keeper is not None:
            self.roster.join(keeper.words, keeper.heard)
            keeper.start(self.roster.say_again, self._carry)
        self.admin = None if config.admin is None else Admin(self.loop, config.admin, {
            "/-/ready": ("GET", self._ready), "/-/drain": ("POST", lambda: self._drain(True)),
            "/-/resume": ("POST", lambda: self._drain(False))})
        self._carry_out |= dict.fromkeys(
            (fx.StartRun, fx.StopRun, fx.GiveReply, fx.OmitCall, fx.AskGauges), self.runtime.send)
        self._carry_out |= {
            fx.Answer: self.balancers.answer, fx.MakeCall: self.index.call, fx.WakeAt: self._wake_at,
            fx.DropCall: lambda effect: self.index.drop(effect.uid), fx.Note: self._note,
            fx.CloseIdleAfter: lambda effect: self.balancers.close_idle_after(effect.after),
            fx.Announce: lambda effect: self.roster.announce(effect.taking)}
        if self.gate is not None:
            self.gate.start(self.balancers.origin)
        if self.recorder is not None:
            self.recorder.start(self.balancers.count)

    def post(self, message: ev.Message) -> None:
        """Hand a message to the reducer and carry out what it asks for. What an effect brings about at once
        waits its turn behind the effects that stand before it."""
        if self._gone:
            return
        self._messages.append(message)
        if self._posting:
            return
        self._posting = True
        try:
            while self._messages:
                message = self._messages.popleft()
                try:
                    for effect in self._reduce(self.state, message, self.clock.now()):
                        self._carry_out[type(effect)](effect)
                except Exception:  # one message's trouble must not end the link or timer that brought it
                    logger.exception("{} failed", type(message).__name__)
        finally:
            self._posting = False

    def _carry(self, effect: fx.Effect) -> None:
        """Carry out one effect that was held back."""
        if not self._gone:
            self._carry_out[type(effect)](effect)

    def _wake_at(self, effect: fx.WakeAt) -> None:
        self.loop.call_at(effect.at, lambda: self.post(effect.message))

    @staticmethod
    def _note(effect: fx.Note) -> None:
        logger.bind(event="decision.note").info("{}", effect.text)

    # Two processes of one node.

    def _open_door(self) -> None:
        """Take clients, unless told to leave."""
        if not self.state.leaving and not self.state.succeeded:
            self.balancers.reopen()

    def _tell_beside(self, effect: fx.TellBeside) -> None:
        word = effect.word
        if isinstance(word, ev.LoadTold):
            used = self.balancers.count() + self.index.count() + FIXED
            effect = fx.TellBeside(replace(word, descriptors=used))
        if self.beside is not None:
            self.beside.tell(effect)

    def _room(self, effect: fx.Room) -> None:
        """Descriptors are counted for both together."""
        self.balancers.hold_at_most(self._places - max(0, effect.taken - (SPARE - FIXED)))

    def _door(self, effect: fx.Door) -> None:
        if effect.open:
            self._open_door()
        else:
            self.balancers.shut()
            self.balancers.leave()

    # What operators call.

    def _ready(self) -> tuple[HTTPStatus, str]:
        """Does this process take clients?"""
        if self.balancers.accepting and (self.beside is None or self.beside.settled):
            return HTTPStatus.OK, "ready"
        return HTTPStatus.SERVICE_UNAVAILABLE, "takes no clients"

    def _drain(self, drain: bool) -> tuple[HTTPStatus, str]:
        """Off the list, or back on it."""
        if self.state.leaving and not drain:
            return HTTPStatus.CONFLICT, "this process has been told to leave: it can't go back to work"
        if drain != self.state.drained:
            logger.bind(event="node.drain").info("operators: {}", "drain" if drain else "back to work")
        self.post(ev.DrainAsked(drain))
        return HTTPStatus.OK, "draining" if drain else "back to work"

    def move(self, config: Config, features: Features | None = None) -> None:
        """Go on with a new configuration: peers where it says, decisions by its settings."""
        self.roster.move(config.roster)  # first: it opens a socket, which can fail; nothing has moved then
        self.runtime.move(config.runtime)
        self.index.move(config.index)
        idle_s = config.settings.idle_s
        if idle_s != self.config.settings.idle_s:  # callers keep idle connections for as long as they say now
            self.balancers.close_idle_after(IDLE_FACTOR * ModuleTime.ms(idle_s) if idle_s else math.inf)
        told = (config.settings, config.meters)
        if told != (self.config.settings, self.config.meters):
            # Where tenants are told apart the gate says which there are, not the file.
            settings = config.settings if self.gate is None else replace(
                config.settings, tenants=(), over_share_worth=self.state.settings.over_share_worth)
            self.post(ev.SettingsRead(settings, config.meters))
            if self.recorder is not None:
                self.recorder.retune(config.settings)
        if self.gate is not None and features is not None and features.tenants is not None:
            self.gate.move(features.tenants)
        self.config, self.features = config, features

    # From start to exit.

    def serve(self) -> None:
        """Serve until told to leave; return when all is answered. SIGHUP has the configuration read anew."""
        self.hear()
        logger.info("{} pid {} listens on {}:{}", self.config.name, os.getpid(), *self.config.listen)
        self.loop.run()

    def hear(self) -> None:
        """Listen for signals from now on."""
        here, there = socket.socketpair()
        for end in (here, there):
            end.setblocking(False)
        self._ears = here, there  # open as long as the node
        signal.set_wakeup_fd(there.fileno())
        signal.signal(signal.SIGHUP, lambda *_: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._told)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD_BACK)
        self.loop.spawn(self._signals(here))

    def _told(self, *_: object) -> None:
        """A signal to leave has come. Its time is taken here: the loop may be late to read of it, and the
        time of grace and that of the kill count from the notice, not from when it was read."""
        self._told_at = min(self._told_at, self.clock.now())

    def _signals(self, source: socket.socket) -> Steps:
        told = False
        while True:
            yield Wait(source.fileno(), IN)
            came = source.recv(64)
            if signal.SIGHUP in came:  # also on the way out: what still runs must be heard of
                try:
                    reload(self)
                except Exception:  # whatever is wrong with a file, this task must go on listening
                    logger.exception("configuration not taken up")
            if not told and (signal.SIGTERM in came or signal.SIGINT in came):
                told = True
                left = self.config.stop_ms
                since = max(0.0, self.clock.now() - self._told_at)
                if self.state.succeeded:
                    left = min(left, PASSED_ON_MS + min(PASSED_ON_DEADLINE_MS, 1000.0 * max(
                        c.deadline_s for c in self.config.settings.classes)))
                logger.bind(event="node.leaving").info("told to leave, {} ms left", left)
                self.post(ev.LeaveAsked(left - since, since))
                self.balancers.leave()
                kill = self.clock.now() + left - since
                steps = self._leave(kill) if self.beside is None else self._pass_on(kill, self.beside)
                self.loop.spawn(steps)

    def _pass_on(self, kill: float, beside: Beside) -> Steps:
        """Where others listen at the same door, nobody is turned away by closing it. Leave what comes to the
        process that takes clients now, and go once all is answered; where there is none, serve until shortly
        before the kill."""
        busy_at = self.clock.now()
        while (now := self.clock.now()) < kill - EXIT_MS:
            if not self.state.succeeded or self.balancers.owing() or self.state.requests:
                busy_at = now
            elif now >= busy_at + QUIET_MS:
                self.balancers.look()  # where the loop was late, the quiet may be its own
                if not self.balancers.unsent:
                    break
                busy_at = now
            yield Wait(until=now + LOOK_MS)
        beside.leave()
        self._end()

    def _leave(self, kill: float) -> Steps:
        """Serve on until shortly before the kill, then close the door, answer what came and go."""
        yield Wait(until=kill - DOOR_MS)
        self.balancers.stop_accepting()
        busy_at = self.clock.now()
        while (now := self.clock.now()) < kill - EXIT_MS:
            if now >= busy_at + QUIET_MS:
                self.balancers.look()  # where the loop was late, the quiet may be its own
                if not self.balancers.unsent:
                    break
            if self.balancers.unsent:
                busy_at = now
            yield Wait(until=now + LOOK_MS)
        self._end()

    def _end(self) -> None:
        logger.bind(event="node.left").info("left")
        self._gone = True  # what ends now, ends with the process
        if self.recorder is not None:
            self.recorder.close("left")
        self.loop.stop()
