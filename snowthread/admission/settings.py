"""The settings of a controller: request classes, tenants, limits, and what the site supports.

Types and their validation only; they decide nothing. Times are seconds, memory is kilobytes.
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
    """How a run or a downstream call ended."""

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
        """True where the outcome proves that nothing was started."""
        return self in (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_STARTED)


class Preemption(Enum):
    """What the host can do to a run: nothing, stop it without its progress, or pause it."""

    NONE = "none"
    DROP = "drop"
    PAUSE = "pause"


class LoadReportKind(Enum):
    """What callers make of a published load report."""

    NONE = "none"
    LEVEL = "level"
    CREDIT = "credit"
    WEIGHT = "weight"

    def encode(self, shed_share: float, credit: float) -> float:
        """Return the value that asks callers to send a share (0 to 1) of their requests elsewhere."""
        if self is LoadReportKind.LEVEL:
            return shed_share
        return (1.0 - shed_share) * (credit if self is LoadReportKind.CREDIT else 1.0)


class Dependency(Enum):
    """What runs call: nothing, a dependency shared with other nodes, or the next tier."""

    NONE = "none"
    SHARED = "shared"
    TIER = "tier"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests and the weight of its answers.

    An answer has ``priority_weight`` within the latency objective, times ``late_weight_factor`` from then on
    until the deadline, and times ``skipped_call_weight`` if its run went on without its downstream call.
    ``objective_stretch`` extends the objective by so many expected run times.
    """

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
    """The settings of a node. Defaults mean that the site does not have this.

    ``collapse_after_s``: not used by a rule; part of the host's interface.
    """

    classes: tuple[RequestClass, ...]
    cores: int
    memory_kb: float
    tenants: tuple[Tenant, ...] = ()
    running_memory_factor: float = 1.0  # of the memory of a queued request, that a run takes
    key_memory_kb: float = 0.0  # for each remembered idempotency key
    starts_cold: bool = False
    cold_speed: float = 1.0  # of the warm speed, at least, at a cold start
    warmup_s: float = 0.0
    collapse_multiple: float = 3.0  # runs on the cores, for each core, that a warm server survives
    collapse_after_s: float = 2.0  # over which those runs are averaged
    drain_grace_s: float = 1.0  # after a shutdown notice, in which new requests are still taken
    preemption: Preemption = Preemption.NONE
    propagates_deadline: bool = False
    marks_retries: bool = False
    load_report_kind: LoadReportKind = LoadReportKind.NONE
    load_report_ttl_s: float = 0.0  # for which a caller goes by a load report (0: until the next)
    caller_count: int = 1
    node_count: int = 1
    dependency: Dependency = Dependency.NONE
    call_quota: float = 0.0  # calls in flight, on average: this node's part of what the dependency sustains
    call_quota_window_s: float = 0.0  # over which those calls are averaged
    given_up_call_s: float = 0.0  # at most, for which the dependency works on a call that was given up
    supports_retry_after: bool = False
    max_retry_after_s: float = 0.0
    shared_result_ttl_s: float = 0.0  # for which a read's answer may serve others (0: never)
    idle_timeout_s: float = 0.0
    weighs_by_work: bool = False  # weights are for each unit of work, not for a request
    over_quota_weight: float = 1.0  # of requests beyond the quota of their tenant
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
    """Check that a controller can work with the settings.

    Raises:
        ValueError: names each field that is absent or out of range.
    """
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
        "given_up_call_s",
        "max_retry_after_s",
        "load_report_ttl_s",
        "idle_timeout_s",
    )
    invalid = [name for name, value in positive.items() if not value > 0.0]
    invalid += [name for name in not_negative if not getattr(settings, name) >= 0.0]
    if invalid or not settings.classes:
        raise ValueError(f"settings: {', '.join(invalid) or 'classes'}: absent or out of range")
