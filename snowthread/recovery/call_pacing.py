"""Paces the calls to the shared database: queues what may not go yet and releases it in its turn."""

from __future__ import annotations

from collections.abc import Callable

from snowthread.admission.recovery_pacer import CallPermission, RecoveryPacer
from snowthread.admission.settings import Outcome
from snowthread.core import effects, events
from snowthread.core.state import NodeState
from snowthread.net.loop import EventLoop, Timer

MAX_COUNTED_RUNS = 4096  # beyond it the calls of runs that have ended are no longer counted
QUEUE_TIMEOUT_SHARE = 0.5  # of a call's timeout, for which it may be queued


class CallPacing:
    """Lets calls start as the pacer permits.

    ``carry_out`` carries out the start of a call that was queued.
    """

    def __init__(
        self,
        loop: EventLoop,
        state: NodeState,
        pacer: RecoveryPacer,
        post: Callable[[events.Event], None],
        carry_out: Callable[[effects.Effect], None],
    ) -> None:
        self._loop = loop
        self._state = state
        self._pacer = pacer
        self._post = post
        self._carry_out = carry_out
        self._queued: dict[str, effects.StartCall] = {}  # by attempt
        self._calls_made: dict[str, int] = {}  # by attempt
        self._timer: Timer | None = None

    def permits(self, state: NodeState, call: effects.StartCall, now_ms: float) -> bool:
        """Return whether a call may start now; otherwise queue it, or report that it was denied."""
        attempt_id = call.attempt_id
        request = state.requests_by_attempt_id.get(attempt_id)
        skippable = request is not None and request.request_class.skipped_call_weight > 0.0
        permission = self._pacer.request_call(
            now_ms,
            attempt_id,
            self._calls_made.get(attempt_id, 0),
            skippable,
            now_ms + call.timeout_ms * QUEUE_TIMEOUT_SHARE,
        )
        if permission is CallPermission.GRANTED:
            self._count(attempt_id)
            return True
        if permission is CallPermission.QUEUED:
            self._queued[attempt_id] = call
            self._schedule_release()
        else:
            self._deny(attempt_id)
        return False

    def cancel(self, attempt_id: str, now_ms: float) -> None:
        """Give up the call of an attempt, queued or in flight."""
        self._queued.pop(attempt_id, None)
        self._pacer.call_cancelled(now_ms, attempt_id)

    def complete_call(self, event: events.CallCompleted, now_ms: float) -> None:
        """Take the end of a call, and release the calls that may go instead."""
        outcome = event.outcome
        was_reached = outcome is not Outcome.UNREACHABLE
        shows_latency = outcome in (Outcome.SUCCESS, Outcome.TIMED_OUT)
        self._pacer.call_ended(now_ms, event.attempt_id, was_reached, shows_latency)
        self.release()

    def forget_run(self, attempt_id: str) -> None:
        """Forget how many calls a run made."""
        self._calls_made.pop(attempt_id, None)

    def release(self) -> None:
        """Start the queued calls that may go now, and deny those that were queued for too long."""
        if not self._queued:
            return
        released, expired = self._pacer.release_calls(self._loop.clock.now())
        for attempt_id in released:
            call = self._queued.pop(attempt_id, None)
            if call is not None:
                self._count(attempt_id)
                self._carry_out(call)
        for attempt_id in expired:
            if self._queued.pop(attempt_id, None) is not None:
                self._deny(attempt_id)
        self._schedule_release()

    def _deny(self, attempt_id: str) -> None:
        self._post(events.CallCompleted(attempt_id, Outcome.OVERLOADED, 0.0))

    def _count(self, attempt_id: str) -> None:
        if len(self._calls_made) >= MAX_COUNTED_RUNS:
            running = self._state.requests_by_attempt_id
            self._calls_made = {run: made for run, made in self._calls_made.items() if run in running}
        self._calls_made[attempt_id] = self._calls_made.get(attempt_id, 0) + 1

    def _schedule_release(self) -> None:
        if self._queued and not self._timer:
            release_at_ms = self._pacer.next_release_at_ms(self._loop.clock.now())
            self._timer = self._loop.call_at(release_at_ms, self._release_due)

    def _release_due(self) -> None:
        self._timer = None
        self.release()
