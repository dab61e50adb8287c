"""Rejects requests that exceed the slow-start limit while the node is cold."""

from __future__ import annotations

from snowthread.admission.recovery_pacer import RecoveryPacer
from snowthread.admission.settings import RequestClass
from snowthread.core import effects, events
from snowthread.core.state import NodeState, RequestPhase

# Retry-After is the class's latency objective divided by this and by the slow-start window.
RETRY_AFTER_DIVISOR = 8.0
MS_PER_S = 1000.0
REJECT_REASON = "the node is warming up after a restart"  # The log shows this as the reason of a rejection.


class ColdRequestAdmission:
    """Decides on requests before the reducer sees them; used only while the node is cold."""

    def __init__(self, pacer: RecoveryPacer) -> None:
        self._pacer = pacer
        self.rejected_requests = 0

    def rejection_for(
        self, state: NodeState, request: events.RequestReceived, now_ms: float
    ) -> effects.SendResponse | None:
        """Return the rejection of a request, or None if the reducer is to decide on it.

        The reducer decides on all requests of unknown classes and of classes whose runs may skip a call
        (``skipped_call_weight`` above 0). Of the other classes, a request whose class makes no calls is
        rejected if it must yield to the warmup; an idempotency key makes no difference. A request whose class
        makes calls is rejected if the slow-start window is full, unless it may be the retry of a keyed
        request.

        Args:
            state: The node state.
            request: The request that was received.
            now_ms: Current wall clock time in ms.
        """
        request_class = next((c for c in state.settings.classes if c.name == request.class_name), None)
        if request_class is None or request_class.skipped_call_weight > 0.0:
            return None
        if not request_class.may_call:
            is_rejected = self._must_yield_to_warmup(state, now_ms)
        elif _may_be_retry(state, request, now_ms):
            return None  # The reducer knows the original attempt of a retry, and how to answer it.
        else:
            is_rejected = not self._pacer.slow_start.admits(_open_requests(state, request_class))
        return self._reject(state, request, request_class) if is_rejected else None

    def _must_yield_to_warmup(self, state: NodeState, now_ms: float) -> bool:
        """Return whether a request that makes no calls is rejected in favor of requests that make calls.

        While every key is indeterminate, keyed requests may not run, and their calls, which have the highest
        priority weight, are not made. Only the calls of the other requests warm up the machine. So for that
        time, requests without calls are rejected once as many runs are in progress as there are cores,
        provided that the call budget is mostly unused.
        """
        keys = state.indeterminate_keys
        if keys is None or now_ms >= keys.all_indeterminate_until_ms:
            return False
        running = sum(request.phase is RequestPhase.RUNNING for request in state.requests.values())
        return running >= state.settings.cores and self._pacer.has_idle_budget(now_ms)

    def _reject(
        self, state: NodeState, request: events.RequestReceived, request_class: RequestClass
    ) -> effects.SendResponse:
        settings = state.settings
        self.rejected_requests += 1
        retry_after_s = 0.0
        if settings.supports_retry_after:
            window = self._pacer.slow_start.window
            retry_after_s = request_class.latency_objective_s / (RETRY_AFTER_DIVISOR * window)
        return effects.SendResponse(
            request.response_address,
            effects.Rejected(
                MS_PER_S * min(retry_after_s, settings.max_retry_after_s),
                attempt_id=request.attempt_id,
                reason=REJECT_REASON,
            ),
            state.load_report,
        )


def _may_be_retry(state: NodeState, request: events.RequestReceived, now_ms: float) -> bool:
    key = request.idempotency_key
    if not key:
        return False
    at_ms = min(request.arrived_at_ms, now_ms)
    if state.idempotency_table.owner_at(key, at_ms) is not None:
        return True
    indeterminate_keys = state.indeterminate_keys
    return indeterminate_keys is not None and indeterminate_keys.may_have_run(key, at_ms)


def _open_requests(state: NodeState, request_class: RequestClass) -> int:
    """Return how many requests of a class are open, not counting followers that wait for another run."""
    return sum(
        request.request_class.name == request_class.name
        and request.phase is not RequestPhase.AWAITING_ORIGINAL
        for request in state.requests.values()
    )
