"""Taking up a new configuration while serving: addresses, idle time, admission settings, tenants."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from snowthread.admission.settings import Settings
from snowthread.config import Config
from snowthread.core import events
from snowthread.core.state import AdmissionClock

if TYPE_CHECKING:
    from snowthread.node.node import Node
    from snowthread.operator.features import Features

IDLE_FACTOR = 2.0
"""Times the balancers' own idle time after which a connection that they forgot is closed."""


def idle_timeout_ms(settings: Settings) -> float:
    """Return how long a balancer's connection may be idle; infinity where balancers state no idle time."""
    if not settings.idle_timeout_s:
        return math.inf
    return IDLE_FACTOR * AdmissionClock.duration_ms(settings.idle_timeout_s)


def apply_configuration(node: Node, config: Config, features: Features | None) -> None:
    """Go on with a new configuration; OSError where no socket can be opened, and nothing has changed then."""
    _apply_addresses(node, config)
    _apply_idle_timeout(node, config)
    _apply_settings(node, config)
    _apply_tenants(node, features)
    node.config, node.features = config, features


def _apply_addresses(node: Node, config: Config) -> None:
    node.registry.set_address(config.registry)  # first, as only it opens a socket, which can fail
    node.runtime.set_address(config.runtime)
    node.database.set_address(config.database)


def _apply_idle_timeout(node: Node, config: Config) -> None:
    """Close idle connections by the new idle time; the admission controller may shorten it later."""
    if config.settings.idle_timeout_s != node.config.settings.idle_timeout_s:
        node.balancers.set_idle_timeout(idle_timeout_ms(config.settings))


def _apply_settings(node: Node, config: Config) -> None:
    new, old = config.settings, node.config.settings
    if (new, config.gauge_names) == (old, node.config.gauge_names):
        return
    settings = new
    if node.tenant_identification is not None:  # the directory says which tenants there are, not the file
        settings = replace(new, tenants=(), over_quota_weight=node.state.settings.over_quota_weight)
    node.post(events.SettingsReloaded(settings, config.gauge_names))
    if node.recorder is not None:
        node.recorder.apply_settings(new)


def _apply_tenants(node: Node, features: Features | None) -> None:
    if node.tenant_identification is not None and features is not None and features.tenants is not None:
        node.tenant_identification.apply_settings(features.tenants)
