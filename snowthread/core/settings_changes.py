"""Changes to what the controller works with while serving.

Reloaded settings, tenant quotas, the pacing of calls during recovery, and the learned state of an earlier
incarnation. The settings in effect are computed in :mod:`snowthread.core.effective_settings`. One field is
changed elsewhere: ``starts_cold``, when the runtime connects (:mod:`snowthread.core.runtime_resync`).
"""

from __future__ import annotations

import math
from dataclasses import replace

from snowthread.admission import events as admission_events
from snowthread.admission.settings import RequestClass, Settings
from snowthread.core import events
from snowthread.core.effective_settings import merge_settings, remaining_limits
from snowthread.core.state import NodeState
from snowthread.core.transition import HandlerTable, Transition, apply_learned_state


def apply_settings(transition: Transition) -> None:
    """Hand the settings in effect to the controller, if there is one."""
    state = transition.state
    if state.controller is None:
        return
    settings = state.settings
    if state.peer_load is not None:
        settings = remaining_limits(settings, state.peer_load)
    if state.call_pacing is not None:
        settings = replace(settings, call_quota=state.call_pacing.concurrent_calls)
    transition.dispatch(admission_events.SettingsChanged(settings))


def settings_reloaded(transition: Transition, event: events.SettingsReloaded) -> None:
    """Replace the settings; open requests stay with their class as it was on arrival."""
    state = transition.state
    old = state.settings
    state.settings = merge_settings(old, event.settings, state.retired_until_ms, transition.now_ms)
    if event.gauge_names != state.gauge_names:  # samples read or requested so far have the old order
        state.gauge_names = event.gauge_names
        state.load_sample_at_ms = -math.inf
        state.last_stale_sample_number = state.last_sample_number
    _extend_idempotency_windows(state, old.classes)
    apply_settings(transition)
    _apply_tenants(transition, old, event.settings)


def _extend_idempotency_windows(state: NodeState, old_classes: tuple[RequestClass, ...]) -> None:
    """Extend the expiry of the keys of classes whose idempotency window is longer now.

    A window that is shorter now leaves the keys as they are: callers retry within the window that they know.
    """
    old_window_s = {old.name: old.idempotency_window_s for old in old_classes}
    for request_class in state.settings.classes:
        window_s = request_class.idempotency_window_s
        longer_s = window_s - old_window_s.get(request_class.name, window_s)
        if longer_s > 0.0:
            state.idempotency_table.extend_window(
                request_class.name, state.admission_clock.duration_ms(longer_s)
            )


def _apply_tenants(transition: Transition, old: Settings, new: Settings) -> None:
    """Pass on the tenants of the new settings, where they differ from the old."""
    if old.tenants == new.tenants and old.over_quota_weight == new.over_quota_weight:
        return
    remaining = {tenant.name for tenant in new.tenants}
    removed = frozenset(tenant.name for tenant in old.tenants if tenant.name not in remaining)
    tenant_quotas_changed(transition, events.TenantQuotasChanged(new.tenants, removed, new.over_quota_weight))


def tenant_quotas_changed(transition: Transition, event: events.TenantQuotasChanged) -> None:
    """Pass tenant quotas on to the controller, or merge them with those that wait for its start."""
    state = transition.state
    if state.controller is not None:
        transition.dispatch(
            admission_events.TenantsChanged(event.changed, event.removed, event.over_quota_weight)
        )
        return
    pending = state.pending_quotas
    over_quota_weight = event.over_quota_weight
    tenants = {}
    if pending is not None:
        tenants = {tenant.name: tenant for tenant in pending.changed if tenant.name not in event.removed}
        if over_quota_weight is None:
            over_quota_weight = pending.over_quota_weight
    tenants.update((tenant.name, tenant) for tenant in event.changed)
    state.pending_quotas = admission_events.TenantsChanged(
        tuple(tenants.values()), frozenset(), over_quota_weight
    )


def call_pacing_changed(transition: Transition, event: events.CallPacingChanged) -> None:
    """Replace the limit of concurrent calls during recovery; 0 restores that of the settings."""
    transition.state.call_pacing = event if event.concurrent_calls else None
    apply_settings(transition)


def learned_state_restored(transition: Transition, event: events.LearnedStateRestored) -> None:
    """Begin with what an earlier incarnation learned; it waits until there is a controller."""
    transition.state.pending_learned_state = event
    apply_learned_state(transition.state)


HANDLERS: HandlerTable = {
    events.SettingsReloaded: settings_reloaded,
    events.TenantQuotasChanged: tenant_quotas_changed,
    events.CallPacingChanged: call_pacing_changed,
    events.LearnedStateRestored: learned_state_restored,
}
