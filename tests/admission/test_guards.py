"""One test for each guard: each fails when its guard is taken out of decide.py."""

from __future__ import annotations

import ast
import dataclasses
import heapq
import random
import sys
from pathlib import Path

import pytest

from snowthread.admission import controller as decide
from snowthread.admission.controller import ALARM, TICK, Controller, blocking, target_load
from snowthread.admission.interface import (
    Arrival,
    AtCall,
    Attach,
    Below,
    Call,
    CallEnded,
    CallerGone,
    CloseIdle,
    Effect,
    Event,
    Fail,
    ForgetKey,
    KeepKey,
    LeaveNotice,
    Outcome,
    Preempt,
    Preemption,
    Refuse,
    RequestClass,
    Run,
    RunDoubted,
    RunEnded,
    SetHealth,
    SetTimer,
    Settings,
    SkipCall,
    Started,
    Tenant,
    TimerFired,
)

READ = RequestClass("read", goal_s=1.0, deadline_s=3.0)
KEYED = RequestClass("keyed", goal_s=1.0, deadline_s=3.0, effect=Effect.KEYED, window_s=10.0, worth=3.0)
ONCE = RequestClass("once", goal_s=1.0, deadline_s=3.0, effect=Effect.UNSAFE, may_call=True)
ASK = RequestClass("ask", goal_s=1.0, deadline_s=3.0, may_call=True, skip_worth=0.5)
PLAIN = Settings(classes=(READ, KEYED, ONCE, ASK), cores=2, memory_kb=1000.0, run_factor=4.0, key_kb=1.0,
                 fall_multiple=4.0, overload_for_s=2.0, drain_grace_s=1.0)


def start(**changes: object) -> Controller:
    controller = Controller(dataclasses.replace(PLAIN, **changes), seed=1)  # type: ignore[arg-type]
    controller.handle(0.0, Started())
    return controller


def arrive(c: Controller, now: float, request: int, kind: str = "read", **more: object) -> list[object]:
    fields: dict[str, object] = {"held_kb": 10.0, **more}
    return list(c.handle(now, Arrival(request, kind, **fields)))  # type: ignore[arg-type]


def of(actions: list[object], kind: type) -> list[int]:
    return [a.request for a in actions if isinstance(a, kind)]  # type: ignore[attr-defined]


def test_formula_is_bergers() -> None:
    beta = 0.071
    assert target_load(0.5, 1.0, beta) == 0.5
    assert target_load(5.0, 1.0, beta) == pytest.approx(0.7952, abs=1e-4)
    assert blocking(2.0, 1.0, beta) == pytest.approx(1 - 0.7952 / 2, abs=1e-4)
    assert blocking(0.7, 1.0, beta) == 0.0
    assert blocking(1.0, 0.0, beta) == 0.0


def test_runs_up_to_the_cores_and_then_holds() -> None:
    c = start()
    assert of(arrive(c, 0.1, 1), Run) == [1]
    assert of(arrive(c, 0.1, 2), Run) == [2]
    assert of(arrive(c, 0.1, 3), Run) == []
    assert of(c.handle(0.3, RunEnded(1, Outcome.SUCCESS, 0.2)), Run) == [3]


def test_due_answer_even_while_running() -> None:
    c = start(preemption=Preemption.PAUSE)
    arrive(c, 0.1, 1)
    actions = c.handle(3.08, TimerFired(ALARM))
    assert of(actions, Refuse) == [1] and of(actions, Preempt) == [1]
    assert of(c.handle(3.09, TimerFired(ALARM)), Refuse) == []


def test_due_answer_of_an_effect_that_runs_is_no_refusal() -> None:
    c = start()
    arrive(c, 0.1, 1, "keyed")
    actions = c.handle(3.08, TimerFired(ALARM))
    assert of(actions, Fail) == [1] and of(actions, Refuse) == []


def test_deadline_told_is_used() -> None:
    c = start(passes_deadline=True)
    actions = arrive(c, 0.1, 1, left_s=0.5)
    assert min(a.after_s for a in actions if isinstance(a, SetTimer)) <= 0.5


def test_repeat_attaches_and_never_runs() -> None:
    c = start()
    first = arrive(c, 0.1, 1, "keyed")
    assert of(first, KeepKey) == [1]
    second = arrive(c, 0.2, 2, "keyed", prior=1)
    assert of(second, Attach) == [2] and of(second, Run) == []


def test_key_is_forgotten_when_it_never_ran_and_kept_when_it_did() -> None:
    c = start()
    for n in (1, 2, 3):
        arrive(c, 0.1, n, "keyed")
    actions = c.handle(3.08, TimerFired(ALARM))
    assert of(actions, ForgetKey) == [3]
    assert sorted(of(actions, Fail)) == [1, 2]


def test_dropped_effect_does_not_run_again_and_is_answered_at_once() -> None:
    c = start(preemption=Preemption.DROP)
    arrive(c, 0.1, 1, "once")
    actions = c.handle(0.2, RunEnded(1, Outcome.WITHDRAWN, 0.1))
    assert of(actions, Run) == [] and of(actions, Fail) == [1]


def test_what_is_read_just_before_the_stop_is_answered_at_once() -> None:
    # It reached the machine within the grace and lay unread until all else was answered; no timer of its own
    # comes before the stop.
    for busy in (0, 6):
        c = start(passes_deadline=True)
        for n in range(busy):
            arrive(c, 0.5, 10 + n, left_s=9.0)
        c.handle(1.0, LeaveNotice(2.6))
        c.handle(3.3, TimerFired(ALARM))
        actions = arrive(c, 3.4, 1, left_s=2.0, backlog_s=1.9)
        assert of(actions, Refuse) == [1] and of(actions, Run) == []
        # What is not known here any more but still holds a key has run: its repeat is failed, never refused.
        again = arrive(c, 3.4, 2, "keyed", left_s=2.0, backlog_s=1.9, prior=99)
        assert of(again, Fail) == [2] and of(again, Refuse) == of(again, Run) == of(again, Attach) == []


def test_a_repeat_is_refused_only_where_what_it_repeats_never_ran() -> None:
    for busy, refused in ((0, False), (4, True)):
        c = start(memory_kb=700.0)
        for n in range(busy):
            arrive(c, 0.1, 100 + n, "keyed")
        assert of(arrive(c, 0.1, 1, "keyed"), Run) == ([] if refused else [1])
        ends = []
        for n in range(2, 80):
            actions = arrive(c, 0.2, n, "keyed", prior=1)
            ends += [type(a) for a in actions if isinstance(a, Refuse | Fail | Attach) and a.request == n]
        assert Attach in ends and ends[-1] is (Refuse if refused else Fail)
        assert (Fail if refused else Refuse) not in ends


def test_repeats_fill_no_memory() -> None:
    # A crowd of repeats of one order: each holds memory while it waits for the result.
    c = start(memory_kb=200.0)
    arrive(c, 0.1, 1, "keyed")
    kept = [n for n in range(2, 40) if of(arrive(c, 0.2, n, "keyed", prior=1), Attach)]
    assert 41.0 + 10.0 * len(kept) <= 200.0 and len(kept) > 5


def test_call_is_repeated_only_where_it_never_ran() -> None:
    for outcome, again in ((Outcome.TIMED_OUT, False), (Outcome.BROKEN, False), (Outcome.OVERLOADED, True)):
        c = start(below=Below.TIER)
        arrive(c, 0.1, 1, "once")
        assert of(c.handle(0.2, AtCall(1)), Call) == [1]
        now = c.handle(0.3, CallEnded(1, outcome, 0.1))
        later = c.handle(0.4, TimerFired(ALARM))
        assert (of(later, Call) == [1]) is again
        assert (of(now, Fail) == [1]) is not again


def test_calls_in_hand_stay_within_the_share() -> None:
    c = start(below=Below.SHARED, calls_share=1.0, calls_over_s=5.0, cores=20, memory_kb=1e6)
    made = skipped = 0
    for n in range(1, 16):
        actions = arrive(c, 0.1 * n, n, "ask") + list(c.handle(0.1 * n, AtCall(n)))
        made += len(of(actions, Call))
        skipped += len(of(actions, SkipCall))
    assert skipped > 0 and made * 1.0 < 10


def calling(c: Controller, now: float, request: int, kind: str = "ask") -> list[object]:
    """A request that runs and comes to its call."""
    assert of(arrive(c, now, request, kind), Run) == [request]
    return list(c.handle(now, AtCall(request)))


def test_a_slow_dependency_has_fewer_calls_in_hand_and_what_cannot_be_skipped_goes_first() -> None:
    c = start(below=Below.SHARED, calls_share=20.0, calls_over_s=5.0, cores=40, memory_kb=1e6)

    def in_hand(now: float, took: float) -> int:
        """Twenty requests come to their calls at once; all calls made take so long."""
        actions: list[object] = []
        for n in range(20):
            actions += calling(c, now + n * 1e-4, round(now * 1000) + n)
        at_once = len(of(actions, Call))
        for step in range(1, 200):
            calls, skipped, actions = of(actions, Call), of(actions, SkipCall), []
            for request in calls:
                actions += c.handle(now + took * step, CallEnded(request, Outcome.SUCCESS))
            for request in calls + skipped:
                actions += c.handle(now + took * step, RunEnded(request, Outcome.SUCCESS))
            actions += c.handle(now + took * step, TimerFired(TICK))
            if not (of(actions, Call) or of(actions, SkipCall)):
                break
        return at_once

    quick = [in_hand(10.0 * n, 0.01) for n in range(1, 9)]
    slow = [in_hand(100.0 + n, 0.1) for n in range(1, 13)]
    assert quick[-1] > quick[0] == 4  # the floor: a fifth of the share
    assert slow[-1] == 4
    assert of(calling(c, 200.0, 1), Call) == [1]
    waits = [request for request in (2, 3, 4, 5) if not of(calling(c, 200.0, request), Call)]
    assert waits == [5] and not of(calling(c, 200.0, 6, "once"), Call)
    assert of(list(c.handle(200.01, CallEnded(1, Outcome.SUCCESS))), Call) == [6]
    assert of(list(c.handle(200.5, TimerFired(ALARM))), SkipCall) == [5]  # a quarter of its time is over


def test_a_spoilt_call_that_may_be_repeated_is_made_again_before_it_is_left_out() -> None:
    c = start(below=Below.SHARED, calls_share=20.0, calls_over_s=5.0)
    assert of(calling(c, 0.1, 1), Call) == [1]
    assert not of(list(c.handle(0.2, CallEnded(1, Outcome.BROKEN))), SkipCall)
    assert of(list(c.handle(0.3, TimerFired(ALARM))), Call) == [1]
    assert of(list(c.handle(0.4, CallEnded(1, Outcome.OVERLOADED))), SkipCall) == [1]  # not spoilt


def test_a_few_calls_that_hang_do_not_pass_for_a_crowd() -> None:
    c = start(below=Below.SHARED, calls_share=20.0, calls_over_s=5.0, cores=40, memory_kb=1e6)
    now = 1.0
    for n in range(1, 200):  # one in ten hangs and is given up; the others are quick
        now += 1.0
        calling(c, now, n, "once")
        hung = n % 10 == 0
        c.handle(now + (0.4 if hung else 0.02), CallEnded(n, Outcome.TIMED_OUT if hung else Outcome.SUCCESS))
        c.handle(now + 0.45, RunEnded(n, Outcome.WITHDRAWN if hung else Outcome.SUCCESS))
        c.handle(now + 0.5, TimerFired(TICK))
    assert c.est.call_s[2] < 0.06 and c.est.slow < 0.5
    made = [list(calling(c, 300.0, n, "once")) for n in range(301, 306)]
    assert sum(len(of(actions, Call)) for actions in made) == 4  # the floor, and none less
    for n in range(301, 305):
        c.handle(300.02, CallEnded(n, Outcome.SUCCESS))
    assert c._call_limit >= 4.0


def test_calls_that_hang_keep_no_others_waiting_and_are_given_up() -> None:
    c = start(below=Below.SHARED, calls_share=20.0, calls_over_s=5.0, cores=40, memory_kb=1e6)
    for n in range(1, 6):  # how long a call takes is known by now
        for kind, request in (("ask", n), ("once", 10 + n)):
            assert of(calling(c, 0.1 * n, request, kind), Call) == [request]
            c.handle(0.1 * n + 0.02, CallEnded(request, Outcome.SUCCESS))
    hung = [list(calling(c, 1.0, request, "once")) for request in range(21, 25)]
    assert [action.give_up_s for actions in hung for action in actions if isinstance(action, Call)] == [
        pytest.approx(20 * 0.02)] * 4
    assert not of(calling(c, 1.01, 31, "once"), Call)  # no slot is free, as far as is known
    assert of(list(c.handle(1.13, TimerFired(ALARM))), Call) == [31]


def test_a_run_that_nothing_is_heard_of_frees_its_place_and_fails_before_its_time() -> None:
    c = start()
    arrive(c, 0.1, 1, "keyed")
    arrive(c, 0.1, 2)
    assert not of(arrive(c, 0.2, 3), Run)
    assert of(list(c.handle(0.3, RunDoubted(1))), Run) == [3]
    assert not of(list(c.handle(0.9, TimerFired(ALARM))), Fail)
    actions = list(c.handle(1.4, TimerFired(ALARM)))
    assert of(actions, Fail) == [1] and of(actions, Refuse) == []
    arrive(c, 1.5, 4, "ask")
    assert of(list(c.handle(1.6, RunEnded(2, Outcome.SUCCESS))), Run) == [4]
    assert of(list(c.handle(1.7, RunDoubted(4, at_call=True))), SkipCall) == [4]


def test_alarms_do_not_multiply() -> None:
    c, rng = start(passes_deadline=True, cores=4), random.Random(1)
    due: list[tuple[float, int]] = []
    alarms, now, arrives, read = 0, 0.0, 0.02, 0

    def post(event: Event) -> None:
        for action in c.handle(now, event):
            if isinstance(action, SetTimer):
                heapq.heappush(due, (now + action.after_s, action.label))

    while now < 20.0:
        if due and due[0][0] < arrives:
            now, label = heapq.heappop(due)
            alarms += label == ALARM
            post(TimerFired(label))
        else:
            now, arrives, read = arrives, arrives + 0.02, read + 1
            post(Arrival(read, "read", left_s=rng.uniform(0.2, 3.0)))
            post(RunEnded(read - 10, Outcome.SUCCESS))
    assert alarms < 300 < read


def test_a_key_is_free_again_where_nothing_was_begun() -> None:
    c = start()
    assert of(arrive(c, 0.1, 1, "keyed"), KeepKey) == [1]
    assert of(list(c.handle(0.2, RunEnded(1, Outcome.VOID))), ForgetKey) == [1]


def test_nothing_runs_that_came_after_the_grace() -> None:
    c = start()
    actions = c.handle(1.0, LeaveNotice(5.0))
    assert any(isinstance(a, SetHealth) and not a.good for a in actions)
    assert of(arrive(c, 1.5, 1), Run) == [1]
    late = arrive(c, 2.2, 2)
    assert of(late, Run) == [] and of(late, Refuse) == [2]
    assert of(arrive(c, 2.2, 3, backlog_s=0.5), Run) == [3]


def test_all_is_answered_before_the_stop() -> None:
    c = start(cores=1)
    arrive(c, 0.1, 1)
    arrive(c, 0.1, 2)
    c.handle(0.2, LeaveNotice(1.0))
    actions = c.handle(0.95, TimerFired(ALARM))
    assert sorted(of(actions, Refuse) + of(actions, Fail)) == [1, 2]


def test_memory_is_never_exceeded() -> None:
    c = start(cores=50, memory_kb=385.0)
    ran = sum(len(of(arrive(c, 0.1, n), Run)) for n in range(1, 40))
    assert ran == 8  # a ninth run of 40 kB would pass the share of memory that is used
    assert c._memory <= decide.MEMORY_SHARE * 385.0


def test_crowd_ceiling_follows_the_cold_ramp() -> None:
    c = start(cold=True, cold_share=0.25, ramp_s=10.0)
    assert c._ceiling(0.0) < c._ceiling(5.0) < c._ceiling(10.0) <= 2 * 4.0
    assert c._ceiling(0.0) >= 2


def test_limit_grows_while_cores_idle_and_work_waits() -> None:
    c = start()
    for n in range(1, 6):
        arrive(c, 0.1, n)
    c.handle(0.25, TimerFired(TICK, core_use=0.3))
    assert c.limit == 2  # the cores were not asked for all of what the gauge looks back on
    c.handle(0.5, TimerFired(TICK, core_use=0.3))
    c.handle(0.75, TimerFired(TICK, core_use=0.3))
    assert 2 < c.limit <= c._ceiling(0.75)


def test_rejects_settings_it_cannot_work_with() -> None:
    for field, value in (("cores", 0), ("classes", ()), ("linger_s", -1.0), ("memory_kb", 0.0),
                         ("idle_s", -1.0), ("signal_heard_s", float("nan")), ("memory_kb", float("nan"))):
        with pytest.raises(ValueError, match=field):
            start(**{field: value})


def test_over_and_unknown_requests_do_nothing() -> None:
    c = start()
    arrive(c, 0.1, 1)
    c.handle(0.2, RunEnded(1, Outcome.SUCCESS, 0.1))
    assert c.handle(0.3, RunEnded(1, Outcome.SUCCESS, 0.1)) == []
    assert c.handle(0.3, AtCall(9)) == [] and c.handle(0.3, CallEnded(9, Outcome.SUCCESS)) == []


def test_module_keeps_its_bounds() -> None:
    text = Path(decide.__file__).read_text()
    lines = [line for line in text.splitlines() if line.strip()]
    assert len(lines) <= 800 and max(map(len, lines)) <= 110
    for node in ast.walk(ast.parse(text)):
        names = [a.name for a in node.names] if isinstance(node, ast.Import) else []
        names += [node.module or ""] if isinstance(node, ast.ImportFrom) else []
        for name in names:
            root = name.split(".")[0]
            assert name == "snowthread.admission.interface" or root in sys.stdlib_module_names


def test_retry_timer_that_fires_a_hair_early_does_not_spin() -> None:
    c = start(below=Below.TIER)
    arrive(c, 0.1, 1, "once")
    c.handle(0.2, AtCall(1))
    c.handle(0.3, CallEnded(1, Outcome.OVERLOADED, 0.1))
    retry_at = c._reqs[1].retry_at
    c.handle(retry_at - 0.01, TimerFired(ALARM))
    assert of(c.handle(retry_at - 1e-7, TimerFired(ALARM)), Call) == [1]


def test_a_short_wait_left_is_no_sign_of_age() -> None:
    # Calls between tiers come with whatever their caller has left: that says nothing of their aim.
    c = start(passes_deadline=True)
    arrive(c, 0.1, 1, left_s=3.0)
    c.handle(0.3, RunEnded(1, Outcome.SUCCESS, 0.2))
    for n in (2, 3):
        arrive(c, 0.4, n, left_s=1.6)
    actions = arrive(c, 0.4, 4, left_s=1.6)
    assert of(actions, Refuse) == [] and 4 in c._hold


def test_what_lay_unread_too_long_is_turned_away_at_once() -> None:
    c = start()
    arrive(c, 0.1, 1)
    c.handle(0.5, RunEnded(1, Outcome.SUCCESS, 0.4))
    assert of(arrive(c, 2.0, 3, backlog_s=0.1), Run) == [3]
    late = arrive(c, 2.0, 2, backlog_s=0.9)
    assert of(late, Run) == [] and of(late, Refuse) == [2]


def test_run_times_learned_too_long_are_unlearned() -> None:
    c = start()
    c.est.wall_s[0] = c.est.core_s[0] = c.est.base_s[0] = 50.0
    for n in range(1, 12):
        assert of(arrive(c, 1.5 * n, n), Run) == [n]
        c.handle(1.5 * n + 0.2, RunEnded(n, Outcome.SUCCESS, 0.2))
    assert c._run_s(0, c.est.work(0, None)) < 5.0


def test_refusals_say_when_to_come_back_and_say_b_where_nothing_is_published() -> None:
    for signal, said in ((decide.Signal.NONE, 1.0), (decide.Signal.LEVEL, 0.2)):
        c = start(retry_after=True, max_retry_after_s=1.0, upstreams=4, signal=signal)
        for n in (1, 2, 3):
            arrive(c, 0.1, n)
        c.b, c.est.lam_heads = 1.0 - 1e-9, 20.0
        (refusal,) = [a for a in arrive(c, 0.2, 4) if isinstance(a, Refuse)]
        assert refusal.hold_off_s == said


def test_published_share_settles_instead_of_running_on() -> None:
    # Callers hear a share a second late: computed without that lag it would climb to the end meanwhile.
    c = start(signal=decide.Signal.LEVEL, cores=4, memory_kb=1e6)
    now = 0.0
    said: list[float] = []
    for n in range(80):
        now += decide.PERIOD_S
        passing = 1.0 - (said[n - 4] if n >= 4 else 0.0)
        c.est.arrived = 14.0 * passing * decide.PERIOD_S
        c.est.read = round(40 * passing * decide.PERIOD_S)
        c.est.done = 10.0 * decide.PERIOD_S
        c.handle(now, TimerFired(TICK, core_use=1.0))
        said.append(c.published)
    wanted = 1.0 - decide.target_load(99.0, 10.0, c.est.beta()) * 10.0 / 14.0
    assert max(said) < wanted + 0.12 and abs(said[-1] - wanted) < 0.05


def test_large_request_on_a_slow_server_walks_on_early() -> None:
    c = start()
    arrive(c, 0.1, 1, work_hint_s=0.2)
    c.handle(0.5, RunEnded(1, Outcome.SUCCESS, 0.4))
    assert of(arrive(c, 1.0, 3, work_hint_s=0.2), Run) == [3]
    large = [a for a in arrive(c, 1.0, 2, work_hint_s=1.0) if isinstance(a, Refuse)]
    assert [a.request for a in large] == [2] and not large[0].last


def test_the_service_rate_is_right_from_the_first_full_cores_on() -> None:
    # Two cores, runs of a second, from an empty server: ends come a run's length after the cores are full.
    c = start()
    for n in (1, 2, 3, 4):
        arrive(c, 0.01, n, "ask", left_s=60.0)
    c.handle(1.01, RunEnded(1, Outcome.SUCCESS, 1.0))  # from the first end on it is known how long runs take
    c.handle(1.01, RunEnded(2, Outcome.SUCCESS, 1.0))
    rates, now = [], 1.01
    for period in range(1, 20):
        now = 1.01 + 0.25 * period
        if period % 4 == 0:
            for n in (3, 4):
                c.handle(now - 0.001, RunEnded(period // 4 * 2 + n - 2, Outcome.SUCCESS, 1.0))
            for n in (1, 2):
                arrive(c, now - 0.001, period // 4 * 2 + n + 2, "ask", left_s=60.0)
        c.handle(now, TimerFired(TICK, core_use=1.0, on_cores=2.0))
        if c.est.mu:
            rates.append(c.est.mu)
    assert len(rates) > 10 and all(1.9 < rate < 2.1 for rate in rates), rates


def test_last_is_drawn_with_what_a_server_at_its_best_rate_would_turn_away() -> None:
    # 20 arrivals a second: as many as a healthy server can take twice over, or just what it can take.
    for b, mu, best, cold, low, high in (
            (0.0, 10.0, 10.0, False, 0.0, 0.0), (0.5, 10.0, 10.0, False, 0.4, 0.7),
            (0.9, 2.0, 30.0, False, 0.0, 0.0), (0.9, 2.0, 10.0, False, 0.4, 0.7),
            (0.5, 10.0, 10.0, True, 0.0, 0.0)):
        c = start(cold=cold, ramp_s=10.0)
        arrive(c, 0.1, 1)
        c.handle(0.5, RunEnded(1, Outcome.SUCCESS, 0.4))
        c.b, c.est.mu, c.est.best_speed, c.est.lam = b, mu, best, 20.0
        said = []
        for n in range(2, 402):
            said += [a.last for a in arrive(c, 1.0, n, backlog_s=0.65) if isinstance(a, Refuse)]
        assert len(said) > 300 and low <= sum(said) / len(said) <= high


def test_each_kind_of_signal_asks_for_less_in_overload() -> None:
    for signal in (decide.Signal.LEVEL, decide.Signal.CREDIT, decide.Signal.WEIGHT):
        c = start(signal=signal, upstreams=2)
        values: list[float] = []
        for n in range(1, 30):
            c.est.arrived, c.est.done = 5.0, 2.0
            out = c.handle(n * decide.PERIOD_S, TimerFired(TICK, core_use=1.0))
            values += [a.value for a in out if isinstance(a, decide.Publish)]
        assert len(values) > 5
        assert (values[-1] > values[0]) is (signal is decide.Signal.LEVEL)


def test_same_events_same_actions() -> None:
    def play() -> list[object]:
        c = start(signal=decide.Signal.LEVEL)
        out: list[object] = []
        for n in range(1, 60):
            out += arrive(c, n * 0.05, n, ("read", "keyed", "once")[n % 3])
            if n % 4 == 0:
                out += c.handle(n * 0.05, RunEnded(n // 4, Outcome.SUCCESS, 0.2))
            if n % 5 == 0:
                out += c.handle(n * 0.05, TimerFired(TICK, core_use=1.0, on_cores=4.0))
        return out

    assert play() == play()


def test_after_trouble_blocking_and_limit_recover() -> None:
    c = start(signal=decide.Signal.LEVEL)
    now = 0.0
    for _ in range(60):
        now += decide.PERIOD_S
        c.est.arrived, c.est.done = 8.0, 1.0
        c.handle(now, TimerFired(TICK, core_use=1.0, on_cores=4.0))
    assert c.b > 0.5 and c.published > 0.5
    for _ in range(40):  # ten calm seconds
        now += decide.PERIOD_S
        c.est.arrived, c.est.done = 0.3, 0.3
        c.handle(now, TimerFired(TICK, core_use=0.3, on_cores=1.0))
    assert c.b == 0.0 and c.published < 0.05 and c.limit == 2.0


def test_runs_and_calls_together_stay_under_the_crowd() -> None:
    # All that stands at calls may come back to the cores at once.
    c = start(below=Below.TIER, memory_kb=1e6)
    for n in range(1, 20):
        for started in of(arrive(c, 0.1, n, "ask"), Run):
            c.handle(0.1, AtCall(started))
    assert c._oncore + len(c._calls) <= c._ceiling(0.1) + 1


def test_idle_connections_close_early_where_callers_hardly_come_back() -> None:
    # A thousand callers on a hundred slots: kept for their full idle time they fill the table.
    for upstreams, idle_s, early in ((1000, 30.0, True), (4, 30.0, False), (1000, 0.0, False)):
        c = start(upstreams=upstreams, idle_s=idle_s)
        said: list[float] = []
        for n in range(1, 120):
            arrive(c, n * 0.2, n)
            said += [a.after_s for a in c.handle(n * 0.2, TimerFired(TICK)) if isinstance(a, CloseIdle)]
        assert (0.0 < said[-1] < idle_s if said else False) is early


def test_a_share_that_hardly_anyone_hears_is_not_taken_for_heard() -> None:
    # Hundreds of callers come back here once a minute and keep a value for a second: the rate that comes in
    # has passed no share, so b carries it and the share stays at b instead of running to its end.
    shares = []
    for upstreams in (1, 400):
        c = start(signal=decide.Signal.LEVEL, cores=4, memory_kb=1e6, upstreams=upstreams, signal_heard_s=1.0)
        for n in range(1, 100):
            c.est.arrived, c.est.read, c.est.done = 14.0 * decide.PERIOD_S, 4, 10.0 * decide.PERIOD_S
            c.handle(n * decide.PERIOD_S, TimerFired(TICK, core_use=1.0))
        assert c.b > 0.3
        shares.append(c.published - c.b)
    assert shares[0] > 0.2 and abs(shares[1]) < 0.05


def test_arrivals_are_averaged_over_requests_not_over_seconds() -> None:
    spans = []
    for rate in (4, 40):
        c = start()
        for _ in range(1, 40):
            c.est.arrived, c.est.read = 2.0 * rate * decide.PERIOD_S, rate // 4
            c.est.update(decide.PERIOD_S, full=False)
            assert c.est.lam == pytest.approx(2.0 * rate)  # from the first period on
        spans.append(c.est.span_s() * rate)
    assert spans[1] == pytest.approx(decide.SPAN) and spans[0] <= decide.SPAN


def test_hints_are_believed_as_far_as_core_times_bear_them_out() -> None:
    for true, low, high in ((1.0, 3.0, 4.01), (0.0, 0.99, 1.5)):
        c = start()
        for n in range(1, 200):
            hint = (0.1, 0.4)[n % 2]
            arrive(c, n * 1.0, n, work_hint_s=hint)
            took = 0.2 * (hint / 0.2) ** true
            c.handle(n * 1.0 + took, RunEnded(n, Outcome.SUCCESS, took))
        ratio = c.est.work(0, 0.4) / c.est.work(0, 0.1)
        assert low <= ratio <= high


def test_a_tenant_is_over_its_share_by_what_of_it_ran_not_by_what_it_sends() -> None:
    # A share of one request a second at this server, four sent: where all of them run the next is over the
    # share, where one in five runs it is worth its full.
    for every, low, high in ((1, 0.04, 0.2), (5, 0.8, 1.0)):
        c = start(tenants=(Tenant("t", 100.0), Tenant("none", 0.0)), peers=100, over_share_worth=0.05)
        now, seen = 0.0, []
        for n in range(200):
            now += 0.25
            seen.append(c._in_share(now, "t"))
            if n % every == 0:
                c._used(now, "t", 1.0)
        assert low <= sum(seen[100:]) / 100 <= high
        assert c._in_share(now, "none") == 1.0 and c._in_share(now, "nobody") == 1.0


def test_a_first_try_goes_before_a_further_one_whose_age_is_not_told() -> None:
    for marked, first in ((True, 4), (False, 3)):
        c = start(memory_kb=1e6)
        for n in (1, 2, 3):
            arrive(c, 0.1, n, is_retry=marked)
        arrive(c, 0.1, 4)
        assert of(c.handle(0.3, RunEnded(1, Outcome.SUCCESS, 0.2)), Run) == [first]


def test_a_refusal_of_the_dear_passes_to_the_cheap() -> None:
    # As many are turned away as b says, but among those worth less; where all are worth the same, by chance.
    dear = dataclasses.replace(KEYED, worth=10.0, effect=Effect.SAFE)
    for kinds, most in (((READ, dear), 0.06), ((READ, dataclasses.replace(dear, worth=1.0)), 0.5)):
        c = start(classes=kinds, memory_kb=1e6)
        c.b, refused, count = 0.4, {"read": 0, "keyed": 0}, {"read": 0, "keyed": 0}
        for n in range(1, 2000):
            kind = ("read", "keyed")[n % 5 == 0]
            q = decide.Record(n, 0, READ, 0.0, 3.0, 1.0, 1.0, 1.0, 1.0, kinds[kind == "keyed"].worth)
            refused[kind] += c._blocked(q)
            count[kind] += 1
        assert sum(refused.values()) / 2000 == pytest.approx(0.4, abs=0.04)
        assert refused["keyed"] / count["keyed"] <= most
        assert most < 0.1 or refused["keyed"] / count["keyed"] == pytest.approx(0.4, abs=0.08)


def test_the_debt_of_refusals_passed_on_is_bounded() -> None:
    c = start(memory_kb=1e6)
    c.b, c._value = 1.0, 1.0  # nothing cheap comes any more
    some = [decide.Record(n, 0, READ, 0.0, 3.0, 1.0, 1.0, 1.0, 1.0, 10.0 + n) for n in range(50)]
    assert sum(not c._blocked(q) for q in some) == decide.DEBT * 2


def test_nothing_is_turned_away_for_a_debt_while_b_is_zero() -> None:
    c = start(memory_kb=1e6)
    c._value, c._debt = 2.0, 3.0
    cheap = decide.Record(1, 0, READ, 0.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0)
    assert not c._blocked(cheap)
    c.b = 1e-9
    assert c._blocked(cheap)


def test_idle_connections_stay_while_requests_lie_unread() -> None:
    # A storm of retries: with connections closed early each try opens one, and a full table is the only door.
    said: list[float] = []
    c = start(upstreams=1000, idle_s=30.0)
    for n in range(1, 240):
        backlog = 0.8 if 90 <= n < 120 else 0.0
        arrive(c, n * 0.25, n, backlog_s=backlog)
        said += [a.after_s for a in c.handle(n * 0.25, TimerFired(TICK)) if isinstance(a, CloseIdle)]
        if n == 89:
            assert said[-1] == decide.PERIOD_S
        elif n == 119:
            assert said[-1] == 30.0
    assert said[-1] < 2.0


def test_a_table_of_connections_that_stands_still_at_its_most_is_closed_early() -> None:
    for links, early in ((lambda n: min(90, 3 * n), True), (lambda n: 60 + n % 30, False)):
        c = start(upstreams=150, idle_s=30.0)
        said: list[float] = []
        for n in range(1, 120):
            arrive(c, n * 0.25, n)
            out = c.handle(n * 0.25, TimerFired(TICK, connections=float(links(n))))
            said += [a.after_s for a in out if isinstance(a, CloseIdle)]
        assert (bool(said) and 0.0 < said[-1] < 30.0) is early


def test_a_server_far_slower_than_it_was_leaves_the_list_and_comes_back() -> None:
    # Full cores throughout: healthy, then far slower; or as many arrivals more, read and turned away.
    for done, read, leaves in ((0.1, 1, True), (0.1, 8, False)):
        c = start()
        health: list[bool] = []
        for n in range(1, 160):
            slow = 60 <= n < 100
            c.est.done, c.est.read = (done, read) if slow else (2.0, 1)
            out = c.handle(n * decide.PERIOD_S, TimerFired(TICK, core_use=1.0))
            health += [a.good for a in out if isinstance(a, SetHealth)]
        assert health == ([False, True] if leaves else [])


def test_a_leaving_server_does_not_come_back_to_the_list() -> None:
    c = start()
    c.est.speed, c.est.best_speed = 1.0, 10.0
    c.handle(0.25, TimerFired(TICK, core_use=1.0))
    c.handle(0.5, LeaveNotice(60.0))
    out = [a for n in range(3, 80) for a in c.handle(n * 0.25, TimerFired(TICK, core_use=0.1))]
    assert not any(isinstance(a, SetHealth) for a in out)


def test_settings_that_are_absent_zero_or_absurd_lead_to_a_working_default() -> None:
    odd: tuple[dict[str, object], ...] = (
        {"upstreams": 0}, {"peers": 0}, {"upstreams": 10**9, "peers": 10**9}, {"calls_share": 0.0},
        {"tenants": (Tenant("t", 0.0),)}, {"tenants": (Tenant("t", 1e-9),)}, {"signal_heard_s": 0.0},
        {"idle_s": 1e12}, {"ramp_s": 1e12, "cold": True}, {"overload_for_s": 0.0})
    for changes in odd:
        for signal in decide.Signal:
            c = start(signal=signal, below=Below.SHARED, retry_after=True, max_retry_after_s=1.0, **changes)
            running: list[int] = []
            for n in range(1, 100):
                running += of(arrive(c, n * 0.1, n, ("read", "ask")[n % 2], tenant="t"), Run)
                if n % 3 == 0 and running:
                    c.handle(n * 0.1, RunEnded(running.pop(0), Outcome.SUCCESS, 0.2))
                if n % 5 == 0:
                    c.handle(n * 0.1, TimerFired(TICK, core_use=1.0, on_cores=2.0, connections=float(n)))
            assert 0.0 <= c.b <= 1.0 and 0.0 <= c.published <= 1.0 and c.limit >= 2.0


def test_a_share_of_zero_makes_no_call_and_a_tiny_one_is_charged_what_calls_used() -> None:
    for share, most in ((0.0, 0), (0.02, 2)):
        c = start(below=Below.SHARED, calls_share=share, calls_over_s=5.0, linger_s=0.2)
        made = 0
        for n in range(1, 12):
            arrive(c, 3.0 * n, n, "once")
            calls = of(c.handle(3.0 * n, AtCall(n)), Call)
            made += len(calls)
            if calls:
                c.handle(3.0 * n + 0.05, CallEnded(n, Outcome.TIMED_OUT, 0.05))
            c.handle(3.0 * n + 1.0, CallerGone(n))
            c.handle(3.0 * n + 1.0, RunEnded(n, Outcome.WITHDRAWN, 1.0))
        assert made <= most


def test_a_run_that_ends_as_it_starts_divides_by_nothing() -> None:
    c = start()
    for n in range(1, 4):
        arrive(c, 1.0, n, work_hint_s=0.2)
        c.handle(1.0, RunEnded(n, Outcome.SUCCESS, 0.0))
    assert c.est.work(0, 0.2) > 0.0
