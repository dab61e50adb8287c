"""Parser of a controller's settings: the simulator's first message and a node's configuration.

Unknown keys are ignored, and null is the same as an absent key.
"""

from __future__ import annotations

from typing import Any

from snowthread.admission.settings import (
    Dependency,
    Idempotency,
    LoadReportKind,
    Preemption,
    RequestClass,
    Settings,
    Tenant,
)

Fields = dict[str, Any]

_IDEMPOTENCY = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
_PREEMPTION = {"silent": Preemption.NONE, "drop": Preemption.DROP, "pause": Preemption.PAUSE}
_LOAD_REPORT_KIND = {
    "silent": LoadReportKind.NONE,
    "level": LoadReportKind.LEVEL,
    "credit": LoadReportKind.CREDIT,
    "weight": LoadReportKind.WEIGHT,
}
_DEPENDENCY = {"silent": Dependency.NONE, "shared": Dependency.SHARED, "tier": Dependency.TIER}


def parse_settings(document: Fields) -> Settings:
    """Return the settings in a decoded JSON document.

    A ``KeyError`` names a field without a default that is absent.
    """
    domain, rules, limits = (_without_nulls(document.get(part)) for part in ("domain", "rules", "limits"))
    return Settings(
        classes=_parse_classes(document.get("classes") or [], domain),
        tenants=_parse_tenants(document.get("projects") or []),
        cores=domain.get("cores", 0),
        memory_kb=domain.get("memory_kb", 0.0),
        running_memory_factor=domain.get("run_factor", 1.0),
        key_memory_kb=domain.get("kb_per_key", 0.0),
        starts_cold=bool(domain.get("cold")),
        cold_speed=rules.get("cold_share", 1.0),
        warmup_s=rules.get("ramp_time_s", 0.0),
        collapse_multiple=rules.get("fall_multiple", 3.0),
        collapse_after_s=rules.get("overload_for_s", 2.0),
        drain_grace_s=rules.get("drain_grace_s", 1.0),
        preemption=_PREEMPTION.get(domain.get("preemption", "silent"), Preemption.NONE),
        propagates_deadline=bool(domain.get("passes_deadline")),
        marks_retries=bool((document.get("callers") or {}).get("marks_retry")),
        load_report_kind=_LOAD_REPORT_KIND.get(domain.get("say", "silent"), LoadReportKind.NONE),
        load_report_ttl_s=domain.get("heard_for_s", 0.0),
        caller_count=domain.get("upstreams", 1),
        node_count=document.get("peers_total", 1),
        dependency=_DEPENDENCY.get(domain.get("below", "silent"), Dependency.NONE),
        call_quota=domain.get("calls_out", 0.0),
        call_quota_window_s=domain.get("calls_over_s", 0.0),
        given_up_call_s=domain.get("linger_s", 0.0),
        supports_retry_after=bool(limits.get("retry_after")),
        max_retry_after_s=limits.get("max_retry_after_s", 0.0),
        shared_result_ttl_s=domain.get("fresh_s", 0.0),
        idle_timeout_s=domain.get("idle_s", 0.0),
        weighs_by_work=document.get("value_by") == "work",
        over_quota_weight=document.get("over_share_worth", 1.0),
        deep_health_checks=bool(domain.get("deep_checks")),
    )


def _without_nulls(part: Fields | None) -> Fields:
    return {name: value for name, value in (part or {}).items() if value is not None}


def _parse_classes(classes: list[Fields], domain: Fields) -> tuple[RequestClass, ...]:
    may_call = domain.get("class_calls") or []
    skipped_call_weights = domain.get("class_skip_worth") or []
    return tuple(
        _parse_class(
            fields,
            may_call=bool(may_call[index]) if index < len(may_call) else False,
            skipped_call_weight=skipped_call_weights[index] if index < len(skipped_call_weights) else 0.0,
        )
        for index, fields in enumerate(classes)
    )


def _parse_class(fields: Fields, may_call: bool, skipped_call_weight: float) -> RequestClass:
    effect = fields.get("effect", "read_like")
    return RequestClass(
        name=fields["name"],
        latency_objective_s=fields["goal_time_s"],
        deadline_s=fields["deadline_s"],
        idempotency=_IDEMPOTENCY.get(
            effect, Idempotency.NON_IDEMPOTENT
        ),  # an unknown effect never runs twice
        priority_weight=fields.get("importance", 1.0),
        late_weight_factor=fields.get("late_value", 0.0),
        idempotency_window_s=fields.get("window_s") or 0.0,
        objective_stretch=fields.get("aim_stretch") or 0.0,
        may_call=may_call,
        skipped_call_weight=skipped_call_weight,
    )


def _parse_tenants(tenants: list[Fields]) -> tuple[Tenant, ...]:
    return tuple(Tenant(fields["name"], fields.get("quota_per_s") or 0.0) for fields in tenants)
