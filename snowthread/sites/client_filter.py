"""The edge of a site, wired: requests of other sites' clients are judged as they are read (:mod:`order`).

Takes the place of ``reduce``. What it turns away never reaches the module, so the module's b stays the same
for all callers of a class; what it lets in is a request like any other.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from loguru import logger

from snowthread.admission.interface import Effect as Repeat
from snowthread.admission.interface import RequestClass
from snowthread.core import effects as fx
from snowthread.core import events as ev
from snowthread.core.state import Place, Request, State
from snowthread.sites.shedding import Load, Verdict, judge, places
from snowthread.sites.settings import SiteSettings
from snowthread.net.loop import Loop, Steps, Wait

TELL_MS = 10_000.0  # between two words on what came from other sites

Reduce = Callable[[State, ev.Message, float], list[fx.Effect]]


class Edge:
    """Judges what comes from other sites' clients."""

    def __init__(self, loop: Loop, settings: SiteSettings, inner: Reduce) -> None:
        self._loop, self._homes, self._inner = loop, settings.homes, inner
        self._foreign: dict[str, None] = {}  # tries of other sites in flight
        self.counts: Counter[str] = Counter()  # by home and verdict, since they were last told
        loop.spawn(self._tell())

    def _tell(self) -> Steps:
        while True:
            yield Wait(until=self._loop.clock.now() + TELL_MS)
            if self.counts:
                counts, self.counts = self.counts, Counter()
                logger.bind(event="site.edge", **counts).info("other sites' clients: {}", dict(counts))

    def reduce(self, state: State, message: ev.Message, now: float) -> list[fx.Effect]:
        """The step within; requests of other sites' clients pass only as they may."""
        if type(message) is not ev.RequestRead:
            return self._inner(state, message, now)
        home = self._homes.home(message.caller)
        if home == self._homes.me:
            return self._inner(state, message, now)
        kind = next((c for c in state.settings.classes if c.name == message.class_name), None)
        verdict = Verdict.FAIL if kind is None else self._judge(state, message, kind)
        self.counts[f"{home} {verdict.value}"] += 1
        if verdict is Verdict.FAIL:
            return [fx.Answer(message.ticket, fx.Failed(), state.say)]
        if verdict is Verdict.REFUSE:
            settings, after = state.settings, 0.0
            if kind is not None and settings.retry_after:
                after = min(settings.max_retry_after_s, kind.goal_s / 2.0)
            return [fx.Answer(message.ticket, fx.Refused(1000.0 * after), state.say)]
        self._foreign[message.uid] = None
        return self._inner(state, message, now)

    def _judge(self, state: State, m: ev.RequestRead, kind: RequestClass) -> Verdict:
        self._foreign = {uid: None for uid in self._foreign if uid in state.by_uid}
        controller = state.controller
        classes = state.settings.classes
        runs = {c.name: controller.est.base_s[n] if controller is not None else 0.0
                for n, c in enumerate(classes)}
        order = places({c.name: c.worth / (runs[c.name] or 1.0) for c in classes})
        held = sum(_held(q) for q in state.requests.values())
        load = Load(controller.b if controller is not None else 0.0, held, state.settings.cores,
                    controller.limit if controller is not None else float(state.settings.cores),
                    len(self._foreign))
        return judge(False, kind.effect is Repeat.SAFE, order[kind.name], len(classes), m.rank, load)


def _held(q: Request) -> bool:
    return q.place is Place.HELD
