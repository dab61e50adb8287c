"""Builds the optional features that an operator's file enables.

A feature is imported only if it is enabled; a start without an operator's file imports none of them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from snowthread.config import Config
from snowthread.core import effects, events
from snowthread.core.reducer import reduce
from snowthread.core.state import NodeState
from snowthread.net.loop import EventLoop

if TYPE_CHECKING:
    from snowthread.operator.features import Features
    from snowthread.records.recorder import Recorder
    from snowthread.recovery.manager import RecoveryManager
    from snowthread.sites.client_filter import ClientFilter
    from snowthread.tenants.identification import TenantIdentification

Reduce = Callable[[NodeState, events.Event, float], list[effects.Effect]]
"""The reducer, or a feature that wraps it: (state, event, time in Unix milliseconds) -> effects."""

Post = Callable[[events.Event], None]
"""A function that passes an event to the reducer."""


@dataclass(frozen=True, slots=True)
class FeatureParts:
    """The parts of a node that optional features add; None if the feature is disabled."""

    reduce: Reduce  # the reducer, wrapped by the features that process its events and effects
    recorder: Recorder | None
    recovery: RecoveryManager | None
    tenant_identification: TenantIdentification | None


def build_feature_parts(
    features: Features | None, loop: EventLoop, config: Config, state: NodeState, post: Post
) -> FeatureParts:
    """Build the parts of the enabled features; the reducer's wrappers are built from the inside out."""
    if features is None:
        return FeatureParts(reduce, None, None, None)
    step: Reduce = reduce
    recorder = _build_recorder(features, loop, config, state)
    if recorder is not None:
        step = recorder.reduce
    recovery = _build_recovery(features, loop, config, state, post, step)
    if recovery is not None:
        step = recovery.reduce
    client_filter = _build_client_filter(features, loop, step)
    if client_filter is not None:  # outermost: it decides on requests of other sites before all others
        step = client_filter.reduce
    tenant_identification = _build_tenant_identification(features, loop, config, post)
    if tenant_identification is not None:  # the tenants come from the directory, not from the file
        state.settings = replace(config.settings, tenants=())
    return FeatureParts(step, recorder, recovery, tenant_identification)


def _build_recorder(features: Features, loop: EventLoop, config: Config, state: NodeState) -> Recorder | None:
    if features.records is None:
        return None
    from snowthread.records.recorder import Recorder

    return Recorder(loop, features.records, config, state)


def _build_recovery(
    features: Features, loop: EventLoop, config: Config, state: NodeState, post: Post, step: Reduce
) -> RecoveryManager | None:
    if features.recovery is None:
        return None
    from snowthread.recovery.manager import RecoveryManager

    return RecoveryManager(loop, features.recovery, config, state, post, step)


def _build_client_filter(features: Features, loop: EventLoop, step: Reduce) -> ClientFilter | None:
    if features.site is None:
        return None
    from snowthread.sites.client_filter import ClientFilter

    return ClientFilter(loop, features.site, step)


def _build_tenant_identification(
    features: Features, loop: EventLoop, config: Config, post: Post
) -> TenantIdentification | None:
    if features.tenants is None:
        return None
    from snowthread.tenants.identification import TenantIdentification

    return TenantIdentification(loop, features.tenants, config.seed, post)
