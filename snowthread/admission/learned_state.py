"""What the module learned, read and set from outside: for a snapshot, for a new start, and as it grows old.

Pure. ``Times`` are seconds; a value of 0 is one that is not known, as everywhere in the module.

| learned              | recalled at a start                     | past its bound                     |
| -------------------- | --------------------------------------- | ---------------------------------- |
| run times            | as in good times, at the machine's speed | as recalled, else not known        |
| call times           | as in good times                        | (the module compares with them)    |
| arrival rate         | until this life has measured one        | -                                  |
| service rate         | no: it is the warm machine's            | what runs take now allows, if more |
| best speed, b, limit | no: stale on a cold machine             | made anew every quarter of a second |
"""

from __future__ import annotations

from dataclasses import dataclass

from snowthread.admission.controller import Controller


@dataclass(frozen=True, slots=True)
class ClassTimes:
    """A class's times in good times: of a run on a core, of a run with its calls, of a call."""

    core_time_s: float = 0.0
    run_time_s: float = 0.0
    call_time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What a node learned, by class, and the requests that it read a second."""

    times: dict[str, ClassTimes]
    request_rate: float = 0.0


def export_learned_state(controller: Controller) -> LearnedState:
    """What is worth keeping of what this controller learned."""
    est = controller.estimates
    return LearnedState(
        {
            kind.name: ClassTimes(
                est.base_core_time_s[n],
                max(est.base_core_time_s[n], est.run_time_s[n] * est.work_of(n, None)),
                est.base_call_time_s[n],
            )
            for n, kind in enumerate(controller.settings.classes)
            if est.base_core_time_s[n] > 0.0
        },
        est.request_rate,
    )


def restore_learned_state(controller: Controller, recalled: LearnedState, speed: float) -> None:
    """Begin with what an earlier life learned, on a machine that works at this share of its speed."""
    est = controller.estimates
    for n, kind in enumerate(controller.settings.classes):
        times = recalled.times.get(kind.name)
        if times is not None and est.base_core_time_s[n] <= 0.0:
            est.base_core_time_s[n] = times.core_time_s
            est.base_call_time_s[n] = est.call_time_s[n] = times.call_time_s
    for n, kind in enumerate(controller.settings.classes):
        times = recalled.times.get(kind.name)
        if times is not None and est.core_time_s[n] <= 0.0 and times.core_time_s > 0.0:
            work = est.work_of(n, None)
            est.core_time_s[n] = times.core_time_s / speed / work
            est.run_time_s[n] = (times.run_time_s - times.core_time_s + times.core_time_s / speed) / work
    est.request_rate = est.request_rate or recalled.request_rate


def warmup_speed(controller: Controller, now_s: float) -> float:
    """Of its warm speed: what the settings give a machine of this age (as the module's run limit has it)."""
    return controller.settings.speed_at_age(now_s - controller.started_at)


def runs_within_factor(controller: Controller, recalled: LearnedState, factor: float) -> bool | None:
    """Do runs of every class recalled take at most so many times what they took? None: nothing to compare."""
    est, ratios = controller.estimates, list[float]()
    for n, kind in enumerate(controller.settings.classes):
        times = recalled.times.get(kind.name)
        if times is not None and times.core_time_s > 0.0 and est.core_time_s[n] > 0.0:
            ratios.append(est.core_time_s[n] * est.work_of(n, None) / times.core_time_s)
    return max(ratios) <= factor if ratios else None


@dataclass(slots=True)
class LearnedStateAging:
    """Lets run times grow old: one that no run has confirmed for longer than a request of its class may take
    says nothing of the next. Once a period: blended to what was recalled, past its bound that or unknown.
    """

    recalled: LearnedState
    fresh: float = 0.5  # times a class's aim: as learned for so long
    bound: float = 2.0  # times a class's aim: gone by then
    rate_bound_s: float = 1.0  # a service rate that full cores have not confirmed for so long
    decayed: int = 0
    _rate: tuple[float, float] = (0.0, 0.0)  # the service rate as it was last seen to change, and when

    def tick(self, controller: Controller, now_s: float) -> None:
        """Look at each class; ``now_s`` on the module's clock."""
        est = controller.estimates
        if est.service_rate != self._rate[0]:
            self._rate = (est.service_rate, now_s)
        elif est.service_rate > 0.0 and now_s - self._rate[1] >= self.rate_bound_s:
            # Learned at full cores only. One learned while the machine was cold has the node turn away so
            # much that its cores are never full again, and is never unlearned; what runs take says more.
            now_rate = est.full_rate(est.core_time_s)
            if now_rate > est.service_rate:
                est.service_rate = now_rate
                self._rate = (now_rate, now_s)
                self.decayed += 1
        for n, kind in enumerate(controller.settings.classes):
            age, first, last = (
                now_s - est.last_run_at_s[n],
                self.fresh * kind.latency_objective_s,
                self.bound * kind.latency_objective_s,
            )
            if est.run_time_s[n] <= 0.0 or not est.last_run_at_s[n] or age <= first:
                continue
            times = self.recalled.times.get(kind.name, ClassTimes())
            work = est.work_of(n, None)
            core, wall = times.core_time_s / work, times.run_time_s / work
            if age >= last:
                est.core_time_s[n], est.run_time_s[n] = core, wall
                est.last_run_at_s[n] = now_s if wall else 0.0
                self.decayed += 1
            elif wall:
                part = min(1.0, (age - first) / (last - first)) / 4.0  # of what is left, a period
                est.core_time_s[n] += (core - est.core_time_s[n]) * part
                est.run_time_s[n] += (wall - est.run_time_s[n]) * part


def confirmation_ages_s(controller: Controller, now_s: float) -> dict[str, float]:
    """How long ago the run times of each class that decide now were last confirmed, in seconds."""
    est = controller.estimates
    return {
        kind.name: now_s - est.last_run_at_s[n]
        for n, kind in enumerate(controller.settings.classes)
        if est.run_time_s[n] > 0.0 and est.last_run_at_s[n] > 0.0
    }
