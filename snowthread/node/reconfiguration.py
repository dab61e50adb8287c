"""Applies a new configuration while the node serves: addresses, idle timeout, settings and tenants."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from snowthread.admission.settings import Settings
from snowthread.clients.database import DatabaseClient
from snowthread.clients.registry import RegistryClient
from snowthread.clients.runtime import RuntimeClient
from snowthread.config import Config
from snowthread.core import events
from snowthread.core.state import AdmissionClock, NodeState
from snowthread.frontends.balancers.server import BalancerServer

if TYPE_CHECKING:
    from snowthread.operator.features import Features
    from snowthread.records.recorder import Recorder
    from snowthread.tenants.identification import TenantIdentification

IDLE_TIMEOUT_RATIO = 2.0
"""The node's idle timeout as a multiple of the balancers': it closes connections that they abandoned."""


class ReconfigurableNode(Protocol):
    """The parts of a node that a new configuration changes."""

    config: Config
    features: Features | None
    state: NodeState
    balancers: BalancerServer
    runtime: RuntimeClient
    database: DatabaseClient
    registry: RegistryClient
    recorder: Recorder | None
    tenant_identification: TenantIdentification | None

    def post(self, event: events.Event) -> None:
        """Pass an event to the reducer and carry out its effects."""


def idle_timeout_ms(settings: Settings) -> float:
    """Return how long a balancer's connection may be idle; infinity if the settings have no idle timeout."""
    if not settings.idle_timeout_s:
        return math.inf
    return IDLE_TIMEOUT_RATIO * AdmissionClock.duration_ms(settings.idle_timeout_s)


def apply_configuration(node: ReconfigurableNode, config: Config, features: Features | None) -> None:
    """Apply a new configuration to a node.

    An OSError means that a socket could not be opened; nothing has changed then.
    """
    _apply_addresses(node, config)
    _apply_idle_timeout(node, config)
    _apply_settings(node, config)
    _apply_tenants(node, features)
    node.config = config
    node.features = features


def _apply_addresses(node: ReconfigurableNode, config: Config) -> None:
    node.registry.set_address(
        config.registry
    )  # the registry first, as only it opens a socket, which can fail
    node.runtime.set_address(config.runtime)
    node.database.set_address(config.database)


def _apply_idle_timeout(node: ReconfigurableNode, config: Config) -> None:
    """Set the new idle timeout, if it differs; the admission controller may shorten it later."""
    if config.settings.idle_timeout_s != node.config.settings.idle_timeout_s:
        node.balancers.set_idle_timeout(idle_timeout_ms(config.settings))


def _apply_settings(node: ReconfigurableNode, config: Config) -> None:
    new = config.settings
    if (new, config.gauge_names) == (node.config.settings, node.config.gauge_names):
        return
    settings = new
    if node.tenant_identification is not None:  # the tenants come from the directory, not from the file
        settings = replace(new, tenants=(), over_quota_weight=node.state.settings.over_quota_weight)
    node.post(events.SettingsReloaded(settings, config.gauge_names))
    if node.recorder is not None:
        node.recorder.apply_settings(new)


def _apply_tenants(node: ReconfigurableNode, features: Features | None) -> None:
    if node.tenant_identification is not None and features is not None and features.tenants is not None:
        node.tenant_identification.apply_settings(features.tenants)
