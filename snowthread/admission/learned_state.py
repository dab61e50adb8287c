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
class Times:
    """A class's times in good times: of a run on a core, of a run with its calls, of a call."""

    core_s: float = 0.0
    wall_s: float = 0.0
    call_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Recalled:
    """What a node learned, by class, and the requests that it read a second."""

    times: dict[str, Times]
    lam_heads: float = 0.0


def learned(controller: Controller) -> Recalled:
    """What is worth keeping of what this controller learned."""
    est = controller.est
    return Recalled({
        kind.name: Times(est.base_s[n], max(est.base_s[n], est.wall_s[n] * est.work(n, None)),
                         est.call_base_s[n])
        for n, kind in enumerate(controller.s.classes) if est.base_s[n] > 0.0}, est.lam_heads)


def restore(controller: Controller, recalled: Recalled, speed: float) -> None:
    """Begin with what an earlier life learned, on a machine that works at this share of its speed."""
    est = controller.est
    for n, kind in enumerate(controller.s.classes):
        times = recalled.times.get(kind.name)
        if times is not None and est.base_s[n] <= 0.0:
            est.base_s[n] = times.core_s
            est.call_base_s[n] = est.call_s[n] = times.call_s
    for n, kind in enumerate(controller.s.classes):
        times = recalled.times.get(kind.name)
        if times is not None and est.core_s[n] <= 0.0 and times.core_s > 0.0:
            work = est.work(n, None)
            est.core_s[n] = times.core_s / speed / work
            est.wall_s[n] = (times.wall_s - times.core_s + times.core_s / speed) / work
    est.lam_heads = est.lam_heads or recalled.lam_heads


def speed(controller: Controller, now_s: float) -> float:
    """Of its warm speed: what the settings give a machine of this age (as the module's run limit has it)."""
    s = controller.s
    if not s.cold or s.ramp_s <= 0.0:
        return 1.0
    return min(1.0, s.cold_share + (1.0 - s.cold_share) * max(0.0, now_s - controller._born) / s.ramp_s)


def quick(controller: Controller, recalled: Recalled, factor: float) -> bool | None:
    """Do runs of every class recalled take at most so many times what they took? None: nothing to compare."""
    est, ratios = controller.est, list[float]()
    for n, kind in enumerate(controller.s.classes):
        times = recalled.times.get(kind.name)
        if times is not None and times.core_s > 0.0 and est.core_s[n] > 0.0:
            ratios.append(est.core_s[n] * est.work(n, None) / times.core_s)
    return max(ratios) <= factor if ratios else None


@dataclass(slots=True)
class Ages:
    """Lets run times grow old: one that no run has confirmed for longer than a request of its class may take
    says nothing of the next. Once a period: blended to what was recalled, past its bound that or unknown."""

    recalled: Recalled
    fresh: float = 0.5  # times a class's aim: as learned for so long
    bound: float = 2.0  # times a class's aim: gone by then
    rate_bound_s: float = 1.0  # a service rate that full cores have not confirmed for so long
    decayed: int = 0
    _rate: tuple[float, float] = (0.0, 0.0)  # the service rate as it was last seen to change, and when

    def tick(self, controller: Controller, now_s: float) -> None:
        """Look at each class; ``now_s`` on the module's clock."""
        est = controller.est
        if est.mu != self._rate[0]:
            self._rate = (est.mu, now_s)
        elif est.mu > 0.0 and now_s - self._rate[1] >= self.rate_bound_s:
            # Learned at full cores only. One learned while the machine was cold has the node turn away so
            # much that its cores are never full again, and is never unlearned; what runs take says more.
            now_rate = est.at_full(est.core_s)
            if now_rate > est.mu:
                est.mu = now_rate
                self._rate = (now_rate, now_s)
                self.decayed += 1
        for n, kind in enumerate(controller.s.classes):
            age, first, last = now_s - est.learned_at[n], self.fresh * kind.goal_s, self.bound * kind.goal_s
            if est.wall_s[n] <= 0.0 or not est.learned_at[n] or age <= first:
                continue
            times = self.recalled.times.get(kind.name, Times())
            work = est.work(n, None)
            core, wall = times.core_s / work, times.wall_s / work
            if age >= last:
                est.core_s[n], est.wall_s[n] = core, wall
                est.learned_at[n] = now_s if wall else 0.0
                self.decayed += 1
            elif wall:
                part = min(1.0, (age - first) / (last - first)) / 4.0  # of what is left, a period
                est.core_s[n] += (core - est.core_s[n]) * part
                est.wall_s[n] += (wall - est.wall_s[n]) * part


def oldest_s(controller: Controller, now_s: float) -> dict[str, float]:
    """How long ago the run times of each class that decide now were last confirmed, in seconds."""
    est = controller.est
    return {kind.name: now_s - est.learned_at[n] for n, kind in enumerate(controller.s.classes)
            if est.wall_s[n] > 0.0 and est.learned_at[n] > 0.0}
