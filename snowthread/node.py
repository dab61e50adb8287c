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

from snowthread.clients.database import DatabaseClient
from snowthread.clients.registry import RegistryClient
from snowthread.clients.runtime import RuntimeClient
from snowthread.config import Config
from snowthread.core import effects, events
from snowthread.core.idempotency import IdempotencyTable
from snowthread.core.reducer import reduce
from snowthread.core.state import AdmissionClock, State
from snowthread.frontends.admin.server import AdminServer
from snowthread.frontends.balancers.server import BalancerServer
from snowthread.hot_restart.channel import HotRestartChannel
from snowthread.net.clock import Clock
from snowthread.net.limits import max_result_bytes, max_unsent_bytes
from snowthread.net.loop import READABLE, EventLoop, TaskSteps, Wait
from snowthread.reload import reload

if TYPE_CHECKING:
    from snowthread.operator.features import Features
    from snowthread.records.recorder import Recorder
    from snowthread.recovery.manager import RecoveryManager
    from snowthread.tenants.identification import TenantIdentification

SPARE = 32  # descriptors kept for the runtime, the roster, the loop and files
FIXED = 16  # those that a process has whatever comes
INDEX_PART = 8  # a part of the descriptors, one in so many, is the index's
DOOR_MS = 500.0  # before the kill: no more connections; what came is answered by then or shortly after
EXIT_MS = 120.0  # before the kill: out, whatever is left
LOOK_MS = 10.0  # between two looks whether all is written
QUIET_MS = 100.0  # so long nothing may be open before it goes: what crosses a farewell takes up to 50 ms
PASSED_ON_MS, PASSED_ON_DEADLINE_MS = 700.0, 3000.0  # with a successor: so long beyond the longest deadline
BLOCKED_SIGNALS = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}  # signals, from the start on
IDLE_FACTOR = 2.0  # times the callers' own idle time after which a connection they forgot is closed


class Node:
    """One formula node."""

    def __init__(self, config: Config, clock: Clock, features: Features | None = None) -> None:
        self.config, self.clock, self.features = config, clock, features
        self.loop = EventLoop(clock)
        self.state = State(
            config.settings,
            config.seed,
            config.gauge_names,
            AdmissionClock(clock.now()),
            idempotency_table=IdempotencyTable(max_result_bytes(config.memory_mb)),
        )
        limit = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        calls = max(4, limit // INDEX_PART)
        self._messages: deque[events.Event] = deque()
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
        self.recovery: RecoveryManager | None = None
        if features is not None and features.comeback is not None:
            from snowthread.recovery.manager import RecoveryManager

            self.recovery = RecoveryManager(
                self.loop, features.comeback, config, self.state, self.post, self._reduce
            )
            self._reduce = self.recovery.reduce
        # Requests of other sites' clients are judged before all else.
        if features is not None and features.site is not None:
            from snowthread.sites.client_filter import ClientFilter

            self._reduce = ClientFilter(self.loop, features.site, self._reduce).reduce
        # Who asks, where tenants are told apart: between the front and the reducer, and nowhere else.
        self.tenant_identification: TenantIdentification | None = None
        front_post = self.post
        if features is not None and features.tenants is not None:
            from snowthread.tenants.identification import TenantIdentification

            self.state.settings = replace(config.settings, tenants=())
            self.tenant_identification = TenantIdentification(
                self.loop, features.tenants, config.seed, self.post
            )
            front_post = self.tenant_identification.handle
        self._places = max(8, limit - calls - SPARE)
        self.balancers = BalancerServer(
            self.loop,
            config.listen,
            self._places,
            max_unsent_bytes(config.memory_mb),
            front_post,
            config.listen_descriptor,
        )
        # Another process of this node may serve already, or come to replace this one.
        self.hot_restart: HotRestartChannel | None = None
        if config.listen_descriptor is not None and config.handover_directory is not None:
            self.balancers.pause_accepting()
            self.hot_restart = HotRestartChannel(
                self.loop, config.handover_directory, self.post, self._open_door
            )
            self._carry_out |= {
                effects.SendToPeerProcess: self._tell_beside,
                effects.SendHandoverComplete: self.hot_restart.send_handover_complete,
                effects.SetAccepting: self._door,
                effects.ReserveDescriptors: self._room,
            }
        if config.settings.idle_timeout_s:
            self.balancers.set_idle_timeout(
                IDLE_FACTOR * AdmissionClock.duration_ms(config.settings.idle_timeout_s)
            )
        keeper = self.recovery
        self.runtime = RuntimeClient(
            self.loop, config.runtime, self.post, keeper.reconnect_delay_ms if keeper else None
        )
        self.database = DatabaseClient(self.loop, config.database, calls, self.post)
        self.registry = RegistryClient(self.loop, config.registry, config.name)
        if keeper is not None:
            self.registry.join_fleet(keeper.report_suffix, keeper.handle_registry_answer)
            keeper.start(self.registry.report_now, self._carry)
        self.admin = (
            None
            if config.admin is None
            else AdminServer(
                self.loop,
                config.admin,
                {
                    "/-/ready": ("GET", self._ready),
                    "/-/drain": ("POST", lambda: self._drain(True)),
                    "/-/resume": ("POST", lambda: self._drain(False)),
                },
            )
        )
        self._carry_out |= dict.fromkeys(
            (
                effects.StartRun,
                effects.StopRun,
                effects.DeliverReply,
                effects.SkipCall,
                effects.RequestLoadSample,
            ),
            self.runtime.send,
        )
        self._carry_out |= {
            effects.SendResponse: self.balancers.send_response,
            effects.StartCall: self.database.start_call,
            effects.ScheduleTimer: self._wake_at,
            effects.CancelCall: lambda effect: self.database.cancel_call(effect.attempt_id),
            effects.LogNote: self._note,
            effects.SetIdleTimeout: lambda effect: self.balancers.set_idle_timeout(effect.timeout_ms),
            effects.SetRegistration: lambda effect: self.registry.set_registration(effect.accepts_work),
        }
        if self.tenant_identification is not None:
            self.tenant_identification.start(self.balancers.peer_address)
        if self.recorder is not None:
            self.recorder.start(self.balancers.count)

    def post(self, message: events.Event) -> None:
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

    def _carry(self, effect: effects.Effect) -> None:
        """Carry out one effect that was held back."""
        if not self._gone:
            self._carry_out[type(effect)](effect)

    def _wake_at(self, effect: effects.ScheduleTimer) -> None:
        self.loop.call_at(effect.at_ms, lambda: self.post(effect.event))

    @staticmethod
    def _note(effect: effects.LogNote) -> None:
        logger.bind(event="decision.note").info("{}", effect.text)

    # Two processes of one node.

    def _open_door(self) -> None:
        """Take clients, unless told to leave."""
        if not self.state.shutting_down and not self.state.superseded:
            self.balancers.resume_accepting()

    def _tell_beside(self, effect: effects.SendToPeerProcess) -> None:
        word = effect.message
        if isinstance(word, events.PeerLoadReported):
            used = self.balancers.count() + self.database.connection_count() + FIXED
            effect = effects.SendToPeerProcess(replace(word, descriptors=used))
        if self.hot_restart is not None:
            self.hot_restart.send(effect)

    def _room(self, effect: effects.ReserveDescriptors) -> None:
        """Descriptors are counted for both together."""
        self.balancers.set_max_connections(self._places - max(0, effect.count - (SPARE - FIXED)))

    def _door(self, effect: effects.SetAccepting) -> None:
        if effect.accepting:
            self._open_door()
        else:
            self.balancers.pause_accepting()
            self.balancers.say_farewell_to_all()

    # What operators call.

    def _ready(self) -> tuple[HTTPStatus, str]:
        """Does this process take clients?"""
        if self.balancers.accepting and (self.hot_restart is None or self.hot_restart.settled):
            return HTTPStatus.OK, "ready"
        return HTTPStatus.SERVICE_UNAVAILABLE, "takes no clients"

    def _drain(self, drain: bool) -> tuple[HTTPStatus, str]:
        """Off the list, or back on it."""
        if self.state.shutting_down and not drain:
            return HTTPStatus.CONFLICT, "this process has been told to leave: it can't go back to work"
        if drain != self.state.drained:
            logger.bind(event="node.drain").info("operators: {}", "drain" if drain else "back to work")
        self.post(events.DrainRequested(drain))
        return HTTPStatus.OK, "draining" if drain else "back to work"

    def apply_configuration(self, config: Config, features: Features | None = None) -> None:
        """Go on with a new configuration: peers where it says, decisions by its settings."""
        self.registry.set_address(
            config.registry
        )  # first: it opens a socket, which can fail; nothing has moved then
        self.runtime.set_address(config.runtime)
        self.database.set_address(config.database)
        idle_s = config.settings.idle_timeout_s
        if (
            idle_s != self.config.settings.idle_timeout_s
        ):  # callers keep idle connections for as long as they say now
            self.balancers.set_idle_timeout(
                IDLE_FACTOR * AdmissionClock.duration_ms(idle_s) if idle_s else math.inf
            )
        told = (config.settings, config.gauge_names)
        if told != (self.config.settings, self.config.gauge_names):
            # Where tenants are told apart the gate says which there are, not the file.
            settings = (
                config.settings
                if self.tenant_identification is None
                else replace(
                    config.settings, tenants=(), over_quota_weight=self.state.settings.over_quota_weight
                )
            )
            self.post(events.SettingsReloaded(settings, config.gauge_names))
            if self.recorder is not None:
                self.recorder.apply_settings(config.settings)
        if self.tenant_identification is not None and features is not None and features.tenants is not None:
            self.tenant_identification.apply_settings(features.tenants)
        self.config, self.features = config, features

    # From start to exit.

    def serve(self) -> None:
        """Serve until told to leave; return when all is answered. SIGHUP has the configuration read anew."""
        self.listen_for_signals()
        logger.info("{} pid {} listens on {}:{}", self.config.name, os.getpid(), *self.config.listen)
        self.loop.run()

    def listen_for_signals(self) -> None:
        """Listen for signals from now on."""
        here, there = socket.socketpair()
        for end in (here, there):
            end.setblocking(False)
        self._ears = here, there  # open as long as the node
        signal.set_wakeup_fd(there.fileno())
        signal.signal(signal.SIGHUP, lambda *_: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._told)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
        self.loop.spawn(self._signals(here))

    def _told(self, *_: object) -> None:
        """A signal to leave has come. Its time is taken here: the loop may be late to read of it, and the
        time of grace and that of the kill count from the notice, not from when it was read."""
        self._told_at = min(self._told_at, self.clock.now())

    def _signals(self, source: socket.socket) -> TaskSteps:
        told = False
        while True:
            yield Wait(source.fileno(), READABLE)
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
                if self.state.superseded:
                    left = min(
                        left,
                        PASSED_ON_MS
                        + min(
                            PASSED_ON_DEADLINE_MS,
                            1000.0 * max(c.deadline_s for c in self.config.settings.classes),
                        ),
                    )
                logger.bind(event="node.leaving").info("told to leave, {} ms left", left)
                self.post(events.ShutdownRequested(left - since, since))
                self.balancers.say_farewell_to_all()
                kill = self.clock.now() + left - since
                steps = (
                    self._leave(kill) if self.hot_restart is None else self._pass_on(kill, self.hot_restart)
                )
                self.loop.spawn(steps)

    def _pass_on(self, kill: float, beside: HotRestartChannel) -> TaskSteps:
        """Where others listen at the same door, nobody is turned away by closing it. Leave what comes to the
        process that takes clients now, and go once all is answered; where there is none, serve until shortly
        before the kill."""
        busy_at = self.clock.now()
        while (now := self.clock.now()) < kill - EXIT_MS:
            if not self.state.superseded or self.balancers.has_pending_work() or self.state.requests:
                busy_at = now
            elif now >= busy_at + QUIET_MS:
                self.balancers.read_pending()  # where the loop was late, the quiet may be its own
                if not self.balancers.busy:
                    break
                busy_at = now
            yield Wait(until=now + LOOK_MS)
        beside.close()
        self._end()

    def _leave(self, kill: float) -> TaskSteps:
        """Serve on until shortly before the kill, then close the door, answer what came and go."""
        yield Wait(until=kill - DOOR_MS)
        self.balancers.stop_accepting()
        busy_at = self.clock.now()
        while (now := self.clock.now()) < kill - EXIT_MS:
            if now >= busy_at + QUIET_MS:
                self.balancers.read_pending()  # where the loop was late, the quiet may be its own
                if not self.balancers.busy:
                    break
            if self.balancers.busy:
                busy_at = now
            yield Wait(until=now + LOOK_MS)
        self._end()

    def _end(self) -> None:
        logger.bind(event="node.left").info("left")
        self._gone = True  # what ends now, ends with the process
        if self.recorder is not None:
            self.recorder.close("left")
        self.loop.stop()
