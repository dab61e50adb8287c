"""Decides whether a node's machine is warm, from the runtime's report and the outcomes and times of runs."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from snowthread.admission import learned_state
from snowthread.admission.controller import Controller
from snowthread.admission.learned_state import LearnedState
from snowthread.admission.recovery_pacer import RecoveryPacer
from snowthread.admission.settings import Outcome
from snowthread.core import events
from snowthread.core.state import NodeState

# A machine is at warm speed if its runs take at most this many times as long as the restored run times.
MAX_WARM_RUN_TIME_RATIO = 1.25
# Speed from which a machine counts as warm, as a ratio to the speed of a warm machine.
WARM_SPEED_RATIO = 1.0
MS_PER_S = 1000.0


class WarmupTracker:
    """Feeds slow start with the signs that the machine is warm, and reports when the node turns cold or warm.

    Args:
        pacer: The pacer whose slow start is updated.
        started_at_ms: Wall clock time of the process start, in ms.
        report_now: Sends a report to the registry at once.
    """

    def __init__(self, pacer: RecoveryPacer, started_at_ms: float, report_now: Callable[[], None]) -> None:
        self._pacer = pacer
        self._started_at_ms = started_at_ms
        self._report_now = report_now
        self._reported_cold = False
        # Whether the runtime reported a cold machine when it first connected; None before that.
        self._machine_started_cold: bool | None = None

    def record_runtime_start(self, event: events.RuntimeConnected) -> None:
        """Record whether the machine started cold; only the runtime's first report counts."""
        if self._machine_started_cold is None:
            self._machine_started_cold = event.starts_cold
            self._pacer.slow_start.is_complete = not event.starts_cold
            self._report_now()

    def record_run(self, state: NodeState, event: events.RunCompleted, now_ms: float) -> None:
        """Update slow start with the outcome of a run, while the node is cold.

        Only runs of classes that make calls and cannot skip them count, and only if they succeeded or were
        cancelled.
        """
        if not self._pacer.cold:
            return
        request = state.requests_by_attempt_id.get(event.attempt_id)
        if request is None or event.outcome not in (Outcome.SUCCESS, Outcome.CANCELLED):
            return
        request_class = request.request_class
        if request_class.skipped_call_weight or not request_class.may_call:
            return
        objective_ms = request_class.latency_objective_s * MS_PER_S
        in_time = now_ms - request.read_at_ms <= objective_ms
        self._pacer.run_ended(now_ms, event.outcome is Outcome.SUCCESS and in_time, objective_ms)

    def update_speed(self, controller: Controller, restored_state: LearnedState, at_s: float) -> None:
        """Compare current run times with the restored ones, to decide whether the machine is at warm speed.

        Args:
            controller: The controller with the current run times.
            restored_state: The state restored from a snapshot.
            at_s: Current time on the controller's clock, in seconds.
        """
        is_at_warm_speed = learned_state.core_times_within_factor(
            controller, restored_state, MAX_WARM_RUN_TIME_RATIO
        )
        # Without restored times to compare with, the speed follows from the machine's age.
        if is_at_warm_speed is None:
            is_at_warm_speed = learned_state.warmup_speed(controller, at_s) >= WARM_SPEED_RATIO
        self._pacer.slow_start.is_known_cold = self._machine_started_cold is True and not is_at_warm_speed

    def report_change(self, now_ms: float) -> None:
        """If the node has become cold or warm, log it and report it to the registry."""
        is_cold = self._pacer.cold
        if is_cold == self._reported_cold:
            return
        self._reported_cold = is_cold
        logger.bind(event="recovery.cold" if is_cold else "recovery.warm").info(
            "the node is {} {:.1f} s after its start",
            "cold and limits runs and calls" if is_cold else "warm",
            (now_ms - self._started_at_ms) / MS_PER_S,
        )
        self._report_now()
