"""The admission controller: what to run, queue or reject, and when. Free of I/O and of clocks.

Constants, estimates, then the controller in the order in which a request passes through it."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Sequence
from typing import Any

from snowthread.admission import actions, events
from snowthread.admission.request import RequestRecord, RequestState
from snowthread.admission.settings import (
    Dependency,
    Idempotency,
    LoadReportKind,
    Outcome,
    Preemption,
    Settings,
    check_settings,
)

# Estimates and blocking.
PERIOD_S = 0.25  # seconds between updates of b and the run limit: about one service time
SPAN = 16.0  # requests that an average of arrivals spans, whatever the size of the server
MU_TAU_S = 3.0  # seconds of full cores over which completions are averaged
BEST_TAU_S = 60.0  # seconds of full cores in which the best service rate is forgotten
MU_KNOWN_S = 1.0  # seconds of full cores before the rate counts as known
FULL_USE = 0.9  # share of cores busy from which they gauge near full
GOOD_AT_AIM = 0.7  # chance that a call is still good after its aim (the paper's 0.7 after 5 s, as ours)
BETA_START = 0.071  # the paper's benchmark, used until the service rate is known
RISE_S, FALL_S = 0.7, 1.5  # seconds in which the published share rises and falls: callers return in lumps
STANDING_S = 1.0  # seconds within which requests that stand unread are to be worked off
SHARE_MAX = 0.95  # never publish more than this: a few requests must come through to learn from
HINT_START, HINT_RUNS = 4.0, 200.0  # weight of the first guess that hints are half true; runs remembered
BASE_TAU = 30.0  # runs over which a class's base follows upwards (it follows down ten times as fast)
RUN_TAU, CALL_TAU = 15.0, 8.0  # runs and calls over which their times are averaged
# Run limit.
GROW, CUT = 1.25, 0.7  # factors: a period while cores sit free and work waits; latency far above its base
FAR_ABOVE = 4.0  # times its base from which a run's latency is far above it
CROWD_MARGIN = 0.8  # share of the crowd the server survives that is used at most
# Hold.
HOLD_SHARE = 0.7  # share of the time left that the wait ahead may take before a newcomer is turned away
KEY_OLD_S = 0.02  # seconds for which places in the hold, and calls that wait, stand as they are
RUN_MEDIAN = 0.75  # a run's median over its mean, for skewed run times: past it a start is hopeless
RUN_HINTED = 1.25  # the same where the size is told: what is large here may go on to a faster server
DOUBT_RUNS = 4.0  # times its usual length after which a run that nothing is heard of is taken for lost
PROBE_S = 1.0  # seconds without an ended run of a class after which its run time is put to the test
LAST_SHARE = 0.25  # of a run: with less time left no other server, however quick, could serve it either
REUSED = 0.7, 3.0  # requests of one caller expected while a connection idles: closed early, at most, kept
STILL = 12  # updates that the number of connections stands at its most before the table counts as full
OVER = 1.5  # times its quota from which one more request of a tenant counts as over its share
AGED = 0.25  # chance that a further try, whose age is told nowhere, is still within its aim
DEBT = 4.0  # refusals for each core that may be passed on to requests worth less before one is met
UNREAD = 0.016  # of the mean aim: unread for longer, times the share of further tries, is a storm
UNMARKED = 0.3  # share of further tries that is assumed where they are not marked
DOOR = 3.0, 0.93, 0.5  # factors of the idle time each period: storm, full cores, idle ones and no further try
SICK, REST_S = 0.35, 10.0  # of the best speed learned: below it out of the list for so many seconds
READ_WORK = 0.25  # of a run: what reading a request is taken to cost
# Guards.
MEMORY_SHARE = 0.92  # of the memory that is used at most
DUE_MARGIN_S = 0.03  # seconds before the due time at which an answer is forced
STOP_MARGIN_S, KEY_MARGIN_S = 0.3, 0.1  # all is answered so long before the stop; keys kept beyond windows
# Calls below.
CALL_TRIES = 4  # calls made for one need where each earlier one may be repeated
CALL_BACKOFF_S = 0.05  # seconds before the second try, doubled for each further one
CALL_RATE, CALL_SAVED = 0.55, 0.35  # of the share: mean use, saved up at most; under 1 in all
CALL_PARTS = 4.0  # calls that can be skipped fit this often into what is saved, others half as often
CALL_PATIENCE, CALL_WAIT = 0.6, 0.25  # of the time left: a call that can be skipped, its wait for a turn
CALL_LONG, CALL_HUNG = 6.0, 20.0  # times its usual length: given up, where it can be skipped or not
CALL_LEAST_S = 0.05, 0.25  # seconds that it is given at least
CALL_SLOTS = 5.0  # the share told is what the dependency survives: so many times what it has slots for
CALL_SLOW, CALL_CROWDED = 2.0, 0.3  # times its base from which a call is slow; share of such ones in a crowd
CALL_GROW, CALL_CUT = 1.15, 0.8  # calls in hand: factors a period

SOON_S = 1e-6  # seconds: times nearer than this are the same, everywhere, or a timer re-arms for ever

UPDATE_TIMER, DEADLINE_TIMER = 1, 2  # timer labels


def target_utilization(lam: float, mu: float, beta: float) -> float:
    """Berger's best utilisation: min(lambda/mu, 1 + beta - sqrt(beta (1 + beta)))."""
    return min(lam / mu, 1.0 + beta - math.sqrt(beta * (1.0 + beta)))


def blocking_probability(lam: float, mu: float, beta: float) -> float:
    """Berger's percent blocking: max(0, 1 - mu rho / lambda)."""
    return max(0.0, 1.0 - mu * target_utilization(lam, mu, beta) / lam) if lam > 0.0 and mu > 0.0 else 0.0


class Estimates:
    """What is learned: arrival rate, service rate, core time and latency of each class; in units of work."""

    def __init__(self, settings: Settings) -> None:
        self.arrival_rate = self.request_rate = 0.0  # of work and of requests
        self.service_rate = 0.0
        self.read, self.arrived, self.done = 0, 0.0, 0.0  # since the last update: requests, work
        self._full_done = self._full_read = self._full_s = self._seen_s = 0.0
        self.work_speed = self.best_work_speed = 0.0  # work per second at full cores, reading included
        self.core_time_s: list[float] = []  # per unit of work
        self.run_time_s: list[float] = []  # per unit of work, with its calls
        self.base_core_time_s: list[float] = []  # of a run in good times
        self.last_run_at_s: list[float] = []
        # Mean hint and core time of a class; moments of their logarithms (the slope: how true hints are)
        self.hints: list[tuple[float, float]] = []
        self.hint_xx, self.hint_xy = HINT_START, HINT_START / 2.0
        self.call_time_s: list[float] = []
        self.base_call_time_s: list[float] = []  # in good times
        self.last_call_at_s: list[float] = []
        self._class_tables = [self.core_time_s, self.run_time_s, self.base_core_time_s, self.last_run_at_s]
        self._class_tables += [self.call_time_s, self.base_call_time_s, self.last_call_at_s]
        self.slow_call_share = 0.0  # share of calls that take far longer than in good times
        self.apply_settings(settings, range(len(settings.classes)))

    def apply_settings(self, settings: Settings, fresh: Sequence[int]) -> None:
        """Go on with these settings; nothing is known of the classes in fresh places."""
        self.cores, classes = settings.cores, settings.classes
        self.aim_s = sum(c.latency_objective_s for c in classes) / len(classes)
        for n in fresh:
            for table in self._class_tables:
                table[n : n + 1] = [0.0]
            self.hints[n : n + 1] = [(0.0, 0.0)]

    def work_of(self, cls: int, hint: float | None) -> float:
        """The size of a request: its hint, else its class's base over the mean of the known bases."""
        if hint:
            mean, trust = self.hints[cls][0], min(1.0, max(0.0, self.hint_xy / self.hint_xx))
            return mean * (hint / mean) ** trust if mean > 0.0 else hint
        return self.base_core_time_s[cls] * self.full_rate(self.base_core_time_s) / self.cores or 1.0

    def full_rate(self, table: list[float]) -> float:
        """What full cores get done a second of what the table times (0: not known)."""
        known = [t for t in table if t > 0.0]
        return self.cores * len(known) / sum(known) if known else 0.0

    def abandonment_ratio(self) -> float:
        """The rate at which calls turn bad, for each service: GOOD_AT_AIM after the mean aim."""
        if self.service_rate <= 0.0:
            return BETA_START
        run_rate = self.full_rate(self.base_core_time_s) or 1.0
        return min(BETA_START, -math.log(GOOD_AT_AIM) / (run_rate * self.aim_s))

    def averaging_span_s(self) -> float:
        """Seconds over which arrivals are averaged; no longer than a request may wait."""
        return min(self.aim_s * 2.0, SPAN / max(self.request_rate, 1e-9))

    def run_ended(self, q: RequestRecord, core_s: float, wall_s: float) -> None:
        """A run went through: its core time and its latency."""
        self.done += q.work
        for table, value in ((self.core_time_s, core_s / q.work), (self.run_time_s, wall_s / q.work)):
            old = table[q.cls]
            tau = RUN_TAU if value > old / 2.0 else RUN_TAU / 5.0
            table[q.cls] = old + (value - old) / tau if old > 0.0 else value
        if q.hint:
            took = max(core_s, SOON_S)  # a run may end as it starts
            x0, y0 = self.hints[q.cls] if self.hints[q.cls][0] > 0.0 else (q.hint, took)
            x, y = math.log(q.hint / x0), math.log(took / y0)
            self.hint_xx += x * x - self.hint_xx / HINT_RUNS
            self.hint_xy += x * y - self.hint_xy / HINT_RUNS
            self.hints[q.cls] = (x0 * math.exp(x / BASE_TAU), y0 * math.exp(y / BASE_TAU))
        base = self.base_core_time_s[q.cls]
        tau = BASE_TAU / 10.0 if core_s < base / 4.0 else BASE_TAU
        self.base_core_time_s[q.cls] = base + (min(core_s, 2.0 * base) - base) / tau if base > 0.0 else core_s

    def call_ended(self, cls: int, now: float, took_s: float) -> None:
        """A call came back or was given up. A few that hang among quick ones must not pass for a crowd."""
        base, at = self.base_call_time_s[cls], self.last_call_at_s[cls]
        self.last_call_at_s[cls] = now
        if base <= 0.0:
            self.call_time_s[cls] = self.base_call_time_s[cls] = max(took_s, SOON_S)
            return
        self.call_time_s[cls] += (min(took_s, 4.0 * self.call_time_s[cls]) - self.call_time_s[cls]) / CALL_TAU
        self.slow_call_share += ((took_s >= CALL_SLOW * base) - self.slow_call_share) / CALL_TAU
        if took_s < CALL_SLOW * base:
            self.base_call_time_s[cls] += (took_s - base) / BASE_TAU
        else:
            self.base_call_time_s[cls] += base * min(1.0, (now - at) / BEST_TAU_S)

    def forget_best_speed(self) -> None:
        """What slowed this server may be over, and what it learned of it too."""
        self._full_done = self._full_read = self._full_s = 0.0
        self.work_speed = self.best_work_speed

    def update(self, elapsed: float, full: bool) -> None:
        """Once a period; the service rate only moves while the cores gauge near full."""
        keep = math.exp(-elapsed / self.averaging_span_s())
        self._seen_s = self._seen_s * keep + elapsed  # from nothing: a start is no lull
        self.arrival_rate += (self.arrived / elapsed - self.arrival_rate) * elapsed / self._seen_s
        self.request_rate += (self.read / elapsed - self.request_rate) * elapsed / self._seen_s
        if full:
            keep = math.exp(-elapsed / MU_TAU_S)
            self._full_done = self._full_done * keep + self.done
            self._full_read = self._full_read * keep + self.read
            self._full_s = self._full_s * keep + elapsed
            if self._full_s >= MU_KNOWN_S:
                self.service_rate = self._full_done / self._full_s
                self.work_speed = self.service_rate + READ_WORK * self._full_read / self._full_s
                best = self.best_work_speed * math.exp(-elapsed / BEST_TAU_S)
                self.best_work_speed = max(self.work_speed, best)
        self.read, self.arrived, self.done = 0, 0.0, 0.0


class Controller:
    """Decides for one worker. ``handle`` takes each event in order and returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        check_settings(settings)
        self._take_up(settings)
        self._rng = random.Random(seed)
        self.estimates = Estimates(settings)
        self.blocking_probability = 0.0  # the blocking probability, held between updates
        self.published_load = 0.0  # share of the asked-for work that callers are told to keep back
        self._heard = 0.0  # the share that what comes in has passed
        self.concurrency_limit, self._limit_cut_at, self._asked = float(settings.cores), -math.inf, False
        self._reqs: dict[int, RequestRecord] = {}
        self._hold: dict[int, RequestRecord] = {}
        self._stalled: dict[int, RequestRecord] = {}
        self._keys: dict[int, float] = {}  # kept request -> end of its entry
        self._oncore = 0  # runs on the cores
        self._calls: dict[int, RequestRecord] = {}  # runs whose call is made
        self._core_clock = 0.0  # core time that each run on the cores has had so far
        self._memory = self._full_s = self._now = self._ticked = self._born = self._begun = 0.0
        self._heap: list[tuple[float, int]] = []
        self._alarm_at = math.inf
        self._call_budget, self._reserved = self._call_cap, 0.0  # call-seconds free, and of calls in hand
        self._call_limit, self._call_waits = self._call_floor, False
        self._calls_at = self._ordered_at = 0.0  # when to look at the calls that wait; the hold's last order
        self._notice_at = self._stop_at = self._back_at = math.inf
        self._closing, self._still, self._most_links = False, 0, 0.0  # idle connections, closed early or not
        self._idle_s = settings.idle_timeout_s  # as last told to the host
        self._tenants = {t.name: t for t in settings.tenants}
        self._served = dict[str, tuple[float, float]]()  # runs of each tenant lately, and when last
        self._over_worth = settings.over_quota_weight
        self._unread = self._again = 0.0  # mean time unread and share of further tries of what is read
        self._value = self._debt = 0.0  # mean worth for work; refusals passed on, not yet met, in work
        self._out: list[actions.Action] = []
        self._on: dict[type, Callable[[float, Any], None]] = {
            events.RequestArrived: self._arrival,
            events.RunFinished: self._run_ended,
            events.TimerFired: self._timer,
            events.CallNeeded: self._at_call,
            events.CallFinished: self._call_ended,
            events.RequestAbandoned: self._caller_gone,
            events.ShutdownNotice: self._leave,
            events.Started: self._started,
            events.RunIndeterminate: self._run_doubted,
            events.TenantsChanged: self._tenants_changed,
            events.SettingsChanged: self._settings_changed,
        }

    def _take_up(self, settings: Settings) -> None:
        self.settings, self._class = settings, {c.name: n for n, c in enumerate(settings.classes)}
        self._call_cap = CALL_SAVED * settings.call_quota * settings.call_quota_window_s  # saved up at most
        self._call_floor = max(1.0, settings.call_quota / CALL_SLOTS)  # this server's part of the slots

    def _settings_changed(self, now: float, e: events.SettingsChanged) -> None:
        """What is open keeps its class as it was; what was learned stays with a class in its place."""
        old = self.settings.classes
        fresh = [n for n, c in enumerate(e.settings.classes) if n >= len(old) or old[n].name != c.name]
        self._take_up(e.settings)
        self.estimates.apply_settings(e.settings, fresh)
        self._memory = sum(map(self._booked, self._reqs.values())) + e.settings.key_memory_kb * len(
            self._keys
        )

    def handle(self, now: float, event: events.Event) -> list[actions.Action]:
        """Take one event and return what to do about it, in order."""
        self._out = []
        self._advance(now)
        take = self._on.get(type(event))
        if take is not None:
            take(now, event)
        self._make_calls(now)
        self._fill(now)
        self._arm(now)
        return self._out

    def _advance(self, now: float) -> None:
        """Move the core clock: what runs shares the cores evenly."""
        elapsed = max(0.0, now - self._now) if self._now else 0.0
        self._core_clock += elapsed * min(1.0, self.settings.cores / max(1, self._oncore))
        if self._oncore >= self.settings.cores:
            self._full_s += elapsed
        if self.settings.dependency is Dependency.SHARED:
            self._call_budget += CALL_RATE * self.settings.call_quota * elapsed
            self._call_budget = min(self._call_budget, self._call_cap - self._reserved)
        self._now = now

    def _arrival(self, now: float, e: events.RequestArrived) -> None:
        cls = self._class.get(e.class_name)
        if cls is None:
            self._out.append(actions.Reject(e.request_id))
            return
        kind, arrived = self.settings.classes[cls], now - e.unread_s
        told = self.settings.propagates_deadline and e.time_left_s
        due = now + told if told else max(now, arrived + kind.deadline_s)
        work = self.estimates.work_of(cls, e.work_hint_s)
        stretch = kind.objective_stretch * self._run_s(cls, work) if kind.objective_stretch else 0.0
        aim = min(due, arrived + kind.latency_objective_s + stretch)
        end = due if kind.late_weight_factor > 0.0 else aim
        # A first try is known to be fresh; the aim of a further one may be over, its answer worth nothing.
        # Guards against cores full of work that is late, in storms above all. Harm: callers that try again
        # at once are served after others.
        worth = kind.priority_weight * self._in_share(now, e.tenant) * (AGED if e.is_retry else 1.0)
        value = worth if self.settings.weighs_by_work else worth / work
        q = RequestRecord(e.request_id, cls, kind, arrived, due, aim, end, e.memory_kb, work, value)
        q.hint, q.tenant, q.prior = e.work_hint_s, e.tenant, e.original_id
        q.key = self._key(now, q)
        self._reqs[q.id] = self._hold[q.id] = q
        self._memory += q.kb
        keyed = kind.idempotency is Idempotency.KEYED
        memory_kb = MEMORY_SHARE * self.settings.memory_kb
        if e.original_id is not None and (keyed or self.settings.shared_result_ttl_s > 0.0):
            original = self._reqs.get(e.original_id)
            q.ran = original.ran if original else True  # else a request that ran would be refused
            if self._stops(now) or self._memory > memory_kb:
                self._refuse(now, q)
            else:
                self._attach(q)
            return
        self.estimates.read += 1
        self._again += (e.is_retry - self._again) / SPAN
        self._unread += (e.unread_s - self._unread) / SPAN
        self.estimates.arrived += work * (1.0 + e.unread_s / STANDING_S)
        free = self._oncore < int(self.concurrency_limit) and len(self._hold) == 1  # itself
        full = self._memory + (self.settings.key_memory_kb if keyed else 0.0) > memory_kb
        # What lay unread until its time was nearly up would only keep the cores from reading the next.
        rejected = full or not self._may_start(q) or not self._lets(q)
        rejected = rejected or (not free and (self._blocked(q) or self._too_late(now, q)))
        if rejected or (now >= self._hopeless_at(q) and not self._probe(now, q)):
            self._refuse(now, q)
        else:
            if keyed:
                self._keep(now, q)
            self._watch(q, min(q.due, self._hopeless_at(q)))

    def _probe(self, now: float, q: RequestRecord) -> bool:
        """Take one hopeless request where no run of its class ended for a while: run times learned too long
        would else never be unlearned, and the server refuse all for good."""
        if now < q.aim and not self._oncore and now - self.estimates.last_run_at_s[q.cls] >= PROBE_S:
            self.estimates.last_run_at_s[q.cls] = now
            return True
        return False

    def _in_share(self, now: float, tenant: str) -> float:
        """What one more request of this tenant is worth: 1 while its runs here stay under this worker's part
        of the quota, falling to what traffic over it is worth. What is turned away uses up nothing: one that
        sends thrice its share has its share. Harm: where callers keep to few servers, a part lies idle."""
        part = min(1.0, max(0.0, (OVER - self._used(now, tenant)) / (OVER - 1.0)))
        return part + (1.0 - part) * self._over_worth

    def _used(self, now: float, tenant: str, more: float = 0.0) -> float:
        """How much of its share a tenant's runs here took lately, each counting for less as half a span of
        requests in share goes by; ``more`` start now. 0: it has no quota."""
        known = self._tenants.get(tenant) if self._tenants else None
        if known is None or known.quota_per_s <= 0.0:
            return 0.0
        count, at = self._served.get(tenant, (0.0, 0.0))
        span = SPAN / 2.0 * max(1, self.settings.node_count)
        count = count * math.exp((at - now) * known.quota_per_s / span) + more
        if more:
            self._served[tenant] = (count, now)
        return count / (SPAN / 2.0)

    def _lets(self, q: RequestRecord) -> bool:
        """Is its tenant one whose requests of this class are taken?"""
        known = self._tenants.get(q.tenant) if self._tenants else None
        if known is None:
            return True
        return not known.suspended and (not known.allowed_classes or q.kind.name in known.allowed_classes)

    def _tenants_changed(self, now: float, e: events.TenantsChanged) -> None:
        """Other tenants. What is held for one gone or barred is turned away; what ran goes on (rule 2)."""
        self._tenants.update((t.name, t) for t in e.changed)
        for name in e.removed:
            self._tenants.pop(name, None)
            self._served.pop(name, None)
        self._over_worth = self._over_worth if e.over_quota_weight is None else e.over_quota_weight
        for q in [q for q in self._hold.values() if q.tenant in e.removed or not self._lets(q)]:
            if not q.ran:
                self._refuse(now, q)

    def _blocked(self, q: RequestRecord) -> bool:
        """The draw of b. A request worth more for its work than the mean passes its refusal, in bounds, to
        the next one worth less: b says how many, worth says which. Harm: where only the cheap try again."""
        self._value += ((q.value - self._value) / SPAN) if self._value else q.value
        blocked = self._rng.random() < self.blocking_probability
        if blocked and q.value > self._value and self._debt < DEBT * self.settings.cores * q.work:
            self._debt += q.work
            return False
        if not blocked and self.blocking_probability and q.value < self._value and self._debt > 0.0:
            self._debt -= q.work
            return True
        return blocked

    def _too_late(self, now: float, q: RequestRecord) -> bool:
        """Would the wait ahead of a newcomer leave it too little time to be served well?"""
        rate = self.estimates.service_rate or self.estimates.full_rate(self.estimates.core_time_s)
        if rate <= 0.0:
            return len(self._hold) > 4 * self.settings.cores
        room = HOLD_SHARE * (q.aim - now - self._run_s(q.cls, q.work)) * rate
        if sum([o.work for o in self._hold.values()]) - q.work <= room:
            return False
        self._order(now)
        return sum([o.work for o in self._hold.values() if o.key >= q.key and o is not q]) > room

    def _tick(self, now: float, e: events.TimerFired) -> None:
        """Once a period: learn, then set b and the published share, then the run limit."""
        elapsed, self._ticked = now - self._ticked, now
        use = e.core_utilization
        if use is None:
            use = self._full_s / elapsed if elapsed > 0.0 else 0.0
        if elapsed > 0.0:
            est = self.estimates
            # Work counts as it is done: counted at its end it came a run's length late, and b was too high.
            begun = sum(
                min(q.work, (q.core_s + self._core_clock - q.mark) / (est.core_time_s[q.cls] or math.inf))
                for q in self._reqs.values()
                if q.state is RequestState.RUNNING
            )
            est.done, self._begun = est.done + begun - self._begun, begun
            est.update(elapsed, use >= FULL_USE)
            beta = est.abandonment_ratio()
            # Cores that are not full prove that there is room, whatever was learned of the service rate.
            room = target_utilization(math.inf, 1.0, beta) / max(use, 0.4) if use < FULL_USE else 0.0
            blocking = blocking_probability(est.arrival_rate, est.service_rate, beta)
            self.blocking_probability = blocking if room < 1.0 else 0.0
            self._publish(elapsed, beta, room)
            self._connections(e.connections or 0.0, use)
            self._sick(now)
            self._limit_calls()
            # The gauge looks back two periods: both must have had every core asked for, or a lull just over
            # would pass for idle cores. Where as many wait as there are cores, more runs make all late.
            asked, self._asked = self._asked, self._full_s >= 0.9 * elapsed
            wait = self.settings.cores if e.core_demand is None and use >= FULL_USE else e.core_demand or 0.0
            limit = self.concurrency_limit
            if wait >= self.settings.cores:
                limit -= 1.0
            elif use < FULL_USE and self._hold and asked and self._asked:
                limit = max(limit + 1.0, limit * GROW)
            self.concurrency_limit = max(float(self.settings.cores), min(limit, self._ceiling(now)))
        self._full_s = 0.0
        self._out.append(actions.SetTimer(PERIOD_S, UPDATE_TIMER))

    def _publish(self, elapsed: float, beta: float, room: float) -> None:
        """Say b: of the whole, (1 - heard) times mu rho / lambda may come; heard is what they were told."""
        report = self.settings.load_report_kind
        if report is LoadReportKind.NONE or self._stop_at < math.inf:
            return
        est, passes = self.estimates, 1.0
        if est.service_rate > 0 and est.arrival_rate > 0:
            passes = (
                est.service_rate * target_utilization(math.inf, est.service_rate, beta) / est.arrival_rate
            )
        gap, kept = self._gap_s(), self.settings.load_report_ttl_s or math.inf
        known = self.published_load * (1.0 - math.exp(-kept / gap))
        lag = est.averaging_span_s() + min(gap, kept)
        self._heard += (known - self._heard) * (1.0 - math.exp(-elapsed / lag))
        wanted = 1.0 - (1.0 - self._heard) * max(passes, room)
        tau = RISE_S if wanted > self.published_load else FALL_S
        share = self.published_load + (wanted - self.published_load) * (1.0 - math.exp(-elapsed / tau))
        share = min(SHARE_MAX, max(0.0, share))
        if abs(share - self.published_load) > 1e-9:
            self.published_load, passing = share, 1.0 - share
            if report is LoadReportKind.CREDIT:
                passing *= max(1.0, 2.0 * self.concurrency_limit / max(1, self.settings.caller_count))
            value = share if report is LoadReportKind.LEVEL else passing
            self._out.append(actions.PublishLoad(round(value, 4)))

    def _gap_s(self) -> float:
        """Seconds between two requests of one caller, if they share the arrivals evenly."""
        return max(1, self.settings.caller_count) / max(self.estimates.request_rate, 1e-9)

    def _connections(self, links: float, use: float) -> None:
        """Close idle connections early where a caller hardly comes back in time, or seldom does while their
        number stands at its most: a full table costs core time. While requests lie unread the idle time grows
        again: a full table is the one door that costs nothing. Guards against storms. Harm: more handshakes;
        after a storm the table stays full for seconds."""
        back = self.settings.idle_timeout_s / self._gap_s()
        self._still = self._still + 1 if 0.98 * self._most_links <= links <= self._most_links else 0
        self._most_links = max(self._most_links, links)
        self._closing = back < REUSED[1] and (self._closing or back < REUSED[0] or self._still >= STILL)
        more = self._again if self.settings.marks_retries else UNMARKED
        storm = use >= FULL_USE and self._unread * max(0.1, more) > UNREAD * self.estimates.aim_s
        if not self._closing or storm:
            factor = DOOR[0]
        else:
            factor = DOOR[1] if use >= FULL_USE else DOOR[2] + (DOOR[1] - DOOR[2]) * more
        after = min(self.settings.idle_timeout_s, max(PERIOD_S, self._idle_s * factor))
        if self.estimates.request_rate and after != self._idle_s:
            self._idle_s = after
            self._out.append(actions.SetIdleTimeout(round(after, 3)))

    def _ceiling(self, now: float) -> float:
        """The crowd that the server survives at its present speed, less a margin; the floor is the cores."""
        s = self.settings
        speed = 1.0
        if s.starts_cold and s.warmup_s > 0.0:
            speed = min(1.0, s.cold_speed + (1.0 - s.cold_speed) * (now - self._born) / s.warmup_s)
        return max(float(s.cores), CROWD_MARGIN * s.cores * (1.0 + (s.collapse_multiple - 1.0) * speed))

    def _run_s(self, cls: int, work: float) -> float:
        """How long a run of this class takes, start to end, as seen lately."""
        return self.estimates.run_time_s[cls] * work

    def _hopeless_at(self, q: RequestRecord) -> float:
        """From when on a start can't be expected to end in time."""
        return q.end - (RUN_HINTED if q.hint else RUN_MEDIAN) * self._run_s(q.cls, q.work)

    def _key(self, now: float, q: RequestRecord) -> float:
        """Worth for each unit of work, times the chance to end in time if started now, taken as
        1 - exp(-time left / run time), over the time left: the urgent first, unless it is late anyway."""
        late = now >= q.aim
        value = q.value * (q.kind.late_weight_factor if late else 1.0)
        run = self._run_s(q.cls, q.work)
        left = (q.due if late else q.aim) - now
        chance = 1.0 - math.exp(-max(0.0, left) / run) if run > 0.0 else 1.0
        return value * chance / (max(0.0, left) + run + 0.05)

    def _order(self, now: float) -> None:
        """Places in a long hold anew for each newcomer and each start would cost more than all else."""
        if now >= self._ordered_at + KEY_OLD_S:
            self._ordered_at = now
            for q in self._hold.values():
                q.key = self._key(now, q)

    def _may_start(self, q: RequestRecord) -> bool:
        """Rules 2 and 3: nothing runs twice where that has effects, nothing that came after the grace, and
        nothing just before the stop: what lay unread until then would be held past it."""
        if q.answered or self._stops(self._now) or q.arrived > self._notice_at + self.settings.drain_grace_s:
            return False
        repeats = q.ran and q.state is RequestState.QUEUED
        return not repeats or q.kind.idempotency is Idempotency.IDEMPOTENT

    def _stops(self, now: float) -> bool:
        return now >= self._stop_at - STOP_MARGIN_S

    def _fill(self, now: float) -> None:
        """Start the best of what waits while the limit, the crowd and the memory allow."""
        while self._hold and self._oncore < int(self.concurrency_limit):
            # Runs on the cores and at calls together: all of the latter may come back at once.
            if self._oncore + len(self._calls) + len(self._stalled) >= self._ceiling(now):
                return
            waiting = [q for q in self._hold.values() if self._may_start(q)]
            if not waiting:
                return
            self._order(now)
            q = max(waiting, key=lambda r: (r.key, -r.id))
            more = self.settings.running_memory_factor - 1.0
            extra = q.kb * more if q.state is RequestState.QUEUED else 0.0
            if self._memory + extra > MEMORY_SHARE * self.settings.memory_kb:
                return
            self._memory += extra
            del self._hold[q.id]
            if not q.ran:
                self._used(now, q.tenant, 1.0)
            q.ran, q.started = True, now
            self._step_on(q)
            self._out.append(actions.StartRun(q.id))
            self._watch(q, min(q.due, q.aim))

    def _step_on(self, q: RequestRecord) -> None:
        q.state, q.mark = RequestState.RUNNING, self._core_clock
        self._oncore += 1

    def _step_off(self, q: RequestRecord) -> None:
        q.core_s += self._core_clock - q.mark
        self._oncore -= 1

    def _refuse(self, now: float, q: RequestRecord) -> None:
        """Turn away; what has run with effect is failed instead (rule 2)."""
        if q.ran and q.kind.idempotency is not Idempotency.IDEMPOTENT:
            self._fail(q)
            return
        last = now >= q.aim - LAST_SHARE * self._run_s(q.cls, q.work) or self._rng.random() < self._full(now)
        self._out.append(actions.Reject(q.id, self._hold_off(), last))
        self._answered(q)

    def _full(self, now: float) -> float:
        """How full the fleet seems: the chance that a refusal asks not to be tried elsewhere. A warm server's
        best rate stands for what others do with as many arrivals; a sick one's is no measure of them."""
        cold = self.settings.starts_cold and now - self._born < self.settings.warmup_s
        if not self.blocking_probability or cold:
            return 0.0
        est = self.estimates
        mu = est.best_work_speed - READ_WORK * est.request_rate
        there = blocking_probability(est.arrival_rate, mu, est.abandonment_ratio()) if mu > 0.0 else 1.0
        return 1.0 - (1.0 - there) * (1.0 - self._heard)

    def _hold_off(self) -> float:
        """How long to keep away: one turn; where no value says b, so long that a caller sends 1 - b."""
        s = self.settings
        if not s.supports_retry_after or not self.blocking_probability * self.estimates.request_rate:
            return 0.0
        passing = 1.0 - self.blocking_probability if s.load_report_kind is LoadReportKind.NONE else 1.0
        return round(min(self.settings.max_retry_after_s, self._gap_s() / passing), 3)

    def _fail(self, q: RequestRecord) -> None:
        self._out.append(actions.Fail(q.id))
        self._answered(q)

    def _answered(self, q: RequestRecord) -> None:
        """Nothing is owed any more, by an answer or because the caller has gone: end it or stop it."""
        q.answered = True
        if q.state in (RequestState.QUEUED, RequestState.PAUSED, RequestState.AWAITING_ORIGINAL):
            if not q.ran:
                self._forget(q)
            self._drop(q)
        elif q.state in (RequestState.RUNNING, RequestState.INDETERMINATE):
            if self.settings.preemption is not Preemption.NONE:
                self._out.append(actions.StopRun(q.id))

    def _booked(self, q: RequestRecord) -> float:
        waits = q.state in (RequestState.QUEUED, RequestState.AWAITING_ORIGINAL)
        return q.kb * (1.0 if waits else self.settings.running_memory_factor)

    def _drop(self, q: RequestRecord) -> None:
        """The request is over: free what it holds."""
        if q.state is RequestState.RUNNING:
            self._step_off(q)
        elif q.state is RequestState.CALLING:
            self._call_off(self._now, q, lingers=True)
        self._memory -= self._booked(q)
        self._hold.pop(q.id, None)
        self._stalled.pop(q.id, None)
        self._reqs.pop(q.id, None)

    def _run_ended(self, now: float, e: events.RunFinished) -> None:
        q = self._reqs.get(e.request_id)
        if q is None:
            return
        if q.state is RequestState.AWAITING_ORIGINAL or e.outcome is Outcome.NOT_STARTED:
            if e.outcome is Outcome.NOT_STARTED:
                self._forget(q)  # nothing was begun: a key that no run holds is memory wasted
            self._drop(q)
        elif e.outcome is Outcome.CANCELLED and not q.answered:
            # Stopped, with an answer still owed: back to the hold, progress kept or lost.
            if q.state is RequestState.RUNNING:
                self._step_off(q)
            drop = self.settings.preemption is Preemption.DROP
            if drop:
                self._memory -= q.kb * (self.settings.running_memory_factor - 1.0)
            q.state = RequestState.QUEUED if drop else RequestState.PAUSED
            self._hold[q.id] = q
            if not self._may_start(q):  # stopped for good: its answer is due at once
                self._refuse(now, q)
        else:
            on_core = q.state is RequestState.RUNNING
            self._drop(q)
            if e.outcome is Outcome.SUCCESS and on_core:
                self.estimates.last_run_at_s[q.cls] = now
                self.estimates.run_ended(q, q.core_s, now - q.started)
                far = now - q.started > FAR_ABOVE * max(q.core_s, self.estimates.base_core_time_s[q.cls])
                if far and not q.calls and now - self._limit_cut_at >= PERIOD_S:
                    self._limit_cut_at = now
                    self.concurrency_limit = max(float(self.settings.cores), self.concurrency_limit * CUT)
            elif self.estimates.core_time_s[q.cls] > 0.0:
                # Stopped or failed work took its part of the cores too, so it must not drag the rate.
                self.estimates.done += min(q.work, q.core_s / self.estimates.core_time_s[q.cls])

    def _run_doubted(self, now: float, e: events.RunIndeterminate) -> None:
        """A run that may never have begun holds no core until something is heard; what can go on does."""
        q = self._reqs.get(e.request_id)
        if q is None or q.state is not RequestState.RUNNING or q.answered:
            return
        if e.at_call and q.kind.skipped_call_weight > 0.0:
            self._out.append(actions.SkipCall(q.id))
            return
        self._step_off(q)
        q.state = RequestState.INDETERMINATE
        q.retry_at = now + DOUBT_RUNS * max(PERIOD_S, self._run_s(q.cls, q.work))
        self._watch(q, q.retry_at + DUE_MARGIN_S)

    def _caller_gone(self, now: float, e: events.RequestAbandoned) -> None:
        if e.request_id in self._reqs:
            self._answered(self._reqs[e.request_id])

    def _at_call(self, now: float, e: events.CallNeeded) -> None:
        q = self._reqs.get(e.request_id)
        if q is None:
            return
        if q.state is RequestState.RUNNING:
            self._step_off(q)
        q.state, q.calls, q.retry_at = RequestState.CALL_PENDING, 0, now
        self._stalled[q.id] = q
        self._calls_at = now

    def _limit_calls(self) -> None:
        """The calls in hand, like the runs: fewer while calls take long, more while some wait and they do
        not. A crowded dependency gets less done for all who share it; the floor is this server's part."""
        if self.estimates.slow_call_share > CALL_CROWDED:
            self._call_limit *= CALL_CUT
        elif self._call_waits:
            self._call_limit *= CALL_GROW
        self._call_limit = max(self._call_floor, min(self._call_limit, self.settings.call_quota))
        self._call_waits = False

    def _make_calls(self, now: float) -> None:
        """Make, skip or put off the calls that runs stand at: first those that can't be skipped."""
        if not self._stalled or now < self._calls_at:
            return
        self._calls_at = now + KEY_OLD_S
        # One far beyond its usual length hangs: it uses nothing below, and must not keep others waiting here.
        usual_s = self.estimates.call_time_s
        inhand = sum(now - q.called <= CALL_LONG * (usual_s[q.cls] or q.end) for q in self._calls.values())
        ahead = 0
        for q in sorted(self._stalled.values(), key=lambda r: (r.kind.skipped_call_weight > 0.0, r.aim)):
            if q.answered or q.retry_at > now + SOON_S:
                continue
            left, skips, usual = q.end - now, q.kind.skipped_call_weight > 0.0, usual_s[q.cls]
            if self.settings.dependency is Dependency.SHARED and inhand >= self._call_limit:
                self._call_waits = True
                ahead += 1
                patience = CALL_WAIT * (q.aim - q.retry_at)
                if skips and max(now - q.retry_at, ahead * usual / self._call_limit) > patience:
                    self._skip(q)
                continue
            give_up = left * CALL_PATIENCE if skips else left
            if usual > 0.0:
                give_up = min(give_up, max(CALL_LEAST_S[not skips], (CALL_HUNG, CALL_LONG)[skips] * usual))
            if self.settings.dependency is Dependency.SHARED:
                give_up = min(give_up, self._call_cap / CALL_PARTS * (1.0 if skips else 2.0))
            give_up = max(0.05, give_up)
            if self.settings.dependency is Dependency.SHARED:
                # Rule 4: a call is made only where its longest stay, lingering included, is still free. What
                # can be skipped leaves a quarter to what cannot.
                stay = min(give_up + self.settings.abandoned_call_s, self._call_cap)
                if stay <= 0.0 or stay > self._call_budget - (self._call_cap / 4.0 if skips else 0.0):
                    if skips:
                        self._skip(q)
                    continue
                q.stay = stay
                self._reserved += stay
                self._call_budget -= stay
            q.state, q.called, q.calls = RequestState.CALLING, now, q.calls + 1
            del self._stalled[q.id]
            self._calls[q.id] = q
            inhand += 1
            self._out.append(actions.StartCall(q.id, give_up))

    def _skip(self, q: RequestRecord) -> None:
        self._stalled.pop(q.id, None)
        self._step_on(q)
        self._out.append(actions.SkipCall(q.id))

    def _call_off(self, now: float, q: RequestRecord, lingers: bool) -> None:
        """A call is over: give back what it did not use."""
        del self._calls[q.id]
        self._calls_at = now
        used = now - q.called + (self.settings.abandoned_call_s if lingers else 0.0)
        self._reserved -= q.stay
        self._call_budget += q.stay - used  # less than nothing where a share is under one call's stay
        q.stay = 0.0

    def _call_ended(self, now: float, e: events.CallFinished) -> None:
        q = self._reqs.get(e.request_id)
        if q is None or q.state is not RequestState.CALLING:
            return
        lingers = e.outcome in (Outcome.TIMED_OUT, Outcome.DISCONNECTED)
        self._call_off(now, q, lingers)
        if e.outcome in (Outcome.SUCCESS, Outcome.TIMED_OUT):
            self.estimates.call_ended(q.cls, now, now - q.called)
        if e.outcome is Outcome.SUCCESS:
            self._step_on(q)
            return
        q.state = RequestState.CALL_PENDING
        self._stalled[q.id] = q
        again = e.outcome.never_ran or q.kind.idempotency is Idempotency.IDEMPOTENT
        spoilt = e.outcome in (Outcome.DISCONNECTED, Outcome.UNREACHABLE) or (
            e.outcome is Outcome.TIMED_OUT and self.estimates.slow_call_share < CALL_CROWDED
        )
        if q.answered:
            return
        if q.kind.skipped_call_weight > 0.0 and not (spoilt and again and q.calls < CALL_TRIES):
            self._skip(q)
        elif again and q.calls < CALL_TRIES:
            q.retry_at = now + CALL_BACKOFF_S * 2.0 ** (q.calls - 1)
            self._watch(q, q.retry_at)
        else:
            self._fail(q)

    def _keep(self, now: float, q: RequestRecord) -> None:
        """From reading on and for the whole window, so that no repeat can pass unknown."""
        life = max(0.01, q.kind.idempotency_window_s - (now - q.arrived) + KEY_MARGIN_S)
        self._keys[q.id] = now + life
        self._memory += self.settings.key_memory_kb
        self._out.append(actions.RememberKey(q.id, life))

    def _forget(self, q: RequestRecord) -> None:
        """Free the entry of a request that never ran and is over."""
        if q.prior is None and self._keys.pop(q.id, None) is not None:
            self._memory -= self.settings.key_memory_kb
            self._out.append(actions.ForgetKey(q.id))

    def _attach(self, q: RequestRecord) -> None:
        """A repeat never runs by itself: it takes the result of the try it repeats."""
        del self._hold[q.id]
        q.state, q.ran = RequestState.AWAITING_ORIGINAL, True
        self._out.append(actions.AwaitOriginal(q.id))
        self._watch(q, q.due)

    def _watch(self, q: RequestRecord, at: float) -> None:
        heapq.heappush(self._heap, (at - DUE_MARGIN_S, q.id))

    def _arm(self, now: float) -> None:
        """One timer for the earliest thing that falls due."""
        while self._heap and self._heap[0][1] not in self._reqs and self._heap[0][1] >= 0:
            heapq.heappop(self._heap)
        if self._heap and self._heap[0][0] < self._alarm_at - SOON_S:
            self._alarm_at = max(now, self._heap[0][0])
            self._out.append(actions.SetTimer(max(0.0, self._alarm_at - now), DEADLINE_TIMER))

    def _timer(self, now: float, e: events.TimerFired) -> None:
        if e.label == UPDATE_TIMER:
            for key in [k for k, end in self._keys.items() if end <= now]:
                del self._keys[key]
                self._memory -= self.settings.key_memory_kb
            self._tick(now, e)
        elif now + SOON_S < self._alarm_at:
            return  # set before an earlier one was: re-arming for it too would make a second chain of alarms
        else:
            self._alarm_at = math.inf
        self._calls_at = now
        while self._heap and self._heap[0][0] <= now + SOON_S:
            q = self._reqs.get(heapq.heappop(self._heap)[1])
            if q is not None and not q.answered:
                self._look_at(now, q)
        if self._stops(now):
            for q in [q for q in self._reqs.values() if not q.answered]:
                self._refuse(now, q)

    def _look_at(self, now: float, q: RequestRecord) -> None:
        """A request's time has come: answer what is due, turn away what is hopeless, stop what is late."""
        soon = now + DUE_MARGIN_S + SOON_S
        # An answer worth nothing, while others wait for its core.
        running, queued = q.state is RequestState.RUNNING, q.state is RequestState.QUEUED
        late = running and q.aim <= soon and not q.kind.late_weight_factor and self._hold
        if q.due <= soon or late or (queued and self._hopeless_at(q) <= soon):
            self._refuse(now, q)
        elif q.state is RequestState.INDETERMINATE and q.retry_at <= now + SOON_S:
            self._fail(q)
        elif q.state is RequestState.CALL_PENDING and q.retry_at > now + SOON_S:
            self._watch(q, q.retry_at + DUE_MARGIN_S)
        else:
            at = min(q.due, max(self._hopeless_at(q), soon + 0.02)) if queued else q.due
            self._watch(q, at)

    def _started(self, now: float, e: events.Started) -> None:
        self._ticked = self._born = self._now = now
        self._out.append(actions.SetTimer(PERIOD_S, UPDATE_TIMER))
        if self.settings.deep_health_checks:
            self._out.append(actions.SetHealth(True, shallow=True))

    def _leave(self, now: float, e: events.ShutdownNotice) -> None:
        self._notice_at = min(self._notice_at, now - e.received_ago_s)
        self._stop_at = now + e.time_left_s
        self._out.append(
            actions.LogNote("leaving: answering what is held, taking nothing new after the grace")
        )
        self._out.append(actions.SetHealth(False, shallow=True))
        if self.settings.load_report_kind is not LoadReportKind.NONE:
            none_wanted = 1.0 if self.settings.load_report_kind is LoadReportKind.LEVEL else 0.0
            self._out.append(actions.PublishLoad(none_wanted))
        heapq.heappush(self._heap, (max(now, self._stop_at - STOP_MARGIN_S), -1))

    def _sick(self, now: float) -> None:
        """A server far slower than it was leaves the list for a while, then learns its rate anew. Guards
        against sick machines; reading is work, or a storm would pass for one. Harm: all may be as slow."""
        sick = self._back_at == math.inf and self.estimates.work_speed < SICK * self.estimates.best_work_speed
        if self._stop_at == math.inf and (sick or now >= self._back_at):
            self._back_at = now + REST_S if sick else math.inf
            self.estimates.forget_best_speed()
            self._out.append(
                actions.LogNote(f"{'far slower than before: out of' if sick else 'back in'} the list")
            )
            self._out.append(actions.SetHealth(not sick, shallow=True))
