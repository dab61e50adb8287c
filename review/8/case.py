"""A process is replaced while a crowd connects and then idles or stops half way."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "second"))

from standins import (
    TROUBLE,
    Balancer,
    Case,
    CaseNotRunError,
    Index,
    NodeProcess,
    Platform,
    Roster,
    Run,
    Runtime,
    Try,
    now_ms,
    play,
)

SECONDS = 20.0
REQUESTS_PER_S = 40.0
WAITS_MS = (480.0, 1000.0, 2000.0, 3000.0)
CROWD = 3000
CROWD_BEGINS_S = 4.0
CROWD_LASTS_S = 10.0  # over which the crowd connects, at an even rate
REPLACED_AT_S = 8.0
SOCKETS = 256  # half of 512
SLACK_MS = 60.0 + 50.0  # of the settings and of the protocol page
UNANSWERED_SHARE = 3.0 / 1000.0
READY_S = 6.0
KILL_AFTER_S = 3.7  # the longest deadline, taken as 3 s, and 0.7 s
HALF_A_MESSAGE = b"\x94\x00\x01\xa5match"


def work(_run: Run) -> tuple[float, int]:
    """Return 20 ms of work without a call."""
    return 20.0, 0


async def join_crowd(port: int, number: int) -> None:
    """Connect, write half of a message or nothing, and wait for the node to end the connection."""
    await asyncio.sleep(CROWD_BEGINS_S + CROWD_LASTS_S * number / CROWD)
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        if number % 2:
            writer.write(HALF_A_MESSAGE)
        while await reader.read(65536):
            pass
        writer.close()


async def ask(balancer: Balancer, tries: list[Try], lane: str, wait_ms: float) -> None:
    """Send one request on a new connection; one that can't connect was refused."""
    with contextlib.suppress(OSError):
        link = await balancer.connect()
        made = await balancer.send(lane, b"a warm grey", None, wait_ms, link)
        tries.append(made)
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(made.ended.wait(), (wait_ms + 1000.0) / 1000.0)
        link.writer.close()


async def replace_process(case: Case, first: NodeProcess, second: NodeProcess) -> None:
    """Wait for the new process, then have the old one leave, as the platform does it."""
    await second.ready(READY_S)
    first.signal(signal.SIGTERM)
    if not await first.exited(KILL_AFTER_S):
        first.signal(signal.SIGKILL)
    case.record.line("the process is replaced")


def is_unanswered(made: Try) -> bool:
    """Return whether a request had no final answer in its time; a close of its connection failed it."""
    if made.answers:
        return made.answers[0][0] > made.at_ms + made.wait_ms + SLACK_MS
    return not made.link.is_over or made.link.ended_at_ms > made.at_ms + made.wait_ms + SLACK_MS


def check_answers(platform: Platform, tries: list[Try]) -> None:
    """Count the requests without a final answer in their time."""
    unanswered = [made for made in tries if is_unanswered(made)]
    for made in unanswered:
        platform.record.line(f"not answered in time: {made.uid} wait {made.wait_ms:.0f}")
    never = sum(not made.answers for made in unanswered)
    platform.record.line(
        f"requests {len(tries)}, not answered in time {len(unanswered)}, of these never {never}"
    )
    if len(unanswered) >= UNANSWERED_SHARE * len(tries):
        platform.fault(f"{len(unanswered)} of {len(tries)} requests had no final answer in their time")


async def scene(case: Case) -> None:
    """Send requests, each on a new connection, while a crowd comes and the process is replaced.

    Raises:
        CaseNotRunError: the first process was not ready.
    """
    platform = case.platform
    generator = random.Random(8)
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    port = listener.getsockname()[1]
    index, roster = Index(platform), Roster(platform)
    runtimes = [Runtime(platform, work, name=f"runtime-{number}") for number in (1, 2)]
    for part in (index, roster, *runtimes):
        await part.listen()

    def start(number: int) -> NodeProcess:
        fields = case.config(runtimes[number - 1], index, roster, port)
        fields["limits"] = {"cores": 1.0, "memory_mb": 96, "sockets": SOCKETS}
        return case.start(f"process-{number}", fields, listener)

    first = start(1)
    if not await first.ready(30.0):
        raise CaseNotRunError("the first process was not ready")
    balancer = Balancer(platform, port)
    tries: list[Try] = []
    crowd = [asyncio.ensure_future(join_crowd(port, number)) for number in range(CROWD if TROUBLE else 0)]
    asked: list[asyncio.Future[None]] = []
    began_ms = now_ms()
    while now_ms() < began_ms + SECONDS * 1000.0:
        if len(case.processes) == 1 and now_ms() >= began_ms + REPLACED_AT_S * 1000.0:
            asked.append(asyncio.ensure_future(replace_process(case, first, start(2))))
        lane = generator.choice(("match", "recalc"))
        asked.append(asyncio.ensure_future(ask(balancer, tries, lane, generator.choice(WAITS_MS))))
        await asyncio.sleep(generator.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*asked)
    check_answers(platform, tries)
    for member in crowd:
        member.cancel()


play(Path(__file__).resolve().parent, scene)
