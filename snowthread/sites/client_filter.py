"""The edge of a site, wired: requests of other sites' clients are judged as they are read (:mod:`order`).

Takes the place of ``reduce``. What it turns away never reaches the module, so the module's b stays the same
for all callers of a class; what it lets in is a request like any other.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from loguru import logger

from snowthread.admission.settings import Idempotency as Repeat
from snowthread.admission.settings import RequestClass
from snowthread.core import effects, events
from snowthread.core.state import Request, RequestPhase, State
from snowthread.net.loop import EventLoop, TaskSteps, Wait
from snowthread.sites.settings import SiteSettings
from snowthread.sites.shedding import NodeLoad, Verdict, decide, shedding_order

LOG_INTERVAL_MS = 10_000.0  # between two words on what came from other sites

Reducer = Callable[[State, events.Event, float], list[effects.Effect]]


class ClientFilter:
    """Judges what comes from other sites' clients."""

    def __init__(self, loop: EventLoop, settings: SiteSettings, inner: Reducer) -> None:
        self._loop, self._site_ranges, self._next_reducer = loop, settings.site_ranges, inner
        self._foreign_attempts: dict[str, None] = {}  # tries of other sites in flight
        self.counts: Counter[str] = Counter()  # by home and verdict, since they were last told
        loop.spawn(self._log_counts())

    def _log_counts(self) -> TaskSteps:
        while True:
            yield Wait(until=self._loop.clock.now() + LOG_INTERVAL_MS)
            if self.counts:
                counts, self.counts = self.counts, Counter()
                logger.bind(event="site.edge", **counts).info("other sites' clients: {}", dict(counts))

    def reduce(self, state: State, message: events.Event, now: float) -> list[effects.Effect]:
        """The step within; requests of other sites' clients pass only as they may."""
        if type(message) is not events.RequestReceived:
            return self._next_reducer(state, message, now)
        home = self._site_ranges.site_of(message.caller_id)
        if home == self._site_ranges.own_site:
            return self._next_reducer(state, message, now)
        kind = next((c for c in state.settings.classes if c.name == message.class_name), None)
        verdict = Verdict.FAIL if kind is None else self._judge(state, message, kind)
        self.counts[f"{home} {verdict.value}"] += 1
        if verdict is Verdict.FAIL:
            return [effects.SendResponse(message.response_address, effects.Failed(), state.load_report)]
        if verdict is Verdict.REJECT:
            settings, after = state.settings, 0.0
            if kind is not None and settings.supports_retry_after:
                after = min(settings.max_retry_after_s, kind.latency_objective_s / 2.0)
            return [
                effects.SendResponse(
                    message.response_address, effects.Rejected(1000.0 * after), state.load_report
                )
            ]
        self._foreign_attempts[message.attempt_id] = None
        return self._next_reducer(state, message, now)

    def _judge(self, state: State, m: events.RequestReceived, kind: RequestClass) -> Verdict:
        self._foreign_attempts = {uid: None for uid in self._foreign_attempts if uid in state.by_attempt_id}
        controller = state.controller
        classes = state.settings.classes
        runs = {
            c.name: controller.estimates.base_core_time_s[n] if controller is not None else 0.0
            for n, c in enumerate(classes)
        }
        order = shedding_order({c.name: c.priority_weight / (runs[c.name] or 1.0) for c in classes})
        held = sum(_held(q) for q in state.requests.values())
        load = NodeLoad(
            controller.blocking_probability if controller is not None else 0.0,
            held,
            state.settings.cores,
            controller.concurrency_limit if controller is not None else float(state.settings.cores),
            len(self._foreign_attempts),
        )
        return decide(
            False, kind.idempotency is Repeat.IDEMPOTENT, order[kind.name], len(classes), m.rank, load
        )


def _held(q: Request) -> bool:
    return q.phase is RequestPhase.QUEUED
