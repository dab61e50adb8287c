"""Legal event sequences at random, and a small checker of the four rules beside them."""

from __future__ import annotations

import heapq
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from snowthread.admission.actions import (
    AwaitOriginal,
    Fail,
    ForgetKey,
    Reject,
    RememberKey,
    SetTimer,
    SkipCall,
    StartCall,
    StartRun,
    StopRun,
)
from snowthread.admission.controller import Controller
from snowthread.admission.events import (
    CallFinished,
    CallNeeded,
    Event,
    RequestAbandoned,
    RequestArrived,
    RunFinished,
    ShutdownNotice,
    Started,
    TimerFired,
)
from snowthread.admission.settings import (
    Dependency,
    Idempotency,
    LoadReportKind,
    Outcome,
    Preemption,
    RequestClass,
    Settings,
    Tenant,
)

CLASSES = (
    RequestClass("read", 1.0, 3.0),
    RequestClass(
        "keyed", 0.6, 2.0, idempotency=Idempotency.KEYED, priority_weight=3.0, idempotency_window_s=8.0
    ),
    RequestClass(
        "once", 0.8, 2.5, idempotency=Idempotency.NON_IDEMPOTENT, priority_weight=2.0, may_call=True
    ),
    RequestClass("ask", 1.5, 4.0, may_call=True, skipped_call_weight=0.5, late_weight_factor=0.2),
)
SLACK = 0.06


class Host:
    """Carries out actions as the interface says and notes every breach of a rule."""

    def __init__(self, s: Settings, seed: int) -> None:
        self.s, self.c, self.now = s, Controller(s, seed), 0.0
        self.where: dict[int, str] = {}  # held, running, at call, calling, paused, attached
        self.arrival: dict[int, tuple[RequestArrived, float, float]] = {}  # event, came to the machine, due
        self.owed: set[int] = set()
        self.ran: set[int] = set()
        self.keys: dict[int, float] = {}
        self.timers: list[tuple[float, int]] = []
        self.in_hand: list[tuple[float, float]] = []  # calls over: from, to
        self.since: dict[int, float] = {}
        self.notice = self.stop = float("inf")
        self.send(Started())

    def send(self, event: Event) -> None:
        for action in self.c.handle(self.now, event):
            self.do(action)
        self.check()

    def effect(self, request: int) -> Idempotency:
        return next(c for c in self.s.classes if c.name == self.arrival[request][0].class_name).idempotency

    def do(self, a: Any) -> None:
        if isinstance(a, SetTimer):
            heapq.heappush(self.timers, (self.now + max(a.delay_s, 1e-4), a.label))
        if isinstance(a, RememberKey):
            self.keys[a.request_id] = self.now + a.lifetime_s
        if isinstance(a, ForgetKey):
            self.keys.pop(a.request_id, None)
        r = getattr(a, "request_id", None)
        if r is None or r not in self.where:
            return
        if isinstance(a, StartRun) and self.where[r] in ("held", "paused"):
            again = self.where[r] == "paused"
            assert again or r not in self.ran or self.effect(r) is Idempotency.IDEMPOTENT, "duplicate"
            assert self.arrival[r][0].original_id is None, "duplicate: a repeat runs by itself"
            assert self.arrival[r][1] <= self.notice + self.s.drain_grace_s + 1e-6, "drain"
            self.ran.add(r)
            self.where[r] = "running"
        elif isinstance(a, AwaitOriginal):
            self.where[r] = "attached"
        elif isinstance(a, Reject | Fail):
            assert r in self.owed, "two answers"
            if isinstance(a, Reject) and r in self.ran:
                assert self.effect(r) is Idempotency.IDEMPOTENT, "refused, but ran"
            self.owed.discard(r)
            if self.where[r] in ("held", "paused", "attached"):
                del self.where[r]
            elif self.where[r] in ("at call", "calling"):
                self.over(r, Outcome.CANCELLED)
        elif isinstance(a, StopRun) and self.where[r] == "running":
            self.over(r, Outcome.CANCELLED)
        elif isinstance(a, StartCall) and self.where[r] == "at call":
            self.where[r], self.since[r] = "calling", self.now
            heapq.heappush(self.timers, (self.now + a.timeout_s, -r))
        elif isinstance(a, SkipCall) and self.where[r] == "at call":
            self.where[r] = "running"

    def call_over(self, r: int, lingers: bool) -> None:
        if r in self.since:
            self.in_hand.append((self.since.pop(r), self.now + (self.s.abandoned_call_s if lingers else 0.0)))

    def over(self, r: int, outcome: Outcome) -> None:
        self.call_over(r, lingers=True)
        if outcome is Outcome.CANCELLED and r in self.owed:
            self.where[r] = "paused" if self.s.preemption is Preemption.PAUSE else "held"
        else:
            del self.where[r]
            self.owed.discard(r)
        self.send(RunFinished(r, outcome, 0.1))

    def advance(self, dt: float) -> None:
        end = self.now + dt
        while self.timers and self.timers[0][0] <= end:
            self.now, label = heapq.heappop(self.timers)
            if label < 0:  # a call given up, if it is still out
                if self.where.get(-label) == "calling" and -label in self.since:
                    self.call_over(-label, lingers=True)
                    self.where[-label] = "at call"
                    self.send(CallFinished(-label, Outcome.TIMED_OUT, 0.1))
                continue
            running = sum(w == "running" for w in self.where.values())
            use = min(1.0, running / self.s.cores)
            self.send(TimerFired(label, use, float(running), None, float(running)))
        self.now = end
        self.check()

    def check(self) -> None:
        for r in self.owed:
            assert self.now <= self.arrival[r][2] + SLACK, "lost"
            if self.where[r] == "held":  # what may no longer be started has its answer
                assert r not in self.ran or self.effect(r) is Idempotency.IDEMPOTENT, (
                    "waits, may not run again"
                )
                grace = self.notice + self.s.drain_grace_s + 1e-6
                assert self.arrival[r][1] <= grace, "waits, came too late"
        assert not (self.owed and self.now >= self.stop), "drain: unanswered at the stop"
        weight = {"held": 1.0, "attached": 1.0}
        self.keys = {k: end for k, end in self.keys.items() if end > self.now}
        kb = sum(
            self.arrival[r][0].memory_kb * weight.get(w, self.s.running_memory_factor)
            for r, w in self.where.items()
        )
        assert kb + len(self.keys) * self.s.key_memory_kb <= self.s.memory_kb, "fall-over: memory"
        running = sum(w == "running" for w in self.where.values())
        assert running <= self.s.cores * self.s.collapse_multiple, "fall-over: cores"
        start = self.now - self.s.call_quota_window_s
        used = sum(max(0.0, min(b, self.now) - max(a, start)) for a, b in self.in_hand)
        used += sum(self.now - max(a, start) for a in self.since.values())
        if self.s.dependency is Dependency.SHARED:
            assert used <= self.s.call_quota * self.s.call_quota_window_s + 1e-6, "fall-over: dependency"

    def may_call(self, request: int) -> bool:
        calls = self.arrival[request][0].class_name in ("once", "ask")
        return calls and self.s.dependency is not Dependency.NONE

    def pick(self, state: str, n: int) -> int | None:
        some = sorted(r for r, w in self.where.items() if w == state)
        return some[n % len(some)] if some else None


def step(h: Host, op: str, n: int, request: int) -> None:
    """One legal event of the kind drawn, if there is one."""
    if op == "arrive":
        kind = CLASSES[n % 4]
        backlog = (0.0, 0.0, 0.3, 1.5)[n // 4 % 4]
        left = (kind.deadline_s, 0.3)[n // 16 % 2]
        due = h.now + left if h.s.propagates_deadline else max(h.now, h.now - backlog + kind.deadline_s)
        known = [k for k in h.keys if k in h.where or k in h.ran]
        prior = max(known) if kind.idempotency is Idempotency.KEYED and n // 32 % 2 and known else None
        event = RequestArrived(
            request,
            kind.name,
            float(5 + n % 40),
            ("a", "")[n % 2],
            time_left_s=left,
            caller_id=n,
            work_hint_s=(None, 0.01, 5.0)[n % 3],
            unread_s=backlog,
            original_id=prior,
        )
        h.arrival[request], h.where[request] = (event, h.now - backlog, due), "held"
        h.owed.add(request)
        h.send(event)
    elif op == "leave" and h.notice == float("inf"):
        h.notice, h.stop = h.now, h.now + 3.5
        h.send(ShutdownNotice(3.5))
    elif op == "gone" and h.owed:
        r = sorted(h.owed)[n % len(h.owed)]
        h.owed.discard(r)
        if h.where[r] in ("held", "paused", "attached"):
            del h.where[r]
        elif h.where[r] in ("at call", "calling"):
            h.call_over(r, lingers=True)
            del h.where[r]
        h.send(RequestAbandoned(r))
    if op in ("running", "attached") and (r := h.pick(op, n)) is not None:
        h.over(r, (Outcome.SUCCESS, Outcome.FAILURE)[n % 2])
    if op == "needs" and (r := h.pick("running", n)) is not None and r in h.owed and h.may_call(r):
        h.where[r] = "at call"
        h.send(CallNeeded(r))
    if op == "called" and (r := h.pick("calling", n)) is not None:
        outcome = (Outcome.SUCCESS, Outcome.TIMED_OUT, Outcome.OVERLOADED, Outcome.FAILURE)[n % 4]
        h.call_over(r, lingers=outcome is Outcome.TIMED_OUT)
        h.where[r] = "running" if outcome is Outcome.SUCCESS else "at call"
        h.send(CallFinished(r, outcome, 0.1))


OPS = (
    "arrive",
    "arrive",
    "arrive",
    "arrive",
    "running",
    "attached",
    "needs",
    "needs",
    "needs",
    "called",
    "gone",
)
SITES = st.builds(
    Settings,
    st.just(CLASSES),
    cores=st.sampled_from((1, 2, 6)),
    memory_kb=st.sampled_from((600.0, 4000.0)),
    tenants=st.sampled_from(((), (Tenant("a", 3.0), Tenant("b", 0.0)))),
    running_memory_factor=st.sampled_from((1.0, 8.0)),
    key_memory_kb=st.sampled_from((0.0, 20.0)),
    starts_cold=st.booleans(),
    cold_speed=st.just(0.3),
    warmup_s=st.just(5.0),
    collapse_multiple=st.sampled_from((2.0, 6.0)),
    preemption=st.sampled_from(Preemption),
    propagates_deadline=st.booleans(),
    load_report_kind=st.sampled_from(LoadReportKind),
    load_report_ttl_s=st.sampled_from((0.0, 1.0)),
    caller_count=st.sampled_from((0, 3, 1000)),
    node_count=st.sampled_from((0, 300)),
    dependency=st.sampled_from(Dependency),
    call_quota=st.sampled_from((0.0, 0.3, 2.0)),
    call_quota_window_s=st.just(5.0),
    abandoned_call_s=st.just(0.2),
    supports_retry_after=st.booleans(),
    max_retry_after_s=st.just(1.0),
    idle_timeout_s=st.sampled_from((0.0, 30.0)),
    weighs_by_work=st.booleans(),
    over_quota_weight=st.just(0.1),
    deep_health_checks=st.booleans(),
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    SITES,
    st.lists(
        st.tuples(st.sampled_from(OPS), st.integers(0, 127), st.sampled_from((0.0, 0.0, 0.01, 0.05, 0.3))),
        min_size=30,
        max_size=120,
    ),
    st.integers(0, 60),
)
def test_rules_hold_under_any_legal_sequence(
    site: Settings, steps: list[tuple[str, int, float]], leave_at: int
) -> None:
    h = Host(site, seed=7)
    for n, (op, choice, dt) in enumerate(steps):
        h.advance(dt)
        if h.now >= h.stop:
            return
        step(h, "leave" if n == leave_at else op, choice, n + 1)
    h.advance(min(6.0, max(0.0, h.stop - h.now)))
    assert not h.owed or h.now < h.stop
