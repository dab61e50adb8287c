"""Handles changes of the admission controller's inputs while the node serves.

These are reloaded settings, tenants, the pacing of downstream calls during recovery, and the learned
state of an earlier incarnation. :mod:`snowthread.core.effective_settings` computes the settings in effect.
Only the setting ``starts_cold`` is changed elsewhere, when the runtime connects
(:mod:`snowthread.core.runtime_resync`).
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
    """Pass the settings in effect to the admission controller, if it was created already."""
    state = transition.state
    if state.controller is None:
        return
    settings = state.settings
    if state.peer_load is not None:
        settings = remaining_limits(settings, state.peer_load)
    if state.call_pacing is not None:
        settings = replace(settings, call_quota=state.call_pacing.call_quota)
    transition.dispatch(admission_events.SettingsChanged(settings))


def settings_reloaded(transition: Transition, event: events.SettingsReloaded) -> None:
    """Replace the settings; open requests keep the settings that their class had when they arrived."""
    state = transition.state
    old = state.settings
    state.settings = merge_settings(old, event.settings, state.retired_until_ms, transition.now_ms)
    if event.gauge_names != state.gauge_names:  # samples requested so far have the old order of gauges
        state.gauge_names = event.gauge_names
        state.load_sample_at_ms = -math.inf
        state.last_stale_sample_number = state.last_sample_number
    _extend_idempotency_windows(state, old.classes)
    apply_settings(transition)
    _apply_tenants(transition, old, event.settings)


def _extend_idempotency_windows(state: NodeState, old_classes: tuple[RequestClass, ...]) -> None:
    """Extend the expiry of the keys of classes whose idempotency window became longer.

    A window that became shorter does not change existing keys, because balancers still retry within the
    window that they know.
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
    """Update the tenants if the reload changed them, or changed the weight of requests over quota."""
    if old.tenants == new.tenants and old.over_quota_weight == new.over_quota_weight:
        return
    remaining = {tenant.name for tenant in new.tenants}
    removed = frozenset(tenant.name for tenant in old.tenants if tenant.name not in remaining)
    tenants_changed(transition, events.TenantsChanged(new.tenants, removed, new.over_quota_weight))


def tenants_changed(transition: Transition, event: events.TenantsChanged) -> None:
    """Pass changed tenants to the admission controller, or keep them until the controller is created."""
    state = transition.state
    if state.controller is not None:
        transition.dispatch(
            admission_events.TenantsChanged(event.changed, event.removed, event.over_quota_weight)
        )
        return
    pending = state.pending_tenants
    over_quota_weight = event.over_quota_weight
    tenants = {}
    if pending is not None:
        tenants = {tenant.name: tenant for tenant in pending.changed if tenant.name not in event.removed}
        if over_quota_weight is None:
            over_quota_weight = pending.over_quota_weight
    tenants.update((tenant.name, tenant) for tenant in event.changed)
    state.pending_tenants = admission_events.TenantsChanged(
        tuple(tenants.values()), frozenset(), over_quota_weight
    )


def call_pacing_changed(transition: Transition, event: events.CallPacingChanged) -> None:
    """Replace the call quota during recovery; 0 restores the configured one."""
    transition.state.call_pacing = event if event.call_quota else None
    apply_settings(transition)


def learned_state_restored(transition: Transition, event: events.LearnedStateRestored) -> None:
    """Apply the learned state of an earlier incarnation, or keep it until the controller is created."""
    transition.state.pending_learned_state = event
    apply_learned_state(transition.state)


HANDLERS: HandlerTable = {
    events.SettingsReloaded: settings_reloaded,
    events.TenantsChanged: tenants_changed,
    events.CallPacingChanged: call_pacing_changed,
    events.LearnedStateRestored: learned_state_restored,
}
