"""Filter the requests of other sites' clients before they reach admission control.

The filter wraps the reducer. Requests that it rejects are never seen by admission control, so the blocking
probability stays the same for all clients of a class; requests that it admits are treated like any other.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from loguru import logger

from snowthread.admission.settings import Idempotency, RequestClass, Settings
from snowthread.core import effects, events
from snowthread.core.state import Request, RequestPhase, State
from snowthread.net.loop import EventLoop, TaskSteps, Wait
from snowthread.sites.settings import SiteSettings
from snowthread.sites.shedding import NodeLoad, Verdict, decide, shedding_order

LOG_INTERVAL_MS = 10_000.0
MS_PER_S = 1000.0
RETRY_AFTER_RATIO = 0.5  # of Retry-After to the latency objective of the request's class

REJECT_REASON = "another site's client"  # for the log

Reducer = Callable[[State, events.Event, float], list[effects.Effect]]


class ClientFilter:
    """Applies the shedding policy to requests of other sites' clients."""

    def __init__(self, loop: EventLoop, settings: SiteSettings, next_reducer: Reducer) -> None:
        self._loop = loop
        self._site_ranges = settings.site_ranges
        self._next_reducer = next_reducer
        self._foreign_attempts: dict[str, None] = {}  # attempts of other sites' clients in flight
        self.counts: Counter[str] = Counter()  # by home site and verdict, since the last log line
        loop.spawn(self._log_counts())

    def reduce(self, state: State, message: events.Event, now: float) -> list[effects.Effect]:
        """Pass the event to the next reducer unless it is another site's request that may not run here."""
        if type(message) is not events.RequestReceived:
            return self._next_reducer(state, message, now)
        home_site = self._site_ranges.site_of(message.caller_id)
        if home_site == self._site_ranges.own_site:
            return self._next_reducer(state, message, now)
        request_class = next((c for c in state.settings.classes if c.name == message.class_name), None)
        verdict = Verdict.FAIL if request_class is None else self._judge(state, message, request_class)
        self.counts[f"{home_site} {verdict.value}"] += 1
        if verdict is Verdict.FAIL:
            failed = effects.Failed(message.attempt_id)
            return [effects.SendResponse(message.response_address, failed, state.load_report)]
        if verdict is Verdict.REJECT:
            rejected = effects.Rejected(
                _retry_after_ms(state.settings, request_class),
                attempt_id=message.attempt_id,
                reason=REJECT_REASON,
            )
            return [effects.SendResponse(message.response_address, rejected, state.load_report)]
        self._foreign_attempts[message.attempt_id] = None
        return self._next_reducer(state, message, now)

    def _judge(self, state: State, event: events.RequestReceived, request_class: RequestClass) -> Verdict:
        self._foreign_attempts = {
            attempt_id: None
            for attempt_id in self._foreign_attempts
            if attempt_id in state.requests_by_attempt_id
        }
        order = _shedding_order(state)
        return decide(
            is_own_client=False,
            idempotent=request_class.idempotency is Idempotency.IDEMPOTENT,
            class_position=order[request_class.name],
            class_count=len(state.settings.classes),
            rank=event.rank,
            load=self._node_load(state),
        )

    def _node_load(self, state: State) -> NodeLoad:
        controller = state.controller
        cores = state.settings.cores
        return NodeLoad(
            blocking_probability=controller.blocking_probability if controller is not None else 0.0,
            queued=sum(_is_queued(request) for request in state.requests.values()),
            cores=cores,
            concurrency_limit=controller.concurrency.limit if controller is not None else float(cores),
            foreign_in_flight=len(self._foreign_attempts),
        )

    def _log_counts(self) -> TaskSteps:
        while True:
            yield Wait(until_ms=self._loop.clock.now() + LOG_INTERVAL_MS)
            if self.counts:
                counts = self.counts
                self.counts = Counter()
                logger.bind(event="site.edge", **counts).info("other sites' clients: {}", dict(counts))


def _shedding_order(state: State) -> dict[str, int]:
    """Return each class's position in the order of shedding, from its priority weight and core time."""
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
