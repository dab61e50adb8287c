"""Recovery of a node after a restart: connects the recovery modules to the event loop and the reducer.

:class:`RecoveryManager` wraps the reducer. It sees each event before the reducer and each effect after it,
and leaves the decisions to these modules:

- :mod:`key_recorder` and :mod:`learned_snapshots` restore what an earlier incarnation stored.
- :mod:`registry_member` tracks the fleet.
- :mod:`warmup` decides whether the machine is warm.
- :mod:`request_admission` and :mod:`call_pacing` limit requests and calls while the node is cold, at the pace
  set by :mod:`snowthread.admission.recovery_pacer`.

| state | event                                                     | next state                             |
| ----- | --------------------------------------------------------- | -------------------------------------- |
| cold  | the runtime connects and reports that it started warm     | warm                                   |
| cold  | slow start is complete and the machine runs at warm speed | warm: snapshots are written            |
| warm  | the registry reports that other nodes are cold            | warm: calls stay within fleet budget   |
| warm  | the registry reports that no node is cold                 | warm: calls are not paced              |
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
from snowthread.net.loop import Coroutine, EventLoop, Wait
from snowthread.recovery.call_pacing import CallPacer
from snowthread.recovery.key_recorder import KeyRecorder
from snowthread.recovery.learned_snapshots import SnapshotStore
from snowthread.recovery.registry_member import RegistryMember
from snowthread.recovery.request_admission import ColdRequestAdmission
from snowthread.recovery.settings import RecoverySettings
from snowthread.recovery.warmup import WarmupTracker

Reducer = Callable[[NodeState, events.Event, float], list[effects.Effect]]

# XORed with the configured seed, so that recovery draws other random numbers than the controller.
RECOVERY_SEED_MASK = 0x5EED
# While calls are paced, the controller may have this many times its call quota in flight, because some of
# these calls wait in the queue of call_pacing.
PACED_CALL_QUOTA_FACTOR = 4.0
# Limits of the slow-start window, which is the number of runs that a cold node may have in flight, per core.
MAX_SLOW_START_RUNS_PER_CORE = 2.0
MIN_SLOW_START_RUNS_PER_CORE = 1.0
# Backoff after failed connects to the runtime, and after calls that did not reach the database.
BACKOFF_BASE_MS = 20.0
BACKOFF_CAP_MS = 2000.0
MS_PER_S = 1000.0


class RecoveryManager:
    """Restores and stores recovery state, and paces the node's return to full service.

    Args:
        loop: The event loop.
        settings: Settings of the recovery feature.
        config: The node's configuration, with its seed, request classes and fleet size.
        state: The node state.
        post: Posts an event to the reducer.
        next_reducer: The reducer that is wrapped.
    """

    def __init__(
        self,
        loop: EventLoop,
        settings: RecoverySettings,
        config: Config,
        state: NodeState,
        post: Callable[[events.Event], None],
        next_reducer: Reducer,
    ) -> None:
        """Read the state that an earlier incarnation stored."""
        self._loop = loop
        self._settings = settings
        self._post = post
        self._next_reducer = next_reducer
        self._random_generator = random.Random(config.seed ^ RECOVERY_SEED_MASK)
        self._report_now: Callable[[], None] = lambda: None
        self._execute_effect: Callable[[effects.Effect], None] = lambda _effect: None

        started_at_ms = loop.clock.now()
        windows_s = [request_class.idempotency_window_s for request_class in config.settings.classes]
        longest_window_ms = max(windows_s, default=0.0) * MS_PER_S
        self._key_recorder = KeyRecorder(settings, state, started_at_ms, longest_window_ms)
        configured_nodes = max(1, config.settings.node_count)
        self._registry_member = RegistryMember(settings, configured_nodes, post, self._send_report)
        self._snapshots = SnapshotStore(settings, state, post)
        self._pacer = _make_pacer(settings, config.settings.cores, self._random_generator)
        self._update_fleet()
        self._warmup = WarmupTracker(self._pacer, started_at_ms, self._send_report)
        self._cold_admission = ColdRequestAdmission(self._pacer)
        self._call_pacer = CallPacer(loop, state, self._pacer, post, self._execute_delayed_effect)

        self._reconnect_backoff = Backoff(BACKOFF_BASE_MS, BACKOFF_CAP_MS)
        self._current_pacing = events.CallPacingChanged()

    def start(self, report_now: Callable[[], None], execute_effect: Callable[[effects.Effect], None]) -> None:
        """Start writing snapshots periodically.

        Args:
            report_now: Sends a report to the registry at once.
            execute_effect: Executes the effect that starts a call after it has been queued.
        """
        self._report_now = report_now
        self._execute_effect = execute_effect
        self._loop.spawn(self._write_snapshots())

    # The next two methods are passed to the parts that are created above. They look up the callables at each
    # call, because :meth:`start` sets these only after the parts were created.

    def _send_report(self) -> None:
        self._report_now()

    def _execute_delayed_effect(self, effect: effects.Effect) -> None:
        self._execute_effect(effect)

    @property
    def rejected_requests(self) -> int:
        """Number of requests that were rejected because the node was warming up."""
        return self._cold_admission.rejected_requests

    # Registry answers and reconnects to the runtime.

    def report_suffix(self) -> str:
        """Return the end of a report to the registry: the incarnation and ``cold`` or ``warm``."""
        return self._registry_member.report_suffix(self._pacer.cold)

    def handle_registry_answer(self, data: bytes) -> None:
        """Handle a datagram from the registry; the first valid one also restores the snapshot."""
        now_ms = self._loop.clock.now()
        if not self._registry_member.handle_answer(data, now_ms):
            return
        view = self._registry_member.view
        if self._snapshots.assessment is None and view is not None:
            self._snapshots.restore(view.generation, now_ms, self._pacer.cold)
        self._update_fleet()
        self._call_pacer.start_due_calls()

    def _update_fleet(self) -> None:
        size = self._registry_member.fleet_size()
        self._pacer.update_fleet(size.listed_nodes, size.cold_nodes)

    def reconnect_delay_ms(self) -> float:
        """Return how long to wait, in ms, before the next attempt to connect to the runtime."""
        return self._reconnect_backoff.next_delay_ms(self._random_generator)

    # Filtering of events and effects.

    def reduce(self, state: NodeState, event: events.Event, now_ms: float) -> list[effects.Effect]:
        """Reduce an event, and drop the starts of runs and calls that are not permitted yet.

        Args:
            state: The node state.
            event: The event to reduce.
            now_ms: Current wall clock time in ms.

        Returns:
            The effects to execute now. Calls that were queued are started later.
        """
        self._observe(state, event, now_ms)
        if type(event) is events.RequestReceived and self._pacer.cold:
            rejection = self._cold_admission.rejection_for(state, event, now_ms)
            if rejection is not None:
                return [rejection]
        return [
            effect
            for effect in self._next_reducer(state, event, now_ms)
            if self._may_execute(state, effect, now_ms)
        ]

    def _may_execute(self, state: NodeState, effect: effects.Effect, now_ms: float) -> bool:
        """Return whether an effect may be executed now; otherwise queue it or report it as rejected."""
        if type(effect) is effects.StartRun:
            if not self._key_recorder.record_key(state, effect, now_ms):
                self._post(events.CommandRejected(effect.attempt_id, True))
                return False
        elif type(effect) is effects.StartCall:
            return self._call_pacer.try_start(state, effect, now_ms)
        elif type(effect) is effects.CancelCall:
            self._call_pacer.cancel(effect.attempt_id, now_ms)
        return True

    def _observe(self, state: NodeState, event: events.Event, now_ms: float) -> None:
        match event:
            case events.CallCompleted():
                self._call_pacer.handle_completion(event, now_ms)
            case events.RunCompleted():
                self._call_pacer.discard_call_count(event.attempt_id)
                self._warmup.record_run(state, event, now_ms)
            case events.RuntimeConnected():
                self._reconnect_backoff.reset()
                self._warmup.record_runtime_start(event)
            case events.TimerExpired(label=label) if label == UPDATE_TIMER:
                self._update(state, now_ms)

    def _update(self, state: NodeState, now_ms: float) -> None:
        """Do the periodic work of recovery, once per update period of the controller."""
        controller = state.controller
        if controller is None:
            return
        at_s = state.admission_clock.timestamp_s(now_ms)
        self._snapshots.age_estimates(controller, at_s)
        self._warmup.update_speed(controller, self._snapshots.restored_state, at_s)
        self._post_pacing_change(state)
        self._warmup.report_change(now_ms)

    def _post_pacing_change(self, state: NodeState) -> None:
        """Tell the controller how many calls it may have in flight, if that number has changed."""
        is_pacing = self._pacer.is_pacing
        pacing = events.CallPacingChanged(
            PACED_CALL_QUOTA_FACTOR * state.settings.call_quota if is_pacing else 0.0
        )
        if pacing != self._current_pacing:
            self._current_pacing = pacing
            self._post(pacing)

    # Periodic snapshots.

    def _write_snapshots(self) -> Coroutine:
        while True:
            yield Wait(until_ms=self._loop.clock.now() + self._settings.snapshot_interval_ms)
            self._write_snapshot()
            self._registry_member.log_registry_change(self._loop.clock.now())

    def _write_snapshot(self) -> None:
        """Write a snapshot of the learned state.

        Nothing is written while the node is cold, before the registry has reported the fleet's generation,
        or after another process has registered under this node's name.
        """
        view = self._registry_member.view
        if view is None or self._pacer.cold or self._registry_member.is_replaced:
            return
        self._snapshots.write(view, self._registry_member.incarnation, self._loop.clock.now())


def _make_pacer(settings: RecoverySettings, cores: int, random_generator: random.Random) -> RecoveryPacer:
    return RecoveryPacer(
        SlowStart(MAX_SLOW_START_RUNS_PER_CORE * cores, MIN_SLOW_START_RUNS_PER_CORE * cores),
        CallBudget(
            FLEET_BUDGET_RATIO * settings.database_calls_per_s,
            settings.database_call_latency_ms,
            burst_s=BURST_S,
        ),
        Backoff(BACKOFF_BASE_MS, BACKOFF_CAP_MS),
        settings.database_calls_per_s * settings.database_call_latency_ms / MS_PER_S,
        random_generator,
    )
