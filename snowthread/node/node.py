"""Composes a node: its network clients and servers, and the reducer between them."""

from __future__ import annotations

import os
from collections import deque
from typing import TYPE_CHECKING

from loguru import logger

from snowthread.clients.database import DatabaseClient
from snowthread.clients.registry import RegistryClient
from snowthread.clients.runtime import RuntimeClient
from snowthread.config import Config
from snowthread.core import effects, events
from snowthread.core.idempotency import IdempotencyTable
from snowthread.core.state import AdmissionClock, HandoverRole, NodeState
from snowthread.frontends.admin.server import AdminServer
from snowthread.frontends.balancers.server import BalancerServer
from snowthread.hot_restart.channel import HotRestartChannel
from snowthread.net.clock import Clock
from snowthread.net.limits import max_result_bytes, max_unsent_bytes
from snowthread.net.loop import EventLoop
from snowthread.node.descriptors import DescriptorBudget
from snowthread.node.effect_handlers import ClientEffects, EffectHandlers
from snowthread.node.hot_restart_effects import HotRestartEffects
from snowthread.node.operator_calls import OperatorCalls
from snowthread.node.optional_features import build_feature_parts
from snowthread.node.reconfiguration import apply_configuration, idle_timeout_ms
from snowthread.node.shutdown import GracefulShutdown
from snowthread.node.signals import SignalListener
from snowthread.reload import reload

if TYPE_CHECKING:
    from snowthread.operator.features import Features


class Node:
    """One formula node: owns the event loop, the state and all parts of the process."""

    def __init__(self, config: Config, clock: Clock, features: Features | None = None) -> None:
        """Open the node's sockets; OSError if one cannot be opened.

        The order in which the parts are constructed matters: sockets are opened and tasks started in it.
        """
        self.config = config
        self.features = features
        self._clock = clock
        self.loop = EventLoop(clock)
        self.state = _initial_state(config, clock)
        self._pending_events: deque[events.Event] = deque()
        self._dispatching = False
        self._stopped = False
        parts = build_feature_parts(features, self.loop, config, self.state, self.post)
        self.recorder = parts.recorder
        self.recovery = parts.recovery
        self.tenant_identification = parts.tenant_identification
        self._reduce = parts.reduce
        self._descriptors = DescriptorBudget.for_process(config.sockets)
        self.balancers = self._open_balancer_server()
        self.hot_restart = self._open_hot_restart_channel()
        self.runtime = RuntimeClient(
            self.loop, config.runtime, self.post, self.recovery.reconnect_delay_ms if self.recovery else None
        )
        self.database = DatabaseClient(
            self.loop, config.database, self._descriptors.database_calls, self.post
        )
        self.registry = RegistryClient(
            self.loop, config.registry, config.name, reports_at_once=self.state.knows_drain_state
        )
        self._join_fleet()
        self.operator_calls = OperatorCalls(clock, self.state, self.balancers, self.hot_restart, self.post)
        self.admin = self._open_admin_server()
        self._effect_handlers = self._build_effect_handlers()
        self.shutdown = GracefulShutdown(self)
        self._signals = SignalListener(self.loop, self.shutdown.begin, self._reload)
        self._connect_features_to_balancers()

    def _open_balancer_server(self) -> BalancerServer:
        config = self.config
        tenants = self.tenant_identification
        server = BalancerServer(
            self.loop,
            config.listen,
            self._descriptors.balancer_connections,
            max_unsent_bytes(config.memory_mb),
            self.post if tenants is None else tenants.handle,
            config.listen_descriptor,
        )
        server.set_idle_timeout(idle_timeout_ms(config.settings))
        return server

    def _open_hot_restart_channel(self) -> HotRestartChannel | None:
        """Open the channel to the predecessor, if one is serving, or to a later successor of this process.

        Accepting is paused until the channel has found out which process accepts clients.
        """
        if self.config.listen_descriptor is None or self.config.handover_directory is None:
            return None
        self.balancers.pause_accepting()
        return HotRestartChannel(self.loop, self.config.handover_directory, self.post, self._resume_accepting)

    def _join_fleet(self) -> None:
        """Connect the recovery feature, if it is enabled, to the registry."""
        if self.recovery is not None:
            self.registry.join_fleet(self.recovery.report_suffix, self.recovery.handle_registry_answer)
            self.recovery.start(self.registry.report_now, self._carry_out)

    def _open_admin_server(self) -> AdminServer | None:
        if self.config.admin is None:
            return None
        return AdminServer(self.loop, self.config.admin, self.operator_calls.routes())

    def _build_effect_handlers(self) -> EffectHandlers:
        handlers = ClientEffects(
            self.loop, self.post, self.balancers, self.runtime, self.database, self.registry
        ).handlers()
        if self.hot_restart is not None:
            handlers |= HotRestartEffects(
                self.hot_restart, self.balancers, self.database, self._descriptors, self._resume_accepting
            ).handlers()
        return handlers

    def _connect_features_to_balancers(self) -> None:
        if self.tenant_identification is not None:
            self.tenant_identification.start(self.balancers.peer_address)
        if self.recorder is not None:
            self.recorder.set_connection_counter(self.balancers.count)

    def _resume_accepting(self) -> None:
        """Accept clients, unless this process is shutting down or its successor accepts them."""
        if not self.state.shutting_down and not self.state.superseded:
            self.balancers.resume_accepting()

    def post(self, event: events.Event) -> None:
        """Pass an event to the reducer and carry out the effects that it returns.

        An event that is posted while effects are carried out is queued until they all are.
        """
        if self._stopped:
            return
        self._pending_events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._pending_events:
                event = self._pending_events.popleft()
                try:
                    for effect in self._reduce(self.state, event, self._clock.now()):
                        self._effect_handlers[type(effect)](effect)
                except Exception:  # noqa: BLE001  # an error must not end the connection or timer that posted the event
                    logger.exception("error while handling {}, the node goes on", type(event).__name__)
        finally:
            self._dispatching = False

    def _carry_out(self, effect: effects.Effect) -> None:
        """Carry out an effect that the recovery feature has delayed."""
        if not self._stopped:
            self._effect_handlers[type(effect)](effect)

    def apply_configuration(self, config: Config, features: Features | None = None) -> None:
        """Apply a new configuration.

        An OSError means that a socket could not be opened; nothing has changed then.
        """
        apply_configuration(self, config, features)

    def _reload(self) -> None:
        reload(self)

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, and return after the graceful shutdown. SIGHUP reloads the files."""
        self.listen_for_signals()
        logger.info("{} pid {} listens on {}:{}", self.config.name, os.getpid(), *self.config.listen)
        self.loop.run()
        self._signals.stop()

    def listen_for_signals(self) -> None:
        """Start to handle signals on the event loop."""
        self._signals.start()

    def stop(self) -> None:
        """Stop the event loop; events that are posted from now on are dropped."""
        logger.bind(event="node.stopped").info("stopped")
        self._stopped = True
        if self.recorder is not None:
            self.recorder.close("left")
        self.loop.stop()


def _initial_state(config: Config, clock: Clock) -> NodeState:
    """Return the state of a node that has processed no event yet."""
    takes_part_in_hot_restarts = (
        config.listen_descriptor is not None and config.handover_directory is not None
    )
    return NodeState(
        config.settings,
        config.seed,
        config.gauge_names,
        AdmissionClock(clock.now()),
        idempotency_table=IdempotencyTable(max_result_bytes(config.memory_mb)),
        handover_role=HandoverRole.JOINING if takes_part_in_hot_restarts else HandoverRole.STANDALONE,
    )
