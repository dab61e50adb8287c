"""Emulate the peers of one node on loopback: its runtime, the formula database and the registry.

A script sets how long runs take and which classes call the database. The runtime has a limited number of
cores and queues further work, so a load near capacity has visible waiting times. The runtime counts the runs
that it started by request body, so that a test observes a duplicate run directly instead of inferring it.
"""

from __future__ import annotations

import base64
import json
import socket
import sys
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from emulators.core_queue import CoreQueue
from emulators.runtime_link import RuntimeLink
from emulators.servers import accept_connections, bind_datagrams, listen, read_json_lines
from emulators.stdin_commands import handle_commands
from snowthread.address import Address
from snowthread.net.clock import Clock
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

READ_BYTES = 65536
DATAGRAM_BYTES_MAX = 1024
DATABASE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nknown"
DEFAULT_CORES = 64
DEFAULT_RUN_MS = 200.0


@dataclass(slots=True)
class SiteScript:
    """The behaviour of a site's emulators; fields may be changed while they run."""

    run_ms: Mapping[str, float] = field(default_factory=dict)  # Core time of a run in ms, by request class.
    default_run_ms: float = DEFAULT_RUN_MS  # Core time in ms of runs whose class has no time of its own.
    calling_classes: frozenset[str] = frozenset({"dispense"})  # Classes whose runs call the database once.
    cores: int = DEFAULT_CORES
    database_ms: float = 0.0  # Time in ms after which the database answers a call.
    log: Callable[[str], None] = lambda _line: None  # Receives one line per event of an emulator.


class RuntimeEmulator:
    """The runtime of one node.

    The result of a run is its request's body in upper case, or the database's answer if its class calls the
    database.
    """

    def __init__(self, loop: EventLoop, address: Address, script: SiteScript) -> None:
        """Listen on the address; only one node at a time is expected to connect."""
        self.loop = loop
        self.script = script
        self.runs: Counter[bytes] = Counter()  # Number of runs started, by request body.
        self._link = RuntimeLink()
        self._cores = CoreQueue(loop, script.cores)
        self._active: set[str] = set()  # Attempt ids of the runs in progress.
        self._restarted_at_ms = 0.0  # Time of the machine's last restart in ms of the loop's clock; 0: none.
        loop.spawn(accept_connections(loop, listen(address), self._serve))

    def restart(self) -> None:
        """Power-cycle the machine: its link breaks, and all runs and stored notices are lost."""
        self._restarted_at_ms = self.loop.clock.now()
        self._link.disconnect()
        self._link.clear_notices()
        self._active.clear()
        self._cores.abandon()
        self._cores = CoreQueue(self.loop, self.script.cores)

    def _serve(self, connection: socket.socket) -> Coroutine:
        try:
            yield from read_json_lines(connection, partial(self._handle_command, connection))
        finally:
            self.loop.close(connection)

    def _handle_command(self, connection: socket.socket, command: dict[str, Any]) -> None:
        """Execute one command of the node."""
        attempt_id = command.get("uid", "")
        match command["action"]:
            case "sync":
                self._synchronize(connection, command["pos"])
            case "gauges":
                utilization = self._cores.measure_utilization()
                self._link.send_load(command["echo"], utilization, len(self._cores))
            case "start":
                if attempt_id not in self._active:
                    self._start_run(attempt_id, command["lane"], base64.b64decode(command["content"]))
            case "give":
                self._resume_with_reply(attempt_id, base64.b64decode(command["content"]))
            case "omit":
                self._resume_without_reply(attempt_id)
            case "stop":
                if attempt_id in self._active:
                    self._end_run(attempt_id, "aborted", b"")

    def _synchronize(self, connection: socket.socket, position: int) -> None:
        """Make a connection the node's link, and resend all notices after a position on it."""
        if self._restarted_at_ms:
            age_ms = self.loop.clock.now() - self._restarted_at_ms
            self._link.connect(connection, "fresh", age_ms, position)
        else:
            self._link.connect(connection, "seasoned", 0.0, position)

    def _start_run(self, attempt_id: str, class_name: str, body: bytes) -> None:
        """Start a run; after its core time, it calls the database if its class does, or else ends."""
        self.script.log(f"runtime: {class_name} {attempt_id} starts")
        self._active.add(attempt_id)
        self.runs[body] += 1
        duration_ms = self.script.run_ms.get(class_name, self.script.default_run_ms)
        if class_name in self.script.calling_classes:
            on_done = partial(self._call_database, attempt_id, body)
        else:
            on_done = partial(self._end_run, attempt_id, "done", body.upper())
        self._occupy_core(attempt_id, duration_ms, on_done)

    def _resume_with_reply(self, attempt_id: str, reply: bytes) -> None:
        """End a run with the database's reply as its result."""
        self._occupy_core(attempt_id, 0.0, partial(self._end_run, attempt_id, "done", b"dispensed " + reply))

    def _resume_without_reply(self, attempt_id: str) -> None:
        """End a run whose database call was omitted."""
        self._occupy_core(
            attempt_id, 0.0, partial(self._end_run, attempt_id, "done", b"dispensed without a look")
        )

    def _occupy_core(self, attempt_id: str, duration_ms: float, on_done: Callable[[], None]) -> None:
        """Occupy a core for a run; ``on_done`` is not called if the run ends earlier."""

        def finish() -> None:
            if attempt_id in self._active:
                on_done()

        self._cores.add(duration_ms, finish)

    def _call_database(self, attempt_id: str, body: bytes) -> None:
        self._link.notify_call(attempt_id, body)

    def _end_run(self, attempt_id: str, code: str, result: bytes) -> None:
        """End a run and notify the node of its result."""
        self._active.discard(attempt_id)
        self._link.notify_end(attempt_id, code, result)


class DatabaseEmulator:
    """The formula database: answers each call after the time that the script sets.

    Calls are not parsed, because on loopback each call arrives in a single read.
    """

    def __init__(self, loop: EventLoop, address: Address, script: SiteScript) -> None:
        """Listen on the address."""
        self._loop = loop
        self._script = script
        loop.spawn(accept_connections(loop, listen(address), self._serve))

    def _serve(self, connection: socket.socket) -> Coroutine:
        try:
            while True:
                yield Wait(connection.fileno(), READABLE)
                data = connection.recv(READ_BYTES)
                if not data:
                    return
                request_line = data.split(b"\r")[0].decode()
                self._script.log(f"index: {request_line}")
                if self._script.database_ms:
                    yield Wait(until_ms=self._loop.clock.now() + self._script.database_ms)
                connection.send(DATABASE_ANSWER)
        except OSError:
            pass
        finally:
            self._loop.close(connection)


class RegistryEmulator:
    """The registry: receives reports and logs each one that differs from the previous one."""

    def __init__(self, loop: EventLoop, address: Address, script: SiteScript) -> None:
        """Receive datagrams on the address."""
        self._loop = loop
        self._script = script
        self._sock = bind_datagrams(address)
        loop.spawn(self._read_reports())

    def _read_reports(self) -> Coroutine:
        last_report = b""
        try:
            while True:
                yield Wait(self._sock.fileno(), READABLE)
                report = self._sock.recv(DATAGRAM_BYTES_MAX)
                if report != last_report:
                    self._script.log(f"roster: {report.decode(errors='replace')}")
                last_report = report
        finally:
            self._loop.close(self._sock)


class SiteEmulator:
    """The runtime, the database and the registry on the addresses of a node's configuration."""

    def __init__(self, loop: EventLoop, fields: Mapping[str, Any], script: SiteScript) -> None:
        """Listen on all three addresses; ``fields`` is the node's configuration as parsed from JSON."""
        self.script = script
        self.runtime = RuntimeEmulator(loop, Address.parse(fields["runtime"]), script)
        self.database = DatabaseEmulator(loop, Address.parse(fields["index"]), script)
        self.registry = RegistryEmulator(loop, Address.parse(fields["roster"]), script)


def main(config: str, cores: str = str(DEFAULT_CORES), run_ms: str = str(DEFAULT_RUN_MS)) -> None:
    """Run ``python -m emulators.site NODE_JSON [CORES [RUN_MS]]`` until standard input ends.

    A line ``index MS`` on standard input sets the time in ms after which the database answers new calls.
    """
    loop = EventLoop(Clock())
    script = SiteScript(default_run_ms=float(run_ms), cores=int(cores))
    SiteEmulator(loop, json.loads(Path(config).read_text()), script)
    print("site: ready", flush=True)

    def handle(command: str, argument: str) -> None:
        if command == "index":
            script.database_ms = float(argument)

    handle_commands(loop, handle)
    loop.run()


if __name__ == "__main__":
    main(*sys.argv[1:4])
