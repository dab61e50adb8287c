"""One test for each guard: each fails when its guard is taken out of the admission controller."""

from __future__ import annotations

import ast
import dataclasses
import heapq
import random
import sys
import tomllib
from pathlib import Path

import pytest

from snowthread.admission import controller
from snowthread.admission.actions import (
    AwaitOriginal,
    Fail,
    ForgetKey,
    PublishLoad,
    Reject,
    RememberKey,
    SetHealth,
    SetIdleTimeout,
    SetTimer,
    SkipCall,
    StartCall,
    StartRun,
    StopRun,
)
from snowthread.admission.blocking import MAX_DEBT_PER_CORE, blocking_probability, target_utilization
from snowthread.admission.concurrency import UPDATE_PERIOD_S
from snowthread.admission.controller import DEADLINE_TIMER, MAX_MEMORY_SHARE, UPDATE_TIMER, Controller
from snowthread.admission.estimators import AVERAGED_REQUESTS
from snowthread.admission.events import (
    CallFinished,
    CallNeeded,
    Event,
    RequestAbandoned,
    RequestArrived,
    RunFinished,
    RunIndeterminate,
    ShutdownNotice,
    Started,
    TimerFired,
)
from snowthread.admission.request import RequestRecord
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

READ = RequestClass("read", latency_objective_s=1.0, deadline_s=3.0)
KEYED = RequestClass(
    "keyed",
    latency_objective_s=1.0,
    deadline_s=3.0,
    idempotency=Idempotency.KEYED,
    idempotency_window_s=10.0,
    priority_weight=3.0,
)
ONCE = RequestClass(
    "once", latency_objective_s=1.0, deadline_s=3.0, idempotency=Idempotency.NON_IDEMPOTENT, may_call=True
)
ASK = RequestClass("ask", latency_objective_s=1.0, deadline_s=3.0, may_call=True, skipped_call_weight=0.5)
PLAIN = Settings(
    classes=(READ, KEYED, ONCE, ASK),
    cores=2,
    memory_kb=1000.0,
    running_memory_factor=4.0,
    key_memory_kb=1.0,
    collapse_multiple=4.0,
    collapse_after_s=2.0,
    drain_grace_s=1.0,
)


def start(**changes: object) -> Controller:
    controller = Controller(dataclasses.replace(PLAIN, **changes), seed=1)  # type: ignore[arg-type]
    controller.handle(0.0, Started())
    return controller


def arrive(c: Controller, now: float, request: int, kind: str = "read", **more: object) -> list[object]:
    fields: dict[str, object] = {"memory_kb": 10.0, **more}
    return list(c.handle(now, RequestArrived(request, kind, **fields)))  # type: ignore[arg-type]


def of(actions: list[object], kind: type) -> list[int]:
    return [a.request_id for a in actions if isinstance(a, kind)]  # type: ignore[attr-defined]


def is_blocked(c: Controller, request: RequestRecord) -> bool:
    return c._blocking_draw.is_blocked(request, c.blocking_probability, c.settings.cores)


def test_formula_is_bergers() -> None:
    beta = 0.071
    assert target_utilization(0.5, 1.0, beta) == 0.5
    assert target_utilization(5.0, 1.0, beta) == pytest.approx(0.7952, abs=1e-4)
    assert blocking_probability(2.0, 1.0, beta) == pytest.approx(1 - 0.7952 / 2, abs=1e-4)
    assert blocking_probability(0.7, 1.0, beta) == 0.0
    assert blocking_probability(1.0, 0.0, beta) == 0.0


def test_runs_up_to_the_cores_and_then_holds() -> None:
    c = start()
    assert of(arrive(c, 0.1, 1), StartRun) == [1]
    assert of(arrive(c, 0.1, 2), StartRun) == [2]
    assert of(arrive(c, 0.1, 3), StartRun) == []
    assert of(c.handle(0.3, RunFinished(1, Outcome.SUCCESS, 0.2)), StartRun) == [3]


def test_due_answer_even_while_running() -> None:
    c = start(preemption=Preemption.PAUSE)
    arrive(c, 0.1, 1)
    actions = c.handle(3.08, TimerFired(DEADLINE_TIMER))
    assert of(actions, Reject) == [1] and of(actions, StopRun) == [1]
    assert of(c.handle(3.09, TimerFired(DEADLINE_TIMER)), Reject) == []


def test_due_answer_of_an_effect_that_runs_is_no_refusal() -> None:
    c = start()
    arrive(c, 0.1, 1, "keyed")
    actions = c.handle(3.08, TimerFired(DEADLINE_TIMER))
    assert of(actions, Fail) == [1] and of(actions, Reject) == []


def test_deadline_told_is_used() -> None:
    c = start(propagates_deadline=True)
    actions = arrive(c, 0.1, 1, time_left_s=0.5)
    assert min(a.delay_s for a in actions if isinstance(a, SetTimer)) <= 0.5


def test_repeat_attaches_and_never_runs() -> None:
    c = start()
    first = arrive(c, 0.1, 1, "keyed")
    assert of(first, RememberKey) == [1]
    second = arrive(c, 0.2, 2, "keyed", original_id=1)
    assert of(second, AwaitOriginal) == [2] and of(second, StartRun) == []


def test_key_is_forgotten_when_it_never_ran_and_kept_when_it_did() -> None:
    c = start()
    for n in (1, 2, 3):
        arrive(c, 0.1, n, "keyed")
    actions = c.handle(3.08, TimerFired(DEADLINE_TIMER))
    assert of(actions, ForgetKey) == [3]
    assert sorted(of(actions, Fail)) == [1, 2]


def test_dropped_effect_does_not_run_again_and_is_answered_at_once() -> None:
    c = start(preemption=Preemption.DROP)
    arrive(c, 0.1, 1, "once")
    actions = c.handle(0.2, RunFinished(1, Outcome.CANCELLED, 0.1))
    assert of(actions, StartRun) == [] and of(actions, Fail) == [1]


def test_what_is_read_just_before_the_stop_is_answered_at_once() -> None:
    # It reached the machine within the grace and lay unread until all else was answered; no timer of its own
    # comes before the stop.
    for busy in (0, 6):
        c = start(propagates_deadline=True)
        for n in range(busy):
            arrive(c, 0.5, 10 + n, time_left_s=9.0)
        c.handle(1.0, ShutdownNotice(2.6))
        c.handle(3.3, TimerFired(DEADLINE_TIMER))
        actions = arrive(c, 3.4, 1, time_left_s=2.0, unread_s=1.9)
        assert of(actions, Reject) == [1] and of(actions, StartRun) == []
        # What is not known here any more but still holds a key has run: its repeat is failed, never refused.
        again = arrive(c, 3.4, 2, "keyed", time_left_s=2.0, unread_s=1.9, original_id=99)
        assert (
            of(again, Fail) == [2]
            and of(again, Reject) == of(again, StartRun) == of(again, AwaitOriginal) == []
        )


def test_a_repeat_is_refused_only_where_what_it_repeats_never_ran() -> None:
    for busy, refused in ((0, False), (4, True)):
        c = start(memory_kb=700.0)
        for n in range(busy):
            arrive(c, 0.1, 100 + n, "keyed")
        assert of(arrive(c, 0.1, 1, "keyed"), StartRun) == ([] if refused else [1])
        ends = []
        for n in range(2, 80):
            actions = arrive(c, 0.2, n, "keyed", original_id=1)
            ends += [
                type(a) for a in actions if isinstance(a, Reject | Fail | AwaitOriginal) and a.request_id == n
            ]
        assert AwaitOriginal in ends and ends[-1] is (Reject if refused else Fail)
        assert (Fail if refused else Reject) not in ends


def test_repeats_fill_no_memory() -> None:
    # A crowd of repeats of one order: each holds memory while it waits for the result.
    c = start(memory_kb=200.0)
    arrive(c, 0.1, 1, "keyed")
    kept = [n for n in range(2, 40) if of(arrive(c, 0.2, n, "keyed", original_id=1), AwaitOriginal)]
    assert 41.0 + 10.0 * len(kept) <= 200.0 and len(kept) > 5


def test_call_is_repeated_only_where_it_never_ran() -> None:
    for outcome, again in (
        (Outcome.TIMED_OUT, False),
        (Outcome.DISCONNECTED, False),
        (Outcome.OVERLOADED, True),
    ):
        c = start(dependency=Dependency.TIER)
        arrive(c, 0.1, 1, "once")
        assert of(c.handle(0.2, CallNeeded(1)), StartCall) == [1]
        now = c.handle(0.3, CallFinished(1, outcome, 0.1))
        later = c.handle(0.4, TimerFired(DEADLINE_TIMER))
        assert (of(later, StartCall) == [1]) is again
        assert (of(now, Fail) == [1]) is not again


def test_calls_in_hand_stay_within_the_share() -> None:
    c = start(dependency=Dependency.SHARED, call_quota=1.0, call_quota_window_s=5.0, cores=20, memory_kb=1e6)
    made = skipped = 0
    for n in range(1, 16):
        actions = arrive(c, 0.1 * n, n, "ask") + list(c.handle(0.1 * n, CallNeeded(n)))
        made += len(of(actions, StartCall))
        skipped += len(of(actions, SkipCall))
    assert skipped > 0 and made * 1.0 < 10


def calling(c: Controller, now: float, request: int, kind: str = "ask") -> list[object]:
    """A request that runs and comes to its call."""
    assert of(arrive(c, now, request, kind), StartRun) == [request]
    return list(c.handle(now, CallNeeded(request)))


def test_a_slow_dependency_has_fewer_calls_in_hand_and_what_cannot_be_skipped_goes_first() -> None:
    c = start(dependency=Dependency.SHARED, call_quota=20.0, call_quota_window_s=5.0, cores=40, memory_kb=1e6)

    def in_hand(now: float, took: float) -> int:
        """Twenty requests come to their calls at once; all calls made take so long."""
        actions: list[object] = []
        for n in range(20):
            actions += calling(c, now + n * 1e-4, round(now * 1000) + n)
        at_once = len(of(actions, StartCall))
        for step in range(1, 200):
            calls, skipped, actions = of(actions, StartCall), of(actions, SkipCall), []
            for request in calls:
                actions += c.handle(now + took * step, CallFinished(request, Outcome.SUCCESS))
            for request in calls + skipped:
                actions += c.handle(now + took * step, RunFinished(request, Outcome.SUCCESS))
            actions += c.handle(now + took * step, TimerFired(UPDATE_TIMER))
            if not (of(actions, StartCall) or of(actions, SkipCall)):
                break
        return at_once

    quick = [in_hand(10.0 * n, 0.01) for n in range(1, 9)]
    slow = [in_hand(100.0 + n, 0.1) for n in range(1, 13)]
    assert quick[-1] > quick[0] == 4  # the floor: a fifth of the share
    assert slow[-1] == 4
    assert of(calling(c, 200.0, 1), StartCall) == [1]
    waits = [request for request in (2, 3, 4, 5) if not of(calling(c, 200.0, request), StartCall)]
    assert waits == [5] and not of(calling(c, 200.0, 6, "once"), StartCall)
    assert of(list(c.handle(200.01, CallFinished(1, Outcome.SUCCESS))), StartCall) == [6]
    assert of(list(c.handle(200.5, TimerFired(DEADLINE_TIMER))), SkipCall) == [
        5
    ]  # a quarter of its time is over


def test_a_spoilt_call_that_may_be_repeated_is_made_again_before_it_is_left_out() -> None:
    c = start(dependency=Dependency.SHARED, call_quota=20.0, call_quota_window_s=5.0)
    assert of(calling(c, 0.1, 1), StartCall) == [1]
    assert not of(list(c.handle(0.2, CallFinished(1, Outcome.DISCONNECTED))), SkipCall)
    assert of(list(c.handle(0.3, TimerFired(DEADLINE_TIMER))), StartCall) == [1]
    assert of(list(c.handle(0.4, CallFinished(1, Outcome.OVERLOADED))), SkipCall) == [1]  # not spoilt


def test_a_few_calls_that_hang_do_not_pass_for_a_crowd() -> None:
    c = start(dependency=Dependency.SHARED, call_quota=20.0, call_quota_window_s=5.0, cores=40, memory_kb=1e6)
    now = 1.0
    for n in range(1, 200):  # one in ten hangs and is given up; the others are quick
        now += 1.0
        calling(c, now, n, "once")
        hung = n % 10 == 0
        c.handle(
            now + (0.4 if hung else 0.02), CallFinished(n, Outcome.TIMED_OUT if hung else Outcome.SUCCESS)
        )
        c.handle(now + 0.45, RunFinished(n, Outcome.CANCELLED if hung else Outcome.SUCCESS))
        c.handle(now + 0.5, TimerFired(UPDATE_TIMER))
    assert c.estimates.call_time_s[2] < 0.06 and c.estimates.slow_call_share < 0.5
    made = [list(calling(c, 300.0, n, "once")) for n in range(301, 306)]
    assert sum(len(of(actions, StartCall)) for actions in made) == 4  # the floor, and none less
    for n in range(301, 305):
        c.handle(300.02, CallFinished(n, Outcome.SUCCESS))
    assert c._calls._limit >= 4.0


def test_calls_that_hang_keep_no_others_waiting_and_are_given_up() -> None:
    c = start(dependency=Dependency.SHARED, call_quota=20.0, call_quota_window_s=5.0, cores=40, memory_kb=1e6)
    for n in range(1, 6):  # how long a call takes is known by now
        for kind, request in (("ask", n), ("once", 10 + n)):
            assert of(calling(c, 0.1 * n, request, kind), StartCall) == [request]
            c.handle(0.1 * n + 0.02, CallFinished(request, Outcome.SUCCESS))
    hung = [list(calling(c, 1.0, request, "once")) for request in range(21, 25)]
    assert [action.timeout_s for actions in hung for action in actions if isinstance(action, StartCall)] == [
        pytest.approx(20 * 0.02)
    ] * 4
    assert not of(calling(c, 1.01, 31, "once"), StartCall)  # no slot is free, as far as is known
    assert of(list(c.handle(1.13, TimerFired(DEADLINE_TIMER))), StartCall) == [31]


def test_a_run_that_nothing_is_heard_of_frees_its_place_and_fails_before_its_time() -> None:
    c = start()
    arrive(c, 0.1, 1, "keyed")
    arrive(c, 0.1, 2)
    assert not of(arrive(c, 0.2, 3), StartRun)
    assert of(list(c.handle(0.3, RunIndeterminate(1))), StartRun) == [3]
    assert not of(list(c.handle(0.9, TimerFired(DEADLINE_TIMER))), Fail)
    actions = list(c.handle(1.4, TimerFired(DEADLINE_TIMER)))
    assert of(actions, Fail) == [1] and of(actions, Reject) == []
    arrive(c, 1.5, 4, "ask")
    assert of(list(c.handle(1.6, RunFinished(2, Outcome.SUCCESS))), StartRun) == [4]
    assert of(list(c.handle(1.7, RunIndeterminate(4, at_call=True))), SkipCall) == [4]


def test_alarms_do_not_multiply() -> None:
    c, rng = start(propagates_deadline=True, cores=4), random.Random(1)
    due: list[tuple[float, int]] = []
    alarms, now, arrives, read = 0, 0.0, 0.02, 0

    def post(event: Event) -> None:
        for action in c.handle(now, event):
            if isinstance(action, SetTimer):
                heapq.heappush(due, (now + action.delay_s, action.label))

    while now < 20.0:
        if due and due[0][0] < arrives:
            now, label = heapq.heappop(due)
            alarms += label == DEADLINE_TIMER
            post(TimerFired(label))
        else:
            now, arrives, read = arrives, arrives + 0.02, read + 1
            post(RequestArrived(read, "read", time_left_s=rng.uniform(0.2, 3.0)))
            post(RunFinished(read - 10, Outcome.SUCCESS))
    assert alarms < 300 < read


def test_a_key_is_free_again_where_nothing_was_begun() -> None:
    c = start()
    assert of(arrive(c, 0.1, 1, "keyed"), RememberKey) == [1]
    assert of(list(c.handle(0.2, RunFinished(1, Outcome.NOT_STARTED))), ForgetKey) == [1]


def test_nothing_runs_that_came_after_the_grace() -> None:
    c = start()
    actions = c.handle(1.0, ShutdownNotice(5.0))
    assert any(isinstance(a, SetHealth) and not a.healthy for a in actions)
    assert of(arrive(c, 1.5, 1), StartRun) == [1]
    late = arrive(c, 2.2, 2)
    assert of(late, StartRun) == [] and of(late, Reject) == [2]
    assert of(arrive(c, 2.2, 3, unread_s=0.5), StartRun) == [3]


def test_all_is_answered_before_the_stop() -> None:
    c = start(cores=1)
    arrive(c, 0.1, 1)
    arrive(c, 0.1, 2)
    c.handle(0.2, ShutdownNotice(1.0))
    actions = c.handle(0.95, TimerFired(DEADLINE_TIMER))
    assert sorted(of(actions, Reject) + of(actions, Fail)) == [1, 2]


def test_memory_is_never_exceeded() -> None:
    c = start(cores=50, memory_kb=385.0)
    ran = sum(len(of(arrive(c, 0.1, n), StartRun)) for n in range(1, 40))
    assert ran == 8  # a ninth run of 40 kB would pass the share of memory that is used
    assert c._open.memory.used_kb <= MAX_MEMORY_SHARE * 385.0


def test_crowd_ceiling_follows_the_cold_ramp() -> None:
    c = start(starts_cold=True, cold_speed=0.25, warmup_s=10.0)
    assert c.concurrency.ceiling(0.0) < c.concurrency.ceiling(5.0) < c.concurrency.ceiling(10.0) <= 2 * 4.0
    assert c.concurrency.ceiling(0.0) >= 2


def test_limit_grows_while_cores_idle_and_work_waits() -> None:
    c = start()
    for n in range(1, 6):
        arrive(c, 0.1, n)
    c.handle(0.25, TimerFired(UPDATE_TIMER, core_utilization=0.3))
    assert c.concurrency.limit == 2  # the cores were not asked for all of what the gauge looks back on
    c.handle(0.5, TimerFired(UPDATE_TIMER, core_utilization=0.3))
    c.handle(0.75, TimerFired(UPDATE_TIMER, core_utilization=0.3))
    assert 2 < c.concurrency.limit <= c.concurrency.ceiling(0.75)


def test_rejects_settings_it_cannot_work_with() -> None:
    for field, value in (
        ("cores", 0),
        ("classes", ()),
        ("abandoned_call_s", -1.0),
        ("memory_kb", 0.0),
        ("idle_timeout_s", -1.0),
        ("load_report_ttl_s", float("nan")),
        ("memory_kb", float("nan")),
    ):
        with pytest.raises(ValueError, match=field):
            start(**{field: value})


def test_over_and_unknown_requests_do_nothing() -> None:
    c = start()
    arrive(c, 0.1, 1)
    c.handle(0.2, RunFinished(1, Outcome.SUCCESS, 0.1))
    assert c.handle(0.3, RunFinished(1, Outcome.SUCCESS, 0.1)) == []
    assert c.handle(0.3, CallNeeded(9)) == [] and c.handle(0.3, CallFinished(9, Outcome.SUCCESS)) == []


ROOT = Path(__file__).parents[2]
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]]
TYPES = [  # types, tables and generic arithmetic: they decide nothing
    ROOT / "snowthread/admission" / name
    for name in (
        "settings.py",
        "events.py",
        "actions.py",
        "request.py",
        "statistics.py",
        "class_times.py",
        "cores.py",
        "memory.py",
        "open_requests.py",
        "call_table.py",
        "tenant_table.py",
        "timer_queue.py",
    )
]


def imported(path: Path) -> set[str]:
    """The modules that a file imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            for alias in node.names:
                submodule = ROOT.joinpath(*(node.module or "").split("."), f"{alias.name}.py")
                names.add(module_name(submodule) if submodule.exists() else node.module or "")
    return names


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts)


def test_module_keeps_its_bounds() -> None:
    lines = [line for path in POLICY for line in path.read_text().splitlines() if line.strip()]
    assert Path(controller.__file__) in POLICY
    assert len(lines) <= 800 and max(map(len, lines)) <= 110


def test_module_and_its_types_import_nothing_else_of_the_program() -> None:
    for paths, ours in ((POLICY, POLICY + TYPES), (TYPES, TYPES)):
        allowed = set(map(module_name, ours))
        for path in paths:
            for name in imported(path):
                assert name in allowed or name.split(".")[0] in sys.stdlib_module_names, (path, name)


def test_retry_timer_that_fires_a_hair_early_does_not_spin() -> None:
    c = start(dependency=Dependency.TIER)
    arrive(c, 0.1, 1, "once")
    c.handle(0.2, CallNeeded(1))
    c.handle(0.3, CallFinished(1, Outcome.OVERLOADED, 0.1))
    retry_at = c._open.by_id[1].retry_at
    c.handle(retry_at - 0.01, TimerFired(DEADLINE_TIMER))
    assert of(c.handle(retry_at - 1e-7, TimerFired(DEADLINE_TIMER)), StartCall) == [1]


def test_a_short_wait_left_is_no_sign_of_age() -> None:
    # Calls between tiers come with whatever their caller has left: that says nothing of their aim.
    c = start(propagates_deadline=True)
    arrive(c, 0.1, 1, time_left_s=3.0)
    c.handle(0.3, RunFinished(1, Outcome.SUCCESS, 0.2))
    for n in (2, 3):
        arrive(c, 0.4, n, time_left_s=1.6)
    actions = arrive(c, 0.4, 4, time_left_s=1.6)
    assert of(actions, Reject) == [] and 4 in c._open.queued


def test_what_lay_unread_too_long_is_turned_away_at_once() -> None:
    c = start()
    arrive(c, 0.1, 1)
    c.handle(0.5, RunFinished(1, Outcome.SUCCESS, 0.4))
    assert of(arrive(c, 2.0, 3, unread_s=0.1), StartRun) == [3]
    late = arrive(c, 2.0, 2, unread_s=0.9)
    assert of(late, StartRun) == [] and of(late, Reject) == [2]


def test_run_times_learned_too_long_are_unlearned() -> None:
    c = start()
    c.estimates.run_time_s[0] = c.estimates.core_time_s[0] = c.estimates.base_core_time_s[0] = 50.0
    for n in range(1, 12):
        assert of(arrive(c, 1.5 * n, n), StartRun) == [n]
        c.handle(1.5 * n + 0.2, RunFinished(n, Outcome.SUCCESS, 0.2))
    assert c.estimates.run_time_s[0] * c.estimates.work_of(0, None) < 5.0


def test_refusals_say_when_to_come_back_and_say_b_where_nothing_is_published() -> None:
    for signal, said in ((LoadReportKind.NONE, 1.0), (LoadReportKind.LEVEL, 0.2)):
        c = start(supports_retry_after=True, max_retry_after_s=1.0, caller_count=4, load_report_kind=signal)
        for n in (1, 2, 3):
            arrive(c, 0.1, n)
        c.blocking_probability, c.estimates.request_rate = 1.0 - 1e-9, 20.0
        (refusal,) = [a for a in arrive(c, 0.2, 4) if isinstance(a, Reject)]
        assert refusal.retry_after_s == said


def test_published_share_settles_instead_of_running_on() -> None:
    # Callers hear a share a second late: computed without that lag it would climb to the end meanwhile.
    c = start(load_report_kind=LoadReportKind.LEVEL, cores=4, memory_kb=1e6)
    now = 0.0
    said: list[float] = []
    for n in range(80):
        now += UPDATE_PERIOD_S
        passing = 1.0 - (said[n - 4] if n >= 4 else 0.0)
        c.estimates.work_arrived = 14.0 * passing * UPDATE_PERIOD_S
        c.estimates.requests_read = round(40 * passing * UPDATE_PERIOD_S)
        c.estimates.work_done = 10.0 * UPDATE_PERIOD_S
        c.handle(now, TimerFired(UPDATE_TIMER, core_utilization=1.0))
        said.append(c._load_report.published_share)
    wanted = 1.0 - target_utilization(99.0, 10.0, c.estimates.abandonment_ratio()) * 10.0 / 14.0
    assert max(said) < wanted + 0.12 and abs(said[-1] - wanted) < 0.05


def test_large_request_on_a_slow_server_walks_on_early() -> None:
    c = start()
    arrive(c, 0.1, 1, work_hint_s=0.2)
    c.handle(0.5, RunFinished(1, Outcome.SUCCESS, 0.4))
    assert of(arrive(c, 1.0, 3, work_hint_s=0.2), StartRun) == [3]
    large = [a for a in arrive(c, 1.0, 2, work_hint_s=1.0) if isinstance(a, Reject)]
    assert [a.request_id for a in large] == [2] and not large[0].do_not_retry


def test_the_service_rate_is_right_from_the_first_full_cores_on() -> None:
    # Two cores, runs of a second, from an empty server: ends come a run's length after the cores are full.
    c = start()
    for n in (1, 2, 3, 4):
        arrive(c, 0.01, n, "ask", time_left_s=60.0)
    c.handle(
        1.01, RunFinished(1, Outcome.SUCCESS, 1.0)
    )  # from the first end on it is known how long runs take
    c.handle(1.01, RunFinished(2, Outcome.SUCCESS, 1.0))
    rates, now = [], 1.01
    for period in range(1, 20):
        now = 1.01 + 0.25 * period
        if period % 4 == 0:
            for n in (3, 4):
                c.handle(now - 0.001, RunFinished(period // 4 * 2 + n - 2, Outcome.SUCCESS, 1.0))
            for n in (1, 2):
                arrive(c, now - 0.001, period // 4 * 2 + n + 2, "ask", time_left_s=60.0)
        c.handle(now, TimerFired(UPDATE_TIMER, core_utilization=1.0, core_demand=2.0))
        if c.estimates.service_rate:
            rates.append(c.estimates.service_rate)
    assert len(rates) > 10 and all(1.9 < rate < 2.1 for rate in rates), rates


def test_last_is_drawn_with_what_a_server_at_its_best_rate_would_turn_away() -> None:
    # 20 arrivals a second: as many as a healthy server can take twice over, or just what it can take.
    for b, mu, best, cold, low, high in (
        (0.0, 10.0, 10.0, False, 0.0, 0.0),
        (0.5, 10.0, 10.0, False, 0.4, 0.7),
        (0.9, 2.0, 30.0, False, 0.0, 0.0),
        (0.9, 2.0, 10.0, False, 0.4, 0.7),
        (0.5, 10.0, 10.0, True, 0.0, 0.0),
    ):
        c = start(starts_cold=cold, warmup_s=10.0)
        arrive(c, 0.1, 1)
        c.handle(0.5, RunFinished(1, Outcome.SUCCESS, 0.4))
        (
            c.blocking_probability,
            c.estimates.service_rate,
            c.estimates.best_work_speed,
            c.estimates.arrival_rate,
        ) = b, mu, best, 20.0
        said = []
        for n in range(2, 402):
            said += [a.do_not_retry for a in arrive(c, 1.0, n, unread_s=0.65) if isinstance(a, Reject)]
        assert len(said) > 300 and low <= sum(said) / len(said) <= high


def test_each_kind_of_signal_asks_for_less_in_overload() -> None:
    for signal in (LoadReportKind.LEVEL, LoadReportKind.CREDIT, LoadReportKind.WEIGHT):
        c = start(load_report_kind=signal, caller_count=2)
        values: list[float] = []
        for n in range(1, 30):
            c.estimates.work_arrived, c.estimates.work_done = 5.0, 2.0
            out = c.handle(n * UPDATE_PERIOD_S, TimerFired(UPDATE_TIMER, core_utilization=1.0))
            values += [a.value for a in out if isinstance(a, PublishLoad)]
        assert len(values) > 5
        assert (values[-1] > values[0]) is (signal is LoadReportKind.LEVEL)


def test_same_events_same_actions() -> None:
    def play() -> list[object]:
        c = start(load_report_kind=LoadReportKind.LEVEL)
        out: list[object] = []
        for n in range(1, 60):
            out += arrive(c, n * 0.05, n, ("read", "keyed", "once")[n % 3])
            if n % 4 == 0:
                out += c.handle(n * 0.05, RunFinished(n // 4, Outcome.SUCCESS, 0.2))
            if n % 5 == 0:
                out += c.handle(n * 0.05, TimerFired(UPDATE_TIMER, core_utilization=1.0, core_demand=4.0))
        return out

    assert play() == play()


def test_after_trouble_blocking_and_limit_recover() -> None:
    c = start(load_report_kind=LoadReportKind.LEVEL)
    now = 0.0
    for _ in range(60):
        now += UPDATE_PERIOD_S
        c.estimates.work_arrived, c.estimates.work_done = 8.0, 1.0
        c.handle(now, TimerFired(UPDATE_TIMER, core_utilization=1.0, core_demand=4.0))
    assert c.blocking_probability > 0.5 and c._load_report.published_share > 0.5
    for _ in range(40):  # ten calm seconds
        now += UPDATE_PERIOD_S
        c.estimates.work_arrived, c.estimates.work_done = 0.3, 0.3
        c.handle(now, TimerFired(UPDATE_TIMER, core_utilization=0.3, core_demand=1.0))
    assert (
        c.blocking_probability == 0.0 and c._load_report.published_share < 0.05 and c.concurrency.limit == 2.0
    )


def test_runs_and_calls_together_stay_under_the_crowd() -> None:
    # All that stands at calls may come back to the cores at once.
    c = start(dependency=Dependency.TIER, memory_kb=1e6)
    for n in range(1, 20):
        for started in of(arrive(c, 0.1, n, "ask"), StartRun):
            c.handle(0.1, CallNeeded(started))
    assert c._open.cores.running + len(c._calls.table.in_flight) <= c.concurrency.ceiling(0.1) + 1


def test_idle_connections_close_early_where_callers_hardly_come_back() -> None:
    # A thousand callers on a hundred slots: kept for their full idle time they fill the table.
    for upstreams, idle_s, early in ((1000, 30.0, True), (4, 30.0, False), (1000, 0.0, False)):
        c = start(caller_count=upstreams, idle_timeout_s=idle_s)
        said: list[float] = []
        for n in range(1, 120):
            arrive(c, n * 0.2, n)
            said += [
                a.timeout_s
                for a in c.handle(n * 0.2, TimerFired(UPDATE_TIMER))
                if isinstance(a, SetIdleTimeout)
            ]
        assert (0.0 < said[-1] < idle_s if said else False) is early


def test_a_share_that_hardly_anyone_hears_is_not_taken_for_heard() -> None:
    # Hundreds of callers come back here once a minute and keep a value for a second: the rate that comes in
    # has passed no share, so b carries it and the share stays at b instead of running to its end.
    shares = []
    for upstreams in (1, 400):
        c = start(
            load_report_kind=LoadReportKind.LEVEL,
            cores=4,
            memory_kb=1e6,
            caller_count=upstreams,
            load_report_ttl_s=1.0,
        )
        for n in range(1, 100):
            c.estimates.work_arrived, c.estimates.requests_read, c.estimates.work_done = (
                14.0 * UPDATE_PERIOD_S,
                4,
                10.0 * UPDATE_PERIOD_S,
            )
            c.handle(n * UPDATE_PERIOD_S, TimerFired(UPDATE_TIMER, core_utilization=1.0))
        assert c.blocking_probability > 0.3
        shares.append(c._load_report.published_share - c.blocking_probability)
    assert shares[0] > 0.2 and abs(shares[1]) < 0.05


def test_arrivals_are_averaged_over_requests_not_over_seconds() -> None:
    spans = []
    for rate in (4, 40):
        c = start()
        for _ in range(1, 40):
            c.estimates.work_arrived, c.estimates.requests_read = 2.0 * rate * UPDATE_PERIOD_S, rate // 4
            c.estimates.update(UPDATE_PERIOD_S, full=False)
            assert c.estimates.arrival_rate == pytest.approx(2.0 * rate)  # from the first period on
        spans.append(c.estimates.averaging_span_s() * rate)
    assert spans[1] == pytest.approx(AVERAGED_REQUESTS) and spans[0] <= AVERAGED_REQUESTS


def test_hints_are_believed_as_far_as_core_times_bear_them_out() -> None:
    for true, low, high in ((1.0, 3.0, 4.01), (0.0, 0.99, 1.5)):
        c = start()
        for n in range(1, 200):
            hint = (0.1, 0.4)[n % 2]
            arrive(c, n * 1.0, n, work_hint_s=hint)
            took = 0.2 * (hint / 0.2) ** true
            c.handle(n * 1.0 + took, RunFinished(n, Outcome.SUCCESS, took))
        ratio = c.estimates.work_of(0, 0.4) / c.estimates.work_of(0, 0.1)
        assert low <= ratio <= high


def test_a_tenant_is_over_its_share_by_what_of_it_ran_not_by_what_it_sends() -> None:
    # A share of one request a second at this server, four sent: where all of them run the next is over the
    # share, where one in five runs it is worth its full.
    for every, low, high in ((1, 0.04, 0.2), (5, 0.8, 1.0)):
        c = start(tenants=(Tenant("t", 100.0), Tenant("none", 0.0)), node_count=100, over_quota_weight=0.05)
        now, seen = 0.0, []
        for n in range(200):
            now += 0.25
            seen.append(c._quotas.weight(now, "t"))
            if n % every == 0:
                c._quotas.run_started(now, "t")
        assert low <= sum(seen[100:]) / 100 <= high
        assert c._quotas.weight(now, "none") == 1.0 and c._quotas.weight(now, "nobody") == 1.0


def test_a_first_try_goes_before_a_further_one_whose_age_is_not_told() -> None:
    for marked, first in ((True, 4), (False, 3)):
        c = start(memory_kb=1e6)
        for n in (1, 2, 3):
            arrive(c, 0.1, n, is_retry=marked)
        arrive(c, 0.1, 4)
        assert of(c.handle(0.3, RunFinished(1, Outcome.SUCCESS, 0.2)), StartRun) == [first]


def test_a_refusal_of_the_dear_passes_to_the_cheap() -> None:
    # As many are turned away as b says, but among those worth less; where all are worth the same, by chance.
    dear = dataclasses.replace(KEYED, priority_weight=10.0, idempotency=Idempotency.IDEMPOTENT)
    for kinds, most in (((READ, dear), 0.06), ((READ, dataclasses.replace(dear, priority_weight=1.0)), 0.5)):
        c = start(classes=kinds, memory_kb=1e6)
        c.blocking_probability, refused, count = 0.4, {"read": 0, "keyed": 0}, {"read": 0, "keyed": 0}
        for n in range(1, 2000):
            kind = ("read", "keyed")[n % 5 == 0]
            q = RequestRecord(
                n, 0, READ, 0.0, 3.0, 1.0, 1.0, 1.0, 1.0, kinds[kind == "keyed"].priority_weight
            )
            refused[kind] += is_blocked(c, q)
            count[kind] += 1
        assert sum(refused.values()) / 2000 == pytest.approx(0.4, abs=0.04)
        assert refused["keyed"] / count["keyed"] <= most
        assert most < 0.1 or refused["keyed"] / count["keyed"] == pytest.approx(0.4, abs=0.08)


def test_the_debt_of_refusals_passed_on_is_bounded() -> None:
    c = start(memory_kb=1e6)
    c.blocking_probability, c._blocking_draw._mean_weight = 1.0, 1.0  # nothing cheap comes any more
    some = [RequestRecord(n, 0, READ, 0.0, 3.0, 1.0, 1.0, 1.0, 1.0, 10.0 + n) for n in range(50)]
    assert sum(not is_blocked(c, q) for q in some) == MAX_DEBT_PER_CORE * 2


def test_nothing_is_turned_away_for_a_debt_while_b_is_zero() -> None:
    c = start(memory_kb=1e6)
    c._blocking_draw._mean_weight, c._blocking_draw._debt = 2.0, 3.0
    cheap = RequestRecord(1, 0, READ, 0.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0)
    assert not is_blocked(c, cheap)
    c.blocking_probability = 1e-9
    assert is_blocked(c, cheap)


def test_idle_connections_stay_while_requests_lie_unread() -> None:
    # A storm of retries: with connections closed early each try opens one, and a full table is the only door.
    said: list[float] = []
    c = start(caller_count=1000, idle_timeout_s=30.0)
    for n in range(1, 240):
        backlog = 0.8 if 90 <= n < 120 else 0.0
        arrive(c, n * 0.25, n, unread_s=backlog)
        said += [
            a.timeout_s for a in c.handle(n * 0.25, TimerFired(UPDATE_TIMER)) if isinstance(a, SetIdleTimeout)
        ]
        if n == 89:
            assert said[-1] == UPDATE_PERIOD_S
        elif n == 119:
            assert said[-1] == 30.0
    assert said[-1] < 2.0


def test_a_table_of_connections_that_stands_still_at_its_most_is_closed_early() -> None:
    for links, early in ((lambda n: min(90, 3 * n), True), (lambda n: 60 + n % 30, False)):
        c = start(caller_count=150, idle_timeout_s=30.0)
        said: list[float] = []
        for n in range(1, 120):
            arrive(c, n * 0.25, n)
            out = c.handle(n * 0.25, TimerFired(UPDATE_TIMER, connections=float(links(n))))
            said += [a.timeout_s for a in out if isinstance(a, SetIdleTimeout)]
        assert (bool(said) and 0.0 < said[-1] < 30.0) is early


def test_a_server_far_slower_than_it_was_leaves_the_list_and_comes_back() -> None:
    # Full cores throughout: healthy, then far slower; or as many arrivals more, read and turned away.
    for done, read, leaves in ((0.1, 1, True), (0.1, 8, False)):
        c = start()
        health: list[bool] = []
        for n in range(1, 160):
            slow = 60 <= n < 100
            c.estimates.work_done, c.estimates.requests_read = (done, read) if slow else (2.0, 1)
            out = c.handle(n * UPDATE_PERIOD_S, TimerFired(UPDATE_TIMER, core_utilization=1.0))
            health += [a.healthy for a in out if isinstance(a, SetHealth)]
        assert health == ([False, True] if leaves else [])


def test_a_leaving_server_does_not_come_back_to_the_list() -> None:
    c = start()
    c.estimates.work_speed, c.estimates.best_work_speed = 1.0, 10.0
    c.handle(0.25, TimerFired(UPDATE_TIMER, core_utilization=1.0))
    c.handle(0.5, ShutdownNotice(60.0))
    out = [
        a for n in range(3, 80) for a in c.handle(n * 0.25, TimerFired(UPDATE_TIMER, core_utilization=0.1))
    ]
    assert not any(isinstance(a, SetHealth) for a in out)


def test_settings_that_are_absent_zero_or_absurd_lead_to_a_working_default() -> None:
    odd: tuple[dict[str, object], ...] = (
        {"caller_count": 0},
        {"node_count": 0},
        {"caller_count": 10**9, "node_count": 10**9},
        {"call_quota": 0.0},
        {"tenants": (Tenant("t", 0.0),)},
        {"tenants": (Tenant("t", 1e-9),)},
        {"load_report_ttl_s": 0.0},
        {"idle_timeout_s": 1e12},
        {"warmup_s": 1e12, "starts_cold": True},
        {"collapse_after_s": 0.0},
    )
    for changes in odd:
        for signal in LoadReportKind:
            c = start(
                load_report_kind=signal,
                dependency=Dependency.SHARED,
                supports_retry_after=True,
                max_retry_after_s=1.0,
                **changes,
            )
            running: list[int] = []
            for n in range(1, 100):
                running += of(arrive(c, n * 0.1, n, ("read", "ask")[n % 2], tenant="t"), StartRun)
                if n % 3 == 0 and running:
                    c.handle(n * 0.1, RunFinished(running.pop(0), Outcome.SUCCESS, 0.2))
                if n % 5 == 0:
                    c.handle(
                        n * 0.1,
                        TimerFired(UPDATE_TIMER, core_utilization=1.0, core_demand=2.0, connections=float(n)),
                    )
            assert (
                0.0 <= c.blocking_probability <= 1.0
                and 0.0 <= c._load_report.published_share <= 1.0
                and c.concurrency.limit >= 2.0
            )


def test_a_share_of_zero_makes_no_call_and_a_tiny_one_is_charged_what_calls_used() -> None:
    for share, most in ((0.0, 0), (0.02, 2)):
        c = start(
            dependency=Dependency.SHARED, call_quota=share, call_quota_window_s=5.0, abandoned_call_s=0.2
        )
        made = 0
        for n in range(1, 12):
            arrive(c, 3.0 * n, n, "once")
            calls = of(c.handle(3.0 * n, CallNeeded(n)), StartCall)
            made += len(calls)
            if calls:
                c.handle(3.0 * n + 0.05, CallFinished(n, Outcome.TIMED_OUT, 0.05))
            c.handle(3.0 * n + 1.0, RequestAbandoned(n))
            c.handle(3.0 * n + 1.0, RunFinished(n, Outcome.CANCELLED, 1.0))
        assert made <= most


def test_a_run_that_ends_as_it_starts_divides_by_nothing() -> None:
    c = start()
    for n in range(1, 4):
        arrive(c, 1.0, n, work_hint_s=0.2)
        c.handle(1.0, RunFinished(n, Outcome.SUCCESS, 0.0))
    assert c.estimates.work_of(0, 0.2) > 0.0
