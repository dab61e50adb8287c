"""A runtime that follows the platform's protocol exactly, with cores that its runs share evenly.

It differs from :class:`emulators.site.RuntimeEmulator` in behaviour that matters when links break. A new link
replaces the previous one, and commands that were not read from the previous one are lost. A run that is
stopped leaves the cores at once, or continues if the site does not support stopping runs. Once a request was
answered or its client has given up, its run ends at its call, and no run of it starts. The highest mean load
of the cores is recorded.
"""

from __future__ import annotations

import base64
import random
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from emulators.runtime_link import RuntimeLink
from emulators.servers import accept_connections, listen, read_json_lines
from emulators.shared_cores import SharedCores
from snowthread.address import Address
from snowthread.net.loop import Coroutine, EventLoop

MAX_NOTICES = 4000  # Maximum number of notices stored to be sent again on a new link.
LOAD_SAMPLE_MS = 20.0


@dataclass(slots=True)
class MachineModel:
    """The machine of a node and the work of its runs."""

    cores: int = 4
    mean_run_ms: float = 300.0  # Mean core time of a run in ms; core times are exponentially distributed.
    call_share: Mapping[str, float] = field(default_factory=dict)  # Share of runs with a call, by class.
    supports_stop: bool = True
    # Mean runs per core that a warm machine sustains; above it, it fails.
    warm_runs_per_core_max: float = 5.0
    overload_window_ms: float = 2000.0
    cold_speed_ratio: float = 1.0  # Ratio of the speed at the start to the warm speed.
    warmup_ms: float = 0.0


@dataclass(slots=True)
class LoadPeak:
    """The highest mean load of the cores so far, relative to the load at which the machine fails."""

    runs_per_core: float = 0.0
    limit_ratio: float = 0.0  # Ratio of the load to its limit; above 1, the machine is overloaded and fails.
    at_ms: float = 0.0  # Time of the peak in ms since the machine's start.


@dataclass(slots=True)
class _Run:
    """A run in progress."""

    body: bytes
    calls_left: int
    call_notice: int = 0  # Number of the notice that requested the call it waits for; 0 if it waits for none.


class StrictRuntime:
    """The runtime of one node."""

    def __init__(
        self, loop: EventLoop, address: Address, model: MachineModel, generator: random.Random
    ) -> None:
        """Listen on the address."""
        self.loop = loop
        self.model = model
        self.cores = SharedCores(loop, model.cores)
        self.peak = LoadPeak()
        self.runs_by_attempt: dict[str, int] = {}
        self.runs_by_body: dict[bytes, int] = {}
        self.links = 0
        self._generator = generator
        self._runs: dict[str, _Run] = {}
        self._finished_attempts: set[str] = set()  # answered, or given up by their clients
        self._link = RuntimeLink(MAX_NOTICES)
        self._started_ms = loop.clock.now()
        loop.spawn(accept_connections(loop, listen(address), self._serve))
        self._sample_load()

    @property
    def is_running(self) -> bool:
        """Whether any run is in progress, on the cores or waiting for a call."""
        return bool(self._runs)

    def reset_for_new_node(self) -> None:
        """Prepare for a newly started node: end all runs, and restart the numbering of notices at 1."""
        self._link.clear_notices()
        self._runs.clear()
        self.cores.clear()

    def finish_request(self, attempt_id: str) -> None:
        """Take note that a request was answered or given up; if its run waits for a call, the run ends."""
        self._finished_attempts.add(attempt_id)
        run = self._runs.get(attempt_id)
        if run is not None and run.call_notice:
            self._end_run(attempt_id, "aborted", b"")

    def max_runs_per_core(self) -> float:
        """Return the maximum mean number of runs per core that the machine sustains at its present speed."""
        return 1.0 + (self.model.warm_runs_per_core_max - 1.0) * self.cores.speed

    def _sample_load(self) -> None:
        now = self.loop.clock.now()
        model = self.model
        self.loop.call_at(now + LOAD_SAMPLE_MS, self._sample_load)
        if model.warmup_ms:
            warmth = min(1.0, (now - self._started_ms) / model.warmup_ms)
            self.cores.speed = model.cold_speed_ratio + (1.0 - model.cold_speed_ratio) * warmth
        per_core = self.cores.mean_runs(model.overload_window_ms) / model.cores
        limit_ratio = per_core / self.max_runs_per_core()
        if limit_ratio > self.peak.limit_ratio:
            self.peak = LoadPeak(per_core, limit_ratio, now - self._started_ms)

    # Messages of the node on its links.

    def _serve(self, connection: socket.socket) -> Coroutine:
        try:
            yield from read_json_lines(connection, partial(self._handle_message, connection))
        except OSError:
            pass  # The connection was reset, and commands that were not read are lost.
        finally:
            self._link.connection_ended(connection)
            self.loop.close(connection)

    def _handle_message(self, connection: socket.socket, command: dict[str, Any]) -> None:
        """Execute one command; commands on a link that has been replaced are ignored."""
        if command["action"] == "sync":
            self._synchronize(connection, command["pos"])
        elif self._link.is_current(connection):
            self._handle_command(command, command.get("uid", ""))

    def _synchronize(self, connection: socket.socket, position: int) -> None:
        self.links += 1
        code = "fresh" if self.model.warmup_ms else "seasoned"
        self._link.connect(connection, code, self.loop.clock.now() - self._started_ms, position)

    def _handle_command(self, command: dict[str, Any], attempt_id: str) -> None:
        match command["action"]:
            case "gauges":
                self._link.send_load(command["echo"], self.cores.utilization(), len(self.cores))
            case "start":
                if attempt_id in self._runs:
                    return
                if attempt_id in self._finished_attempts:
                    self._link.notify_end(attempt_id, "stale", b"")
                else:
                    self._start_run(attempt_id, command["lane"], base64.b64decode(command["content"]))
            case "stop":
                self._stop_run(attempt_id)
            case "give":
                self._resume_after_call(attempt_id)
            case "omit":
                if attempt_id in self._runs and self._runs[attempt_id].call_notice == command["pos"]:
                    self._resume_after_call(attempt_id)

    # Progress of the runs.

    def _start_run(self, attempt_id: str, class_name: str, body: bytes) -> None:
        calls = self._generator.random() < self.model.call_share.get(class_name, 0.0)
        self.runs_by_attempt[attempt_id] = self.runs_by_attempt.get(attempt_id, 0) + 1
        self.runs_by_body[body] = self.runs_by_body.get(body, 0) + 1
        self._runs[attempt_id] = _Run(body, calls_left=int(calls))
        self._add_work(attempt_id)

    def _add_work(self, attempt_id: str) -> None:
        work_ms = self._generator.expovariate(1.0 / self.model.mean_run_ms)
        self.cores.add(attempt_id, work_ms, partial(self._continue, attempt_id))

    def _continue(self, attempt_id: str) -> None:
        """Make a run's next database call, or end the run if it has none left."""
        run = self._runs[attempt_id]
        if not run.calls_left:
            self._end_run(attempt_id, "done", run.body.upper())
            return
        if attempt_id in self._finished_attempts:
            self._end_run(attempt_id, "aborted", b"")
            return
        run.calls_left -= 1
        run.call_notice = self._link.notify_call(attempt_id, run.body)

    def _resume_after_call(self, attempt_id: str) -> None:
        run = self._runs.get(attempt_id)
        if run is not None and run.call_notice:
            run.call_notice = 0
            self._add_work(attempt_id)

    def _stop_run(self, attempt_id: str) -> None:
        if not self.model.supports_stop:
            self._link.send({"action": "nack", "code": "stop", "uid": attempt_id})
        elif attempt_id in self._runs:
            self._end_run(attempt_id, "aborted", b"")

    def _end_run(self, attempt_id: str, code: str, result: bytes) -> None:
        self.cores.remove(attempt_id)
        del self._runs[attempt_id]
        self._link.notify_end(attempt_id, code, result)
