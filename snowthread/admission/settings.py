"""The settings of a controller: request classes, tenants, limits, and what the site supports.

Only types and their validation; no decisions. Times are seconds, memory is kilobytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request may run twice."""

    IDEMPOTENT = "safe"  # running it again does no harm
    KEYED = "keyed"  # it carries an idempotency key; a retry gets the result of the original attempt
    NON_IDEMPOTENT = "unsafe"  # it must not run twice


class Outcome(Enum):
    """How a run or a downstream call ended."""

    SUCCESS = "success"
    FAILURE = "failure"
    OVERLOADED = "overloaded"  # the peer rejected it before it started
    TIMED_OUT = "timed_out"  # no result arrived in time; it may have run
    UNREACHABLE = "unreachable"  # there was no connection, so it never started
    DISCONNECTED = "broken"  # the connection broke; it may have run
    CANCELLED = "withdrawn"  # it was stopped, on request or by the runtime itself
    NOT_STARTED = "void"  # it is known that it never started

    @property
    def never_ran(self) -> bool:
        """True if the outcome proves that nothing was started."""
        return self in (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NOT_STARTED)


class Preemption(Enum):
    """What the host can do to a run: nothing, stop it and lose its progress, or pause it."""

    NONE = "none"
    DROP = "drop"
    PAUSE = "pause"


class LoadReportKind(Enum):
    """How callers interpret a published load report."""

    NONE = "none"
    LEVEL = "level"  # the share of their requests that callers send elsewhere
    CREDIT = "credit"  # the number of requests that each caller may have open
    WEIGHT = "weight"  # the weight of this node in the callers' load balancing

    def encode(self, shed_share: float, credit: float) -> float:
        """Return the load report that asks callers to send part of their requests elsewhere.

        ``shed_share`` is that part of their requests, 0 to 1. ``credit`` is the number of open requests that
        a caller is granted while it sends nothing elsewhere.
        """
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

    An answer within the latency objective has the weight ``priority_weight``. From then on until the
    deadline it is multiplied by ``late_weight_factor``, and if the run continued without its downstream
    call, by ``skipped_call_weight``. ``objective_stretch`` extends the objective by this many expected
    run times.
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
    """A tenant and its quota, in requests per second over the whole fleet (0: no quota).

    New requests of a suspended tenant are rejected. If ``allowed_classes`` is not empty, only requests of
    these classes are admitted.
    """

    name: str
    quota_per_s: float = 0.0
    suspended: bool = False
    allowed_classes: tuple[str, ...] = ()

    def allows(self, class_name: str) -> bool:
        """Return whether the tenant may send requests of this class."""
        return not self.suspended and (not self.allowed_classes or class_name in self.allowed_classes)


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a node.

    The default of a feature means that the site does not have it. ``collapse_multiple``,
    ``collapse_after_s``, ``drain_grace_s``, ``caller_count`` and ``node_count`` have working values as
    defaults. No rule uses ``collapse_after_s``, which is part of the host's interface.
    """

    classes: tuple[RequestClass, ...]
    cores: int
    memory_kb: float
    tenants: tuple[Tenant, ...] = ()
    running_memory_factor: float = 1.0  # memory of a run, in multiples of the memory of its queued request
    key_memory_kb: float = 0.0  # memory of each remembered idempotency key
    starts_cold: bool = False  # the machine is slower at first and warms up
    cold_speed: float = 1.0  # lowest speed at a cold start, relative to the warm speed
    warmup_s: float = 0.0  # time from a cold start until the machine is warm
    collapse_multiple: float = 3.0  # runs per core that a warm machine survives
    collapse_after_s: float = 2.0  # time over which the runs on the cores are averaged to detect a collapse
    drain_grace_s: float = 1.0  # shutdown grace period, in which new requests are still admitted
    preemption: Preemption = Preemption.NONE
    propagates_deadline: bool = False  # callers send the time that is left to them
    marks_retries: bool = False  # callers mark retries as such
    load_report_kind: LoadReportKind = LoadReportKind.NONE
    load_report_ttl_s: float = 0.0  # time for which a caller applies a load report (0: until the next one)
    caller_count: int = 1  # callers that send requests to this node
    node_count: int = 1  # nodes of the fleet
    dependency: Dependency = Dependency.NONE
    # Average calls in flight that are allowed: this node's part of what the dependency sustains.
    call_quota: float = 0.0
    call_quota_window_s: float = 0.0  # time over which the calls in flight are averaged for the quota
    given_up_call_s: float = 0.0  # longest time for which the dependency works on a call that was given up
    supports_retry_after: bool = False  # callers observe Retry-After
    max_retry_after_s: float = 0.0  # upper limit of the Retry-After that is sent
    # Time for which the result of an idempotent request may also answer other requests (0: never).
    shared_result_ttl_s: float = 0.0
    idle_timeout_s: float = 0.0  # longest time for which an idle connection stays open
    weighs_by_work: bool = False  # weights are per unit of work, not per request
    over_quota_weight: float = 1.0  # factor on the weight of requests beyond their tenant's quota
    deep_health_checks: bool = False  # health checks do further work unless the node asks for shallow ones

    def is_warming_up(self, age_s: float) -> bool:
        """Return whether a machine that started ``age_s`` ago is still warming up."""
        return self.starts_cold and age_s < self.warmup_s

    def speed_at_age(self, age_s: float) -> float:
        """Return the speed of a machine that started ``age_s`` ago, relative to its warm speed."""
        if not self.starts_cold or self.warmup_s <= 0.0:
            return 1.0
        return min(1.0, self.cold_speed + (1.0 - self.cold_speed) * max(0.0, age_s) / self.warmup_s)


def check_settings(settings: Settings) -> None:
    """Check that a controller can work with the settings.

    Raises:
        ValueError: the settings name no class, or a field is absent or out of range; the text names it.
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
        raise ValueError(f"settings: {', '.join(invalid) or 'classes'} absent or out of range")
