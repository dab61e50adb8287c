"""The settings as the simulator's first message and a node's configuration give them, read once for both."""

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

_EFFECT = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
_PREEMPTION = {"silent": Preemption.NONE, "drop": Preemption.DROP, "pause": Preemption.PAUSE}
_SIGNAL = {
    "silent": LoadReportKind.NONE,
    "level": LoadReportKind.LEVEL,
    "credit": LoadReportKind.CREDIT,
    "weight": LoadReportKind.WEIGHT,
}
_BELOW = {"silent": Dependency.NONE, "shared": Dependency.SHARED, "tier": Dependency.TIER}


def _told(part: Fields | None) -> Fields:
    """What is told in a part of the settings; null is the same as absent."""
    return {name: value for name, value in (part or {}).items() if value is not None}


def parse_settings(facts: Fields) -> Settings:
    """Translate the wire's settings; unknown keys are skipped."""
    domain, rules, limits = (_told(facts.get(part)) for part in ("domain", "rules", "limits"))
    may_call = domain.get("class_calls") or []
    skip = domain.get("class_skip_worth") or []
    classes = tuple(
        RequestClass(
            name=c["name"],
            latency_objective_s=c["goal_time_s"],
            deadline_s=c["deadline_s"],
            idempotency=_EFFECT.get(
                c.get("effect", "read_like"), Idempotency.NON_IDEMPOTENT
            ),  # unknown: never twice
            priority_weight=c.get("importance", 1.0),
            late_weight_factor=c.get("late_value", 0.0),
            idempotency_window_s=c.get("window_s") or 0.0,
            objective_stretch=c.get("aim_stretch") or 0.0,
            may_call=bool(may_call[n]) if n < len(may_call) else False,
            skipped_call_weight=skip[n] if n < len(skip) else 0.0,
        )
        for n, c in enumerate(facts.get("classes") or [])
    )
    tenants = tuple(Tenant(t["name"], t.get("quota_per_s") or 0.0) for t in facts.get("projects") or [])
    return Settings(
        classes=classes,
        tenants=tenants,
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
        marks_retries=bool((facts.get("callers") or {}).get("marks_retry")),
        load_report_kind=_SIGNAL.get(domain.get("say", "silent"), LoadReportKind.NONE),
        load_report_ttl_s=domain.get("heard_for_s", 0.0),
        caller_count=domain.get("upstreams", 1),
        node_count=facts.get("peers_total", 1),
        dependency=_BELOW.get(domain.get("below", "silent"), Dependency.NONE),
        call_quota=domain.get("calls_out", 0.0),
        call_quota_window_s=domain.get("calls_over_s", 0.0),
        abandoned_call_s=domain.get("linger_s", 0.0),
        supports_retry_after=bool(limits.get("retry_after")),
        max_retry_after_s=limits.get("max_retry_after_s", 0.0),
        shared_result_ttl_s=domain.get("fresh_s", 0.0),
        idle_timeout_s=domain.get("idle_s", 0.0),
        weighs_by_work=facts.get("value_by") == "work",
        over_quota_weight=facts.get("over_share_worth", 1.0),
        deep_health_checks=bool(domain.get("deep_checks")),
    )
