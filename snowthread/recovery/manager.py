"""Recovery of a node after a restart: the parts wired to the event loop and around the reducer.

:class:`RecoveryManager` wraps the reducer: it sees each event before and each effect after it, and decides
nothing itself. :mod:`key_recorder` and :mod:`learned_snapshots` know what an earlier incarnation left,
:mod:`registry_member` the fleet, :mod:`warmup` whether the machine is warm, :mod:`request_admission` and
:mod:`call_pacing` what may start while the node is cold, by the pace of
:mod:`snowthread.admission.recovery_pacer`.

| state  | event                                        | next state                                         |
| ------ | -------------------------------------------- | -------------------------------------------------- |
| cold   | the runtime connects and started warm        | warm                                               |
| cold   | slow start is complete, the machine is quick | warm: snapshots are written                        |
| warm   | the registry reports other, cold nodes       | warm: calls stay within the fleet's budget         |
| warm   | it reports no cold node                      | warm: calls go as they come                        |
"""

from __future__ import annotations

import random
from collections.abc import Callable

from snowthread.admission.backoff import Backoff
from snowthread.admission.call_budget import BURST_S, FLEET_BUDGET_RATIO, CallBudget
from snowthread.admission.recovery_pacer import RecoveryPacer
from snowthread.admission.slow_start import SlowStart
from snowthread.admission.timer_queue import UPDATE_TIMER
from snowthread.config import Config
from snowthread.core import effects, events
from snowthread.core.state import NodeState
from snowthread.net.loop import EventLoop, TaskSteps, Wait
from snowthread.recovery.call_pacing import CallPacing
from snowthread.recovery.key_recorder import KeyRecorder
from snowthread.recovery.learned_snapshots import LearnedSnapshots
from snowthread.recovery.registry_member import RegistryMember
from snowthread.recovery.request_admission import ColdRequestAdmission
from snowthread.recovery.settings import RecoverySettings
from snowthread.recovery.warmup import WarmupTracker

Reduce = Callable[[NodeState, events.Event, float], list[effects.Effect]]

SEED_MASK = 0x5EED  # draws of recovery are other ones than those of the controller
PACED_CALL_FACTOR = 4.0  # times its quota that the controller may have in flight: some are queued here
MAX_WINDOW_RUNS_PER_CORE = 2.0
MIN_WINDOW_RUNS_PER_CORE = 1.0
# Backoff of connects and calls that reach nobody.
BACKOFF_BASE_MS = 20.0
BACKOFF_CAP_MS = 2000.0
MS_PER_S = 1000.0


class RecoveryManager:
    """Stores what helps a node to recover, and paces its return to full service."""

    def __init__(
        self,
        loop: EventLoop,
        settings: RecoverySettings,
        config: Config,
        state: NodeState,
        post: Callable[[events.Event], None],
        inner: Reduce,
    ) -> None:
        """Read what an earlier incarnation left; ``inner`` is the reducer that is wrapped."""
        self._loop = loop
        self._settings = settings
        self._post = post
        self._inner = inner
        self._random = random.Random(config.seed ^ SEED_MASK)
        self._report_now: Callable[[], None] = lambda: None
        self._carry_out: Callable[[effects.Effect], None] = lambda _effect: None

        started_at_ms = loop.clock.now()
        windows_s = [request_class.idempotency_window_s for request_class in config.settings.classes]
        longest_window_ms = max(windows_s, default=0.0) * MS_PER_S
        self._key_recorder = KeyRecorder(settings, state, started_at_ms, longest_window_ms)
        configured_nodes = max(1, config.settings.node_count)
        self._member = RegistryMember(settings, configured_nodes, post, self._report)
        self._snapshots = LearnedSnapshots(settings, state, post)
        self._pacer = _make_pacer(settings, config.settings.cores, self._random)
        self._update_fleet()
        self._warmup = WarmupTracker(self._pacer, started_at_ms, self._report)
        self._admission = ColdRequestAdmission(self._pacer)
        self._calls = CallPacing(loop, state, self._pacer, post, self._carry_out_delayed)

        self._reconnect_backoff = Backoff(BACKOFF_BASE_MS, BACKOFF_CAP_MS)
        self._pace = events.CallPacingChanged()

    def start(self, report_now: Callable[[], None], carry_out: Callable[[effects.Effect], None]) -> None:
        """Start to write snapshots.

        ``report_now`` sends a report to the registry at once, ``carry_out`` carries out an effect.
        """
        self._report_now = report_now
        self._carry_out = carry_out
        self._loop.spawn(self._write_snapshots())

    def _report(self) -> None:
        self._report_now()

    def _carry_out_delayed(self, effect: effects.Effect) -> None:
        self._carry_out(effect)

    @property
    def rejected_requests(self) -> int:
        """Requests rejected because slow start had no place for them."""
        return self._admission.rejected_requests

    # The registry and the runtime.

    def report_suffix(self) -> str:
        """Return what a report to the registry says after the node's state."""
        return self._member.report_suffix(self._pacer.cold)

    def handle_registry_answer(self, data: bytes) -> None:
        """Take an answer of the registry."""
        now_ms = self._loop.clock.now()
        if not self._member.handle_answer(data, now_ms):
            return
        view = self._member.view
        if self._snapshots.assessment is None and view is not None:
            self._snapshots.restore(view.generation, now_ms, self._pacer.cold)
        self._update_fleet()
        self._calls.release()

    def _update_fleet(self) -> None:
        size = self._member.fleet_size()
        self._pacer.update_fleet(size.listed_nodes, size.cold_nodes)

    def reconnect_delay_ms(self) -> float:
        """Return how long to wait before the next attempt to connect to the runtime."""
        return self._reconnect_backoff.next_delay_ms(self._random)

    # Each step of the node.

    def reduce(self, state: NodeState, message: events.Event, now: float) -> list[effects.Effect]:
        """Do the reducer's step; let starts of runs and calls pass only as they may."""
        self._observe(state, message, now)
        if type(message) is events.RequestReceived and self._pacer.cold:
            rejection = self._admission.rejection_of(state, message, now)
            if rejection is not None:
                return [rejection]
        return [effect for effect in self._inner(state, message, now) if self._permits(state, effect, now)]

    def _permits(self, state: NodeState, effect: effects.Effect, now_ms: float) -> bool:
        """Return whether an effect may be carried out now; one that may not is queued or reported."""
        if type(effect) is effects.StartRun:
            if not self._key_recorder.record_start(state, effect, now_ms):
                self._post(events.CommandRejected(effect.attempt_id, True))
                return False
        elif type(effect) is effects.StartCall:
            return self._calls.permits(state, effect, now_ms)
        elif type(effect) is effects.CancelCall:
            self._calls.cancel(effect.attempt_id, now_ms)
        return True

    def _observe(self, state: NodeState, message: events.Event, now: float) -> None:
        match message:
            case events.CallCompleted():
                self._calls.complete_call(message, now)
            case events.RunCompleted():
                self._calls.forget_run(message.attempt_id)
                self._warmup.record_run(state, message, now)
            case events.RuntimeConnected():
                self._reconnect_backoff.reset()
                self._warmup.take_runtime(message)
            case events.TimerExpired(label=label) if label == UPDATE_TIMER:
                self._update(state, now)

    def _update(self, state: NodeState, now_ms: float) -> None:
        """Do what is due once a period of the controller."""
        controller = state.controller
        if controller is None:
            return
        at_s = state.admission_clock.timestamp_s(now_ms)
        self._snapshots.forget_outdated(controller, at_s)
        self._warmup.update_speed(controller, self._snapshots.restored, at_s)
        self._post_pace(state)
        self._warmup.report_change(now_ms)

    def _post_pace(self, state: NodeState) -> None:
        """Notify the controller of how many calls it may have in flight, where that has changed."""
        is_pacing = self._pacer.is_pacing
        pace = events.CallPacingChanged(PACED_CALL_FACTOR * state.settings.call_quota if is_pacing else 0.0)
        if pace != self._pace:
            self._pace = pace
            self._post(pace)

    # Snapshots.

    def _write_snapshots(self) -> TaskSteps:
        while True:
            yield Wait(until_ms=self._loop.clock.now() + self._settings.snapshot_interval_ms)
            self._write_snapshot()
            self._member.log_silence(self._loop.clock.now())

    def _write_snapshot(self) -> None:
        """Write what was learned, unless the machine is cold or no generation of the fleet dates it."""
        view = self._member.view
        if view is None or self._pacer.cold or self._member.is_replaced:
            return
        self._snapshots.write(view, self._member.incarnation, self._loop.clock.now())


def _make_pacer(settings: RecoverySettings, cores: int, draws: random.Random) -> RecoveryPacer:
    return RecoveryPacer(
        SlowStart(MAX_WINDOW_RUNS_PER_CORE * cores, MIN_WINDOW_RUNS_PER_CORE * cores),
        CallBudget(FLEET_BUDGET_RATIO * settings.database_per_s, settings.database_call_ms, burst_s=BURST_S),
        Backoff(BACKOFF_BASE_MS, BACKOFF_CAP_MS),
        settings.database_per_s * settings.database_call_ms / MS_PER_S,
        draws,
    )
