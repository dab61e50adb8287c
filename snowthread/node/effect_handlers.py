"""The table of effect handlers: which part of a node carries out each type of effect."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger

from snowthread.clients.database import DatabaseClient
from snowthread.clients.registry import RegistryClient
from snowthread.clients.runtime import RuntimeClient
from snowthread.core import effects, events
from snowthread.frontends.balancers.server import BalancerServer
from snowthread.net.loop import EventLoop

EffectHandler = Callable[[Any], None]
"""A function that carries out effects of one type."""

EffectHandlers = dict[type[effects.Effect], EffectHandler]
"""Handlers by type of effect.

A dictionary, as a chain of type checks would cost more than most of the thousands of effects per second.
"""


class ClientEffects:
    """Carries out effects on the balancers, the runtime, the database, the registry, timers and the log."""

    def __init__(
        self,
        loop: EventLoop,
        post: Callable[[events.Event], None],
        balancers: BalancerServer,
        runtime: RuntimeClient,
        database: DatabaseClient,
        registry: RegistryClient,
    ) -> None:
        self._loop = loop
        self._post = post
        self._balancers = balancers
        self._runtime = runtime
        self._database = database
        self._registry = registry

    def handlers(self) -> EffectHandlers:
        """Return the handlers by type of effect."""
        return {
            effects.StartRun: self._runtime.send,
            effects.StopRun: self._runtime.send,
            effects.DeliverReply: self._runtime.send,
            effects.SkipCall: self._runtime.send,
            effects.RequestLoadSample: self._runtime.send,
            effects.SendResponse: self._balancers.send_response,
            effects.SetIdleTimeout: self._set_idle_timeout,
            effects.StartCall: self._database.start_call,
            effects.CancelCall: self._cancel_call,
            effects.SetRegistration: self._set_registration,
            effects.ScheduleTimer: self._schedule_timer,
            effects.LogMessage: _log_message,
        }

    def _set_idle_timeout(self, effect: effects.SetIdleTimeout) -> None:
        self._balancers.set_idle_timeout(effect.timeout_ms)

    def _cancel_call(self, effect: effects.CancelCall) -> None:
        self._database.cancel_call(effect.attempt_id)

    def _set_registration(self, effect: effects.SetRegistration) -> None:
        self._registry.set_registration(effect.accepts_work)

    def _schedule_timer(self, effect: effects.ScheduleTimer) -> None:
        self._loop.call_at(effect.at_ms, lambda: self._post(effect.event))


def _log_message(effect: effects.LogMessage) -> None:
    logger.bind(event=effect.event).log("DEBUG" if effect.is_detail else "INFO", "{}", effect.text)
