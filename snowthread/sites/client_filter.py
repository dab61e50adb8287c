"""Filters requests of other sites' clients before they reach admission control.

The filter wraps the reducer. Admission control never sees the requests that the filter rejects, so its
blocking probability stays the same for all clients of a class. Requests that the filter admits are treated
like those of the site's own clients.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from loguru import logger

from snowthread.admission.settings import Idempotency, RequestClass, Settings
from snowthread.core import effects, events
from snowthread.core.state import NodeState, Request, RequestPhase
from snowthread.net.loop import Coroutine, EventLoop, Wait
from snowthread.sites.settings import SiteSettings
from snowthread.sites.shedding import NodeLoad, SheddingDecision, decide_request, shedding_order

LOG_INTERVAL_MS = 10_000.0
MS_PER_S = 1000.0
# Retry-After of a rejected request, as a ratio to the latency objective of its class.
RETRY_AFTER_RATIO = 0.5

REJECT_REASON = "the client belongs to another site, and this site has no capacity left for it"

Reducer = Callable[[NodeState, events.Event, float], list[effects.Effect]]


class ClientFilter:
    """Applies the shedding policy to requests of other sites' clients.

    Args:
        loop: The event loop.
        settings: Settings of the ``site`` block.
        next_reducer: The reducer that handles the events which the filter passes on.
    """

    def __init__(self, loop: EventLoop, settings: SiteSettings, next_reducer: Reducer) -> None:
        self._loop = loop
        self._site_balancers = settings.site_balancers
        self._next_reducer = next_reducer
        # IDs of admitted attempts of other sites' clients that are in flight.
        self._other_site_attempts: dict[str, None] = {}
        # Requests by home site and decision, as "SITE DECISION", since the last log line.
        self.decision_counts: Counter[str] = Counter()
        loop.spawn(self._log_counts())

    def reduce(self, state: NodeState, event: events.Event, now_ms: float) -> list[effects.Effect]:
        """Pass an event to the next reducer, or answer another site's request that may not run here.

        Args:
            state: The node state.
            event: The event to handle.
            now_ms: Current wall clock time in ms.

        Returns:
            The effects to execute.
        """
        if type(event) is not events.RequestReceived:
            return self._next_reducer(state, event, now_ms)
        home_site = self._site_balancers.site_of(event.caller_id)
        if home_site == self._site_balancers.own_site:
            return self._next_reducer(state, event, now_ms)
        request_class = next((c for c in state.settings.classes if c.name == event.class_name), None)
        decision = (
            SheddingDecision.FAIL if request_class is None else self._decide(state, event, request_class)
        )
        self.decision_counts[f"{home_site} {decision.value}"] += 1
        if decision is SheddingDecision.FAIL:
            failed = effects.Failed(event.attempt_id)
            return [effects.SendResponse(event.response_address, failed, state.load_report)]
        if decision is SheddingDecision.REJECT:
            rejected = effects.Rejected(
                _retry_after_ms(state.settings, request_class),
                attempt_id=event.attempt_id,
                reason=REJECT_REASON,
            )
            return [effects.SendResponse(event.response_address, rejected, state.load_report)]
        self._other_site_attempts[event.attempt_id] = None
        return self._next_reducer(state, event, now_ms)

    def _decide(
        self, state: NodeState, event: events.RequestReceived, request_class: RequestClass
    ) -> SheddingDecision:
        self._other_site_attempts = {
            attempt_id: None
            for attempt_id in self._other_site_attempts
            if attempt_id in state.requests_by_attempt_id
        }
        order = _shedding_order(state)
        return decide_request(
            is_own_client=False,
            is_idempotent=request_class.idempotency is Idempotency.IDEMPOTENT,
            class_position=order[request_class.name],
            class_count=len(state.settings.classes),
            rank=event.rank,
            load=self._node_load(state),
        )

    def _node_load(self, state: NodeState) -> NodeLoad:
        controller = state.controller
        cores = state.settings.cores
        return NodeLoad(
            blocking_probability=controller.blocking_probability if controller is not None else 0.0,
            queued_requests=sum(_is_queued(request) for request in state.requests.values()),
            cores=cores,
            concurrency_limit=controller.concurrency.limit if controller is not None else float(cores),
            other_site_requests=len(self._other_site_attempts),
        )

    def _log_counts(self) -> Coroutine:
        while True:
            yield Wait(until_ms=self._loop.clock.now() + LOG_INTERVAL_MS)
            if self.decision_counts:
                counts = self.decision_counts
                self.decision_counts = Counter()
                # The fields are named "SITE DECISION": "b own" counts the requests of site b's clients that
                # were passed to admission control like the site's own, "b refuse" those that were rejected.
                logger.bind(event="site.edge", **counts).info(
                    "requests of other sites' clients by home site and decision: {}", dict(counts)
                )


def _shedding_order(state: NodeState) -> dict[str, int]:
    """Return each class's position in the shedding order, by priority weight per second of core time."""
    controller = state.controller
    weight_per_core_s = {}
    for index, request_class in enumerate(state.settings.classes):
        core_time_s = controller.estimates.base_core_time_s[index] if controller is not None else 0.0
        weight_per_core_s[request_class.name] = request_class.priority_weight / (core_time_s or 1.0)
    return shedding_order(weight_per_core_s)


def _retry_after_ms(settings: Settings, request_class: RequestClass | None) -> float:
    if request_class is None or not settings.supports_retry_after:
        return 0.0
    return MS_PER_S * min(settings.max_retry_after_s, RETRY_AFTER_RATIO * request_class.latency_objective_s)


def _is_queued(request: Request) -> bool:
    return request.phase is RequestPhase.QUEUED
