"""Settings and load of the scenarios whose decisions are recorded."""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.admission.interface import (
    Below, Effect, LeaveNotice, Preemption, RequestClass, Settings, SettingsChanged, Signal, Tenant,
    TenantsChanged,
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A controller's settings, what changes while it runs, and what its callers send."""

    name: str
    seed: int
    settings: Settings
    changed_settings: SettingsChanged
    changed_tenants: TenantsChanged
    leave: LeaveNotice
    sends_hints: bool
    first_call_s: float = 0.002  # how long the first calls take: what the usual length is learned from


SETTINGS_CHANGE_S = 28.0
TENANTS_CHANGE_S = 26.5
LEAVE_S = 56.0
END_S = 62.0

TENANTS = (
    Tenant(name="gold", quota_per_s=16.0),
    Tenant(name="bronze", quota_per_s=4.0),
    Tenant(name="blocked", barred=True),
    Tenant(name="reader", classes=("search", "report")),
)
TENANT_CHANGE = TenantsChanged(
    changed=(Tenant(name="blocked", quota_per_s=2.0), Tenant(name="gold", barred=True)),
    removed=frozenset({"bronze"}),
    over_share_worth=0.4,
)

SEARCH = RequestClass(name="search", goal_s=1.5, deadline_s=3.0, effect=Effect.SAFE, late_value=0.3,
                      may_call=True, skip_worth=0.6)
PAY = RequestClass(name="pay", goal_s=2.0, deadline_s=4.0, effect=Effect.KEYED, worth=3.0, window_s=5.0,
                   may_call=True)
BOOK = RequestClass(name="book", goal_s=2.5, deadline_s=3.5, effect=Effect.UNSAFE, worth=2.0, may_call=True,
                    skip_worth=0.5)
REPORT = RequestClass(name="report", goal_s=4.0, deadline_s=8.0, effect=Effect.SAFE, worth=0.5,
                      aim_stretch=2.0)
CLASSES = (SEARCH, PAY, BOOK, REPORT)
# The third class's place goes to another class, the first one's goal moves.
CHANGED_CLASSES = (
    RequestClass(name="search", goal_s=1.0, deadline_s=2.5, effect=Effect.SAFE, may_call=True,
                 skip_worth=0.6),
    PAY,
    RequestClass(name="quote", goal_s=2.0, deadline_s=3.0, effect=Effect.SAFE, worth=1.5),
    REPORT,
)


def shared_dependency(classes: tuple[RequestClass, ...], cores: int) -> Settings:
    """A limited share of a dependency, a published level, work that can only be dropped."""
    return Settings(
        classes=classes, cores=cores, memory_kb=4_000.0, tenants=TENANTS, run_factor=2.0, key_kb=4.0,
        preemption=Preemption.DROP, passes_deadline=True, marks_retry=True, signal=Signal.LEVEL,
        signal_heard_s=5.0, upstreams=8, peers=4, below=Below.SHARED, calls_share=7.0, calls_over_s=2.0,
        linger_s=0.2, retry_after=True, max_retry_after_s=4.0, idle_s=10.0, over_share_worth=0.2,
        deep_checks=True)


def narrow_share(classes: tuple[RequestClass, ...], cores: int) -> Settings:
    """A small share of a dependency for what the cores could use of it; nothing published."""
    return Settings(
        classes=classes, cores=cores, memory_kb=4_000.0, tenants=TENANTS, run_factor=1.3, key_kb=4.0,
        preemption=Preemption.PAUSE, upstreams=8, below=Below.SHARED, calls_share=3.0, calls_over_s=6.0,
        linger_s=0.1, idle_s=10.0, deep_checks=True)


def tier_credit(classes: tuple[RequestClass, ...], cores: int) -> Settings:
    """A cold start, a tier of its own below, published credit, work that can be paused."""
    return Settings(
        classes=classes, cores=cores, memory_kb=8_000.0, tenants=TENANTS, run_factor=1.5, key_kb=2.0,
        cold=True, cold_share=0.3, ramp_s=15.0, fall_multiple=8.0, drain_grace_s=0.5,
        preemption=Preemption.PAUSE, signal=Signal.CREDIT, upstreams=6, peers=2, below=Below.TIER,
        fresh_s=1.0, idle_s=4.0, value_by_work=True, over_share_worth=0.5)


def unsignalled(classes: tuple[RequestClass, ...], cores: int) -> Settings:
    """Nothing below, nothing published, work that cannot be stopped, keep-away times."""
    return Settings(
        classes=classes, cores=cores, memory_kb=600.0, tenants=TENANTS, run_factor=1.2, key_kb=1.0,
        retry_after=True, max_retry_after_s=3.0, upstreams=40, peers=3, idle_s=3.0)


def weighted(classes: tuple[RequestClass, ...], cores: int) -> Settings:
    """A published weight and deadlines passed on; work that cannot be stopped."""
    return Settings(
        classes=classes, cores=cores, memory_kb=3_000.0, tenants=TENANTS, passes_deadline=True,
        marks_retry=True, signal=Signal.WEIGHT, upstreams=40, idle_s=8.0, signal_heard_s=2.0)


SCENARIOS = (
    Scenario(
        name="shared-dependency", seed=11, settings=shared_dependency(CLASSES, 4),
        changed_settings=SettingsChanged(settings=shared_dependency(CHANGED_CLASSES, 5)),
        changed_tenants=TENANT_CHANGE, leave=LeaveNotice(left_s=4.0), sends_hints=False),
    Scenario(
        name="narrow-share", seed=14, settings=narrow_share(CLASSES, 8),
        changed_settings=SettingsChanged(settings=narrow_share(CHANGED_CLASSES, 6)),
        changed_tenants=TENANT_CHANGE, leave=LeaveNotice(left_s=2.0), sends_hints=False, first_call_s=0.1),
    Scenario(
        name="tier-credit", seed=12, settings=tier_credit(CLASSES, 4),
        changed_settings=SettingsChanged(settings=tier_credit(CHANGED_CLASSES, 3)),
        changed_tenants=TENANT_CHANGE, leave=LeaveNotice(left_s=3.0, since_s=0.4), sends_hints=True),
    Scenario(
        name="unsignalled-weight", seed=13, settings=unsignalled(CLASSES, 3),
        changed_settings=SettingsChanged(settings=weighted(CHANGED_CLASSES, 4)),
        changed_tenants=TENANT_CHANGE, leave=LeaveNotice(left_s=5.0), sends_hints=True),
)
