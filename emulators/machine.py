"""Emulate a node's machine in the fleet lab: a runtime that warms up with the database's replies.

A cold machine works at ``cold_share`` of its warm speed. A run makes ``warm_calls`` database calls on a warm
machine and ``cold_calls`` more on a cold one. Each reply warms the machine, as lookups fill a cache, and
after ``warm_replies`` replies it is warm. A machine is overloaded while the mean load of its cores over 2 s
exceeds a limit: ``fall_multiple`` runs per core when warm, fewer when cold. A run that waits for a call at
its request's deadline is aborted, as on the platform.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial

from emulators.site import RuntimeEmulator, SiteScript
from snowthread.address import Address
from snowthread.net.loop import EventLoop

LOAD_WINDOW_MS = 2000.0
LOAD_SAMPLE_MS = 100.0
# Endings of a result, which tell whether the run made all of its database calls or one of them was omitted.
COMPLETE_SUFFIX = b" known"
OMITTED_SUFFIX = b" without"
RUN_TIME_SPREAD = 0.3  # Maximum relative deviation of a run's core time from that of its class.


@dataclass(frozen=True, slots=True)
class WarmupModel:
    """How a machine warms up; the field names are the keys of ``warmth`` in the lab's plan."""

    cold_share: float = 0.23  # Ratio of the speed of a cold machine to that of a warm one.
    warm_calls: float = 0.5  # Mean number of database calls of a run on a warm machine.
    cold_calls: float = 3.0  # Mean number of additional database calls of a run on a cold machine.
    warm_replies: int = 150
    fall_multiple: float = 5.0  # Mean number of runs per core above which a warm machine is overloaded.
    over_ms: Mapping[str, float] = field(default_factory=dict)  # Deadline of a request in ms, by class.


@dataclass(slots=True)
class _Run:
    """A run in progress."""

    body: bytes
    calls_left: int
    waiting_for_reply: bool = False
    omitted_call: bool = False


class Machine(RuntimeEmulator):
    """The runtime of one node in the lab, whose machine is cold after a restart and warms up."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        script: SiteScript,
        model: WarmupModel,
        generator: random.Random,
    ) -> None:
        """Listen on the address; the machine is warm, as a lab run starts with a fleet long in operation."""
        self._model = model
        self._generator = generator
        self._replies = model.warm_replies
        self._runs: dict[str, _Run] = {}
        self._load_samples: deque[float] = deque(maxlen=int(LOAD_WINDOW_MS / LOAD_SAMPLE_MS))
        self.overloads = 0
        super().__init__(loop, address, script)
        loop.call_at(loop.clock.now() + LOAD_SAMPLE_MS, self._sample_load)

    @property
    def warmth(self) -> float:
        """The progress of the warm-up, from 0 (cold) to 1 (warm)."""
        return min(1.0, self._replies / self._model.warm_replies)

    @property
    def speed(self) -> float:
        """The ratio of the machine's speed to its warm speed."""
        return self._model.cold_share + (1.0 - self._model.cold_share) * self.warmth

    def restart(self) -> None:
        """Power-cycle the machine: all runs and notices are lost, and it is cold afterwards."""
        super().restart()
        self._replies = 0
        self._runs.clear()
        self._load_samples.clear()

    def _sample_load(self) -> None:
        self.loop.call_at(self.loop.clock.now() + LOAD_SAMPLE_MS, self._sample_load)
        samples = self._load_samples
        samples.append(len(self._cores) / self.script.cores)
        limit = 1.0 + (self._model.fall_multiple - 1.0) * self.speed
        if len(samples) == samples.maxlen and sum(samples) / len(samples) > limit:
            self.overloads += 1
            samples.clear()

    def _start_run(self, attempt_id: str, class_name: str, body: bytes) -> None:
        self._active.add(attempt_id)
        self.runs[body] += 1
        self._runs[attempt_id] = _Run(body, self._draw_calls(class_name))
        if class_name in self._model.over_ms:
            deadline = self.loop.clock.now() + self._model.over_ms[class_name]
            self.loop.call_at(deadline, partial(self._end_run_at_call, attempt_id))
        duration_ms = self.script.run_ms.get(class_name, self.script.default_run_ms)
        duration_ms *= self._generator.uniform(1.0 - RUN_TIME_SPREAD, 1.0 + RUN_TIME_SPREAD)
        self._occupy_core(attempt_id, duration_ms / self.speed, partial(self._continue, attempt_id))

    def _draw_calls(self, class_name: str) -> int:
        """Return a random number of database calls for a run, whose mean depends on the warm-up."""
        mean = 0.0
        if class_name in self.script.calling_classes:
            mean = self._model.warm_calls + (1.0 - self.warmth) * self._model.cold_calls
        return int(mean) + (self._generator.random() < mean % 1.0)

    def _resume_with_reply(self, attempt_id: str, _reply: bytes) -> None:
        if run := self._runs.get(attempt_id):
            self._replies += 1
            run.waiting_for_reply = False
            self._continue(attempt_id)

    def _resume_without_reply(self, attempt_id: str) -> None:
        if run := self._runs.get(attempt_id):
            run.omitted_call = True
            run.waiting_for_reply = False
            self._continue(attempt_id)

    def _end_run_at_call(self, attempt_id: str) -> None:
        """Abort a run at its request's deadline if it waits for a call."""
        run = self._runs.get(attempt_id)
        if run is not None and run.waiting_for_reply:
            self._end_run(attempt_id, "aborted", b"")

    def _continue(self, attempt_id: str) -> None:
        """Make the next call of a run, or end the run after its last one."""
        run = self._runs[attempt_id]
        if run.calls_left > 0:
            run.calls_left -= 1
            run.waiting_for_reply = True
            self._call_database(attempt_id, run.body)
        else:
            suffix = OMITTED_SUFFIX if run.omitted_call else COMPLETE_SUFFIX
            self._end_run(attempt_id, "done", run.body + suffix)

    def _end_run(self, attempt_id: str, code: str, result: bytes) -> None:
        self._runs.pop(attempt_id, None)
        super()._end_run(attempt_id, code, result)
