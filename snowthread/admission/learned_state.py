"""What a controller has learned: exported for a snapshot, restored at a start, and aged.

Performs no I/O and reads no clock. Times are seconds; 0 is an unknown time, as everywhere in the controller.

| learned                | restored at a start                      | once too old                        |
| ---------------------- | ---------------------------------------- | ----------------------------------- |
| core times             | baseline, scaled to the machine's speed  | as restored, or else unknown        |
| run times              | recent average, core time scaled as well | as restored, or else unknown        |
| call times             | baseline                                 | kept: calls are compared with them  |
| request rate           | until this process has measured one      | -                                   |
| service rate           | no: it is that of the warm machine       | as by current run times, if higher  |
| best speed             | no: stale on a cold machine              | updated every quarter of a second   |
| blocking probability   | no: stale on a cold machine              | updated every quarter of a second   |
| run limit              | no: stale on a cold machine              | updated every quarter of a second   |
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from snowthread.admission.controller import Controller
from snowthread.admission.settings import RequestClass

# Part of its difference from the restored time that a run time loses per update when it is about to reach its
# maximum age.
AGING_RATIO = 0.25


@dataclass(frozen=True, slots=True)
class LearnedClassTimes:
    """The times of a class, in seconds (0: unknown).

    ``core_time_s`` and ``call_time_s`` are the baselines of a run on a core and of a call, which are times
    under normal conditions. ``run_time_s`` is the recent average of a run from start to end with its calls,
    and at least ``core_time_s``.
    """

    core_time_s: float = 0.0
    run_time_s: float = 0.0
    call_time_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LearnedState:
    """What a node learned, by class name, and the requests per second that it read."""

    times: dict[str, LearnedClassTimes]
    request_rate: float = 0.0


def export_learned_state(controller: Controller) -> LearnedState:
    """Return the part of what a controller learned that a later process can use."""
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
    """Restore what an earlier process learned, on a machine that works at ``speed``.

    ``speed`` is relative to the speed of the earlier process, at most 1. What the controller has measured
    itself is kept.
    """
    estimates = controller.estimates
    known_classes = list(_known_classes(controller, restored))
    for index, times in known_classes:
        if estimates.base_core_time_s[index] <= 0.0:
            estimates.base_core_time_s[index] = times.core_time_s
            estimates.base_call_time_s[index] = times.call_time_s
            estimates.call_time_s[index] = times.call_time_s
    # This takes a second loop because the work of a class depends on the baseline times of all classes.
    for index, times in known_classes:
        if estimates.core_time_s[index] <= 0.0 and times.core_time_s > 0.0:
            work = estimates.work_units(index, None)
            core_time_s = times.core_time_s / speed
            estimates.core_time_s[index] = core_time_s / work
            estimates.run_time_s[index] = (times.run_time_s - times.core_time_s + core_time_s) / work
    estimates.request_rate = estimates.request_rate or restored.request_rate


def _known_classes(controller: Controller, restored: LearnedState) -> Iterator[tuple[int, LearnedClassTimes]]:
    """Yield index and restored times of each class in the settings for which there are any."""
    for index, request_class in enumerate(controller.settings.classes):
        times = restored.times.get(request_class.name)
        if times is not None:
            yield index, times


def warmup_speed(controller: Controller, now_s: float) -> float:
    """Return the machine's present speed relative to its warm speed, by its age and the settings."""
    return controller.settings.speed_at_age(controller.state.age_s(now_s))


def core_times_within_factor(controller: Controller, restored: LearnedState, factor: float) -> bool | None:
    """Return whether core times of all classes are at most ``factor`` times the restored ones.

    Only classes with a known core time and a restored one are compared. The result is None if there are none.
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
    """Ages the run times and the service rate of a controller.

    A run time that no run has confirmed for too long says nothing about the next run. After
    ``fresh_age_objectives`` latency objectives of its class it moves towards the restored time with each
    update. From ``max_age_objectives`` on it is the restored time, or unknown if there is none.
    """

    restored: LearnedState
    # Age up to which the times of a class stay as learned, in latency objectives of the class.
    fresh_age_objectives: float = 0.5
    # Age at which the times of a class are discarded, in latency objectives of the class.
    max_age_objectives: float = 2.0
    max_rate_age_s: float = 1.0  # age from which a service rate that has not changed may be replaced
    discarded_count: int = 0  # estimates that were discarded so far
    _service_rate: float = 0.0  # service rate when it was last seen to change
    _service_rate_at_s: float = 0.0  # when the service rate was last seen to change

    def update(self, controller: Controller, now_s: float) -> None:
        """Age what has not been confirmed, once per update; ``now_s`` is on the controller's clock."""
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
        # The service rate is learned only while the cores are full. With a rate learned during warm-up, so
        # many requests are rejected that the cores are never full again. A rate derived from current run
        # times that is higher replaces it.
        rate_by_runs = estimates.full_core_rate(estimates.core_time_s)
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
    """Return the age in seconds of the last confirmed run time of each class that has one."""
    estimates = controller.estimates
    return {
        request_class.name: now_s - estimates.last_run_at_s[index]
        for index, request_class in enumerate(controller.settings.classes)
        if estimates.run_time_s[index] > 0.0 and estimates.last_run_at_s[index] > 0.0
    }
