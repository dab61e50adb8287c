"""What a controller learned, read and set from outside: for a snapshot, for a start, and as it ages.

Pure. Times are seconds; 0 is a time that is not known, as everywhere in the controller.

| learned              | restored at a start                      | once too old                        |
| -------------------- | ---------------------------------------- | ----------------------------------- |
| run times            | as in good times, at the machine's speed | as restored, else not known         |
| call times           | as in good times                         | (the controller compares with them) |
| arrival rate         | until this process has measured one      | -                                   |
| service rate         | no: it is the warm machine's             | what runs take now allows, if more  |
| best speed, b, limit | no: stale on a cold machine              | made anew every quarter of a second |
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from snowthread.admission.controller import Controller
from snowthread.admission.settings import RequestClass

AGING_RATIO = 0.25  # of its difference to the restored time, that a run time loses an update at its bound


@dataclass(frozen=True, slots=True)
class LearnedClassTimes:
    """The times of a class in good times: of a run on a core, of a run with its calls, of a call."""

    core_time_s: float = 0.0
    run_time_s: float = 0.0
    call_time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What a node learned, by class, and the requests that it read a second."""

    times: dict[str, LearnedClassTimes]
    request_rate: float = 0.0


def export_learned_state(controller: Controller) -> LearnedState:
    """Return what a later process can use of what a controller learned."""
    estimates = controller.estimates
    times: dict[str, LearnedClassTimes] = {}
    for index, request_class in enumerate(controller.settings.classes):
        core_time_s = estimates.base_core_time_s[index]
        if core_time_s > 0.0:
            run_time_s = estimates.run_time_s[index] * estimates.work_units(index, None)
            times[request_class.name] = LearnedClassTimes(
                core_time_s, max(core_time_s, run_time_s), estimates.base_call_time_s[index]
            )
    return LearnedState(times, estimates.request_rate)


def restore_learned_state(controller: Controller, restored: LearnedState, speed: float) -> None:
    """Begin with what an earlier process learned, on a machine that works at this share of its speed.

    What the controller has measured itself stays.
    """
    estimates = controller.estimates
    known_classes = list(_known_classes(controller, restored))
    for index, times in known_classes:
        if estimates.base_core_time_s[index] <= 0.0:
            estimates.base_core_time_s[index] = times.core_time_s
            estimates.base_call_time_s[index] = times.call_time_s
            estimates.call_time_s[index] = times.call_time_s
    for index, times in known_classes:  # the work of a class depends on the base times of all
        if estimates.core_time_s[index] <= 0.0 and times.core_time_s > 0.0:
            work = estimates.work_units(index, None)
            core_time_s = times.core_time_s / speed
            estimates.core_time_s[index] = core_time_s / work
            estimates.run_time_s[index] = (times.run_time_s - times.core_time_s + core_time_s) / work
    estimates.request_rate = estimates.request_rate or restored.request_rate


def _known_classes(controller: Controller, restored: LearnedState) -> Iterator[tuple[int, LearnedClassTimes]]:
    """Yield index and times of the classes in the settings of which something is restored."""
    for index, request_class in enumerate(controller.settings.classes):
        times = restored.times.get(request_class.name)
        if times is not None:
            yield index, times


def warmup_speed(controller: Controller, now_s: float) -> float:
    """Return the machine's speed at its age by the settings, as a share of its warm speed."""
    return controller.settings.speed_at_age(controller.state.age_s(now_s))


def runs_within_factor(controller: Controller, restored: LearnedState, factor: float) -> bool | None:
    """Return whether runs of every restored class take at most so many times as long as restored.

    None where there is nothing to compare.
    """
    estimates = controller.estimates
    ratios = [
        estimates.core_time_s[index] * estimates.work_units(index, None) / times.core_time_s
        for index, times in _known_classes(controller, restored)
        if times.core_time_s > 0.0 and estimates.core_time_s[index] > 0.0
    ]
    return max(ratios) <= factor if ratios else None


@dataclass(slots=True)
class LearnedStateAging:
    """Lets run times age.

    One that no run has confirmed for longer than a request of its class may take says nothing of the next: it
    moves towards the restored time, update by update, and past its maximum age it is that, or not known.
    """

    restored: LearnedState
    fresh_age_objectives: float = 0.5  # latency objectives of a class, for which its times stay as learned
    max_age_objectives: float = 2.0  # latency objectives of a class, after which its times are given up
    max_rate_age_s: float = 1.0  # after which a service rate not confirmed may be given up
    discarded_count: int = 0  # estimates that were given up
    _service_rate: float = 0.0  # as it was last seen to change
    _service_rate_at_s: float = 0.0  # when that was

    def update(self, controller: Controller, now_s: float) -> None:
        """Age what is not confirmed; once an update, with ``now_s`` on the controller's clock."""
        self._age_service_rate(controller, now_s)
        for index, request_class in enumerate(controller.settings.classes):
            self._age_class(controller, now_s, index, request_class)

    def _age_service_rate(self, controller: Controller, now_s: float) -> None:
        estimates = controller.estimates
        if estimates.service_rate != self._service_rate:
            self._service_rate = estimates.service_rate
            self._service_rate_at_s = now_s
            return
        if estimates.service_rate <= 0.0 or now_s - self._service_rate_at_s < self.max_rate_age_s:
            return
        # The rate is learned at full cores only. With one learned while the machine warmed up, so much is
        # rejected that its cores are never full again. What runs take now allows more.
        rate_by_runs = estimates.saturated_rate(estimates.core_time_s)
        if rate_by_runs > estimates.service_rate:
            estimates.service_rate = rate_by_runs
            self._service_rate = rate_by_runs
            self._service_rate_at_s = now_s
            self.discarded_count += 1

    def _age_class(
        self, controller: Controller, now_s: float, index: int, request_class: RequestClass
    ) -> None:
        estimates = controller.estimates
        confirmed_at_s = estimates.last_run_at_s[index]
        age_s = now_s - confirmed_at_s
        fresh_age_s = self.fresh_age_objectives * request_class.latency_objective_s
        max_age_s = self.max_age_objectives * request_class.latency_objective_s
        if estimates.run_time_s[index] <= 0.0 or not confirmed_at_s or age_s <= fresh_age_s:
            return
        times = self.restored.times.get(request_class.name, LearnedClassTimes())
        work = estimates.work_units(index, None)
        core_time_s = times.core_time_s / work
        run_time_s = times.run_time_s / work
        if age_s >= max_age_s:
            estimates.core_time_s[index] = core_time_s
            estimates.run_time_s[index] = run_time_s
            estimates.last_run_at_s[index] = now_s if run_time_s else 0.0
            self.discarded_count += 1
        elif run_time_s:
            share = min(1.0, (age_s - fresh_age_s) / (max_age_s - fresh_age_s)) * AGING_RATIO
            estimates.core_time_s[index] += (core_time_s - estimates.core_time_s[index]) * share
            estimates.run_time_s[index] += (run_time_s - estimates.run_time_s[index]) * share


def confirmation_ages_s(controller: Controller, now_s: float) -> dict[str, float]:
    """Return how long ago, in seconds, the run times of each class in use were last confirmed."""
    estimates = controller.estimates
    return {
        request_class.name: now_s - estimates.last_run_at_s[index]
        for index, request_class in enumerate(controller.settings.classes)
        if estimates.run_time_s[index] > 0.0 and estimates.last_run_at_s[index] > 0.0
    }
