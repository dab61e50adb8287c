"""Settings and load of the scenarios whose decisions are recorded."""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.admission.events import SettingsChanged, ShutdownNotice, TenantsChanged
from snowthread.admission.settings import (
    Dependency,
    Idempotency,
    LoadReportKind,
    Preemption,
    RequestClass,
    Settings,
    Tenant,
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A controller's settings, what changes while it runs, and what its callers send."""

    name: str
    seed: int
    settings: Settings
    changed_settings: SettingsChanged
    changed_tenants: TenantsChanged
    leave: ShutdownNotice
    sends_hints: bool
    first_call_s: float = 0.002  # how long the first calls take: what the usual length is learned from


SETTINGS_CHANGE_S = 28.0
LINK_LOST_S = (21.0, 38.0)
TENANTS_CHANGE_S = 26.5
LEAVE_S = 56.0
END_S = 62.0

TENANTS = (
    Tenant(name="gold", quota_per_s=16.0),
    Tenant(name="bronze", quota_per_s=4.0),
    Tenant(name="blocked", suspended=True),
    Tenant(name="reader", allowed_classes=("search", "report")),
)
TENANT_CHANGE = TenantsChanged(
    changed=(Tenant(name="blocked", quota_per_s=2.0), Tenant(name="gold", suspended=True)),
    removed=frozenset({"bronze"}),
    over_quota_weight=0.4,
)

SEARCH = RequestClass(
    name="search",
    latency_objective_s=1.5,
    deadline_s=3.0,
    idempotency=Idempotency.IDEMPOTENT,
    late_weight_factor=0.3,
    may_call=True,
    skipped_call_weight=0.6,
)
PAY = RequestClass(
    name="pay",
    latency_objective_s=2.0,
    deadline_s=4.0,
    idempotency=Idempotency.KEYED,
    priority_weight=3.0,
    idempotency_window_s=5.0,
    may_call=True,
)
BOOK = RequestClass(
    name="book",
    latency_objective_s=2.5,
    deadline_s=3.5,
    idempotency=Idempotency.NON_IDEMPOTENT,
    priority_weight=2.0,
    may_call=True,
    skipped_call_weight=0.5,
)
REPORT = RequestClass(
    name="report",
    latency_objective_s=4.0,
    deadline_s=8.0,
    idempotency=Idempotency.IDEMPOTENT,
    priority_weight=0.5,
    objective_stretch=2.0,
)
CLASSES = (SEARCH, PAY, BOOK, REPORT)
# The third class's place goes to another class, the first one's goal moves.
CHANGED_CLASSES = (
    RequestClass(
        name="search",
        latency_objective_s=1.0,
        deadline_s=2.5,
        idempotency=Idempotency.IDEMPOTENT,
        may_call=True,
        skipped_call_weight=0.6,
    ),
    PAY,
    RequestClass(
        name="quote",
        latency_objective_s=2.0,
        deadline_s=3.0,
        idempotency=Idempotency.IDEMPOTENT,
        priority_weight=1.5,
    ),
    REPORT,
)


def shared_dependency(classes: tuple[RequestClass, ...], cores: int) -> Settings:
    """Return a site with a share of a dependency, a published level, runs that can only be dropped."""
    return Settings(
        classes=classes,
        cores=cores,
        memory_kb=4_000.0,
        tenants=TENANTS,
        running_memory_factor=2.0,
        key_memory_kb=4.0,
        preemption=Preemption.DROP,
        propagates_deadline=True,
        marks_retries=True,
        load_report_kind=LoadReportKind.LEVEL,
        load_report_ttl_s=5.0,
        caller_count=8,
        node_count=4,
        dependency=Dependency.SHARED,
        call_quota=7.0,
        call_quota_window_s=2.0,
        abandoned_call_s=0.2,
        supports_retry_after=True,
        max_retry_after_s=4.0,
        idle_timeout_s=10.0,
        over_quota_weight=0.2,
        deep_health_checks=True,
    )


def narrow_share(classes: tuple[RequestClass, ...], cores: int) -> Settings:
    """Return a site with a small share of a dependency for its cores, and nothing published."""
    return Settings(
        classes=classes,
        cores=cores,
        memory_kb=4_000.0,
        tenants=TENANTS,
        running_memory_factor=1.3,
        key_memory_kb=4.0,
        preemption=Preemption.PAUSE,
        caller_count=8,
        dependency=Dependency.SHARED,
        call_quota=3.0,
        call_quota_window_s=6.0,
        abandoned_call_s=0.1,
        idle_timeout_s=10.0,
        deep_health_checks=True,
    )


def tier_credit(classes: tuple[RequestClass, ...], cores: int) -> Settings:
    """Return a site with a cold start, a tier of its own below, published credit, runs that can be paused."""
    return Settings(
        classes=classes,
        cores=cores,
        memory_kb=8_000.0,
        tenants=TENANTS,
        running_memory_factor=1.5,
        key_memory_kb=2.0,
        starts_cold=True,
        cold_speed=0.3,
        warmup_s=15.0,
        collapse_multiple=8.0,
        drain_grace_s=0.5,
        preemption=Preemption.PAUSE,
        load_report_kind=LoadReportKind.CREDIT,
        caller_count=6,
        node_count=2,
        dependency=Dependency.TIER,
        shared_result_ttl_s=1.0,
        idle_timeout_s=4.0,
        weighs_by_work=True,
        over_quota_weight=0.5,
    )


def unsignalled(classes: tuple[RequestClass, ...], cores: int) -> Settings:
    """Nothing below, nothing published, work that cannot be stopped, keep-away times."""
    return Settings(
        classes=classes,
        cores=cores,
        memory_kb=600.0,
        tenants=TENANTS,
        running_memory_factor=1.2,
        key_memory_kb=1.0,
        supports_retry_after=True,
        max_retry_after_s=3.0,
        caller_count=40,
        node_count=3,
        idle_timeout_s=3.0,
    )


def weighted(classes: tuple[RequestClass, ...], cores: int) -> Settings:
    """Return a site with a published weight, deadlines that are passed on, runs that cannot be stopped."""
    return Settings(
        classes=classes,
        cores=cores,
        memory_kb=3_000.0,
        tenants=TENANTS,
        propagates_deadline=True,
        marks_retries=True,
        load_report_kind=LoadReportKind.WEIGHT,
        caller_count=40,
        idle_timeout_s=8.0,
        load_report_ttl_s=2.0,
    )


SCENARIOS = (
    Scenario(
        name="shared-dependency",
        seed=11,
        settings=shared_dependency(CLASSES, 4),
        changed_settings=SettingsChanged(settings=shared_dependency(CHANGED_CLASSES, 5)),
        changed_tenants=TENANT_CHANGE,
        leave=ShutdownNotice(time_left_s=4.0),
        sends_hints=False,
    ),
    Scenario(
        name="narrow-share",
        seed=14,
        settings=narrow_share(CLASSES, 8),
        changed_settings=SettingsChanged(settings=narrow_share(CHANGED_CLASSES, 6)),
        changed_tenants=TENANT_CHANGE,
        leave=ShutdownNotice(time_left_s=2.0),
        sends_hints=False,
        first_call_s=0.1,
    ),
    Scenario(
        name="tier-credit",
        seed=12,
        settings=tier_credit(CLASSES, 4),
        changed_settings=SettingsChanged(settings=tier_credit(CHANGED_CLASSES, 3)),
        changed_tenants=TENANT_CHANGE,
        leave=ShutdownNotice(time_left_s=3.0, received_ago_s=0.4),
        sends_hints=True,
    ),
    Scenario(
        name="unsignalled-weight",
        seed=13,
        settings=unsignalled(CLASSES, 3),
        changed_settings=SettingsChanged(settings=weighted(CHANGED_CLASSES, 4)),
        changed_tenants=TENANT_CHANGE,
        leave=ShutdownNotice(time_left_s=5.0),
        sends_hints=True,
    ),
)
