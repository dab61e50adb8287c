"""Whether a node's machine is warm, by what the runtime reported, how its runs end and how long they take."""

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

MAX_WARM_RUN_TIME_RATIO = 1.25  # of a run's time to the one restored, on a machine that is warm
WARM_SPEED_RATIO = 1.0  # of a machine, relative to a warm one
MS_PER_S = 1000.0


class WarmupTracker:
    """Feeds slow start with what shows whether the machine is warm, and reports each change.

    ``report_now`` has the node report itself to the registry at once.
    """

    def __init__(self, pacer: RecoveryPacer, started_at_ms: float, report_now: Callable[[], None]) -> None:
        self._pacer = pacer
        self._started_at_ms = started_at_ms
        self._report_now = report_now
        self._reported_cold = False
        self._started_cold: bool | None = None  # the machine, as the runtime reported it; None until then

    def take_runtime(self, event: events.RuntimeConnected) -> None:
        """Take what the runtime reports of its machine; only the first report counts."""
        if self._started_cold is None:
            self._started_cold = event.starts_cold
            self._pacer.slow_start.is_complete = not event.starts_cold
            self._report_now()

    def record_run(self, state: NodeState, event: events.RunCompleted, now_ms: float) -> None:
        """Let slow start learn from a run that cannot do without its calls, while the node is cold."""
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

    def update_speed(self, controller: Controller, restored: LearnedState, at_s: float) -> None:
        """Compare the time of runs with what was ``restored``; ``at_s`` is on the controller's clock."""
        is_quick = learned_state.runs_within_factor(controller, restored, MAX_WARM_RUN_TIME_RATIO)
        if is_quick is None:  # nothing to compare with
            is_quick = learned_state.warmup_speed(controller, at_s) >= WARM_SPEED_RATIO
        self._pacer.slow_start.is_known_cold = self._started_cold is True and not is_quick

    def report_change(self, now_ms: float) -> None:
        """Log and report where the node has become cold or warm."""
        is_cold = self._pacer.cold
        if is_cold == self._reported_cold:
            return
        self._reported_cold = is_cold
        logger.bind(event="recovery.cold" if is_cold else "recovery.warm").info(
            "{} {:.1f} s after the start",
            "recovering" if is_cold else "warm",
            (now_ms - self._started_at_ms) / MS_PER_S,
        )
        self._report_now()
