"""Paces calls to the shared database: calls that may not start yet are queued and started later."""

from __future__ import annotations

from collections.abc import Callable

from snowthread.admission.recovery_pacer import CallPermission, RecoveryPacer
from snowthread.admission.settings import Outcome
from snowthread.core import effects, events
from snowthread.core.state import NodeState
from snowthread.net.loop import EventLoop, Timer

# Once the calls of this many runs are counted, the counts of runs that have ended are dropped.
MAX_CALL_COUNTS = 4096
QUEUE_TIMEOUT_RATIO = 0.5  # A call may stay queued for at most this part of its timeout.


class CallPacer:
    """Starts, queues or denies database calls as the :class:`RecoveryPacer` decides.

    Args:
        loop: The event loop; its clock and timers drive the queue.
        state: The node state, which says which attempts are running.
        pacer: Decides when a call may start.
        post: Posts an event to the reducer.
        execute_effect: Executes the effect that starts a call after it has been queued.
    """

    def __init__(
        self,
        loop: EventLoop,
        state: NodeState,
        pacer: RecoveryPacer,
        post: Callable[[events.Event], None],
        execute_effect: Callable[[effects.Effect], None],
    ) -> None:
        self._loop = loop
        self._state = state
        self._pacer = pacer
        self._post = post
        self._execute_effect = execute_effect
        self._queued_calls: dict[str, effects.StartCall] = {}  # Calls that wait to start, by attempt ID.
        # Number of calls that each run has started so far, by attempt ID.
        self._call_counts: dict[str, int] = {}
        self._timer: Timer | None = None

    def try_start(self, state: NodeState, call: effects.StartCall, now_ms: float) -> bool:
        """Return whether a call may start now.

        A call that may not start is queued, or reported to the reducer as denied.
        """
        attempt_id = call.attempt_id
        request = state.requests_by_attempt_id.get(attempt_id)
        skippable = request is not None and request.request_class.skipped_call_weight > 0.0
        permission = self._pacer.request_call(
            now_ms,
            attempt_id,
            self._call_counts.get(attempt_id, 0),
            skippable,
            now_ms + call.timeout_ms * QUEUE_TIMEOUT_RATIO,
        )
        if permission is CallPermission.GRANTED:
            self._count_call(attempt_id)
            return True
        if permission is CallPermission.QUEUED:
            self._queued_calls[attempt_id] = call
            self._schedule_release()
        else:
            self._post_denial(attempt_id)
        return False

    def cancel(self, attempt_id: str, now_ms: float) -> None:
        """Cancel the call of an attempt, whether it is queued or in flight."""
        self._queued_calls.pop(attempt_id, None)
        self._pacer.call_cancelled(now_ms, attempt_id)

    def handle_completion(self, event: events.CallCompleted, now_ms: float) -> None:
        """Report the end of a call to the pacer and start queued calls that may now run."""
        outcome = event.outcome
        was_reached = outcome is not Outcome.UNREACHABLE
        shows_latency = outcome in (Outcome.SUCCESS, Outcome.TIMED_OUT)
        self._pacer.call_ended(now_ms, event.attempt_id, was_reached, shows_latency)
        self.start_due_calls()

    def discard_call_count(self, attempt_id: str) -> None:
        """Drop the count of calls started by a run that has ended."""
        self._call_counts.pop(attempt_id, None)

    def start_due_calls(self) -> None:
        """Start the queued calls that may start now, and deny those whose time in the queue is over."""
        if not self._queued_calls:
            return
        released, expired = self._pacer.release_calls(self._loop.clock.now())
        for attempt_id in released:
            call = self._queued_calls.pop(attempt_id, None)
            if call is not None:
                self._count_call(attempt_id)
                self._execute_effect(call)
        for attempt_id in expired:
            if self._queued_calls.pop(attempt_id, None) is not None:
                self._post_denial(attempt_id)
        self._schedule_release()

    def _post_denial(self, attempt_id: str) -> None:
        self._post(events.CallCompleted(attempt_id, Outcome.OVERLOADED, 0.0))

    def _count_call(self, attempt_id: str) -> None:
        if len(self._call_counts) >= MAX_CALL_COUNTS:
            running = self._state.requests_by_attempt_id
            self._call_counts = {run: made for run, made in self._call_counts.items() if run in running}
        self._call_counts[attempt_id] = self._call_counts.get(attempt_id, 0) + 1

    def _schedule_release(self) -> None:
        if self._queued_calls and not self._timer:
            release_at_ms = self._pacer.next_release_at_ms(self._loop.clock.now())
            self._timer = self._loop.call_at(release_at_ms, self._on_release_timer)

    def _on_release_timer(self) -> None:
        self._timer = None
        self.start_due_calls()
