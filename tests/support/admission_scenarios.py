"""The settings and the load of the scenarios whose decisions are recorded."""

from __future__ import annotations

from dataclasses import dataclass, replace

from snowthread.admission.events import ShutdownNotice, TenantsChanged
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
    """The settings of a controller, the changes to them, and the load from its callers."""

    name: str
    seed: int
    settings: Settings
    changed_settings: Settings  # in force from SETTINGS_CHANGE_S on
    shutdown_notice: ShutdownNotice  # sent at SHUTDOWN_S
    sends_hints: bool = False
    first_call_s: float = 0.002  # duration of the first calls, from which the usual call time is learned


SETTINGS_CHANGE_S = 28.0
LINK_LOST_S = (21.0, 38.0)
TENANTS_CHANGE_S = 26.5
SHUTDOWN_S = 56.0
END_S = 62.0

TENANTS = (
    Tenant(name="gold", quota_per_s=16.0),
    Tenant(name="bronze", quota_per_s=4.0),
    Tenant(name="blocked", suspended=True),
    Tenant(name="reader", allowed_classes=("search", "report")),
)
TENANT_CHANGE = TenantsChanged(  # sent at TENANTS_CHANGE_S in each scenario
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
# Another class takes the position of the third one, and the first class gets a shorter objective.
CHANGED_CLASSES = (
    replace(SEARCH, latency_objective_s=1.0, deadline_s=2.5, late_weight_factor=0.0),
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


SHARED_DEPENDENCY = Settings(  # a quota of a shared dependency, a published level, runs that can be dropped
    classes=CLASSES,
    cores=4,
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
    given_up_call_s=0.2,
    supports_retry_after=True,
    max_retry_after_s=4.0,
    idle_timeout_s=10.0,
    over_quota_weight=0.2,
    deep_health_checks=True,
)
SMALL_QUOTA = Settings(  # a quota of the dependency that is small for the cores, no load report
    classes=CLASSES,
    cores=8,
    memory_kb=4_000.0,
    tenants=TENANTS,
    running_memory_factor=1.3,
    key_memory_kb=4.0,
    preemption=Preemption.PAUSE,
    caller_count=8,
    dependency=Dependency.SHARED,
    call_quota=3.0,
    call_quota_window_s=6.0,
    given_up_call_s=0.1,
    idle_timeout_s=10.0,
    deep_health_checks=True,
)
TIER_CREDIT = Settings(  # a cold start, a tier of dependencies, a published credit, runs that can be paused
    classes=CLASSES,
    cores=4,
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
UNSIGNALLED = Settings(  # no dependency, no load report, runs that can't be stopped, Retry-After
    classes=CLASSES,
    cores=3,
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
WEIGHTED = Settings(  # a published weight, propagated deadlines, runs that can't be stopped
    classes=CHANGED_CLASSES,
    cores=4,
    memory_kb=3_000.0,
    tenants=TENANTS,
    propagates_deadline=True,
    marks_retries=True,
    load_report_kind=LoadReportKind.WEIGHT,
    caller_count=40,
    idle_timeout_s=8.0,
    load_report_ttl_s=2.0,
)


def changed(settings: Settings, cores: int) -> Settings:
    """Return the settings with the changed classes and this number of cores."""
    return replace(settings, classes=CHANGED_CLASSES, cores=cores)


# The names of the scenarios, which are also those of the recorded files, say what is special
# about the settings:
# - shared-dependency: the dependency is shared with other nodes; the load report is a level.
# - narrow-share: this node's quota of the shared dependency is small for its cores; no load report.
# - tier-credit: runs call the next tier; the load report is a credit.
# - unsignalled-weight: no load report at first; the changed settings publish a weight.
SCENARIOS = (
    Scenario("shared-dependency", 11, SHARED_DEPENDENCY, changed(SHARED_DEPENDENCY, 5), ShutdownNotice(4.0)),
    Scenario("narrow-share", 14, SMALL_QUOTA, changed(SMALL_QUOTA, 6), ShutdownNotice(2.0), first_call_s=0.1),
    Scenario(
        "tier-credit", 12, TIER_CREDIT, changed(TIER_CREDIT, 3), ShutdownNotice(3.0, 0.4), sends_hints=True
    ),
    Scenario("unsignalled-weight", 13, UNSIGNALLED, WEIGHTED, ShutdownNotice(5.0), sends_hints=True),
)
