"""The settings of a controller: request classes, tenants, limits, and what the site supports.

Types and their validation only; every rule is in :mod:`snowthread.admission.controller`. Times are seconds,
memory is kilobytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What running a request twice would do."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class Outcome(Enum):
    """How a run or a call ended."""

    SUCCESS = "success"
    FAILURE = "failure"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"
    DISCONNECTED = "broken"
    CANCELLED = "withdrawn"
    NOT_STARTED = "void"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that nothing was begun."""
        return self in (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_STARTED)


class Preemption(Enum):
    """What the host can do to running work."""

    NONE = "none"
    DROP = "drop"
    PAUSE = "pause"


class LoadReportKind(Enum):
    """What callers make of the published value."""

    NONE = "none"
    LEVEL = "level"
    CREDIT = "credit"
    WEIGHT = "weight"

    def encode(self, kept_back: float, credit: float) -> float:
        """Return the value that asks callers to keep back a share of their requests."""
        if self is LoadReportKind.LEVEL:
            return kept_back
        return (1.0 - kept_back) * (credit if self is LoadReportKind.CREDIT else 1.0)


class Dependency(Enum):
    """What requests call while they run."""

    NONE = "none"
    SHARED = "shared"
    TIER = "tier"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests and what its answers are worth."""

    name: str
    latency_objective_s: float
    deadline_s: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    priority_weight: float = 1.0
    late_weight_factor: float = 0.0
    idempotency_window_s: float = 0.0
    objective_stretch: float = 0.0
    may_call: bool = False
    skipped_call_weight: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota, in requests a second over the whole fleet (0: no quota).

    A suspended tenant's new requests are rejected. Where ``allowed_classes`` names any, only these are taken.
    """

    name: str
    quota_per_s: float = 0.0
    suspended: bool = False
    allowed_classes: tuple[str, ...] = ()

    def allows(self, class_name: str) -> bool:
        """Return whether requests of a class are taken from this tenant."""
        return not self.suspended and (not self.allowed_classes or class_name in self.allowed_classes)


@dataclass(frozen=True, slots=True)
class Settings:
    """What a worker is told at its start. Defaults mean 'the site does not have this'."""

    classes: tuple[RequestClass, ...]
    cores: int
    memory_kb: float
    tenants: tuple[Tenant, ...] = ()
    running_memory_factor: float = 1.0
    key_memory_kb: float = 0.0
    starts_cold: bool = False
    cold_speed: float = 1.0
    warmup_s: float = 0.0
    collapse_multiple: float = 3.0
    collapse_after_s: float = 2.0
    drain_grace_s: float = 1.0
    preemption: Preemption = Preemption.NONE
    propagates_deadline: bool = False
    marks_retries: bool = False
    load_report_kind: LoadReportKind = LoadReportKind.NONE
    load_report_ttl_s: float = 0.0
    caller_count: int = 1
    node_count: int = 1
    dependency: Dependency = Dependency.NONE
    call_quota: float = 0.0
    call_quota_window_s: float = 0.0
    abandoned_call_s: float = 0.0
    supports_retry_after: bool = False
    max_retry_after_s: float = 0.0
    shared_result_ttl_s: float = 0.0
    idle_timeout_s: float = 0.0
    weighs_by_work: bool = False
    over_quota_weight: float = 1.0
    deep_health_checks: bool = False

    def is_warming_up(self, age_s: float) -> bool:
        """Return whether a machine of this age is still warming up."""
        return self.starts_cold and age_s < self.warmup_s

    def speed_at_age(self, age_s: float) -> float:
        """Return the speed of a machine of this age, as a share of its warm speed."""
        if not self.starts_cold or self.warmup_s <= 0.0:
            return 1.0
        return min(1.0, self.cold_speed + (1.0 - self.cold_speed) * max(0.0, age_s) / self.warmup_s)


def check_settings(settings: Settings) -> None:
    """Raise ``ValueError`` that names each field that is absent or out of range."""
    positive = {
        name: getattr(settings, name)
        for name in ("cores", "memory_kb", "running_memory_factor", "collapse_multiple")
    }
    positive |= {
        f"classes: {request_class.name}: {name}": getattr(request_class, name)
        for request_class in settings.classes
        for name in ("latency_objective_s", "deadline_s")
    }
    not_negative = (
        "key_memory_kb",
        "warmup_s",
        "collapse_after_s",
        "drain_grace_s",
        "call_quota",
        "call_quota_window_s",
        "abandoned_call_s",
        "max_retry_after_s",
        "load_report_ttl_s",
        "idle_timeout_s",
    )
    invalid = [name for name, value in positive.items() if not value > 0.0]
    invalid += [name for name in not_negative if not getattr(settings, name) >= 0.0]
    if invalid or not settings.classes:
        raise ValueError(f"settings: {', '.join(invalid) or 'classes'}: absent or out of range")
