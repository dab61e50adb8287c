"""The settings as the simulator's first message and a node's configuration give them, read once for both."""

from __future__ import annotations

from typing import Any

from snowthread.admission import interface as api

Fields = dict[str, Any]

_EFFECT = {"read_like": api.Effect.SAFE, "idempotency_key": api.Effect.KEYED,
           "non_idempotent": api.Effect.UNSAFE}
_PREEMPTION = {"silent": api.Preemption.NONE, "drop": api.Preemption.DROP, "pause": api.Preemption.PAUSE}
_SIGNAL = {"silent": api.Signal.NONE, "level": api.Signal.LEVEL, "credit": api.Signal.CREDIT,
           "weight": api.Signal.WEIGHT}
_BELOW = {"silent": api.Below.NONE, "shared": api.Below.SHARED, "tier": api.Below.TIER}


def _told(part: Fields | None) -> Fields:
    """What is told in a part of the settings; null is the same as absent."""
    return {name: value for name, value in (part or {}).items() if value is not None}


def settings_from(facts: Fields) -> api.Settings:
    """Translate the wire's settings; unknown keys are skipped."""
    domain, rules, limits = (_told(facts.get(part)) for part in ("domain", "rules", "limits"))
    may_call = domain.get("class_calls") or []
    skip = domain.get("class_skip_worth") or []
    classes = tuple(
        api.RequestClass(
            name=c["name"], goal_s=c["goal_time_s"], deadline_s=c["deadline_s"],
            effect=_EFFECT.get(c.get("effect", "read_like"), api.Effect.UNSAFE),  # unknown: never twice
            worth=c.get("importance", 1.0),
            late_value=c.get("late_value", 0.0), window_s=c.get("window_s") or 0.0,
            aim_stretch=c.get("aim_stretch") or 0.0,
            may_call=bool(may_call[n]) if n < len(may_call) else False,
            skip_worth=skip[n] if n < len(skip) else 0.0)
        for n, c in enumerate(facts.get("classes") or []))
    tenants = tuple(api.Tenant(t["name"], t.get("quota_per_s") or 0.0) for t in facts.get("projects") or [])
    return api.Settings(
        classes=classes, tenants=tenants, cores=domain.get("cores", 0),
        memory_kb=domain.get("memory_kb", 0.0), run_factor=domain.get("run_factor", 1.0),
        key_kb=domain.get("kb_per_key", 0.0),
        cold=bool(domain.get("cold")), cold_share=rules.get("cold_share", 1.0),
        ramp_s=rules.get("ramp_time_s", 0.0), fall_multiple=rules.get("fall_multiple", 3.0),
        overload_for_s=rules.get("overload_for_s", 2.0), drain_grace_s=rules.get("drain_grace_s", 1.0),
        preemption=_PREEMPTION.get(domain.get("preemption", "silent"), api.Preemption.NONE),
        passes_deadline=bool(domain.get("passes_deadline")),
        marks_retry=bool((facts.get("callers") or {}).get("marks_retry")),
        signal=_SIGNAL.get(domain.get("say", "silent"), api.Signal.NONE),
        signal_heard_s=domain.get("heard_for_s", 0.0), upstreams=domain.get("upstreams", 1),
        peers=facts.get("peers_total", 1),
        below=_BELOW.get(domain.get("below", "silent"), api.Below.NONE),
        calls_share=domain.get("calls_out", 0.0), calls_over_s=domain.get("calls_over_s", 0.0),
        linger_s=domain.get("linger_s", 0.0), retry_after=bool(limits.get("retry_after")),
        max_retry_after_s=limits.get("max_retry_after_s", 0.0), fresh_s=domain.get("fresh_s", 0.0),
        idle_s=domain.get("idle_s", 0.0), value_by_work=facts.get("value_by") == "work",
        over_share_worth=facts.get("over_share_worth", 1.0), deep_checks=bool(domain.get("deep_checks")))
