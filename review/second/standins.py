"""Stand-ins for the cases of the second review: the platform around one formula node, on loopback addresses.

They follow the protocol page. Where it is silent they behave like sound peers. Every address is free at the
start, every time comes from the system's clock, and nothing outside the case's temporary folder is written.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import secrets
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgpack

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LISTEN_DESCRIPTOR = 3
NOTICES_KEPT = 4000
PORTS = range(15_000, 32_000)


def now_ms() -> float:
    """Return the system's Unix time in milliseconds."""
    return time.time() * 1000.0


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run, a line each."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)
        self._began_ms = now_ms()
        self.line(f"unix_ms {self._began_ms:.0f} trouble {int(TROUBLE)}")

    def line(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{(now_ms() - self._began_ms) / 1000.0:9.3f} {text}\n")


class CaseNotRunError(Exception):
    """The case could not be played, so it says nothing of the rule."""


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that was free a moment ago, below those that the system gives to outgoing connections.

    Raises:
        CaseNotRunError: no port was free.
    """
    for _ in range(100):
        port = secrets.choice(PORTS)
        with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
    raise CaseNotRunError("no port was free")


# The platform's requests and its runtime.


@dataclass(eq=False)
class Try:
    """One try of a request, as the balancer wrote it, and what became of it."""

    uid: str
    lane: str
    body: bytes
    once: str | None
    at_ms: float
    wait_ms: float
    link: BalancerLink
    number: int
    answers: list[tuple[float, str, Any]] = field(default_factory=list)
    cancelled: bool = False
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def outcome(self) -> str:
        """Return ``served``, ``refused``, ``failed`` or ``none``."""
        return self.answers[0][1] if self.answers else "none"


@dataclass(eq=False)
class Run:
    """One run at the runtime."""

    uid: str
    lane: str
    body: bytes
    began_ms: float
    replies: list[bytes] = field(default_factory=list)
    waits_for: int = 0
    reply: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None


class Platform:
    """What all parties of one formula node know: the tries that were written, and all runs ever begun."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.tries: dict[str, Try] = {}
        self.runs: list[Run] = []
        self.runtimes: list[Runtime] = []
        self.faults: list[str] = []

    def fault(self, text: str) -> None:
        """Note that a rule was broken."""
        self.faults.append(text)
        self.record.line(f"RULE BROKEN {text}")

    def request_over(self, uid: str) -> None:
        """End the run of a request that was answered or given up, if it waits at a call."""
        for runtime in self.runtimes:
            runtime.request_over(uid)

    def runs_by_key(self) -> dict[str, list[Run]]:
        """Return the runs begun for each key of a keyed class."""
        by_key: dict[str, list[Run]] = {}
        for run in self.runs:
            made_for = self.tries.get(run.uid)
            if made_for is not None and made_for.once is not None:
                by_key.setdefault(made_for.once, []).append(run)
        return by_key


Work = Callable[[Run], tuple[float, int]]
"""Returns how long a run works in all, in milliseconds, and how many calls it makes."""


class Runtime:
    """The runtime of a formula node at one address, which numbers its own notices."""

    def __init__(self, platform: Platform, work: Work, cores: int = 2, name: str = "runtime") -> None:
        self.platform = platform
        self.work = work
        self.cores = cores
        self.name = name
        self.port = free_port()
        self.active: dict[str, Run] = {}
        self._notices: list[dict[str, Any]] = []
        self._writer: asyncio.StreamWriter | None = None
        platform.runtimes.append(self)

    def request_over(self, uid: str) -> None:
        """End a run that waits at a call, as its request is over."""
        run = self.active.get(uid)
        if run is not None and run.waits_for:
            self._end(run, "aborted", b"")

    async def listen(self) -> None:
        """Accept the links of the formula node."""
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    @property
    def address(self) -> str:
        """Return the address as the configuration has it."""
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while line := await reader.readline():
                command = json.loads(line)
                if command["action"] == "sync":
                    if self._writer is not None:
                        self._writer.close()
                    self._writer = writer
                    self._send({"action": "ready", "code": "seasoned", "wall_ms": 60000})
                    for notice in self._notices[command["pos"] :][-NOTICES_KEPT:]:
                        self._send(notice)
                elif writer is self._writer:
                    self._carry_out(command)
        if self._writer is writer:
            self._writer = None
        writer.close()

    def _send(self, message: dict[str, Any]) -> None:
        if self._writer is not None and not self._writer.is_closing():
            self._writer.write(json.dumps(message).encode() + b"\n")

    def _notify(self, notice: dict[str, Any]) -> int:
        number = len(self._notices) + 1
        self._notices.append(notice | {"pos": number})
        self._send(self._notices[-1])
        return number

    def _carry_out(self, command: dict[str, Any]) -> None:
        uid = str(command.get("uid", ""))
        run = self.active.get(uid)
        match command["action"]:
            case "start":
                self._start(uid, str(command["lane"]), base64.b64decode(command["content"]))
            case "stop" if run is not None:
                self._end(run, "aborted", b"")
            case "give" if run is not None and run.waits_for:
                run.replies.append(base64.b64decode(command["content"]))
                run.reply.set()
            case "omit" if run is not None and run.waits_for == command["pos"]:
                run.reply.set()
            case "gauges":
                busy = sum(1 for other in self.active.values() if not other.waits_for)
                meters = [min(1.0, busy / self.cores), busy, 0.1, 10]
                self._send({"action": "load", "echo": command["echo"], "meters": meters})

    def _start(self, uid: str, lane: str, body: bytes) -> None:
        if uid in self.active:
            return
        made_for = self.platform.tries.get(uid)
        if made_for is None or (made_for.lane, made_for.body) != (lane, body):
            self._send({"action": "nack", "code": "start", "uid": uid})
            return
        if self._is_over(uid):
            self._notify({"action": "end", "uid": uid, "code": "stale", "wall_ms": 0, "content": ""})
            return
        run = Run(uid, lane, body, now_ms())
        self.active[uid] = run
        self.platform.runs.append(run)
        self.platform.record.line(f"{self.name} run {uid} {lane} once {made_for.once}")
        run.task = asyncio.ensure_future(self._work(run))

    def _is_over(self, uid: str) -> bool:
        made_for = self.platform.tries[uid]
        return bool(made_for.answers) or made_for.cancelled

    async def _work(self, run: Run) -> None:
        work_ms, calls = self.work(run)
        for _ in range(calls):
            await asyncio.sleep(work_ms / (calls + 1) / 1000.0)
            if self._is_over(run.uid):
                self._end(run, "aborted", b"")
                return
            run.reply.clear()
            content = base64.b64encode(b"call of " + run.uid.encode()).decode()
            run.waits_for = self._notify({"action": "wants", "uid": run.uid, "content": content})
            await run.reply.wait()
            run.waits_for = 0
        await asyncio.sleep(work_ms / (calls + 1) / 1000.0)
        run.task = None
        self._end(run, "done", result_of(run.body, run.replies))

    def _end(self, run: Run, code: str, result: bytes) -> None:
        if self.active.pop(run.uid, None) is None:
            return
        if run.task is not None and run.task is not asyncio.current_task():
            run.task.cancel()
        self.platform.record.line(f"{self.name} end {run.uid} {code}")
        self._notify(
            {
                "action": "end",
                "uid": run.uid,
                "code": code,
                "wall_ms": now_ms() - run.began_ms,
                "content": base64.b64encode(result).decode(),
            }
        )


def result_of(body: bytes, replies: list[bytes]) -> bytes:
    """Return the result of a run with this body and these replies to its calls."""
    return b" | ".join([b"result of " + body, *replies])


class Roster(asyncio.DatagramProtocol):
    """The roster: it takes the reports and gives no answer."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.port = free_port(socket.SOCK_DGRAM)
        self.last = ""

    async def listen(self) -> None:
        """Receive reports."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", self.port))

    @property
    def address(self) -> str:
        """Return the address as the configuration has it."""
        return f"127.0.0.1:{self.port}"

    def datagram_received(self, data: bytes, _addr: Any) -> None:
        """Note a report that differs from the last one."""
        report = data.decode(errors="replace")
        if report != self.last:
            self.last = report
            self.platform.record.line(f"roster {report}")


Answer = Callable[["IndexCall", asyncio.StreamWriter], Awaitable[bool]]
"""Answers a call of the index; returns whether the connection stays open."""


@dataclass(frozen=True)
class IndexCall:
    """One call as the index read it."""

    uid: str
    body: bytes
    connection: int
    is_reused: bool


async def answer_plainly(call: IndexCall, writer: asyncio.StreamWriter) -> bool:
    """Answer a call with its reply, as a sound index does."""
    writer.write(http_reply(call))
    return True


def reply_of(uid: str) -> bytes:
    """Return the reply of the index to a call made for this request."""
    return b"reply for " + uid.encode()


def http_reply(call: IndexCall) -> bytes:
    """Return the bytes of the reply to a call."""
    body = reply_of(call.uid)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class Index:
    """The index: HTTP/1.1, one call at a time on a connection."""

    def __init__(self, platform: Platform, answer: Answer = answer_plainly) -> None:
        self.platform = platform
        self.answer = answer
        self.port = free_port()
        self.calls: list[IndexCall] = []
        self._connections = 0

    async def listen(self) -> None:
        """Accept connections."""
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    @property
    def address(self) -> str:
        """Return the address as the configuration has it."""
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        number = self._connections
        is_reused = False
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                body = await reader.readexactly(int(fields["Content-Length"]))
                call = IndexCall(fields["X-Parent-Id"], body, number, is_reused)
                self.calls.append(call)
                self.platform.record.line(f"index call {call.uid} connection {number}")
                if not await self.answer(call, writer):
                    break
                await writer.drain()
                is_reused = True
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()


# Balancers.


class BalancerLink:
    """One connection of a balancer to the formula node."""

    def __init__(
        self, balancer: Balancer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.balancer = balancer
        self.writer = writer
        self.open: dict[int, Try] = {}
        self.sent: dict[int, Try] = {}
        self.last_number = 0
        self.is_released = False
        self.is_over = False
        self.ended_at_ms = 0.0
        self._task = asyncio.ensure_future(self._read(reader))

    @property
    def takes_requests(self) -> bool:
        """Return whether another request may be written."""
        return not self.is_released and not self.is_over and len(self.open) < 32

    async def _read(self, reader: asyncio.StreamReader) -> None:
        unpacker = msgpack.Unpacker()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                unpacker.feed(data)
                for message in unpacker:
                    self._handle(message)
        self.is_over = True
        self.ended_at_ms = now_ms()
        self.balancer.link_ended(self)
        self.writer.close()

    def _handle(self, message: list[Any]) -> None:
        if message[0] == 2:
            self.is_released = self.is_released or message[1] == "farewell"
        else:
            made = self.sent.get(message[1])
            if made is not None:
                self.open.pop(made.number, None)
                self.balancer.answered(made, message)
        if self.is_released and not self.open:
            self.writer.close()


class Balancer:
    """A balancer: opens connections when it needs them, and gives each try a new id."""

    def __init__(self, platform: Platform, port: int, number: int = 4) -> None:
        self.platform = platform
        self.port = port
        self.number = number
        self.links: list[BalancerLink] = []
        self.on_link_ended: Callable[[BalancerLink], None] = lambda _link: None

    async def connect(self) -> BalancerLink:
        """Open a connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        link = BalancerLink(self, reader, writer)
        self.links.append(link)
        return link

    async def link(self) -> BalancerLink:
        """Return a connection that takes another request."""
        for link in self.links:
            if link.takes_requests:
                return link
        return await self.connect()

    def prepare(
        self, link: BalancerLink, lane: str, body: bytes, once: str | None = None, wait_ms: float = 3000.0
    ) -> tuple[Try, bytes]:
        """Return a new try on a connection and the bytes to write for it."""
        link.last_number += 1
        made = Try(secrets.token_hex(8), lane, body, once, now_ms(), wait_ms, link, link.last_number)
        self.platform.tries[made.uid] = made
        link.open[made.number] = link.sent[made.number] = made
        fields = {
            "id": made.uid,
            "at": f"{made.at_ms:.0f}",
            "from": str(self.number),
            "wait": f"{wait_ms:.0f}",
            "kb": "24.5",
            "rank": "0.5",
        }
        if once is not None:
            fields["once"] = once
        self.platform.record.line(f"sent {made.uid} {lane} once {once} wait {wait_ms:.0f}")
        return made, msgpack.packb([0, made.number, lane, [fields, body]])

    async def send(
        self,
        lane: str,
        body: bytes,
        once: str | None = None,
        wait_ms: float = 3000.0,
        link: BalancerLink | None = None,
    ) -> Try:
        """Write a new try of a request."""
        link = link or await self.link()
        made, data = self.prepare(link, lane, body, once, wait_ms)
        link.writer.write(data)
        return made

    def answered(self, made: Try, message: list[Any]) -> None:
        """Note the answer to a try."""
        _kind, _number, error, result = message
        outcome = "served" if error is None else "refused" if error[0] == "Throttled" else "failed"
        made.answers.append((now_ms(), outcome, result))
        made.ended.set()
        self.platform.request_over(made.uid)
        self.platform.record.line(f"answer {made.uid} {outcome} after {now_ms() - made.at_ms:.0f} ms")

    def link_ended(self, link: BalancerLink) -> None:
        """Note the end of a connection."""
        if link in self.links:
            self.links.remove(link)
        left = [made.uid for made in link.open.values()]
        self.platform.record.line(f"connection ended, without answer: {' '.join(left) or '-'}")
        for made in link.open.values():
            made.ended.set()
            made.cancelled = True
            self.platform.request_over(made.uid)
        self.on_link_ended(link)

    async def health(self) -> bool | None:
        """Ask for the health on a connection of its own; None without an answer."""
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(msgpack.packb([0, 1, "health", [{}]]))
                unpacker = msgpack.Unpacker()
                while data := await reader.read(65536):
                    unpacker.feed(data)
                    for message in unpacker:
                        if message[0] == 1:
                            writer.close()
                            return message[2] is None and message[3][0] is True
        return None


# The processes of the formula node.


class NodeProcess:
    """One process, started by the key ``run`` of the deploy file."""

    def __init__(self, case: Case, name: str, fields: dict[str, Any], listener: socket.socket | None) -> None:
        self.case = case
        self.name = name
        self.admin_port = free_port()
        self.config_path = case.folder / f"{name}.json"
        self.write_config(fields)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "NODE_CONFIG": str(self.config_path),
            "NODE_NAME": fields["name"],
            "NODE_LISTEN": fields["listen"],
            "NODE_ADMIN_ADDR": f"127.0.0.1:{self.admin_port}",
            "NODE_LOG": os.environ.get("NODE_LOG", "INFO"),
            "TMPDIR": str(case.shared_folder),
        }
        if listener is not None:
            os.dup2(listener.fileno(), LISTEN_DESCRIPTOR)
            environment["NODE_FD"] = str(LISTEN_DESCRIPTOR)
        self.log = (case.folder / f"{name}.log").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", case.run_command],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=subprocess.STDOUT,
            pass_fds=() if listener is None else (LISTEN_DESCRIPTOR,),
        )
        case.record.line(f"process {name} started")

    def write_config(self, fields: dict[str, Any]) -> None:
        """Replace the configuration file in one step."""
        draft = self.config_path.with_suffix(".draft")
        draft.write_text(json.dumps(fields))
        draft.rename(self.config_path)

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        self.case.record.line(f"process {self.name} gets {number.name}")
        self.process.send_signal(number)

    async def ready(self, within_s: float) -> bool:
        """Wait until the process says that it takes clients; False if it does not in time.

        Raises:
            CaseNotRunError: the process has ended.
        """
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if await self.operator_call("GET", "/-/ready") == 200:
                self.case.record.line(f"process {self.name} is ready")
                return True
            if self.process.poll() is not None:
                raise CaseNotRunError(f"process {self.name} ended with {self.process.returncode}")
            await asyncio.sleep(0.05)
        return False

    async def operator_call(self, method: str, path: str) -> int:
        """Make an operators' call and return its status, or 0."""
        with contextlib.suppress(OSError, asyncio.TimeoutError, ValueError, IndexError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n".encode())
                status = int((await reader.readline()).split()[1])
                writer.close()
                return status
        return 0

    async def exited(self, within_s: float) -> bool:
        """Wait until the process has ended; False if it does not in time."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                self.case.record.line(f"process {self.name} ended with {self.process.returncode}")
                return True
            await asyncio.sleep(0.02)
        return False


class Case:
    """The frame of a case: its record, its temporary folder and the processes that it started."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.record = Record(folder)
        self.platform = Platform(self.record)
        self.folder = temporary
        self.shared_folder = temporary / "shared"
        self.shared_folder.mkdir()
        self.processes: list[NodeProcess] = []
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.run_command = str(tomllib.load(file)["run"])

    def config(self, runtime: Runtime, index: Index, roster: Roster, port: int) -> dict[str, Any]:
        """Return the example's configuration with the addresses of this case."""
        fields: dict[str, Any] = json.loads((ROOT / "examples" / "node.json").read_text())
        return fields | {
            "listen": f"127.0.0.1:{port}",
            "runtime": runtime.address,
            "index": index.address,
            "roster": roster.address,
        }

    def start(self, name: str, fields: dict[str, Any], listener: socket.socket | None = None) -> NodeProcess:
        """Start a process of the formula node."""
        process = NodeProcess(self, name, fields, listener)
        self.processes.append(process)
        return process

    def end_processes(self) -> None:
        """End all processes that this case started."""
        for node in self.processes:
            if node.process.poll() is None:
                node.process.kill()
            node.process.wait()
            node.log.close()


def _give_up(*_: object) -> None:
    """Exit as a case that could not be played, at the SIGTERM that ``run.sh`` sends when its time is over.

    Raises:
        SystemExit: always; on its way out the processes are ended.
    """
    raise SystemExit(NOT_RUN)


def play(folder: Path, scene: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case and exit: 1 if a rule was broken, 0 if all held, 2 if the case could not be played."""
    signal.signal(signal.SIGTERM, _give_up)
    with tempfile.TemporaryDirectory() as temporary:
        case = Case(folder, Path(temporary))
        status = HELD
        try:
            asyncio.run(scene(case))
            status = BROKEN if case.platform.faults else HELD
        except (CaseNotRunError, OSError, SystemExit) as error:
            case.record.line(f"the case could not be played: {error!r}")
            status = NOT_RUN
        finally:
            case.end_processes()
            logs = {node.name: (case.folder / f"{node.name}.log") for node in case.processes}
            for name, path in logs.items():
                for line in path.read_text(errors="replace").splitlines():
                    case.record.line(f"log of {name}: {line}")
        case.record.line(f"exit {status}")
    os._exit(status)  # leaves the connections to the system: the interpreter would warn of each
