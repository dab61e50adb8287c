"""An operator drains the node through the new process while it takes over from the old one."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import signal
import socket
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "second"))

from standins import (
    TROUBLE,
    Balancer,
    Case,
    CaseNotRunError,
    Index,
    NodeProcess,
    Roster,
    Run,
    Runtime,
    now_ms,
    play,
)

UPGRADES = 12
REQUESTS_PER_S = 150.0
WINDOW_S = 15.951
QUIET_BEFORE_S = 8.0  # traffic before the first upgrade
READY_S = 6.0
KILL_AFTER_S = 3.7  # the longest deadline, taken as 3 s, and 0.7 s
BAD_AFTER_MS = 4000.0  # from the call on, each health check has to get a bad answer
CHECKS = 5
CHECK_EVERY_S = 0.1
CALL_AGAIN_S = 0.002  # between two calls to an address at which nothing listens yet
OK = 200


def work(_run: Run) -> tuple[float, int]:
    """Return 10 ms of work without a call."""
    return 10.0, 0


async def keep_sending(balancer: Balancer) -> None:
    """Send keyed requests at an even rate."""
    while True:
        key = secrets.token_hex(16)
        with contextlib.suppress(OSError):
            await balancer.send("dispense", key.encode(), key)
        await asyncio.sleep(1.0 / REQUESTS_PER_S)


async def leave(node: NodeProcess) -> None:
    """Have an old process leave as the platform does it."""
    node.signal(signal.SIGTERM)
    if not await node.exited(KILL_AFTER_S):
        node.signal(signal.SIGKILL)
        await node.exited(1.0)


async def call(node: NodeProcess, path: str) -> float:
    """Make an operators' call as soon as the process listens; return the time of the call.

    Raises:
        CaseNotRunError: the call was not answered with yes.
    """
    until_ms = now_ms() + READY_S * 1000.0
    while now_ms() < until_ms:
        called_ms = now_ms()
        status = await node.operator_call("POST", path)
        if status:
            node.case.record.line(f"operators' call {path} at {node.name}: {status}")
        if status == OK:
            return called_ms
        await asyncio.sleep(CALL_AGAIN_S)
    raise CaseNotRunError(f"call {path} was not answered with yes")


async def check_health(case: Case, balancer: Balancer, called_ms: float) -> None:
    """Ask for the health from 4 s after the drain on: no answer may be good."""
    await asyncio.sleep(max(0.0, called_ms + BAD_AFTER_MS - now_ms()) / 1000.0)
    answers = []
    for _ in range(CHECKS):
        answers.append(await balancer.health())
        await asyncio.sleep(CHECK_EVERY_S)
    case.record.line(f"health from 4 s after the drain: {answers}")
    if any(answers):
        case.platform.fault(f"{answers.count(True)} of {CHECKS} health checks were good 4 s after the drain")


def fields_of(case: Case, runtime: Runtime, index: Index, roster: Roster, port: int) -> dict[str, Any]:
    """Return the configuration, with memory for the keys of a window."""
    fields = case.config(runtime, index, roster, port)
    domain = fields["settings"]["domain"]
    domain |= {"cores": 6, "memory_kb": domain["kb_per_key"] * REQUESTS_PER_S * WINDOW_S / 0.2}
    return fields


async def scene(case: Case) -> None:
    """Replace the process several times, and drain the node through the new process each time.

    Raises:
        CaseNotRunError: a process was not ready.
    """
    platform = case.platform
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    port = listener.getsockname()[1]
    index, roster = Index(platform), Roster(platform)
    runtimes = [Runtime(platform, work, cores=6, name=f"runtime-{n}") for n in range(UPGRADES + 1)]
    for part in (index, roster, *runtimes):
        await part.listen()
    balancer = Balancer(platform, port)

    def start(number: int) -> NodeProcess:
        fields = fields_of(case, runtimes[number], index, roster, port)
        return case.start(f"process-{number}", fields, listener)

    old = start(0)
    if not await old.ready(30.0):
        raise CaseNotRunError("the first process was not ready")
    traffic = asyncio.ensure_future(keep_sending(balancer))
    await asyncio.sleep(QUIET_BEFORE_S)
    for number in range(1, UPGRADES + 1):
        new = start(number)
        called_ms = await call(new, "/-/drain") if TROUBLE else 0.0
        if not await new.ready(READY_S):
            raise CaseNotRunError("a new process was not ready")
        if not TROUBLE:
            await asyncio.sleep(0.5)
            called_ms = await call(new, "/-/drain")
        await leave(old)
        await check_health(case, balancer, called_ms)
        await call(new, "/-/resume")
        await asyncio.sleep(0.5)
        old = new
    traffic.cancel()


play(Path(__file__).resolve().parent, scene)
