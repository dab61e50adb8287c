"""Stand-ins of a node's peers for the cases of this review: balancers, runtime, index and roster.

They follow the protocol page. All of them run in the process of a case and share a :class:`Platform`, which
knows of each try when it was written, answered or given up. The node is a process of its own, started with
the command ``run`` of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import re
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

import msgpack

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
START_TIMEOUT_S = 15.0
CASE_LIMIT_S = 110.0


def now_ms() -> float:
    """Return the system's Unix clock in milliseconds."""
    return time.time() * 1000.0


class NotRunError(Exception):
    """The case could not run: a process did not start, or the situation to be judged did not arise."""


class Recorder:
    """Writes ``record.txt``: what was sent, answered and run, with the milliseconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_ms = now_ms()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{now_ms() - self._start_ms:9.1f}  {text}\n")
        self._file.flush()


@dataclass
class Run:
    """One run that the runtime began for a try."""

    runtime: str
    began_ms: float
    end: str = ""


@dataclass
class Try:
    """One try of a request, as the platform sees it."""

    id: str
    class_name: str
    body: bytes
    once: str
    at_ms: float
    wait_ms: float
    answers: list[str] = field(default_factory=list)
    result: bytes = b""
    given_up_ms: float = 0.0
    runs: list[Run] = field(default_factory=list)
    call_replies: list[bytes] = field(default_factory=list)  # what the index answered to its calls
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def over(self) -> bool:
        """Whether the try was answered or given up."""
        return bool(self.answers) or bool(self.given_up_ms)


class Platform:
    """All tries of a case, and the record of what happened."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Recorder(folder / "record.txt")
        self.tries: dict[str, Try] = {}
        self.over_listeners: list[Callable[[Try], None]] = []
        self.tasks: list[asyncio.Task[None]] = []  # kept, or they would be collected while they wait

    def new_try(self, class_name: str, body: bytes, once: str, wait_ms: float) -> Try:
        """Register a try that is about to be written to the node."""
        attempt = Try(secrets.token_hex(8), class_name, body, once, float(int(now_ms())), wait_ms)
        self.tries[attempt.id] = attempt
        return attempt

    def is_over(self, attempt: Try) -> None:
        """Let the runtimes know that a try was answered or given up."""
        for listener in self.over_listeners:
            listener(attempt)

    def runs_twice(self, window_ms: float) -> list[str]:
        """Return the breaches of the rule on keyed requests.

        No try that is written within the window, counted from ``at`` of the try that ran, may be run.
        """
        found = []
        by_key: dict[str, list[Try]] = {}
        for attempt in self.tries.values():
            if attempt.once and attempt.runs:
                by_key.setdefault(attempt.once, []).append(attempt)
        for once, attempts in by_key.items():
            attempts.sort(key=lambda attempt: attempt.runs[0].began_ms)
            for first, second in pairwise(attempts):
                age_ms = second.at_ms - first.at_ms
                if age_ms < window_ms:
                    found.append(
                        f"key {once}: try {first.id} ran ({first.runs[0].end or 'running'}), and try "
                        f"{second.id}, which was written {age_ms:.0f} ms after it, ran too"
                    )
        return found


class Runtime:
    """The runtime of a node process: one address with its own numbers of notices.

    ``work_ms`` is the time that a run works before its first call, between calls and after the last one;
    ``calls`` gives the calls of a run by class. A run stands at a call until a reply, an omission or a stop.
    """

    def __init__(
        self, platform: Platform, name: str, *, work_ms: dict[str, float], calls: dict[str, int]
    ) -> None:
        self.platform = platform
        self.name = name
        self.work_ms = work_ms
        self.calls = calls
        self.address = ""
        self._notices: list[dict[str, Any]] = []
        self._writer: asyncio.StreamWriter | None = None
        self._active: dict[str, dict[str, Any]] = {}  # by id of the try
        platform.over_listeners.append(self._request_is_over)

    async def listen(self) -> None:
        """Listen on a free port of 127.0.0.1."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                command = json.loads(line)
                if command["action"] == "sync":
                    self._sync(writer, command["pos"])
                elif writer is self._writer:
                    getattr(self, "_" + command["action"])(command)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled: the case is over
        finally:
            writer.close()

    def _sync(self, writer: asyncio.StreamWriter, position: int) -> None:
        if position == 0:  # the node process has started: the numbers begin again
            self._notices = []
        if self._writer is not None:
            self._writer.close()
        self._writer = writer
        self._send({"action": "ready", "code": "seasoned", "wall_ms": 60000})
        for notice in self._notices[position:]:
            self._send(notice)

    def _send(self, message: dict[str, Any]) -> None:
        if self._writer is not None and not self._writer.is_closing():
            self._writer.write(json.dumps(message).encode() + b"\n")

    def _notify(self, message: dict[str, Any]) -> int:
        message["pos"] = len(self._notices) + 1
        self._notices.append(message)
        self._send(message)
        return int(message["pos"])

    def _gauges(self, command: dict[str, Any]) -> None:
        busy = sum(not run["at_call"] for run in self._active.values())
        self._send({"action": "load", "echo": command["echo"], "meters": [busy / 6, busy, 0.1, 10]})

    def _start(self, command: dict[str, Any]) -> None:
        attempt = self.platform.tries.get(command["uid"])
        body = base64.b64decode(command["content"])
        if attempt is None or attempt.class_name != command["lane"] or attempt.body != body:
            self.platform.record(f"{self.name}: nack of start {command['uid']}")
            self._send({"action": "nack", "code": "start", "uid": command["uid"]})
        elif attempt.over:
            self.platform.record(f"{self.name}: start {attempt.id}: request is over, nothing started (stale)")
            self._end(attempt, None, "stale")
        elif attempt.id not in self._active:
            run = Run(self.name, now_ms())
            attempt.runs.append(run)
            self.platform.record(f"{self.name}: run of {attempt.id} (key {attempt.once or '-'}) begins")
            self._active[attempt.id] = {"run": run, "at_call": 0, "calls": 0, "task": None}
            self._work(attempt)

    def _work(self, attempt: Try) -> None:
        state = self._active[attempt.id]
        state["at_call"] = 0
        state["task"] = asyncio.get_running_loop().call_later(
            self.work_ms[attempt.class_name] / 1000, self._worked, attempt
        )

    def _worked(self, attempt: Try) -> None:
        state = self._active.get(attempt.id)
        if state is None:
            return
        if state["calls"] == self.calls.get(attempt.class_name, 0):
            result = b"result of " + attempt.id.encode() + b" " + b"|".join(attempt.call_replies)
            self._end(attempt, state, "done", result)
        elif attempt.over:
            self._end(attempt, state, "aborted")
        else:
            state["calls"] += 1
            content = base64.b64encode(f"call {state['calls']} of {attempt.id}".encode()).decode()
            state["at_call"] = self._notify({"action": "wants", "uid": attempt.id, "content": content})

    def _request_is_over(self, attempt: Try) -> None:
        state = self._active.get(attempt.id)
        if state is not None and state["at_call"]:  # a run at a call ends as its request is over
            self._end(attempt, state, "aborted")

    def _end(self, attempt: Try, state: dict[str, Any] | None, code: str, result: bytes = b"") -> None:
        wall_ms = 0.0
        if state is not None:
            del self._active[attempt.id]
            state["task"].cancel()
            state["run"].end = code
            wall_ms = now_ms() - state["run"].began_ms
            self.platform.record(f"{self.name}: run of {attempt.id} (key {attempt.once or '-'}) ends: {code}")
        content = base64.b64encode(result).decode()
        self._notify(
            {"action": "end", "uid": attempt.id, "code": code, "wall_ms": wall_ms, "content": content}
        )

    def _stop(self, command: dict[str, Any]) -> None:
        state = self._active.get(command["uid"])
        if state is not None:
            self._end(self.platform.tries[command["uid"]], state, "aborted")

    def _give(self, command: dict[str, Any]) -> None:
        state = self._active.get(command["uid"])
        if state is not None and state["at_call"]:
            attempt = self.platform.tries[command["uid"]]
            attempt.call_replies.append(base64.b64decode(command["content"]))
            self._work(attempt)

    def _omit(self, command: dict[str, Any]) -> None:
        state = self._active.get(command["uid"])
        if state is not None and state["at_call"] == command["pos"]:
            self._work(self.platform.tries[command["uid"]])


class Index:
    """The index: answers each call after ``call_ms`` with a body that names the request of the call."""

    def __init__(self, platform: Platform, call_ms: float) -> None:
        self.platform = platform
        self.call_ms = call_ms
        self.address = ""

    async def listen(self) -> None:
        """Listen on a free port of 127.0.0.1."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = int(re.findall(r"(?i)content-length: (\d+)", head)[0])
                parent = re.findall(r"(?i)x-parent-id: (\S+)", head)[0]
                await reader.readexactly(length)
                await self.answer(writer, parent)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled: the case is over
        finally:
            writer.close()

    async def answer(self, writer: asyncio.StreamWriter, parent: str) -> None:
        """Answer the call that was made for the request ``parent``."""
        await asyncio.sleep(self.call_ms / 1000)
        writer.write(http_reply(parent))
        await writer.drain()


def http_reply(parent: str) -> bytes:
    """Return the good reply to the call of a request."""
    body = f"known to {parent}"
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


class Roster(asyncio.DatagramProtocol):
    """The roster: receives the reports and records each change."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.address = ""
        self._last = b""

    async def listen(self) -> None:
        """Receive datagrams on a free port of 127.0.0.1."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        self.address = "127.0.0.1:{}".format(transport.get_extra_info("sockname")[1])

    def datagram_received(self, data: bytes, addr: Any) -> None:  # noqa: ARG002  # the protocol's signature
        """Record a report that differs from the one before."""
        if data != self._last:
            self.platform.record(f"roster: {data.decode(errors='replace')}")
            self._last = data


class Balancer:
    """One connection of a balancer. Message ids start at 1 and go up."""

    def __init__(self, platform: Platform, name: str) -> None:
        self.platform = platform
        self.name = name
        self.farewell = False
        self.closed = asyncio.Event()
        self._number = 0
        self._open: dict[int, Try] = {}
        self._numbers: dict[str, int] = {}
        self._health: dict[int, asyncio.Future[bool]] = {}
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self, address: str) -> None:
        """Connect to the node."""
        host, _, port = address.rpartition(":")
        reader, self._writer = await asyncio.open_connection(host, int(port))
        self.platform.tasks.append(asyncio.create_task(self._read(reader)))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        unpacker = msgpack.Unpacker()
        try:
            while data := await reader.read(65536):
                unpacker.feed(data)
                for message in unpacker:
                    self._receive(message)
        except ConnectionError:
            pass
        self.closed.set()
        for attempt in self._open.values():
            self.platform.record(f"{self.name}: connection ended without an answer to {attempt.id}")
            attempt.done.set()

    def _receive(self, message: list[Any]) -> None:
        if message[0] == 2:  # a notification; the only one is the farewell
            self.farewell = True
            return
        if message[1] in self._health:
            self._health.pop(message[1]).set_result(message[2] is None and bool(message[3][0]))
            return
        attempt = self._open.pop(message[1], None)
        if attempt is None:
            return  # one answer after a cancel does no harm
        if message[2] is None:
            attempt.answers.append("served")
            attempt.result = message[3][0]
        else:
            attempt.answers.append(message[2][0])
        late_word = ", after the client had given up" if attempt.given_up_ms else ""
        detail = f": {attempt.result.decode(errors='replace')}" if attempt.result else ""
        self.platform.record(f"{self.name}: {attempt.id} answered {attempt.answers[-1]}{late_word}{detail}")
        self.platform.is_over(attempt)
        attempt.done.set()

    def send(self, class_name: str, body: bytes, *, once: str = "", wait_ms: float = 5900.0) -> Try:
        """Write one try."""
        attempt = self.platform.new_try(class_name, body, once, wait_ms)
        fields = {
            "id": attempt.id,
            "at": f"{attempt.at_ms:.0f}",
            "from": "4",
            "wait": f"{wait_ms:.0f}",
            "kb": "24.5",
            "rank": "0.6250",
        }
        if once:
            fields["once"] = once
        self._number += 1
        self._open[self._number] = attempt
        self._numbers[attempt.id] = self._number
        self.platform.record(f"{self.name}: sends {class_name} {attempt.id} (key {once or '-'})")
        assert self._writer is not None
        self._writer.write(msgpack.packb([0, self._number, class_name, [fields, body]]))
        return attempt

    def give_up(self, attempt: Try, cancel_after_ms: float) -> None:
        """Let the client go; the node hears of it ``cancel_after_ms`` later."""
        if attempt.over:
            return
        attempt.given_up_ms = now_ms()
        attempt.done.set()
        self.platform.record(
            f"{self.name}: the client of {attempt.id} gives up; cancel in {cancel_after_ms:.0f} ms"
        )
        self.platform.is_over(attempt)
        asyncio.get_running_loop().call_later(cancel_after_ms / 1000, self._cancel, attempt)

    def _cancel(self, attempt: Try) -> None:
        self.platform.record(f"{self.name}: cancel of {attempt.id} is written")
        if self._writer is not None and not self._writer.is_closing():
            self._writer.write(msgpack.packb([2, "cancel", [self._numbers[attempt.id]]]))

    async def health(self) -> bool:
        """Return the answer to a health check."""
        self._number += 1
        answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._health[self._number] = answer
        assert self._writer is not None
        self._writer.write(msgpack.packb([0, self._number, "health", [{}]]))
        return await asyncio.wait_for(answer, START_TIMEOUT_S)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


class Node:
    """A process that the deploy file's ``run`` starts; its log goes to a file in the temporary folder."""

    def __init__(self, name: str, log: Path) -> None:
        self.name = name
        self.log = log
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, environment: dict[str, str], descriptors: tuple[int, ...] = ()) -> None:
        """Start the process with ``/bin/sh -c`` from the repository's root."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "NODE_LOG": "INFO", **environment},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=descriptors,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int:
        """Wait until the process has ended and return its status."""
        assert self.process is not None
        return await asyncio.wait_for(self.process.wait(), timeout_s)


def free_address() -> str:
    """Return a free address of 127.0.0.0/8 with a host of its own, whose ports no other connection takes."""
    host = f"127.{secrets.randbelow(254) + 1}.{secrets.randbelow(254) + 1}.{secrets.randbelow(253) + 2}"
    with socket.socket() as sock:
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


async def ready(admin: str) -> bool:
    """Return whether ``GET /-/ready`` at an operators' address says yes within a second."""
    host, _, port = admin.rpartition(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
    except (OSError, TimeoutError):
        return False
    return line.split()[1:2] == [b"200"]


async def healthy(platform: Platform, address: str) -> None:
    """Wait until a health check at ``address`` is answered with true.

    Raises:
        NotRunError: there is no such answer in time.
    """
    give_up_at = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < give_up_at:
        balancer = Balancer(platform, "health")
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            await balancer.connect(address)
            if await balancer.health():
                balancer.close()
                return
        await asyncio.sleep(0.1)
    raise NotRunError(f"no good answer to a health check at {address}")


def run_case(
    folder: Path, case: Callable[[Platform, Path, list[Node]], Coroutine[Any, Any, list[str]]]
) -> None:
    """Run a case and exit: 1 if it returns breaches of the rule, 0 if none, 2 if it could not run."""
    platform = Platform(folder)
    nodes: list[Node] = []
    platform.record(f"TROUBLE={int(TROUBLE)}")
    with tempfile.TemporaryDirectory() as temporary:
        status = asyncio.run(_judge(platform, Path(temporary), nodes, case))
    platform.record({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "could not run"}[status])
    sys.exit(status)


async def _judge(
    platform: Platform,
    temporary: Path,
    nodes: list[Node],
    case: Callable[[Platform, Path, list[Node]], Coroutine[Any, Any, list[str]]],
) -> int:
    this = asyncio.current_task()
    assert this is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
    try:
        breaches = await asyncio.wait_for(case(platform, temporary, nodes), CASE_LIMIT_S)
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001  # an error of the case is no breach
        platform.record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return NOT_RUN
    finally:
        for node in nodes:
            node.signal(signal.SIGKILL)
            if node.process is not None:
                await node.process.wait()
            if node.log.exists():
                for line in node.log.read_text(errors="replace").splitlines()[-400:]:
                    platform.record(f"log of {node.name}: {line}")
    for breach in breaches:
        platform.record(f"breach: {breach}")
        print(breach)
    return BROKEN if breaches else HELD
