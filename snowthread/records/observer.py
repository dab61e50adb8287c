"""From what the reducer takes and asks for to records: free of I/O; nothing is counted that did not happen.

It looks at messages and effects only, never decides, and holds one small entry for each request that is open.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from snowthread.admission.learned_state import confirmation_ages_s
from snowthread.admission.settings import Settings
from snowthread.core import effects, events
from snowthread.core.state import RequestPhase, State
from snowthread.records.model import Fields, Totals

STEP_FROM = 1000.0  # ms: from here on lengths are counted in steps of 10
LENGTH_MAX = 3_600_000  # ms: longer runs and calls count as so long
TENANTS_MOST = 200  # of a second's tenants; what goes beyond is counted under one name
OTHERS = "(others)"
_NOTHING: tuple[tuple[str, Fields], ...] = ()
RUNS_MOST = 4096  # runs whose end is waited for
FLOORS_MOST = 16  # balancers whose youngest request is told a second


class _Open:
    """A request that is not answered yet. No dataclass: one is made for each request."""

    __slots__ = ("calling", "came", "class_name", "row", "second", "started", "tenant", "uid")

    def __init__(self, uid: str, class_name: str, tenant: str, came: float) -> None:
        self.uid, self.class_name, self.tenant = uid, class_name, tenant
        self.came = came  # when it came to the machine
        self.started = self.calling = False
        self.row: Totals | None = None  # where it is counted in that second
        self.second: _Second | None = None


@dataclass(slots=True)
class _Second:
    """What was counted since the last record."""

    began: float
    totals: dict[tuple[str, str], Totals] = field(default_factory=dict)
    lengths: dict[tuple[str, str], dict[int, int]] = field(default_factory=dict)  # ms -> how often
    floors: dict[int, float] = field(default_factory=dict)


class Observer:
    """Counts for one node."""

    def __init__(self, settings: Settings, now: float) -> None:
        self._aims: dict[str, float] = {}
        self.apply_settings(settings)
        self._open: dict[events.ResponseAddress, _Open] = {}
        self._by_uid: dict[str, _Open] = {}
        self._second = _Second(now)
        self._linked = False
        self._runs: dict[str, str] = {}  # uid of a run -> its class; its caller may be gone already
        self._fresh: _Open | None = None  # read in this very step
        self._on: dict[type, Callable[[Any, list[tuple[str, Fields]], float], None]] = {
            events.RequestReceived: self._read,
            events.RunCompleted: self._run_over,
            events.CallCompleted: self._call_back,
            events.RequestCancelled: self._caller_left,
            events.RuntimeConnected: self._link,
            events.RuntimeDisconnected: self._link,
            events.ShutdownRequested: self._leave,
        }

    def __len__(self) -> int:
        return len(self._open)

    def apply_settings(self, settings: Settings) -> None:
        """The classes there are from now on, and their aims."""
        self._aims = {c.name: c.latency_objective_s * 1000.0 for c in settings.classes}

    def observe(
        self, message: events.Event, produced: Sequence[effects.Effect], state: State, now: float
    ) -> Sequence[tuple[str, Fields]]:
        """One step of the reducer; the records it makes at once."""
        look = self._on.get(type(message))
        if look is None and not produced:
            return _NOTHING
        out: list[tuple[str, Fields]] = []
        self._fresh = None
        if look is not None:
            look(message, out, now)
        for effect in produced:
            what = type(effect)
            if what is effects.ScheduleTimer or what is effects.RequestLoadSample:
                continue
            if what is effects.SendResponse:
                self._answered(effect, state, now)  # type: ignore[arg-type]
            elif what is effects.StartRun:
                self._started(effect)  # type: ignore[arg-type]
            elif what is effects.StartCall:
                at_call = self._by_uid.get(effect.attempt_id)  # type: ignore[union-attr]
                if at_call is not None:
                    at_call.calling = True
            elif what is effects.SetRegistration:
                out.append(("list", {"taking": effect.accepts_work}))  # type: ignore[union-attr]
        return out

    # Messages.

    def _run_over(self, m: events.RunCompleted, out: list[tuple[str, Fields]], now: float) -> None:
        class_name = self._runs.pop(m.attempt_id, None)
        if class_name is not None:
            self._length("runs", class_name, m.duration_ms)

    def _call_back(self, m: events.CallCompleted, out: list[tuple[str, Fields]], now: float) -> None:
        self._length("calls", m.outcome.value, m.duration_ms)
        waiting = self._by_uid.get(m.attempt_id)
        if waiting is not None:
            waiting.calling = False

    def _caller_left(self, m: events.RequestCancelled, out: list[tuple[str, Fields]], now: float) -> None:
        gone = self._drop(m.response_address)
        if gone is not None:
            self._of(gone).left += 1

    def _link(
        self,
        m: events.RuntimeConnected | events.RuntimeDisconnected,
        out: list[tuple[str, Fields]],
        now: float,
    ) -> None:
        up = isinstance(m, events.RuntimeConnected)
        if up or self._linked:
            out.append(("link", {"peer": "runtime", "up": up}))
        self._linked = up

    def _leave(self, m: events.ShutdownRequested, out: list[tuple[str, Fields]], now: float) -> None:
        out.append(("drain", {"left_ms": m.time_left_ms}))

    def take_totals(self, state: State, now: float) -> Fields:
        """What was counted since the last time, with the figures as they stand."""
        s, self._second = self._second, _Second(now)
        fields: Fields = {
            "ms": round(now - s.began, 1),
            "totals": [[name, tenant, t.plain()] for (name, tenant), t in s.totals.items()],
        }
        for what in ("runs", "calls"):
            lengths = {name: _summary(h) for (kind, name), h in s.lengths.items() if kind == what}
            if lengths:
                fields[what] = lengths
        if s.floors:
            fields["floors"] = s.floors
        controller = state.controller
        if controller is not None:
            fields |= {
                "b": round(controller.blocking_probability, 4),
                "limit": round(controller.concurrency_limit, 2),
                "mu": round(controller.estimates.service_rate, 3),
                "lambda": round(controller.estimates.arrival_rate, 3),
                "run_ages_s": {
                    name: round(age, 2)
                    for name, age in confirmation_ages_s(
                        controller, state.admission_clock.timestamp_s(now)
                    ).items()
                },
            }
        places = [q.phase for q in state.requests.values()]
        calling = sum(q.call_in_flight for q in state.requests.values())
        fields |= {
            "held": places.count(RequestPhase.QUEUED),
            "running": places.count(RequestPhase.RUNNING),
            "calls_in_hand": calling,
            "keys": len(state.idempotency_table),
            "gauges": dict(zip(state.gauge_names, state.load_sample, strict=False)),
        }
        if state.load_report is not None:
            fields["say"] = state.load_report
        return fields

    # Counting.

    def _read(self, m: events.RequestReceived, out: list[tuple[str, Fields]], now: float) -> None:
        # A class that the settings don't name is a caller's word: it gets no row of its own.
        name = m.class_name if m.class_name in self._aims else ""
        at = m.sent_at_ms
        made = _Open(m.attempt_id, name, m.tenant, at if at < now else now)
        self._open[m.response_address] = self._by_uid[m.attempt_id] = self._fresh = made
        self._of(made).read += 1
        floors, caller = self._second.floors, m.caller_id
        floor = floors.get(caller)
        if floor is None:
            if len(floors) < FLOORS_MOST:
                floors[caller] = now - at
        elif now - at < floor:
            floors[caller] = now - at

    def _started(self, effect: effects.StartRun) -> None:
        made = self._by_uid.get(effect.attempt_id)
        if made is not None and not made.started:
            made.started = True
            self._of(made).runs += 1
        self._runs[effect.attempt_id] = effect.class_name
        if len(self._runs) > RUNS_MOST:  # runs that a broken link took along never end here
            del self._runs[next(iter(self._runs))]

    def _answered(self, effect: effects.SendResponse, state: State, now: float) -> None:
        made = self._drop(effect.response_address)
        if made is None:
            return  # a health check
        totals = self._of(made)
        match effect.response:
            case effects.Served():
                aim = self._aims.get(made.class_name, 0.0)
                if now - made.came <= aim:
                    totals.served += 1
                else:
                    totals.late += 1
                totals.attached += not made.started
            case effects.Rejected():
                if state.shutting_down:
                    totals.refused_leaving += 1
                elif made is self._fresh:
                    totals.refused += 1
                else:
                    totals.refused_held += 1
            case effects.Failed():
                if made.calling:
                    totals.failed_calling += 1
                elif made.started:
                    totals.failed_running += 1
                else:
                    totals.failed += 1

    def _drop(self, ticket: events.ResponseAddress) -> _Open | None:
        made = self._open.pop(ticket, None)
        if made is not None and self._by_uid.get(made.uid) is made:
            del self._by_uid[made.uid]
        return made

    def _of(self, made: _Open) -> Totals:
        second = self._second
        if made.second is second and made.row is not None:
            return made.row
        rows = second.totals
        key = (made.class_name, made.tenant)
        if key not in rows and len(rows) >= TENANTS_MOST:
            key = (made.class_name, OTHERS)
        row = rows.get(key)
        if row is None:
            row = rows[key] = Totals()
        made.second, made.row = second, row
        return row

    def _length(self, kind: str, name: str, ms: float) -> None:
        # Counted plainly here, put into a histogram once a second: that takes ten times as long.
        counts = self._second.lengths.get((kind, name))
        if counts is None:
            counts = self._second.lengths[kind, name] = {}
        value = int(ms) if ms < STEP_FROM else int(ms / 10.0) * 10
        counts[value] = counts.get(value, 0) + 1


def _summary(counts: dict[int, int]) -> list[int]:
    """Count, median, 99th of 100, longest; the last three in ms."""
    h = HdrHistogram(1, LENGTH_MAX, 2)
    for value, count in counts.items():
        h.record_value(max(1, min(LENGTH_MAX, value)), count)
    return [
        h.get_total_count(),
        int(h.get_value_at_percentile(50.0)),
        int(h.get_value_at_percentile(99.0)),
        int(h.get_max_value()),
    ]
